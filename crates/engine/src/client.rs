//! Client for engines and plain services.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_bounded::status::is_final;
use bergamot_bounded::{BoundedBody, BoundedConnector};
use bergamot_placement::{EngineReport, VmOrder};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::headers::RAN;

/// Upper bound of the size of a report or an answer to an order.
const MAX_CONTROL_BYTES: usize = 64 << 10;
/// How long an idle connection is kept; shorter than the idle timeout of upstreams.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why an upstream gave no answer. The variant decides whether the request may be retried.
#[derive(Clone, Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum Error {
    #[error("no connection, nothing was sent: {0}")]
    NeverConnected(String),
    #[error("broken after the request was sent: {0}")]
    Broken(String),
    #[error("no answer in time")]
    Timeout,
    #[error("the upstream refused without running the request: {0}")]
    RefusedNotRun(u16),
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
}

/// A caller's request as it is sent to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers sent to the upstream.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// An upstream's answer with its body unread.
pub type UpstreamReply = Response<BoundedBody<Incoming>>;

/// HTTP client with a connection pool that its clones share.
#[derive(Clone)]
pub struct EngineClient {
    client: Client<BoundedConnector, Full<Bytes>>,
}

impl EngineClient {
    /// Creates a client that gives up a connection attempt after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            // If a connection closes during a request, the request may have run. Routing decides
            // whether it is retried.
            .retry_canceled_requests(false)
            .build(BoundedConnector::new(connector));
        Self { client }
    }

    /// Sends a caller's request once.
    ///
    /// # Errors
    /// [`Error::NeverConnected`] and [`Error::RefusedNotRun`] mean that the request did not run.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: UpstreamRequest,
    ) -> Result<UpstreamReply, Error> {
        let uri = format!("http://{addr}{}", request.path);
        let mut outgoing = Request::new(Full::new(request.body));
        *outgoing.method_mut() = request.method;
        *outgoing.uri_mut() = uri
            .parse()
            .map_err(|error| Error::NeverConnected(format!("{error}")))?;
        *outgoing.headers_mut() = request.headers;
        let reply =
            self.client
                .request(outgoing)
                .await
                .map_err(|error| match error.is_connect() {
                    true => Error::NeverConnected(error.to_string()),
                    false => Error::Broken(error.to_string()),
                })?;
        if !is_final(reply.status()) {
            let status = reply.status().as_u16();
            return Err(Error::Broken(format!(
                "the status {status} ends no exchange"
            )));
        }
        let reply = BoundedBody::of_response(reply);
        match is_refused_unrun(&reply) {
            true => Err(Error::RefusedNotRun(reply.status().as_u16())),
            false => Ok(reply),
        }
    }

    /// Fetches an engine's report.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn report(&self, addr: SocketAddr, timeout: Duration) -> Result<EngineReport, Error> {
        let reply = self.send_control(addr, Method::GET, "/engine/state", Bytes::new(), timeout);
        let (status, body) = reply.await?;
        if status != StatusCode::OK {
            return Err(Error::Malformed(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|error| Error::Malformed(error.to_string()))
    }

    /// Sends an order to an engine. Later reports of the engine show its effect.
    ///
    /// # Errors
    /// See [`Error`]; an order with an outdated fencing number fails with
    /// [`Error::RefusedNotRun`].
    pub async fn order(
        &self,
        addr: SocketAddr,
        order: &VmOrder,
        timeout: Duration,
    ) -> Result<(), Error> {
        let body =
            serde_json::to_vec(order).map_err(|error| Error::Malformed(error.to_string()))?;
        let reply = self.send_control(
            addr,
            Method::POST,
            "/engine/orders",
            Bytes::from(body),
            timeout,
        );
        match reply.await? {
            (status, _) if status.is_success() => Ok(()),
            (status, _) => Err(Error::RefusedNotRun(status.as_u16())),
        }
    }

    async fn send_control(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let content_type = HeaderValue::from_static("application/json");
        let mut headers = HeaderMap::new();
        headers.insert(HeaderName::from_static("content-type"), content_type);
        let request = UpstreamRequest {
            method,
            path: path.to_owned(),
            headers,
            body,
        };
        let exchange = async {
            let reply = match self.send(addr, request).await {
                Ok(reply) => reply,
                Err(Error::RefusedNotRun(status)) => {
                    let status = StatusCode::from_u16(status);
                    return Ok((status.unwrap_or(StatusCode::CONFLICT), Bytes::new()));
                }
                Err(error) => return Err(error),
            };
            let status = reply.status();
            let body = Limited::new(reply.into_body(), MAX_CONTROL_BYTES)
                .collect()
                .await
                .map_err(|error| Error::Broken(error.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Error::Timeout),
        }
    }
}

fn is_refused_unrun(reply: &UpstreamReply) -> bool {
    reply
        .headers()
        .get(RAN)
        .is_some_and(|value| value.as_bytes() == b"no")
}
