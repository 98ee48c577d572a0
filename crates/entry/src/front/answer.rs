//! Answers to callers.

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

/// The body of an answer.
pub type CallerBody = UnsyncBoxBody<Bytes, Infallible>;
/// An answer.
pub type CallerAnswer = Response<CallerBody>;

/// A refusal, with the time to come back after if that is known better than by the table.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// When to come back; zero for what the table says.
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

/// The body of a refusal, in the shape that clients of such APIs expect.
pub fn error_json(kind: ErrorKind, request_id: &RequestId) -> serde_json::Value {
    let row = kind.response();
    let class = match row.status {
        401 | 403 => "authentication_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    serde_json::json!({
        "error": {
            "message": row.message,
            "type": class,
            "code": row.code,
            "param": null,
            "ran": row.ran.as_str(),
            "request_id": request_id,
        }
    })
}

/// The answer to a refused request.
pub fn refuse(refusal: Refusal, request_id: &RequestId) -> CallerAnswer {
    let row = refusal.kind.response();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = error_json(refusal.kind, request_id).to_string();
    let mut answer = whole(status, "application/json", Bytes::from(body));
    let headers = answer.headers_mut();
    headers.insert(RAN, HeaderValue::from_static(row.ran.as_str()));
    let seconds = match refusal.retry_after {
        Millis::ZERO => row.retry_after_secs,
        wait => wait.0.div_ceil(1_000),
    };
    if row.retry_after_secs > 0 && seconds > 0 {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    // The rest of the body was not read: the connection ends here, and the caller is told so.
    if matches!(
        refusal.kind,
        ErrorKind::TooLarge | ErrorKind::RequestTimeout
    ) {
        end_connection(&mut answer);
    }
    name_request(&mut answer, request_id);
    answer
}

/// An answer with a known body.
pub fn whole(status: StatusCode, content_type: &str, body: Bytes) -> CallerAnswer {
    let mut answer = Response::new(Full::new(body).boxed_unsync());
    *answer.status_mut() = status;
    set_content_type(&mut answer, content_type);
    answer
}

/// An answer whose body comes in pieces.
pub fn streamed<Pieces>(
    status: StatusCode,
    content_type: &str,
    first: Bytes,
    rest: Pieces,
) -> CallerAnswer
where
    Pieces: futures::Stream<Item = Bytes> + Send + 'static,
{
    let pieces = futures::stream::iter([first]).chain(rest);
    let frames = pieces.map(|piece| Ok::<_, Infallible>(Frame::data(piece)));
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    *answer.status_mut() = status;
    set_content_type(&mut answer, content_type);
    answer
}

/// Says that no request is taken on this connection after the answer.
pub fn end_connection(answer: &mut CallerAnswer) {
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(CONNECTION, close);
}

/// Says that the request ran.
pub fn mark_ran(answer: &mut CallerAnswer) {
    let yes = HeaderValue::from_static(RanState::Yes.as_str());
    answer.headers_mut().insert(RAN, yes);
}

/// Says that the answer is a kept one.
pub fn mark_replayed(answer: &mut CallerAnswer) {
    let yes = HeaderValue::from_static("true");
    answer.headers_mut().insert(REPLAYED, yes);
}

/// Names the request in its answer.
pub fn name_request(answer: &mut CallerAnswer, request_id: &RequestId) {
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        answer.headers_mut().insert(REQUEST_ID, value);
    }
}

fn set_content_type(answer: &mut CallerAnswer, content_type: &str) {
    if let Ok(value) = HeaderValue::from_str(content_type) {
        answer.headers_mut().insert(CONTENT_TYPE, value);
    }
}
