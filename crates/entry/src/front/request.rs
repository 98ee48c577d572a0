//! A caller's request, read and checked.

use std::sync::Arc;

use bergamot_bundle::document::is_allowed;
use bergamot_bundle::roll::ActiveBundle;
use bergamot_bundle::{AccountSpec, BundleDigest};
use bergamot_engine::headers::{DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID, RUN};
use bergamot_quarantine::RequestPrint;
use bergamot_types::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderMap};
use hyper::{Method, Request};

use super::FrontContext;
use crate::settings::TuningSettings;

/// The longest request id and idempotency key that is taken, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A request whose body has arrived.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its name.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// The query, without the question mark.
    pub query: Option<String>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it came in.
    pub arrived: Millis,
    /// When the answer is of no use any more.
    pub deadline: Millis,
    /// The operation it belongs to, if the caller named it.
    pub idempotency_key: Option<String>,
    /// Whether the caller demands that it runs at most once.
    pub at_most_once: bool,
}

impl CallerRequest {
    /// What is the same however often the request comes.
    pub fn print(&self, account: &ClientAccount) -> RequestPrint {
        let path = match &self.query {
            Some(query) => format!("{}?{query}", self.path),
            None => self.path.clone(),
        };
        RequestPrint::of(Some(account), &path, &self.body)
    }
}

/// The request's name: the caller's own if it is fit to be one, else a new one.
pub fn request_id(headers: &HeaderMap) -> RequestId {
    let given = text(headers, REQUEST_ID).filter(|id| is_name(id));
    match given {
        Some(id) => RequestId::new(id),
        None => RequestId::from(format!("req-{:032x}", rand::random::<u128>())),
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(|b| b.is_ascii_graphic())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Reads a request in full.
///
/// # Errors
/// When the body is too large, too slow or broken, or a header is unfit.
pub async fn read(
    context: &FrontContext,
    request: Request<Incoming>,
    id: RequestId,
) -> Result<CallerRequest, ErrorKind> {
    let shared = &context.shared;
    let tuning = &shared.settings.tuning;
    let arrived = shared.clock.now();
    let (head, body) = request.into_parts();
    let deadline = arrived + deadline_of(&head.headers, tuning)?;
    let idempotency_key = match head.headers.get(IDEMPOTENCY_KEY) {
        None => None,
        Some(value) => {
            let key = value.to_str().map_err(|_| ErrorKind::BadRequest)?;
            if !is_name(key) {
                return Err(ErrorKind::BadRequest);
            }
            Some(key.to_owned())
        }
    };
    let at_most_once = match text(&head.headers, RUN) {
        None => false,
        Some("at-most-once") => true,
        Some(_) => return Err(ErrorKind::BadRequest),
    };
    let collected = Limited::new(body, tuning.max_body_bytes).collect();
    let body = tokio::time::timeout(tuning.body_timeout.as_duration(), collected)
        .await
        .map_err(|_| ErrorKind::RequestTimeout)?
        .map_err(|error| match error.is::<LengthLimitError>() {
            true => ErrorKind::TooLarge,
            false => ErrorKind::BadRequest,
        })?
        .to_bytes();
    Ok(CallerRequest {
        id,
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().map(str::to_owned),
        headers: head.headers,
        body,
        arrived,
        deadline,
        idempotency_key,
        at_most_once,
    })
}

fn deadline_of(headers: &HeaderMap, tuning: &TuningSettings) -> Result<Millis, ErrorKind> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(tuning.default_deadline);
    };
    let value = value.to_str().map_err(|_| ErrorKind::BadRequest)?;
    let wanted: u64 = value.parse().map_err(|_| ErrorKind::BadRequest)?;
    Ok(Millis(wanted).min(tuning.max_deadline))
}

/// The account a request's token belongs to.
///
/// # Errors
/// [`ErrorKind::Unauthorized`] without a known token.
pub fn authenticate<'a>(
    headers: &HeaderMap,
    force: &'a ActiveBundle,
) -> Result<&'a AccountSpec, ErrorKind> {
    let token = text(headers, AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(ErrorKind::Unauthorized)?;
    let hash = BundleDigest::of(token.trim().as_bytes()).to_string();
    let mut accounts = force.document.accounts.iter();
    accounts
        .find(|account| account.token_sha256.eq_ignore_ascii_case(&hash))
        .ok_or(ErrorKind::Unauthorized)
}

/// The bundle in force.
///
/// # Errors
/// [`ErrorKind::NoBundle`] before the first.
pub fn bundle(context: &FrontContext) -> Result<Arc<ActiveBundle>, ErrorKind> {
    let view = context.shared.view.load();
    view.active_bundle.clone().ok_or(ErrorKind::NoBundle)
}

/// Checks that an account is on a list.
///
/// # Errors
/// [`ErrorKind::Forbidden`] if it is not.
pub fn allow(accounts: &[ClientAccount], account: &AccountSpec) -> Result<(), ErrorKind> {
    match is_allowed(accounts, &account.name) {
        true => Ok(()),
        false => Err(ErrorKind::Forbidden),
    }
}
