//! The HTTP server all stand-ins share.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

/// The largest question, in bytes.
const MAX_QUESTION_BYTES: usize = 8 << 20;

/// An answer, or the wish to break the connection without one.
pub type Answer = Result<Response<AnswerBody>, Abort>;
/// The body of an answer.
pub type AnswerBody = BoxBody<Bytes, Abort>;

/// Breaks the connection off.
#[derive(Clone, Copy, Debug)]
pub struct Abort;

impl std::fmt::Display for Abort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken off on purpose")
    }
}

impl std::error::Error for Abort {}

/// A question, read in full.
#[derive(Clone, Debug)]
pub struct Question {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, empty if there is none.
    pub query: String,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Question {
    /// A header as text, empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// The body as JSON.
    pub fn json<Value>(&self) -> Option<Value>
    where
        Value: serde::de::DeserializeOwned,
    {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Something that answers questions.
pub trait StandinServer: Send + Sync + 'static {
    /// Answers one question.
    fn answer(&self, question: Question) -> impl Future<Output = Answer> + Send;
}

/// A JSON answer.
pub fn json<Value>(status: StatusCode, value: &Value) -> Answer
where
    Value: serde::Serialize,
{
    let bytes = serde_json::to_vec(value).map_err(|_| Abort)?;
    let body = Full::new(Bytes::from(bytes)).map_err(never).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", kind);
    Ok(response)
}

/// A body that streams frames.
pub fn stream_body<Frames>(frames: Frames) -> AnswerBody
where
    Frames:
        futures::Stream<Item = Result<hyper::body::Frame<Bytes>, Abort>> + Send + Sync + 'static,
{
    http_body_util::StreamBody::new(frames).boxed()
}

/// An answer without content.
pub fn empty(status: StatusCode) -> Answer {
    json(status, &serde_json::json!({}))
}

fn never(error: Infallible) -> Abort {
    match error {}
}

/// Serves `server` on `listener` until the runtime ends. Returns the address.
///
/// # Errors
/// When the listener has no address.
pub fn serve_on<Server>(listener: TcpListener, server: Arc<Server>) -> std::io::Result<SocketAddr>
where
    Server: StandinServer,
{
    let addr = listener.local_addr()?;
    serve_abortable(listener, server);
    Ok(addr)
}

/// Serves `server` on `listener` until it is aborted: then the listener and all connections are closed, as when a
/// process ends.
pub fn serve_abortable<Server>(listener: TcpListener, server: Arc<Server>) -> AbortHandle
where
    Server: StandinServer,
{
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        // Dropped before the connections: whoever sees one end finds nothing that listens.
        let listener = listener;
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            while connections.try_join_next().is_some() {}
            let _ = stream.set_nodelay(true);
            let server = Arc::clone(&server);
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let server = Arc::clone(&server);
                    async move { answer_one(&*server, request).await }
                });
                let builder = Builder::new(TokioExecutor::new());
                let served = builder.serve_connection(TokioIo::new(stream), service);
                if let Err(error) = served.await {
                    log::trace!("event=standin_connection_ended reason={error:?}");
                }
            });
        }
    });
    task.abort_handle()
}

async fn answer_one<Server>(server: &Server, request: Request<Incoming>) -> Answer
where
    Server: StandinServer,
{
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_QUESTION_BYTES)
        .collect()
        .await
        .map_err(|_| Abort)?
        .to_bytes();
    let question = Question {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or("").to_owned(),
        headers: head.headers,
        body,
    };
    server.answer(question).await
}
