//! Answers that are too large to be held: passed on as they arrive, as fast as the caller reads.

use bergamot_types::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::answer::{AnswerBody, AnswerMessage, streamed_body};
use super::deadline::{DeadlinePassed, with_deadline};
use super::held::ReplyBody;
use crate::clock::BootClock;

/// Number of pieces buffered for a slow caller before back pressure reaches the upstream.
const PIECE_BUFFER_SIZE: usize = 4;

/// How an answer ended that was passed on as it arrived.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum LargeEnd {
    /// The whole answer was passed on.
    Whole,
    /// The upstream broke off.
    Broken(String),
    /// The caller disconnected.
    CallerLeft,
    /// The request's deadline passed.
    DeadlinePassed,
}

impl LargeEnd {
    /// Returns the outcome's name in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Whole => "ok",
            Self::Broken(_) => "upstream_lost",
            Self::CallerLeft => "caller_left",
            Self::DeadlinePassed => "deadline_exceeded_after_send",
        }
    }
}

/// Returns the body of an answer that begins with `beginning` and goes on with what arrives on
/// `rest`. `finish` records the end.
pub fn pass_on<Finish, Finishing>(
    clock: BootClock,
    deadline: Millis,
    beginning: Bytes,
    rest: ReplyBody,
    finish: Finish,
) -> AnswerBody
where
    Finish: FnOnce(LargeEnd) -> Finishing + 'static,
    Finishing: Future<Output = ()> + 'static,
{
    let (sender, receiver) = mpsc::channel(PIECE_BUFFER_SIZE);
    tokio::task::spawn_local(async move {
        let passing = relay_pieces(&sender, beginning, rest);
        let passed = with_deadline(clock, deadline, passing).await;
        let end = match passed {
            Ok(end) => end,
            Err(DeadlinePassed) => LargeEnd::DeadlinePassed,
        };
        let last_message = match end {
            LargeEnd::Whole => AnswerMessage::End,
            _ => AnswerMessage::Broken,
        };
        finish(end).await;
        // Fails if the caller has disconnected.
        let _ = sender.send(last_message).await;
    });
    streamed_body(receiver)
}

async fn relay_pieces(
    sender: &mpsc::Sender<AnswerMessage>,
    beginning: Bytes,
    mut rest: ReplyBody,
) -> LargeEnd {
    if sender.send(AnswerMessage::Chunk(beginning)).await.is_err() {
        return LargeEnd::CallerLeft;
    }
    loop {
        let frame = tokio::select! {
            frame = rest.frame() => frame,
            () = sender.closed() => return LargeEnd::CallerLeft,
        };
        let data = match frame {
            None => return LargeEnd::Whole,
            Some(Err(error)) => return LargeEnd::Broken(error.to_string()),
            Some(Ok(frame)) => frame.into_data(),
        };
        if let Ok(data) = data
            && sender.send(AnswerMessage::Chunk(data)).await.is_err()
        {
            return LargeEnd::CallerLeft;
        }
    }
}
