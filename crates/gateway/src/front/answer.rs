//! Answers to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// The answer broke off: its connection is closed, so that it does not look complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct BrokenAnswer;

/// A part of an answer, or its breaking off.
pub type AnswerPiece = Result<Bytes, BrokenAnswer>;

/// The body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// An answer to a caller.
pub type CallerAnswer = Response<AnswerBody>;

/// A body that is known in whole.
pub fn whole_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that comes in pieces.
pub fn relayed_body(pieces: mpsc::Receiver<AnswerPiece>) -> AnswerBody {
    let frames = futures::stream::unfold(pieces, |mut pieces| async move {
        let piece = pieces.recv().await?;
        Some((piece.map(Frame::data), pieces))
    });
    StreamBody::new(frames).boxed_unsync()
}
