//! Builds HTTP responses to callers.

use std::convert::Infallible;

use bergamot_engine::headers::{RAN, REPLAYED, REQUEST_ID};
use bergamot_types::prelude::*;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The body of a response to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, Infallible>;
/// A response to a caller.
pub type CallerResponse = Response<CallerBody>;

/// A rejection of a request, with a retry delay if a better one is known than that of [`ErrorKind::response`].
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// The reason for the rejection.
    pub kind: ErrorKind,
    /// Delay after which the caller may retry. Zero selects the default delay of `kind`.
    pub retry_after: Millis,
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: Millis::ZERO,
        }
    }
}

/// Returns the JSON body of an error response, in the format that clients of completion APIs expect.
pub fn error_body(kind: ErrorKind, request_id: &RequestId) -> serde_json::Value {
    let defaults = kind.response();
    let error_type = match defaults.status {
        401 | 403 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    serde_json::json!({
        "error": {
            "message": defaults.message,
            "type": error_type,
            "code": defaults.code,
            "param": null,
            "ran": defaults.ran.as_str(),
            "request_id": request_id,
        }
    })
}

/// Builds the response to a rejected request.
pub fn error_response(refusal: Refusal, request_id: &RequestId) -> CallerResponse {
    let defaults = refusal.kind.response();
    let status = StatusCode::from_u16(defaults.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = error_body(refusal.kind, request_id).to_string();
    let mut response = full_response(status, "application/json", Bytes::from(body));
    let headers = response.headers_mut();
    headers.insert(RAN, HeaderValue::from_static(defaults.ran.as_str()));
    let seconds = match refusal.retry_after {
        Millis::ZERO => defaults.retry_after_secs,
        delay => delay.0.div_ceil(1_000),
    };
    if defaults.retry_after_secs > 0 && seconds > 0 {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    // The rest of the request body was not read, so the connection cannot be reused. Announces the close to the caller.
    if matches!(
        refusal.kind,
        ErrorKind::TooLarge | ErrorKind::RequestTimeout | ErrorKind::MemoryFull
    ) {
        set_connection_close(&mut response);
    }
    set_request_id(&mut response, request_id);
    response
}

/// Builds a response whose body is known in full.
pub fn full_response(status: StatusCode, content_type: &str, body: Bytes) -> CallerResponse {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = status;
    set_content_type(&mut response, content_type);
    response
}

/// Builds a response whose body is streamed in chunks.
pub fn streaming_response<Chunks>(
    status: StatusCode,
    content_type: &str,
    first: Bytes,
    rest: Chunks,
) -> CallerResponse
where
    Chunks: futures::Stream<Item = Bytes> + Send + 'static,
{
    let chunks = futures::stream::iter([first]).chain(rest);
    let frames = chunks.map(|chunk| Ok::<_, Infallible>(Frame::data(chunk)));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    set_content_type(&mut response, content_type);
    response
}

/// Announces that the connection accepts no more requests after this response.
pub fn set_connection_close(response: &mut CallerResponse) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// Marks the response as coming from a request that ran.
pub fn mark_ran(response: &mut CallerResponse) {
    let value = HeaderValue::from_static(RanState::Yes.as_str());
    response.headers_mut().insert(RAN, value);
}

/// Marks the response as the replay of a stored answer.
pub fn mark_replayed(response: &mut CallerResponse) {
    let value = HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED, value);
}

/// Sets the request id in the response headers.
pub fn set_request_id(response: &mut CallerResponse, request_id: &RequestId) {
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}

fn set_content_type(response: &mut CallerResponse, content_type: &str) {
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
}
