//! One attempt at one upstream: from its send to its outcome, with all its bookkeeping.

use std::rc::Rc;

use bergamot_ports::CallerDialect;
use bergamot_quarantine::BreakCause;
use bergamot_routing::{DispatchedRequest, PartitionEvent, RouteUpstream};
use bergamot_types::prelude::*;
use futures::future::LocalBoxFuture;

use super::FrontContext;
use super::attempt::{AttemptError, OpenReply, SentRequest, send};
use super::breaks::{CallerLeftGuard, RunProgress, record_break, record_no_listener};
use super::partition::observe;
use super::plan::{PlannedSend, uncrashed_runs};
use super::quiet::{AnswerStage, record_given_up, record_received, report_stall};
use super::retry::refund_retry;
use super::state::CallState;

/// How an attempt began.
enum AttemptOrigin {
    /// The request is sent. Holds when its retry was taken from the budget, if it is one.
    Sent { retry_taken_at: Option<Millis> },
    /// A stream whose head arrived earlier goes on.
    Streaming,
}

/// An attempt whose outcome is awaited. If it is dropped, its caller counts as disconnected.
pub struct RunningAttempt<Dialect, Output> {
    /// The upstream.
    pub upstream: RouteUpstream,
    /// When the request was sent, and the latency expected then.
    pub run: DispatchedRequest,
    /// What is due from the upstream.
    pub stage: AnswerStage,
    /// Number of events that arrived from the upstream.
    pub events: u32,
    /// The output, or why there is none.
    pub outcome: LocalBoxFuture<'static, Result<Output, AttemptError>>,
    origin: AttemptOrigin,
    guard: CallerLeftGuard<Dialect>,
}

/// A reply whose head is awaited.
pub type PendingReply = LocalBoxFuture<'static, Result<OpenReply, AttemptError>>;

impl<Dialect, Output> RunningAttempt<Dialect, Output>
where
    Dialect: CallerDialect + 'static,
{
    /// Sends a request to a planned upstream. `follow` turns the reply into the attempt's output.
    /// Until its outcome is known, the request counts as run there.
    pub fn send<Follow>(
        front: &Rc<FrontContext<Dialect>>,
        request: &Rc<SentRequest>,
        state: &mut CallState,
        planned: PlannedSend,
        resume_after: Option<u64>,
        follow: Follow,
    ) -> Self
    where
        Follow: FnOnce(PendingReply) -> LocalBoxFuture<'static, Result<Output, AttemptError>>,
    {
        let PlannedSend { upstream, permit } = planned;
        let run = dispatched_request(front, request, state, &upstream);
        let time_left = state.deadline.since(run.sent_at);
        let incarnation = &upstream.incarnation;
        state.trace.record_upstream(incarnation);
        state.tried.push(incarnation.clone());
        state.possible_runs.push(incarnation.clone());
        state.arrivals += 1;
        let guard = CallerLeftGuard::new(front, request, incarnation, run.sent_at);
        let (front, request, target) = (Rc::clone(front), Rc::clone(request), upstream.clone());
        let reply = Box::pin(async move {
            send(
                &front,
                &request,
                &target,
                permit,
                run,
                time_left,
                resume_after,
            )
            .await
        });
        Self {
            upstream,
            run,
            stage: AnswerStage::Head,
            events: 0,
            outcome: follow(reply),
            origin: AttemptOrigin::Sent {
                retry_taken_at: state.retry_taken_at.take(),
            },
            guard,
        }
    }

    /// Awaits the next event of a stream of which `events` have arrived.
    pub fn streaming(
        front: &Rc<FrontContext<Dialect>>,
        request: &Rc<SentRequest>,
        (upstream, run): (RouteUpstream, DispatchedRequest),
        events: u32,
        outcome: LocalBoxFuture<'static, Result<Output, AttemptError>>,
    ) -> Self {
        let progress = RunProgress {
            sent_at: run.sent_at,
            events,
        };
        let guard = CallerLeftGuard::new(front, request, &upstream.incarnation, run.sent_at);
        Self {
            guard: guard.at(progress),
            stage: match events {
                0 => AnswerStage::FirstEvent,
                _ => AnswerStage::NextEvent,
            },
            upstream,
            run,
            events,
            outcome,
            origin: AttemptOrigin::Streaming,
        }
    }

    /// Whether the request was sent by this attempt, so that its outcome is that of the send.
    pub const fn is_sent(&self) -> bool {
        matches!(self.origin, AttemptOrigin::Sent { .. })
    }

    /// Records that the awaited part of the answer arrived.
    pub fn finish(self, front: &FrontContext<Dialect>, state: &CallState) -> RouteUpstream {
        if self.is_sent() {
            count_attempt(front, state, "answered");
        }
        self.guard.finish();
        self.upstream
    }

    /// Records that the attempt failed.
    pub async fn fail(
        self,
        front: &Rc<FrontContext<Dialect>>,
        request: &SentRequest,
        state: &mut CallState,
        error: &AttemptError,
    ) {
        // After the deadline nobody waits for the answer, so the attempt is recorded as if the caller
        // had disconnected.
        match error.may_have_run() && front.now() >= state.deadline {
            true => drop(self.guard),
            false => self.guard.finish(),
        }
        let upstream = &self.upstream;
        record_failed_attempt(front, upstream, error);
        if matches!(error, AttemptError::Broken(_)) {
            observe(front, PartitionEvent::Failed(upstream.into()));
            state.disconnected.push(upstream.incarnation.clone());
        }
        if let AttemptOrigin::Sent { retry_taken_at } = self.origin {
            count_attempt(front, state, error.as_str());
            state.retry_taken_at = retry_taken_at;
            forget_send(front, state, &upstream.incarnation, error);
        }
        let progress = RunProgress {
            sent_at: self.run.sent_at,
            events: self.events,
        };
        check_for_crash(front, request, state, upstream, progress, error).await;
    }

    /// Gives the attempt up for another one, as nothing is received from its upstream.
    pub fn give_up(
        self,
        front: &Rc<FrontContext<Dialect>>,
        request: &Rc<SentRequest>,
        state: &CallState,
    ) {
        let Self {
            upstream,
            run,
            stage,
            events,
            ..
        } = self;
        self.guard.finish();
        if matches!(self.origin, AttemptOrigin::Sent { .. }) {
            count_attempt(front, state, "given_up");
        }
        record_given_up(front, request, &upstream, run, stage);
        // Closes the connection before the upstream is probed for a crash.
        drop(self.outcome);
        let now = front.now();
        let mut monitor = front.monitor.borrow_mut();
        // Not a failure, which the first data would not revoke.
        monitor.record_stall(&upstream.incarnation, now);
        drop(monitor);
        let progress = RunProgress {
            sent_at: run.sent_at,
            events,
        };
        let (front, request) = (Rc::clone(front), Rc::clone(request));
        // A task of its own, as the answer of the other attempt goes on meanwhile.
        tokio::task::spawn_local(async move {
            record_break(&front, &request, &upstream, progress, BreakCause::Stalled).await;
        });
    }

    /// Records that the deadline passed. Nobody waits for the answer any more, as if the caller had
    /// disconnected.
    pub fn expire(self, front: &FrontContext<Dialect>, state: &CallState) {
        if self.is_sent() {
            count_attempt(front, state, "broken");
        }
        let now = front.now();
        let mut monitor = front.monitor.borrow_mut();
        monitor.record_unanswered(&self.upstream.incarnation, now);
    }
}

