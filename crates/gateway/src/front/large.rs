//! Answers that are too large to be held: passed on as they arrive, as fast as the caller reads.

use std::rc::Rc;
use std::time::Duration;

use bergamot_ports::CallerDialect;
use bergamot_quarantine::BreakCause;
use bergamot_types::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::FrontContext;
use super::answer::{AnswerBody, AnswerMessage, CallerAnswer, streamed_body};
use super::attempt::{OpenReply, SentRequest};
use super::breaks::{CallerLeftGuard, RunProgress, record_break};
use super::deadline::{DeadlinePassed, with_deadline};
use super::held::{HeldBody, HeldTotal, ReplyBody};
use super::state::CallState;

/// Number of pieces buffered for a slow caller before back pressure reaches the upstream.
const PIECE_BUFFER_SIZE: usize = 1;
/// Time without a byte taken by its caller after which an answer is given up if others need its memory.
const UNREAD_TIME: Duration = Duration::from_secs(1);

/// How an answer ended that was passed on as it arrived.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum LargeEnd {
    /// The whole answer was passed on.
    Whole,
    /// The upstream broke off.
    Broken(String),
    /// The caller disconnected.
    CallerLeft,
    /// The caller read nothing while the memory for answers was used up.
    CallerStalled,
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
            Self::CallerStalled => "caller_stalled",
            Self::DeadlinePassed => "deadline_exceeded_after_send",
        }
    }
}

/// Returns the body of an answer that begins with `beginning` and goes on with what arrives on
/// `rest`. `finish` records the end.
pub fn pass_on<Dialect, Finish, Finishing>(
    front: &FrontContext<Dialect>,
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
    let (clock, held) = (front.shared.clock, front.held.clone());
    tokio::task::spawn_local(async move {
        let passing = relay_pieces(&sender, &held, beginning, rest);
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
        let _ = match last_message {
            // Fails if the caller has disconnected.
            AnswerMessage::End => sender.send(AnswerMessage::End).await.is_ok(),
            // A channel that closes without an end breaks the answer off, too.
            message => sender.try_send(message).is_ok(),
        };
    });
    streamed_body(receiver)
}

async fn relay_pieces(
    sender: &mpsc::Sender<AnswerMessage>,
    held: &HeldTotal,
    beginning: Bytes,
    mut rest: ReplyBody,
) -> LargeEnd {
    match reserve_place(sender, held).await {
        Ok(place) => place.send(AnswerMessage::Chunk(beginning)),
        Err(end) => return end,
    }
    loop {
        // The next piece is read once there is a place for it.
        let place = match reserve_place(sender, held).await {
            Ok(place) => place,
            Err(end) => return end,
        };
        let frame = tokio::select! {
            frame = rest.frame() => frame,
            () = sender.closed() => return LargeEnd::CallerLeft,
        };
        let data = match frame {
            None => return LargeEnd::Whole,
            Some(Err(error)) => return LargeEnd::Broken(error.to_string()),
            Some(Ok(frame)) => frame.into_data(),
        };
        if let Ok(data) = data {
            place.send(AnswerMessage::Chunk(held.hold(data)));
        }
    }
}

/// Waits until the caller's connection takes another piece. Gives up a caller that takes none while the memory for
/// answers is used up.
async fn reserve_place<'a>(
    sender: &'a mpsc::Sender<AnswerMessage>,
    held: &HeldTotal,
) -> Result<mpsc::Permit<'a, AnswerMessage>, LargeEnd> {
    loop {
        match tokio::time::timeout(UNREAD_TIME, sender.reserve()).await {
            Ok(Ok(place)) => return Ok(place),
            Ok(Err(_)) => return Err(LargeEnd::CallerLeft),
            Err(_) if held.is_full() => return Err(LargeEnd::CallerStalled),
            Err(_) => {}
        }
    }
}

/// Passes on an answer that is too large to be held, and records its end.
pub fn pass_on_reply<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &Rc<SentRequest>,
    state: &CallState,
    reply: OpenReply,
    beginning: HeldBody,
    guard: CallerLeftGuard<Dialect>,
) -> CallerAnswer
where
    Dialect: CallerDialect + 'static,
{
    let OpenReply {
        upstream,
        head,
        facts,
        body: rest,
        connection,
        run,
        flight,
        ..
    } = reply;
    let headers = front.dialect.answer_headers(&head);
    let is_failure = head.status.is_server_error();
    let id = upstream.incarnation.clone();
    let (front, request) = (Rc::clone(front), Rc::clone(request));
    let passing_front = Rc::clone(&front);
    let kind = state.route.kind;
    let arrived = state.arrived;
    let finish = async move |end: LargeEnd| {
        drop(flight);
        log::info!(
            "event=large_answer_ended request={} upstream={} outcome={} waited={}",
            request.call.id,
            upstream.incarnation,
            end.as_str(),
            front.now().since(arrived)
        );
        let outcome = match end {
            LargeEnd::Whole if is_failure => "upstream_failure",
            _ => end.as_str(),
        };
        front.count_outcome(kind, outcome);
        match end {
            LargeEnd::Whole => {
                guard.finish();
                let mut monitor = front.monitor.borrow_mut();
                match is_failure {
                    true => monitor.record_failure(&upstream.incarnation, front.now()),
                    false => monitor.record_success(&upstream),
                }
                drop(monitor);
                front
                    .pool
                    .give_back(&upstream.incarnation, connection, facts.keep_alive);
            }
            LargeEnd::Broken(_) => {
                guard.finish();
                drop(connection);
                let now = front.now();
                front
                    .monitor
                    .borrow_mut()
                    .record_failure(&upstream.incarnation, now);
                let progress = RunProgress::begun(run.sent_at);
                record_break(&front, &request, &upstream, progress, BreakCause::Closed).await;
            }
            LargeEnd::DeadlinePassed => {
                drop((connection, guard));
                let now = front.now();
                front
                    .monitor
                    .borrow_mut()
                    .record_failure(&upstream.incarnation, now);
            }
            LargeEnd::CallerLeft | LargeEnd::CallerStalled => drop((connection, guard)),
        }
    };
    let body = pass_on(
        &passing_front,
        state.deadline,
        beginning.into_bytes(),
        rest,
        finish,
    );
    let mut answer = CallerAnswer::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = headers;
    answer.extensions_mut().insert(id);
    answer
}
