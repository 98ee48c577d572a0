//! What goes to upstreams with a caller's request.

use bergamot_engine::Error;
use bergamot_engine::headers::{
    DEADLINE, EPOCH, GROUP, IDEMPOTENCY_KEY, PRIORITY, REQUEST_ID, RESUME,
};
use bergamot_routing::{SentOutcome, UpstreamFact};
use bergamot_types::prelude::*;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};

use super::call::CallContext;

/// The headers every upstream gets.
pub fn common_headers(
    call: &CallContext,
    content_type: Option<&HeaderValue>,
    idempotency_key: Option<&str>,
) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(content_type) = content_type {
        headers.insert(CONTENT_TYPE, content_type.clone());
    }
    put(&mut headers, REQUEST_ID, call.spec.id.as_str());
    put(&mut headers, PRIORITY, &call.spec.priority.to_string());
    let left = call.spec.deadline.since(call.now());
    put(&mut headers, DEADLINE, &left.to_string());
    if let Some(key) = idempotency_key {
        put(&mut headers, IDEMPOTENCY_KEY, key);
    }
    headers
}

/// The headers that tell an engine which group is meant and where to go on.
pub fn group_headers(headers: &mut HeaderMap, fact: &UpstreamFact, offset: u64) {
    put(headers, GROUP, fact.id.as_str());
    put(headers, EPOCH, &fact.epoch.to_string());
    if offset > 0 {
        put(headers, RESUME, &offset.to_string());
    }
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// What an upstream's failure says about whether the request ran.
pub fn sent_outcome(error: &Error) -> SentOutcome {
    match error {
        Error::NeverConnected(_) => SentOutcome::NeverConnected,
        Error::RefusedNotRun(_) => SentOutcome::RefusedNotRun,
        Error::Broken(_) | Error::Timeout | Error::Malformed(_) => SentOutcome::Broken,
    }
}

/// The name of a failure in metrics.
pub fn outcome_name(outcome: SentOutcome) -> &'static str {
    match outcome {
        SentOutcome::NeverConnected => "never_connected",
        SentOutcome::RefusedNotRun => "refused_not_run",
        SentOutcome::Broken => "broken",
    }
}

/// The error when the deadline passes during an attempt.
pub fn late(call: &CallContext) -> ErrorKind {
    match call.now() >= call.spec.deadline {
        true => ErrorKind::DeadlineAfterSend,
        false => ErrorKind::UpstreamLost,
    }
}
