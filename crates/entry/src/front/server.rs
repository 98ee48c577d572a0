//! Connections of callers and the first look at each request.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio_rustls::TlsAcceptor;

use super::answer::{CallerAnswer, Refusal, end_connection, name_request, refuse, whole};
use super::request::{authenticate, bundle, read, request_id};
use super::{FrontContext, model, service};
use crate::tls::TlsReloader;
use bergamot_types::prelude::*;

/// How long a caller may take to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Streams at once on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1_024;
/// How long a connection that has sent no request is waited for once nothing is accepted any more. A caller that has just connected sends
/// within a round trip or two, three with TLS; the stop takes longer by this where callers connect in advance.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Serves callers until `stop` says so, then until every connection has ended.
pub async fn serve(
    context: Arc<FrontContext>,
    listener: TcpListener,
    tls: Option<Arc<TlsReloader>>,
    mut stop: watch::Receiver<bool>,
) {
    let closing = watch::Sender::new(false);
    let accept = |stream: TcpStream| {
        let _ = stream.set_nodelay(true);
        let connection = CallerConnection {
            context: Arc::clone(&context),
            closing: closing.subscribe(),
        };
        let acceptor = tls.as_ref().map(|keeper| keeper.acceptor());
        tokio::spawn(connection.run(stream, acceptor));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        accept(stream);
    }
    bergamot_gateway::listen::close_listener(listener)
        .into_iter()
        .for_each(accept);
    // A connection that is told late, as its handshake goes on, finds the word already there.
    closing.send_replace(true);
    closing.closed().await;
}

/// One connection of a caller. The side of the callers ends once all of them are dropped.
struct CallerConnection {
    context: Arc<FrontContext>,
    closing: watch::Receiver<bool>,
}

impl CallerConnection {
    async fn run(self, stream: TcpStream, acceptor: Option<Arc<TlsAcceptor>>) {
        let Some(acceptor) = acceptor else {
            return self.serve(TokioIo::new(stream)).await;
        };
        let accepted = acceptor.accept(stream);
        let accepted = tokio::time::timeout(HEADER_TIMEOUT, accepted).await;
        if let Ok(Ok(stream)) = accepted {
            self.serve(TokioIo::new(stream)).await;
        }
    }

    async fn serve<Stream>(mut self, io: TokioIo<Stream>)
    where
        Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(MAX_STREAMS);
        let first = Arc::new(Notify::new());
        let service = service_fn(|request| {
            first.notify_one();
            let context = Arc::clone(&self.context);
            async move { Ok::<_, Infallible>(answer(context, request).await) }
        });
        let mut connection = pin!(builder.serve_connection(io, service));
        let told = async {
            let _ = self.closing.wait_for(|is_closing| *is_closing).await;
            // Ended before its first request, it would leave its caller without a word on whether that ran.
            let _ = tokio::time::timeout(FIRST_REQUEST_TIME, first.notified()).await;
        };
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = told => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::trace!("event=caller_connection_ended reason={error:?}");
        }
    }
}

async fn answer(context: Arc<FrontContext>, request: Request<Incoming>) -> CallerAnswer {
    let id = request_id(request.headers());
    let is_http2 = request.version() == Version::HTTP_2;
    let in_flight = InFlight::new(&context);
    let outcome = route(&context, request, id.clone(), in_flight).await;
    let mut answer = outcome.unwrap_or_else(|refusal| refuse(refusal, &id));
    // An idle connection is closed soon, and HTTP/1 can't say whether a request that crosses the close was taken. Said with the answer
    // that comes before, no caller sends one there.
    if context.shared.is_stopping() && !is_http2 {
        end_connection(&mut answer);
    }
    answer
}

async fn route(
    context: &Arc<FrontContext>,
    request: Request<Incoming>,
    id: RequestId,
    in_flight: InFlight,
) -> Result<CallerAnswer, Refusal> {
    let path = request.uri().path().to_owned();
    let is_model_list = path == "/v1/models";
    let is_chat = path == "/v1/chat/completions";
    let is_model = is_chat || path == "/v1/completions";
    let is_service = path.starts_with(service::PATH_PREFIX);
    if !(is_model_list || is_model || is_service) {
        return Err(ErrorKind::NotFound.into());
    }
    let wanted = if is_model_list {
        Method::GET
    } else {
        Method::POST
    };
    if !is_service && *request.method() != wanted {
        return Err(ErrorKind::MethodNotAllowed.into());
    }
    let force = bundle(context)?;
    let account = authenticate(request.headers(), &force)?.clone();
    if context.shared.is_stopping() {
        return Err(ErrorKind::ShuttingDown.into());
    }
    if is_model_list {
        let mut answer = model_list(&force.document, &account);
        name_request(&mut answer, &id);
        return Ok(answer);
    }
    let request = read(context, request, id).await?;
    match is_model {
        true => model::answer(context, request, &force, &account, is_chat, in_flight).await,
        false => service::answer(context, request, &force, &account, in_flight).await,
    }
}

fn model_list(
    document: &bergamot_bundle::BundleDocument,
    account: &bergamot_bundle::AccountSpec,
) -> CallerAnswer {
    let models: Vec<serde_json::Value> = document
        .models
        .iter()
        .filter(|model| bergamot_bundle::document::is_allowed(&model.accounts, &account.name))
        .map(|model| {
            serde_json::json!({
                "id": model.name,
                "object": "model",
                "owned_by": "bergamotstep",
                "version": model.version,
            })
        })
        .collect();
    let body = serde_json::json!({ "object": "list", "data": models });
    whole(
        StatusCode::OK,
        "application/json",
        Bytes::from(body.to_string()),
    )
}

/// Counts one request for as long as it lives.
pub struct InFlight {
    context: Arc<FrontContext>,
}

impl InFlight {
    fn new(context: &Arc<FrontContext>) -> Self {
        context.shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self {
            context: Arc::clone(context),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.context.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
