//! Headers of requests to upstreams, and the interpretation of upstream failures.

use bergamot_engine::Error;
use bergamot_engine::headers::{
    DEADLINE, EPOCH, GROUP, IDEMPOTENCY_KEY, PRIORITY, REQUEST_ID, RESUME,
};
use bergamot_routing::{SentOutcome, UpstreamFact};
use bergamot_types::prelude::*;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};

use super::call::CallContext;

/// Returns the headers that are sent to every upstream.
pub fn common_headers(
    call: &CallContext,
    content_type: Option<&HeaderValue>,
    idempotency_key: Option<&str>,
) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(content_type) = content_type {
        headers.insert(CONTENT_TYPE, content_type.clone());
    }
    insert_header(&mut headers, REQUEST_ID, call.spec.id.as_str());
    insert_header(&mut headers, PRIORITY, &call.spec.priority.to_string());
    let time_left = call.spec.deadline.since(call.now());
    insert_header(&mut headers, DEADLINE, &time_left.to_string());
    if let Some(key) = idempotency_key {
        insert_header(&mut headers, IDEMPOTENCY_KEY, key);
    }
    headers
}

/// Adds the headers that state the expected group and epoch and the offset at which the stream resumes.
pub fn group_headers(headers: &mut HeaderMap, fact: &UpstreamFact, offset: u64) {
    insert_header(headers, GROUP, fact.id.as_str());
    insert_header(headers, EPOCH, &fact.epoch.to_string());
    if offset > 0 {
        insert_header(headers, RESUME, &offset.to_string());
    }
}

fn insert_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Classifies an upstream failure by whether the request may have run.
pub fn sent_outcome(error: &Error) -> SentOutcome {
    match error {
        Error::NeverConnected(_) => SentOutcome::NeverConnected,
        Error::RefusedNotRun(_) => SentOutcome::RefusedNotRun,
        Error::Broken(_) | Error::Timeout | Error::Malformed(_) => SentOutcome::Broken,
    }
}

/// Returns the name of a failure in metrics.
pub fn outcome_name(outcome: SentOutcome) -> &'static str {
    match outcome {
        SentOutcome::NeverConnected => "never_connected",
        SentOutcome::RefusedNotRun => "refused_not_run",
        SentOutcome::Broken => "broken",
    }
}

/// Returns the error for an attempt that ended without an answer: the deadline error if the deadline has passed, else
/// the error for a lost upstream.
pub fn deadline_error(call: &CallContext) -> ErrorKind {
    match call.now() >= call.spec.deadline {
        true => ErrorKind::DeadlineAfterSend,
        false => ErrorKind::UpstreamLost,
    }
}
