//! Accepts callers' connections and dispatches their requests.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bergamot_gateway::connection_set::{ConnectionAdmission, ConnectionSet};
use bergamot_gateway::listen::{close_listener, next_connection};
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

use super::answer::{
    CallerResponse, Refusal, error_response, full_response, set_connection_close, set_request_id,
};
use super::caller_activity::{ActivityGuard, CallerActivity};
use super::request::{authenticate, bundle, read, request_id};
use super::{FrontContext, model, service};
use crate::tls::TlsReloader;
use bergamot_types::prelude::*;

/// Timeout for a caller to send the head of a request, and for the TLS handshake.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of a request in bytes, and how far the library reads ahead of a body.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Maximum number of concurrent streams on one HTTP/2 connection.
const MAX_STREAMS: u32 = 1_024;
/// How long a shutdown waits for the first request of an open connection. A caller that has just connected sends its
/// request within one or two round trips, or three with TLS. Callers that connect in advance delay the shutdown by
/// this time.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Accepts callers until `stop` is set, then waits until every connection has closed.
pub async fn serve(
    context: Arc<FrontContext>,
    listener: TcpListener,
    tls: Option<Arc<TlsReloader>>,
    mut stop: watch::Receiver<bool>,
    most_connections: usize,
) {
    let closing = watch::Sender::new(false);
    let mut connections = ConnectionSet::default();
    let given_up = &context.shared.metrics.connections_given_up;
    let mut accept_stream = |stream: TcpStream| {
        match connections.admit(most_connections) {
            ConnectionAdmission::Admitted => {}
            ConnectionAdmission::Replaces => given_up.with_label_values(&["replaced"]).inc(),
            ConnectionAdmission::Refused => {
                given_up.with_label_values(&["refused"]).inc();
                return;
            }
        }
        let _ = stream.set_nodelay(true);
        let activity = Arc::default();
        let connection = CallerConnection {
            context: Arc::clone(&context),
            closing: closing.subscribe(),
            activity: Arc::clone(&activity),
        };
        let acceptor = tls.as_ref().map(|keeper| keeper.acceptor());
        let task = tokio::spawn(connection.run(stream, acceptor));
        connections.insert(task.abort_handle(), activity);
    };
    loop {
        let stream = tokio::select! {
            stream = next_connection(&listener) => stream,
            _ = stop.wait_for(|stopping| *stopping) => break,
        };
        accept_stream(stream);
    }
    close_listener(listener).into_iter().for_each(accept_stream);
    // A connection that is still in its TLS handshake finds the flag set when it starts to serve.
    closing.send_replace(true);
    closing.closed().await;
}

/// One connection of a caller. [`serve`] returns once all connections are dropped.
struct CallerConnection {
    context: Arc<FrontContext>,
    closing: watch::Receiver<bool>,
    activity: Arc<CallerActivity>,
}

impl CallerConnection {
    async fn run(self, stream: TcpStream, acceptor: Option<Arc<TlsAcceptor>>) {
        let Some(acceptor) = acceptor else {
            return self.serve(TokioIo::new(stream)).await;
        };
        let handshake = acceptor.accept(stream);
        let handshake = tokio::time::timeout(HEADER_TIMEOUT, handshake).await;
        if let Ok(Ok(stream)) = handshake {
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
            .max_buf_size(READ_BUFFER_BYTES)
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(MAX_STREAMS);
        let first_request = Arc::new(Notify::new());
        let service = service_fn(|request| {
            first_request.notify_one();
            let context = Arc::clone(&self.context);
            let activity = ActivityGuard::begin(&self.activity);
            // Boxed, as an idle connection would keep room for it.
            Box::pin(async move {
                Ok::<_, Infallible>(handle_request(context, request, activity).await)
            })
        });
        let mut connection = pin!(builder.serve_connection(io, service));
        let shutdown_requested = async {
            let _ = self.closing.wait_for(|is_closing| *is_closing).await;
            // If the connection closed before its first request, a caller that has just sent one could not tell
            // whether it ran.
            let _ = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, first_request.notified()).await;
        };
        let result = tokio::select! {
            result = connection.as_mut() => result,
            () = shutdown_requested => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            log::trace!("event=caller_connection_ended reason={error:?}");
        }
    }
}

async fn handle_request(
    context: Arc<FrontContext>,
    request: Request<Incoming>,
    activity: ActivityGuard,
) -> CallerResponse {
    let id = request_id(request.headers());
    let is_http2 = request.version() == Version::HTTP_2;
    let in_flight = InFlight::new(&context, activity);
    let outcome = route_request(&context, request, id.clone(), in_flight).await;
    let mut response = outcome.unwrap_or_else(|refusal| error_response(refusal, &id));
    // Idle connections are closed soon, and HTTP/1 cannot tell the caller whether a request sent during the close was
    // accepted. Announcing the close with the preceding response keeps callers from sending one.
    if context.shared.is_stopping() && !is_http2 {
        set_connection_close(&mut response);
    }
    response
}

async fn route_request(
    context: &Arc<FrontContext>,
    request: Request<Incoming>,
    id: RequestId,
    mut in_flight: InFlight,
) -> Result<CallerResponse, Refusal> {
    let path = request.uri().path().to_owned();
    let is_model_list = path == "/v1/models";
    let is_chat = path == "/v1/chat/completions";
    let is_model = is_chat || path == "/v1/completions";
    let is_service = path.starts_with(service::PATH_PREFIX);
    if !(is_model_list || is_model || is_service) {
        return Err(ErrorKind::NotFound.into());
    }
    let expected_method = if is_model_list {
        Method::GET
    } else {
        Method::POST
    };
    if !is_service && *request.method() != expected_method {
        return Err(ErrorKind::MethodNotAllowed.into());
    }
    let active = bundle(context)?;
    let account = authenticate(request.headers(), &active)?.clone();
    if context.shared.is_stopping() {
        return Err(ErrorKind::ShuttingDown.into());
    }
    if is_model_list {
        let mut response = model_list(&active.document, &account);
        set_request_id(&mut response, &id);
        return Ok(response);
    }
    let request = read(context, request, id).await?;
    in_flight.activity.record_received();
    match is_model {
        true => model::handle(context, request, &active, &account, is_chat, in_flight).await,
        false => service::handle(context, request, &active, &account, in_flight).await,
    }
}

fn model_list(
    document: &bergamot_bundle::BundleDocument,
    account: &bergamot_bundle::AccountSpec,
) -> CallerResponse {
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
    full_response(
        StatusCode::OK,
        "application/json",
        Bytes::from(body.to_string()),
    )
}

/// Counts one request as in flight until it is dropped.
pub struct InFlight {
    context: Arc<FrontContext>,
    activity: ActivityGuard,
}

impl InFlight {
    fn new(context: &Arc<FrontContext>, activity: ActivityGuard) -> Self {
        context.shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self {
            context: Arc::clone(context),
            activity,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.context.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
