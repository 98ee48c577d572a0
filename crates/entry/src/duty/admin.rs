//! The admin duty: health, metrics and the dump.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::shared::{ClaimsFront, ControlInbox, SharedState};

/// How long another duty has to give its part of the dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves until the task is dropped.
pub async fn run(shared: Arc<SharedState>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let shared = Arc::clone(&shared);
                async move { answer(&shared, &request).await }
            });
            let builder = Builder::new(TokioExecutor::new());
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(
    shared: &Arc<SharedState>,
    request: &Request<Incoming>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let (status, kind, body) = match request.uri().path() {
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
    let kind = hyper::header::HeaderValue::from_static(kind);
    response.headers_mut().insert("content-type", kind);
    Ok(response)
}

/// Why this VM should get no callers; none if it should.
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
    let (control, control_reply) = oneshot::channel();
    shared.control.push(ControlInbox::Dump(control));
    let (claims, claims_reply) = oneshot::channel();
    shared.claims.push(ClaimsFront::Dump(claims));
    let part = |reply: oneshot::Receiver<serde_json::Value>| async {
        let reply = tokio::time::timeout(DUMP_TIMEOUT, reply).await;
        reply.ok().and_then(Result::ok)
    };
    let now = shared.clock.now();
    serde_json::json!({
        "now_ms": now.0,
        "incarnation": shared.incarnation,
        "is_stopping": shared.is_stopping(),
        "in_flight": shared.in_flight.load(Ordering::Relaxed),
        "control": part(control_reply).await,
        "claims": part(claims_reply).await,
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