/// Records that data of the first answer on a connection arrived.
pub fn record_opened<Dialect>(front: &FrontContext<Dialect>, reply: &OpenReply) {
    let opened_at = reply.connection.opened_at;
    observe(front, PartitionEvent::Received { opened_at });
    record_received(front, &reply.upstream.incarnation);
}

fn count_attempt<Dialect>(front: &FrontContext<Dialect>, state: &CallState, outcome: &str) {
    let kind = state.route.kind.as_str();
    let attempts = &front.shared.metrics.attempts;
    attempts.with_label_values(&[kind, outcome]).inc();
}

/// Corrects what was counted when the request was sent, by what the failure shows.
fn forget_send<Dialect>(
    front: &FrontContext<Dialect>,
    state: &mut CallState,
    incarnation: &UpstreamIncarnation,
    error: &AttemptError,
) {
    if !error.may_have_run() {
        let mut runs = state.possible_runs.iter();
        if let Some(index) = runs.rposition(|run| run == incarnation) {
            state.possible_runs.remove(index);
        }
    }
    match error.may_have_arrived() {
        true => state.retry_taken_at = None,
        false => {
            state.arrivals = state.arrivals.saturating_sub(1);
            refund_retry(front, state);
        }
    }
}

/// Checks whether the upstream crashed, if the failure of the attempt suggests it.
async fn check_for_crash<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    state: &CallState,
    upstream: &RouteUpstream,
    progress: RunProgress,
    error: &AttemptError,
) where
    Dialect: 'static,
{
    match error {
        AttemptError::NoListener(_) => {
            let (front, incarnation) = (Rc::clone(front), upstream.incarnation.clone());
            tokio::task::spawn_local(async move { record_no_listener(&front, &incarnation).await });
        }
        AttemptError::Broken(_) if front.now() < state.deadline => {
            record_break(front, request, upstream, progress, BreakCause::Closed).await;
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

/// Updates the records of an upstream after a failed attempt.
fn record_failed_attempt<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    error: &AttemptError,
) {
    let now = front.now();
    let is_engine = upstream.group.is_some();
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
    if matches!(error, AttemptError::Refused(_)) {
        monitor.lower_limit(upstream);
    }
    drop(monitor);
    if matches!(
        error,
        AttemptError::NoListener(_) | AttemptError::NotSent(_)
    ) {
        report_stall(front, upstream, true);
    }
}
