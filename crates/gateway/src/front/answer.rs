//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use tokio::sync::mpsc;

use super::admit::ConnectionReuse;

/// The answer ended early. Closes the caller's connection, so that the answer does not look
/// complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct BrokenAnswer;

/// A message of the task that relays an answer. The answer is complete only if [`Self::End`] was
/// sent: a channel that closes without it breaks the answer off.
#[derive(Debug)]
pub enum AnswerMessage {
    /// A chunk of the body.
    Chunk(Bytes),
    /// The end of the body.
    End,
    /// The body ends early.
    Broken,
}

/// The body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// An answer to a caller.
pub type CallerAnswer = Response<AnswerBody>;

/// A value that lives as long as an answer's body and learns when the whole answer was sent.
pub trait AnswerGuard {
    /// Called when every chunk of the answer was handed to the caller's connection.
    fn mark_sent(&mut self);
}

/// A body that owns a guard until the body was sent or dropped.
pub struct GuardedBody<Guard> {
    body: AnswerBody,
    guard: Guard,
}

impl<Guard> GuardedBody<Guard>
where
    Guard: AnswerGuard,
{
    /// Attaches `guard` to `body`.
    pub fn new(body: AnswerBody, mut guard: Guard) -> Self {
        // An empty body is never polled for a frame.
        if body.is_end_stream() {
            guard.mark_sent();
        }
        Self { body, guard }
    }
}

impl<Guard> Body for GuardedBody<Guard>
where
    Guard: AnswerGuard + Unpin,
{
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.guard.mark_sent();
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

/// Announces that the connection closes after this answer, unless it can be reused.
pub fn set_reuse(answer: &mut CallerAnswer, reuse: ConnectionReuse) {
    if reuse == ConnectionReuse::Closes {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
}

/// Returns a body of known bytes.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that streams the messages of a channel.
pub fn streamed_body(messages: mpsc::Receiver<AnswerMessage>) -> AnswerBody {
    let frames = futures::stream::unfold(Some(messages), |messages| async move {
        let mut messages = messages?;
        match messages.recv().await {
            Some(AnswerMessage::Chunk(bytes)) => Some((Ok(Frame::data(bytes)), Some(messages))),
            Some(AnswerMessage::End) => None,
            Some(AnswerMessage::Broken) | None => Some((Err(BrokenAnswer), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

#[cfg(test)]
mod tests;
