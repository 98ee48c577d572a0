//! One try at one upstream until the head of its answer, with all the accounts kept.

use std::rc::Rc;

use bergamot_ports::CallerDialect;
use bergamot_quarantine::BreakCause;
use bergamot_routing::{DispatchedRequest, RouteUpstream};
use bergamot_types::prelude::*;

use super::FrontContext;
use super::attempt::{AttemptError, OpenReply, SentRequest, send};
use super::breaks::{LeftGuard, note_break, note_no_listener};
use super::plan::{PlannedSend, give_repeat_back, runs_that_count};
use super::quiet::{LOOK_PERIOD, look_quiet, report_quiet};
use super::state::CallState;

/// Time between two looks at the deadline of a request to a plain service: timers stand still while the VM is suspended,
/// and its caller goes on.
const PLAIN_LOOK: Millis = Millis(500);

/// Sends a request once and waits for the head of its answer, with all the accounts kept.
pub async fn open<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    state: &mut CallState,
    planned: &PlannedSend,
    resume_after: Option<u64>,
) -> Result<OpenReply, AttemptError>
where
    Dialect: CallerDialect + 'static,
{
    let upstream = &planned.upstream;
    let left = state.deadline.since(front.now());
    state.tried.push(upstream.incarnation.clone());
    state.trace.note_sent(&upstream.incarnation);
    let run = sent_run(front, request, state, upstream);
    let permit = planned.permit;
    let sent = send(front, request, upstream, permit, run, left, resume_after);
    let guard = LeftGuard::new(front, request, &upstream.incarnation);
    let (outcome, cause) = match await_head(front, request, state, run, upstream, sent).await {
        Ok(outcome) => (outcome, BreakCause::Closed),
        Err(reason) => (Err(AttemptError::Broken(reason)), BreakCause::Stalled),
    };
    // Past the deadline nobody waits for it, as if its caller had left.
    match &outcome {
        Err(error) if error.may_have_run() && front.now() >= state.deadline => drop(guard),
        _ => guard.end(),
    }
    count_attempt(front, state, &outcome);
    note_tried(front, state, upstream, &outcome);
    let is_closed = matches!(
        (&outcome, cause),
        (Err(AttemptError::Broken(_)), BreakCause::Closed)
    );
    if is_closed {
        state.disconnected.push(upstream.incarnation.clone());
    }
    look_for_end(front, request, state, upstream, &outcome, cause).await;
    let has_arrived = match &outcome {
        Ok(_) => true,
        Err(error) => error.may_have_arrived(),
    };
    state.arrivals += usize::from(has_arrived);
    match has_arrived {
        true => state.retry_taken_at = None,
        false => give_repeat_back(front, state),
    }
    if outcome.is_ok() {
        state.possible_runs.push(upstream.incarnation.clone());
    }
    outcome
}

fn count_attempt<Dialect>(
    front: &FrontContext<Dialect>,
    state: &CallState,
    outcome: &Result<OpenReply, AttemptError>,
) {
    let kind = state.route.kind.as_str();
    let name = outcome
        .as_ref()
        .map_or_else(AttemptError::as_str, |_| "answered");
    let attempts = &front.shared.metrics.attempts;
    attempts.with_label_values(&[kind, name]).inc();
}

/// Finds out whether the upstream has ended, where a try at it suggests that.
async fn look_for_end<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    state: &CallState,
    upstream: &RouteUpstream,
    outcome: &Result<OpenReply, AttemptError>,
    cause: BreakCause,
) where
    Dialect: 'static,
{
    match outcome {
        Err(AttemptError::NoListener(_)) => {
            let (front, incarnation) = (Rc::clone(front), upstream.incarnation.clone());
            tokio::task::spawn_local(async move { note_no_listener(&front, &incarnation).await });
        }
        Err(error) if error.may_have_run() && front.now() < state.deadline => {
            note_break(front, request, upstream, 0, cause).await;
        }
        _ => {}
    }
}

/// What is known of a request that is about to be sent.
fn sent_run<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    upstream: &RouteUpstream,
) -> DispatchedRequest {
    let sent_at = front.now();
    let prompt = request.call.prompt_tokens();
    let runs = runs_that_count(front, &front.shared.view.load(), state) + 1;
    DispatchedRequest {
        sent_at,
        expected_first_event: front
            .monitor
            .borrow()
            .expected_first_event(upstream, prompt, sent_at),
        is_last: runs >= state.route.max_attempts as usize,
    }
}

/// Waits for what comes of a request that is sent. The error says why it was given up.
async fn await_head<Dialect, Sent>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    run: DispatchedRequest,
    upstream: &RouteUpstream,
    sent: Sent,
) -> Result<Sent::Output, String>
where
    Sent: Future,
{
    let is_engine = upstream.group.is_some();
    let look = match is_engine {
        true => LOOK_PERIOD,
        false => PLAIN_LOOK,
    };
    tokio::pin!(sent);
    loop {
        let pause = look.min(state.deadline.since(front.now()));
        if let Ok(outcome) = tokio::time::timeout(pause.as_duration(), &mut sent).await {
            return Ok(outcome);
        }
        if front.now() >= state.deadline {
            return Err("no answer before the deadline".to_owned());
        }
        if is_engine && look_quiet(front, upstream, request.call.model.as_ref(), run) {
            return Err("nothing comes from it".to_owned());
        }
    }
}

/// Keeps the accounts of an upstream after a try at it.
fn note_tried<Dialect>(
    front: &FrontContext<Dialect>,
    state: &mut CallState,
    upstream: &RouteUpstream,
    outcome: &Result<OpenReply, AttemptError>,
) {
    let now = front.now();
    let is_engine = upstream.group.is_some();
    let mut book = front.monitor.borrow_mut();
    match outcome {
        Ok(_) => book.record_progress(&upstream.incarnation, now),
        Err(error) => {
            match error {
                // It is sound, and says itself when to come back.
                AttemptError::HeldBack | AttemptError::BackingOff(_) => return,
                // Nothing answers there: others will wait as long in vain.
                AttemptError::NotSent(_) | AttemptError::Misdirected if is_engine => {
                    book.record_stall(&upstream.incarnation, now);
                }
                _ => book.record_failure(&upstream.incarnation, now),
            }
            if error.may_have_run() {
                state.possible_runs.push(upstream.incarnation.clone());
            }
            if matches!(error, AttemptError::Refused(_)) {
                book.lower_limit(&upstream.incarnation, upstream.slots);
            }
            if matches!(
                error,
                AttemptError::NoListener(_) | AttemptError::NotSent(_)
            ) {
                report_quiet(front, upstream, true);
            }
        }
    }
}
