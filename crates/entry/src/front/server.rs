//! Connections of callers and the first look at each request.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::answer::{CallerAnswer, Refusal, name_request, refuse, whole};
use super::request::{authenticate, bundle, read, request_id};
use super::{FrontContext, model, service};
use crate::tls::TlsKeeper;
use bergamot_types::prelude::*;

/// How long a caller may take to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Streams at once on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1_024;

/// Serves callers until `stop` says so, then until every connection has ended.
pub async fn serve(
    context: Arc<FrontContext>,
    listener: TcpListener,
    tls: Option<Arc<TlsKeeper>>,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let watcher = graceful.watcher();
        let context = Arc::clone(&context);
        let acceptor = tls.as_ref().map(|keeper| keeper.acceptor());
        tokio::spawn(async move {
            match acceptor {
                None => serve_connection(context, TokioIo::new(stream), watcher).await,
                Some(acceptor) => {
                    let accepted = acceptor.accept(stream);
                    let accepted = tokio::time::timeout(HEADER_TIMEOUT, accepted).await;
                    if let Ok(Ok(stream)) = accepted {
                        serve_connection(context, TokioIo::new(stream), watcher).await;
                    }
                }
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn serve_connection<Stream>(
    context: Arc<FrontContext>,
    io: TokioIo<Stream>,
    watcher: hyper_util::server::graceful::Watcher,
) where
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
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(answer(context, request).await) }
    });
    let connection = builder.serve_connection(io, service).into_owned();
    if let Err(error) = watcher.watch(connection).await {
        log::trace!("event=caller_connection_ended reason={error:?}");
    }
}

async fn answer(context: Arc<FrontContext>, request: Request<Incoming>) -> CallerAnswer {
    let id = request_id(request.headers());
    let in_flight = InFlight::new(&context);
    let outcome = route(&context, request, id.clone(), in_flight).await;
    outcome.unwrap_or_else(|refusal| refuse(refusal, &id))
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
