//! One attempt at one upstream, up to the head of its answer, with all its bookkeeping.

use std::rc::Rc;

use bergamot_ports::CallerDialect;
use bergamot_quarantine::BreakCause;
use bergamot_routing::{DispatchedRequest, PartitionEvent, RouteUpstream};
use bergamot_types::prelude::*;

use super::FrontContext;
use super::attempt::{AttemptError, OpenReply, SentRequest, send};
use super::breaks::{CallerLeftGuard, RunProgress, record_break, record_no_listener};
use super::partition::observe;
use super::plan::{PlannedSend, refund_retry, uncrashed_runs};
use super::quiet::{
    AnswerStage, STALL_CHECK_PERIOD, check_stall, record_given_up, record_received, report_stall,
};
use super::state::CallState;

/// Time between two checks of the deadline of a request to a plain service. A single timer would
/// not do: timers pause while the VM is suspended, but the caller's deadline passes.
const PLAIN_CHECK_PERIOD: Millis = Millis(500);

/// Sends a request once, waits for the head of its answer, and records the outcome.
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
    let time_left = state.deadline.since(front.now());
    state.tried.push(upstream.incarnation.clone());
    state.trace.record_upstream(&upstream.incarnation);
    let dispatched = dispatched_request(front, request, state, upstream);
    let permit = planned.permit;
    let sending = send(
        front,
        request,
        upstream,
        permit,
        dispatched,
        time_left,
        resume_after,
    );
    let guard = CallerLeftGuard::new(front, request, &upstream.incarnation, dispatched.sent_at);
    let (outcome, cause) =
        match await_head(front, request, state, dispatched, upstream, sending).await {
            Ok(outcome) => (outcome, BreakCause::Closed),
            Err(reason) => (Err(AttemptError::Broken(reason)), BreakCause::Stalled),
        };
    // After the deadline nobody waits for the answer, so the attempt is recorded as if the caller
    // had disconnected.
    match &outcome {
        Err(error) if error.may_have_run() && front.now() >= state.deadline => drop(guard),
        _ => guard.finish(),
    }
    count_attempt(front, state, &outcome);
    if let Ok(reply) = &outcome {
        let opened_at = reply.connection.opened_at;
        observe(front, PartitionEvent::Received { opened_at });
    }
    record_attempt(front, state, upstream, &outcome);
    let is_disconnected = matches!(
        (&outcome, cause),
        (Err(AttemptError::Broken(_)), BreakCause::Closed)
    );
    if is_disconnected {
        observe(front, PartitionEvent::Failed(upstream.into()));
        state.disconnected.push(upstream.incarnation.clone());
    }
    let progress = RunProgress::begun(dispatched.sent_at);
    check_for_crash(front, request, state, upstream, progress, &outcome, cause).await;
    let has_arrived = match &outcome {
        Ok(_) => true,
        Err(error) => error.may_have_arrived(),
    };
    state.arrivals += usize::from(has_arrived);
    match has_arrived {
        true => state.retry_taken_at = None,
        false => refund_retry(front, state),
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
    let outcome_label = outcome
        .as_ref()
        .map_or_else(AttemptError::as_str, |_| "answered");
    let attempts = &front.shared.metrics.attempts;
    attempts.with_label_values(&[kind, outcome_label]).inc();
}

/// Checks whether the upstream crashed, if the outcome of the attempt suggests it.
async fn check_for_crash<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    state: &CallState,
    upstream: &RouteUpstream,
    progress: RunProgress,
    outcome: &Result<OpenReply, AttemptError>,
    cause: BreakCause,
) where
    Dialect: 'static,
{
    match outcome {
        Err(AttemptError::NoListener(_)) => {
            let (front, incarnation) = (Rc::clone(front), upstream.incarnation.clone());
            tokio::task::spawn_local(async move { record_no_listener(&front, &incarnation).await });
        }
        Err(error) if error.may_have_run() && front.now() < state.deadline => {
            record_break(front, request, upstream, progress, cause).await;
        }
        _ => {}
    }
}

/// Returns the facts about a request that is about to be sent.
fn dispatched_request<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    upstream: &RouteUpstream,
) -> DispatchedRequest {
    let sent_at = front.now();
    let prompt_tokens = request.call.prompt_tokens();
    let runs = uncrashed_runs(front, &front.shared.view.load(), state) + 1;
    DispatchedRequest {
        sent_at,
        expected_first_event: front.monitor.borrow().expected_first_event(
            upstream,
            prompt_tokens,
            sent_at,
        ),
        is_last: runs >= state.route.max_attempts as usize,
    }
}

/// Waits for the outcome of a sent request. The error states why the wait was abandoned.
async fn await_head<Dialect, Sent>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    dispatched: DispatchedRequest,
    upstream: &RouteUpstream,
    sending: Sent,
) -> Result<Sent::Output, String>
where
    Sent: Future,
{
    let is_engine = upstream.group.is_some();
    let check_period = match is_engine {
        true => STALL_CHECK_PERIOD,
        false => PLAIN_CHECK_PERIOD,
    };
    tokio::pin!(sending);
    loop {
        let timeout = check_period.min(state.deadline.since(front.now()));
        if let Ok(outcome) = tokio::time::timeout(timeout.as_duration(), &mut sending).await {
            return Ok(outcome);
        }
        if front.now() >= state.deadline {
            return Err("no answer head arrived before the deadline".to_owned());
        }
        if is_engine && check_stall(front, upstream, request.call.model.as_ref(), dispatched) {
            record_given_up(front, request, upstream, dispatched, AnswerStage::Head);
            return Err("the upstream is stalled".to_owned());
        }
        if state.route.is_retryable() && front.monitor.borrow().partition.is_silent() {
            return Err("this VM reaches no upstream".to_owned());
        }
    }
}

/// Updates the records of an upstream after an attempt.
fn record_attempt<Dialect>(
    front: &FrontContext<Dialect>,
    state: &mut CallState,
    upstream: &RouteUpstream,
    outcome: &Result<OpenReply, AttemptError>,
) {
    let now = front.now();
    let is_engine = upstream.group.is_some();
    match outcome {
        Ok(_) => record_received(front, &upstream.incarnation),
        Err(error) => {
            let mut monitor = front.monitor.borrow_mut();
            match error {
                // The upstream is healthy; it advertises itself when it accepts requests again.
                AttemptError::HeldBack | AttemptError::BackingOff(_) => return,
                // The engine does not answer: other requests sent there would wait as long in vain.
                AttemptError::NotSent(_) | AttemptError::Misdirected if is_engine => {
                    monitor.record_stall(&upstream.incarnation, now);
                }
                _ => monitor.record_failure(&upstream.incarnation, now),
            }
            if error.may_have_run() {
                state.possible_runs.push(upstream.incarnation.clone());
            }
            if matches!(error, AttemptError::Refused(_)) {
                monitor.lower_limit(&upstream.incarnation, upstream.slots);
            }
            drop(monitor);
            if matches!(
                error,
                AttemptError::NoListener(_) | AttemptError::NotSent(_)
            ) {
                report_stall(front, upstream, true);
            }
        }
    }
}
