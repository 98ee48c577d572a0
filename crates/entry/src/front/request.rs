//! Reads and validates callers' requests.

use std::sync::Arc;

use bergamot_bundle::document::is_allowed;
use bergamot_bundle::roll::ActiveBundle;
use bergamot_bundle::{AccountSpec, BundleDigest};
use bergamot_engine::headers::{DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID, RUN};
use bergamot_gateway::body::read_body;
use bergamot_gateway::discard::discard_rest;
use bergamot_quarantine::RequestPrint;
use bergamot_types::prelude::*;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Method, Request};

use super::FrontContext;
use crate::settings::TuningSettings;

/// The longest accepted request id or idempotency key.
const MAX_NAME_BYTES: usize = 256;

/// A request whose body was received in full.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request id.
    pub id: RequestId,
    /// The HTTP method.
    pub method: Method,
    /// The path of the URI.
    pub path: String,
    /// The query of the URI, without the question mark.
    pub query: Option<String>,
    /// The request headers.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// When the request head arrived.
    pub arrived_at: Millis,
    /// When the caller no longer needs the answer.
    pub deadline: Millis,
    /// The idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
    /// Whether the caller requires that the request runs at most once.
    pub at_most_once: bool,
}

impl CallerRequest {
    /// Returns the fingerprint that is equal for every copy of the request.
    pub fn print(&self, account: &ClientAccount) -> RequestPrint {
        let path = match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        };
        RequestPrint::of(Some(account), &path, &self.body)
    }
}

/// Returns the caller's request id if it is valid, else a new random id.
pub fn request_id(headers: &HeaderMap) -> RequestId {
    let caller_id = header_text(headers, REQUEST_ID).filter(|id| is_valid_name(id));
    match caller_id {
        Some(id) => RequestId::new(id),
        None => RequestId::from(format!("req-{:032x}", rand::random::<u128>())),
    }
}

fn is_valid_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(|b| b.is_ascii_graphic())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads a request and its body.
///
/// # Errors
/// When the body is too large, does not arrive in time or breaks off, or a header is invalid.
pub async fn read(
    context: &FrontContext,
    request: Request<Incoming>,
    id: RequestId,
) -> Result<CallerRequest, ErrorKind> {
    let shared = &context.shared;
    let tuning = &shared.settings.tuning;
    let arrived_at = shared.clock.now();
    let (head, mut body) = request.into_parts();
    let deadline = arrived_at + parse_deadline(&head.headers, tuning)?;
    let idempotency_key = match head.headers.get(IDEMPOTENCY_KEY) {
        None => None,
        Some(value) => {
            let key = value.to_str().map_err(|_| ErrorKind::BadRequest)?;
            if !is_valid_name(key) {
                return Err(ErrorKind::BadRequest);
            }
            Some(key.to_owned())
        }
    };
    let at_most_once = match header_text(&head.headers, RUN) {
        None => false,
        Some("at-most-once") => true,
        Some(_) => return Err(ErrorKind::BadRequest),
    };
    let reading = read_body(&context.bodies, &mut body, tuning.max_body_bytes);
    let read = tokio::time::timeout(tuning.body_timeout.as_duration(), reading).await;
    let body = match read.unwrap_or(Err(ErrorKind::RequestTimeout)) {
        Ok(body) => body.into_contiguous(),
        Err(kind) => {
            tokio::spawn(discard_rest(body));
            return Err(kind);
        }
    };
    Ok(CallerRequest {
        id,
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().map(str::to_owned),
        headers: head.headers,
        body,
        arrived_at,
        deadline,
        idempotency_key,
        at_most_once,
    })
}

fn parse_deadline(headers: &HeaderMap, tuning: &TuningSettings) -> Result<Millis, ErrorKind> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(tuning.default_deadline);
    };
    let value = value.to_str().map_err(|_| ErrorKind::BadRequest)?;
    let deadline_ms: u64 = value.parse().map_err(|_| ErrorKind::BadRequest)?;
    Ok(Millis(deadline_ms).min(tuning.max_deadline))
}

/// Returns the account that the request's bearer token belongs to.
///
/// # Errors
/// [`ErrorKind::Unauthorized`] if the token is missing or unknown.
pub fn authenticate<'a>(
    headers: &HeaderMap,
    active_bundle: &'a ActiveBundle,
) -> Result<&'a AccountSpec, ErrorKind> {
    let token = header_text(headers, AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(ErrorKind::Unauthorized)?;
    let token_hash = BundleDigest::of(token.trim().as_bytes()).to_string();
    let mut accounts = active_bundle.document.accounts.iter();
    accounts
        .find(|account| account.token_sha256.eq_ignore_ascii_case(&token_hash))
        .ok_or(ErrorKind::Unauthorized)
}

/// Returns the active bundle.
///
/// # Errors
/// [`ErrorKind::NoBundle`] if no bundle is active yet.
pub fn bundle(context: &FrontContext) -> Result<Arc<ActiveBundle>, ErrorKind> {
    let view = context.shared.view.load();
    view.active_bundle.clone().ok_or(ErrorKind::NoBundle)
}

/// Checks that an account is on a list of allowed accounts.
///
/// # Errors
/// [`ErrorKind::Forbidden`] if the account is not on the list.
pub fn allow(accounts: &[ClientAccount], account: &AccountSpec) -> Result<(), ErrorKind> {
    match is_allowed(accounts, &account.name) {
        true => Ok(()),
        false => Err(ErrorKind::Forbidden),
    }
}
