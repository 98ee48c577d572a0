//! Requests at silent upstreams, which are also sent to another one.
//!
//! Silence does not show that an upstream has failed: it may go on a moment later. The attempt there
//! is kept until another one makes progress, and the first to do so wins. While no other upstream
//! takes the request, the VM waits for the silent one until the deadline.

use std::rc::Rc;

use bergamot_ports::CallerDialect;
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;
use futures::future::{LocalBoxFuture, select_all};

use super::FrontContext;
use super::attempt::{AttemptError, SentRequest};
use super::forward::send::{ForwardOutcome, forward, must_forward, record_run};
use super::open::{PendingReply, RunningAttempt};
use super::plan::{PlannedSend, UpstreamScope, arrived_reason, plan, uncrashed_runs};
use super::quiet::{AnswerStage, STALL_CHECK_PERIOD, check_stall};
use super::refusal::CallRefusal;
use super::retry::refund_retry;
use super::state::CallState;

/// Time between two checks of the deadline of a request to a plain service. A single timer would
/// not do: timers pause while the VM is suspended, but the caller's deadline passes.
const PLAIN_CHECK_PERIOD: Millis = Millis(500);

/// Time between two searches for another upstream while an upstream is silent.
const SEARCH_PERIOD: Millis = Millis(250);

/// How the wait for the attempts of a request ended.
pub enum HedgeEnd<Output> {
    /// An attempt at this upstream made progress. The others were given up.
    Won {
        /// The output of the attempt.
        output: Output,
        /// Number of events that had arrived from its upstream before.
        events: u32,
    },
    /// Another entry VM took the request. All attempts were given up.
    Forwarded(ForwardOutcome),
    /// All attempts failed. Holds the error of the last one.
    Failed(AttemptError),
    /// The deadline passed.
    DeadlinePassed,
}

/// Where else a request is sent.
enum OtherPlace {
    Planned(PlannedSend),
    Forwarded(ForwardOutcome),
    Nowhere(CallRefusal),
}

enum HedgeEvent<Output> {
    Outcome(usize, Result<Output, AttemptError>),
    Place(OtherPlace),
    CheckDue,
}

/// The attempts of a request that are awaited together.
pub struct HedgedRequest<'a, Dialect> {
    /// The state that all requests share.
    pub front: &'a Rc<FrontContext<Dialect>>,
    /// The request.
    pub request: &'a Rc<SentRequest>,
    /// Its state.
    pub state: &'a mut CallState,
    /// The last event that its caller has received.
    pub resume_after: Option<u64>,
}

