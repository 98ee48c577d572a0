//! Reads and drops the bodies of rejected requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// How long to read the rest of a rejected request's body. Long enough for callers that send the
/// body in pieces to finish it.
pub(crate) const REJECTED_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes read from a rejected request's body while the response is sent.
const MAX_REJECTED_BODY_BYTES: usize = 1 << 20;
/// Maximum number of pieces read from a rejected request's body, however small they are. A piece
/// costs as much time as kilobytes in large ones.
const MAX_REJECTED_BODY_PIECES: usize = 1_024;

/// How the reading of a rejected request's body ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum DiscardEnd {
    /// The whole body was read.
    Whole,
    /// It broke off, or more of it is left.
    Unfinished,
}

/// Reads and drops the rest of a rejected request's body while the response is sent. Closing a
/// connection with unread bytes resets it, and the caller would never see the response.
pub async fn discard_rest(mut body: Incoming) {
    let reading = drop_pieces(&mut body, MAX_REJECTED_BODY_BYTES);
    // The connection closes whether or not the body could be read.
    let _ = tokio::time::timeout(REJECTED_BODY_TIMEOUT, reading).await;
}

/// Reads and drops pieces of a body until its end, or until the bounds are reached.
pub(crate) async fn drop_pieces(body: &mut Incoming, max_bytes: usize) -> DiscardEnd {
    let mut bytes = 0;
    for _ in 0..MAX_REJECTED_BODY_PIECES {
        let Some(frame) = body.frame().await else {
            return DiscardEnd::Whole;
        };
        let Ok(frame) = frame else {
            return DiscardEnd::Unfinished;
        };
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > max_bytes {
            return DiscardEnd::Unfinished;
        }
    }
    DiscardEnd::Unfinished
}
