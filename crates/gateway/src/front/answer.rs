//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer broke off: its connection is closed, so that it does not look complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct BrokenAnswer;

/// A part of an answer, or its breaking off.
pub type AnswerChunk = Result<Bytes, BrokenAnswer>;

/// The body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// An answer to a caller.
pub type CallerAnswer = Response<AnswerBody>;

/// What lasts until an answer has left, and is told when that was the whole one.
pub trait AnswerGuard {
    /// Every piece of the answer was handed to the caller's connection.
    fn mark_sent(&mut self);
}

/// A body that holds something until it was sent, or dropped.
pub struct GuardedBody<Held> {
    body: AnswerBody,
    held: Held,
}

impl<Held> GuardedBody<Held>
where
    Held: AnswerGuard,
{
    /// Holds `held` for as long as `body` lasts.
    pub fn new(body: AnswerBody, mut held: Held) -> Self {
        // A body without bytes is never asked for a piece.
        if body.is_end_stream() {
            held.mark_sent();
        }
        Self { body, held }
    }
}

impl<Held> Body for GuardedBody<Held>
where
    Held: AnswerGuard + Unpin,
{
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.held.mark_sent();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A body that is known in whole.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that comes in pieces.
pub fn streamed_body(pieces: mpsc::Receiver<AnswerChunk>) -> AnswerBody {
    let frames = futures::stream::unfold(pieces, |mut pieces| async move {
        let piece = pieces.recv().await?;
        Some((piece.map(Frame::data), pieces))
    });
    StreamBody::new(frames).boxed_unsync()
}