impl<Dialect> HedgedRequest<'_, Dialect>
where
    Dialect: CallerDialect + 'static,
{
    /// Sends the request to a planned upstream. See [`RunningAttempt::send`].
    pub fn send<Output, Follow>(
        &mut self,
        planned: PlannedSend,
        follow: Follow,
    ) -> RunningAttempt<Dialect, Output>
    where
        Follow: FnOnce(PendingReply) -> LocalBoxFuture<'static, Result<Output, AttemptError>>,
    {
        let (front, request) = (self.front, self.request);
        RunningAttempt::send(
            front,
            request,
            self.state,
            planned,
            self.resume_after,
            follow,
        )
    }

    /// Awaits the first output. Sends the request to further upstreams while all attempts are silent.
    pub async fn first_output<Output, Follow>(
        mut self,
        first: RunningAttempt<Dialect, Output>,
        follow: Follow,
    ) -> HedgeEnd<Output>
    where
        Follow: Fn(PendingReply) -> LocalBoxFuture<'static, Result<Output, AttemptError>>,
    {
        let check_period = match first.upstream.group {
            Some(_) => STALL_CHECK_PERIOD,
            None if first.stage == AnswerStage::Head => PLAIN_CHECK_PERIOD,
            None => STALL_CHECK_PERIOD,
        };
        let mut attempts = vec![first];
        let mut search_at = self.front.now();
        loop {
            if self.front.now() >= self.state.deadline {
                let expired = attempts.into_iter();
                expired.for_each(|attempt| attempt.expire(self.front, self.state));
                return HedgeEnd::DeadlinePassed;
            }
            let are_silent = self.are_silent(&attempts);
            let may_search = are_silent && self.front.now() >= search_at && self.may_send_again();
            match self
                .next_event(&mut attempts, may_search, check_period)
                .await
            {
                HedgeEvent::CheckDue => {}
                HedgeEvent::Place(OtherPlace::Planned(planned)) => {
                    let attempt = self.send(planned, &follow);
                    log::info!(
                        "event=request_hedged request={} upstream={} attempts={}",
                        self.request.call.id,
                        attempt.upstream.incarnation,
                        attempts.len() + 1
                    );
                    attempts.push(attempt);
                }
                HedgeEvent::Place(OtherPlace::Nowhere(refusal)) => {
                    log::debug!(
                        "event=not_hedged request={} kind={}",
                        self.request.call.id,
                        refusal.kind
                    );
                    search_at = self.front.now() + SEARCH_PERIOD;
                }
                HedgeEvent::Place(OtherPlace::Forwarded(outcome)) => {
                    self.give_up_all(attempts);
                    return HedgeEnd::Forwarded(outcome);
                }
                HedgeEvent::Outcome(index, Ok(output)) => {
                    let winner = attempts.swap_remove(index);
                    let events = winner.events;
                    winner.finish(self.front, self.state);
                    self.give_up_all(attempts);
                    return HedgeEnd::Won { output, events };
                }
                HedgeEvent::Outcome(index, Err(error)) => {
                    let failed = attempts.swap_remove(index);
                    let upstream = failed.upstream.clone();
                    failed
                        .fail(self.front, self.request, self.state, &error)
                        .await;
                    if attempts.is_empty() {
                        return HedgeEnd::Failed(error);
                    }
                    log_failed_attempt(self.front, self.request, self.state, &upstream, &error);
                }
            }
        }
    }

    /// Returns what happens next to the attempts. Searches for another upstream meanwhile if
    /// `may_search` is set.
    async fn next_event<Output>(
        &mut self,
        attempts: &mut [RunningAttempt<Dialect, Output>],
        may_search: bool,
        check_period: Millis,
    ) -> HedgeEvent<Output> {
        let now = self.front.now();
        let outcomes = select_all(attempts.iter_mut().map(|attempt| &mut attempt.outcome));
        if !may_search {
            let timeout = check_period.min(self.state.deadline.since(now));
            let outcome = tokio::time::timeout(timeout.as_duration(), outcomes).await;
            return outcome.map_or(HedgeEvent::CheckDue, |(outcome, index, _)| {
                HedgeEvent::Outcome(index, outcome)
            });
        }
        let is_forwarding = must_forward(self.front, self.state);
        let event = tokio::select! {
            biased;
            (outcome, index, _) = outcomes => HedgeEvent::Outcome(index, outcome),
            place = self.other_place() => HedgeEvent::Place(place),
        };
        if let HedgeEvent::Outcome(..) = event {
            // The search may have taken a retry that is not sent any more, and another VM may have
            // sent the request.
            refund_retry(self.front, self.state);
            if is_forwarding {
                record_run(self.state, &VmId::new("unknown"));
            }
        }
        event
    }

    /// Whether all upstreams are stalled, or this VM reaches none. Informs the other VMs of stalls.
    fn are_silent<Output>(&self, attempts: &[RunningAttempt<Dialect, Output>]) -> bool {
        if self.state.route.is_retryable() && self.front.monitor.borrow().partition.is_silent() {
            return true;
        }
        let is_silent = |attempt: &RunningAttempt<Dialect, Output>| {
            let is_judged = attempt.upstream.group.is_some() || attempt.stage != AnswerStage::Head;
            is_judged && check_stall(self.front, self.request, &attempt.upstream, attempt.run)
        };
        // All are checked, as each check informs the other VMs.
        let stalled = attempts.iter().filter(|attempt| is_silent(attempt));
        stalled.count() == attempts.len()
    }

    /// Whether the request may be sent to one more upstream.
    fn may_send_again(&self) -> bool {
        let view = self.front.shared.view.load();
        let runs = uncrashed_runs(self.front, &view, self.state);
        self.state.route.is_retryable() && arrived_reason(self.state, runs).is_none()
    }

    /// Searches for another upstream, or for a VM that reaches upstreams if this one reaches none.
    async fn other_place(&mut self) -> OtherPlace {
        if must_forward(self.front, self.state) {
            let (front, request) = (self.front, self.request);
            match forward(front, request, self.state, self.resume_after).await {
                ForwardOutcome::Refused(refusal) => return OtherPlace::Nowhere(refusal),
                ForwardOutcome::Lost => {
                    return OtherPlace::Nowhere(ErrorKind::UpstreamLost.into());
                }
                ForwardOutcome::NotForwarded => {}
                outcome => return OtherPlace::Forwarded(outcome),
            }
        }
        match plan(self.front, self.request, self.state, UpstreamScope::Sound).await {
            Ok(planned) => OtherPlace::Planned(planned),
            Err(refusal) => OtherPlace::Nowhere(refusal),
        }
    }

    fn give_up_all<Output>(&self, attempts: Vec<RunningAttempt<Dialect, Output>>) {
        for attempt in attempts {
            let is_silent = check_stall(self.front, self.request, &attempt.upstream, attempt.run);
            // A later attempt that had no time to show progress is only cancelled.
            if is_silent || !attempt.is_sent() {
                attempt.give_up(self.front, self.request, self.state);
            }
        }
    }
}

/// Logs an attempt that failed.
pub fn log_failed_attempt<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    upstream: &RouteUpstream,
    error: &AttemptError,
) {
    log::info!(
        "event=attempt_failed request={} print={} parts={} route={} upstream={} attempt={} outcome={} reason=\"{error}\" waited={}",
        request.call.id,
        request.print(),
        request.part_list(),
        state.route.name,
        upstream.incarnation,
        state.sends(),
        error.as_str(),
        front.now().since(state.arrived),
    );
}
