//! The admin duty: serves health checks, metrics and a dump of the state over HTTP.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bergamot_gateway::connection_set::{ActivityMark, ConnectionSet};
use bergamot_gateway::listen::next_connection;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::shared::{ClaimsInbox, ControlInbox, SharedState};

/// Limit on the wait for another duty's part of the dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// Most open connections of operators.
const MAX_ADMIN_CONNECTIONS: usize = 32;

/// Serves requests until the task is dropped.
pub async fn run(shared: Arc<SharedState>, listener: TcpListener) {
    let mut connections = ConnectionSet::<ActivityMark>::default();
    loop {
        let stream = next_connection(&listener).await;
        connections.admit(MAX_ADMIN_CONNECTIONS);
        let shared = Arc::clone(&shared);
        let task = tokio::spawn(async move {
            let service = service_fn(move |request| {
                let shared = Arc::clone(&shared);
                async move { respond(&shared, &request).await }
            });
            let builder = Builder::new(TokioExecutor::new());
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        connections.insert(task.abort_handle(), ActivityMark::default());
    }
}

async fn respond(
    shared: &Arc<SharedState>,
    request: &Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let (status, content_type, body) = match request.uri().path() {
        "/healthz" => (StatusCode::OK, "text/plain", "ok\n".to_owned()),
        "/readyz" => match not_ready(shared) {
            None => (StatusCode::OK, "text/plain", "ready\n".to_owned()),
            Some(reason) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                format!("{reason}\n"),
            ),
        },
        "/metrics" => (
            StatusCode::OK,
            "text/plain; version=0.0.4",
            shared.metrics.render(),
        ),
        "/dump" => (
            StatusCode::OK,
            "application/json",
            dump(shared).await.to_string(),
        ),
        _ => (
            StatusCode::NOT_FOUND,
            "text/plain",
            "/healthz, /readyz, /metrics and /dump are here\n".to_owned(),
        ),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert("content-type", content_type);
    Ok(response)
}

/// Returns why this entry VM should not receive callers' requests, or `None` if it is ready.
pub fn not_ready(shared: &SharedState) -> Option<&'static str> {
    if shared.is_stopping() {
        return Some("stopping");
    }
    if shared.view.load().active_bundle.is_none() {
        return Some("no bundle is in force");
    }
    if !shared.routing.lock().has_share(shared.clock.now()) {
        return Some("no share of the accounts' limits yet");
    }
    None
}

async fn dump(shared: &Arc<SharedState>) -> serde_json::Value {
    let (control_sender, control_receiver) = oneshot::channel();
    shared.control.push(ControlInbox::Dump(control_sender));
    let (claims_sender, claims_receiver) = oneshot::channel();
    shared.claims.push(ClaimsInbox::Dump(claims_sender));
    let receive_part = |receiver: oneshot::Receiver<serde_json::Value>| async {
        let dump = tokio::time::timeout(DUMP_TIMEOUT, receiver).await;
        dump.ok().and_then(Result::ok)
    };
    let now = shared.clock.now();
    serde_json::json!({
        "now_ms": now.0,
        "incarnation": shared.incarnation,
        "is_stopping": shared.is_stopping(),
        "in_flight": shared.in_flight.load(Ordering::Relaxed),
        "control": receive_part(control_receiver).await,
        "claims": receive_part(claims_receiver).await,
        "routing": shared.routing.lock().dump(now),
        "rings": [
            shared.control.dump(),
            shared.platform.dump(),
            shared.peer.dump(),
            shared.probe.dump(),
            shared.claims.dump(),
        ],
        "kv_calls": **shared.kv_calls.load(),
    })
}
