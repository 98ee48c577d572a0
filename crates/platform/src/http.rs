//! HTTP calls with a timeout and a bounded size of the answer.

use std::time::Duration;

use bergamot_bounded::status::is_final;
use bergamot_bounded::{BoundedBody, BoundedConnector};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Maximum size of an answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;
/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Reasons why a call returned no usable answer.
#[derive(Clone, Debug, thiserror::Error)]
#[allow(missing_docs)]
pub enum Error {
    #[error("the call budget is used up")]
    BudgetSpent,
    #[error("no connection to {url}: {reason}")]
    Connect { url: String, reason: String },
    #[error("no answer from {url} in time")]
    Timeout { url: String },
    #[error("the answer of {url} broke off: {reason}")]
    Broken { url: String, reason: String },
    #[error("{url} answered {status}: {body}")]
    Status {
        url: String,
        status: u16,
        body: String,
    },
    #[error("the answer of {url} cannot be read: {reason}")]
    Malformed { url: String, reason: String },
}

impl Error {
    /// Whether the call may have taken effect although no usable answer was received.
    pub fn is_ambiguous(&self) -> bool {
        match self {
            Self::BudgetSpent | Self::Connect { .. } => false,
            Self::Status { status, .. } => *status >= 500 && *status != 503,
            Self::Timeout { .. } | Self::Broken { .. } | Self::Malformed { .. } => true,
        }
    }
}

/// An answer with its complete body.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// HTTP/1.1 client with a connection pool, which clones share.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<BoundedConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that gives up connecting after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(BoundedConnector::new(connector));
        Self { client }
    }

    /// Sends a request and returns the answer as soon as its head has arrived, with an unread body.
    ///
    /// # Errors
    /// Returns [`Error::Connect`] only if nothing was sent.
    pub async fn open(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<BoundedBody<Incoming>>, Error> {
        let url = request.uri().to_string();
        let answer = tokio::time::timeout(timeout, self.client.request(request))
            .await
            .map_err(|_| Error::Timeout { url: url.clone() })?;
        match answer {
            Ok(answer) if is_final(answer.status()) => Ok(BoundedBody::of_response(answer)),
            Ok(answer) => Err(Error::Broken {
                url,
                reason: format!("the status {} ends no exchange", answer.status().as_u16()),
            }),
            Err(error) => {
                let reason = root_cause(&error);
                Err(match error.is_connect() {
                    true => Error::Connect { url, reason },
                    false => Error::Broken { url, reason },
                })
            }
        }
    }

    /// Sends a request and reads the complete answer, regardless of its status.
    ///
    /// # Errors
    /// See [`Error`]. The timeout covers both the head and the body of the answer.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpReply, Error> {
        let url = request.uri().to_string();
        let exchange = async {
            let response = self.open(request, timeout).await?;
            let status = response.status();
            let headers = response.headers().clone();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| Error::Broken {
                    url: url.clone(),
                    reason: error.to_string(),
                })?
                .to_bytes();
            Ok(HttpReply {
                status,
                headers,
                body,
            })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(Error::Timeout { url }),
        }
    }

    /// Requests a JSON document.
    ///
    /// # Errors
    /// Also returns [`Error::Status`] if the status is not a success, and [`Error::Malformed`] if
    /// the body cannot be parsed.
    pub async fn get_json<Answer>(&self, url: &str, timeout: Duration) -> Result<Answer, Error>
    where
        Answer: serde::de::DeserializeOwned,
    {
        let request = build(Method::GET, url, Bytes::new())?;
        parse(url, &self.call(request, timeout).await?)
    }

    /// Posts a JSON document and returns the JSON document in the answer.
    ///
    /// # Errors
    /// See [`HttpClient::get_json`].
    pub async fn post_json<Document, Answer>(
        &self,
        url: &str,
        document: &Document,
        timeout: Duration,
    ) -> Result<Answer, Error>
    where
        Document: serde::Serialize + Sync,
        Answer: serde::de::DeserializeOwned,
    {
        let body = serde_json::to_vec(document).map_err(|error| Error::Malformed {
            url: url.to_owned(),
            reason: error.to_string(),
        })?;
        let request = build(Method::POST, url, Bytes::from(body))?;
        parse(url, &self.call(request, timeout).await?)
    }
}

/// Builds a request with a JSON body.
///
/// # Errors
/// Returns [`Error::Malformed`] if `url` is not a valid URL.
pub fn build(method: Method, url: &str, body: Bytes) -> Result<Request<Full<Bytes>>, Error> {
    Request::builder()
        .method(method)
        .uri(url)
        .header("content-type", "application/json")
        .body(Full::new(body))
        .map_err(|error| Error::Malformed {
            url: url.to_owned(),
            reason: error.to_string(),
        })
}

fn parse<Answer>(url: &str, reply: &HttpReply) -> Result<Answer, Error>
where
    Answer: serde::de::DeserializeOwned,
{
    if !reply.status.is_success() {
        let body_start = &reply.body[..reply.body.len().min(200)];
        return Err(Error::Status {
            url: url.to_owned(),
            status: reply.status.as_u16(),
            body: String::from_utf8_lossy(body_start).into_owned(),
        });
    }
    serde_json::from_slice(&reply.body).map_err(|error| Error::Malformed {
        url: url.to_owned(),
        reason: error.to_string(),
    })
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
