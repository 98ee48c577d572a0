//! Chooses the next upstream for a request.

use std::sync::Arc;

use bergamot_ports::ServingConfig;
use bergamot_routing::{RouteUpstream, UpstreamChoice, UpstreamCriteria};
use bergamot_types::prelude::*;

use super::FrontContext;
use super::admit::authorize;
use super::attempt::SentRequest;
use super::permits::{SendPermit, obtain};
use super::refusal::{
    CallRefusal, LEAST_RETURN, RETURN_NO_UPSTREAM, RETURN_SPREAD, RETURN_STOPPING,
};
use super::standing::check_standing;
use super::state::CallState;
use crate::view::ClusterView;

/// One part in so many of a route's objective may be spent waiting for an upstream. A refusal
/// that comes later costs the caller its own retry in time.
pub const WAIT_DIVISOR: u64 = 5;

/// Sends that were refused unrun on top of those that may run. Each is a repeat that all entry
/// VMs share a bound for.
pub const MAX_REFUSED_SENDS: usize = 2;

/// Sends in vain, where nothing reached an upstream. Each takes the time for a connection (150 ms), so together
/// they stay within the pause of two seconds after which callers of streams leave.
pub const MAX_VAIN_SENDS: usize = 8;

/// Where a request is sent next.
pub struct PlannedSend {
    /// The upstream.
    pub upstream: RouteUpstream,
    /// That it takes one more request.
    pub permit: SendPermit,
}

/// Chooses the next upstream, or says why there is none.
pub async fn plan<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &mut CallState,
) -> Result<PlannedSend, CallRefusal> {
    let wait_end = state.arrived + Millis(state.route.objective.0 / WAIT_DIVISOR);
    let mut changes = front.shared.view_changed.subscribe();
    loop {
        changes.mark_unchanged();
        let refusal = match plan_now(front, request, state) {
            Ok(upstream) => match obtain(front, request, &upstream).await {
                Some(permit) => return Ok(PlannedSend { upstream, permit }),
                None => {
                    give_repeat_back(front, state);
                    // It is held back now, so another one is chosen, in time for its answer to be in time.
                    match front.now() < wait_end {
                        true => continue,
                        false => paused(None, front.now()),
                    }
                }
            },
            Err(refusal) => refusal,
        };
        let now = front.now();
        let may_wait = refusal.kind == ErrorKind::NoUpstream && now < wait_end;
        if !may_wait {
            return Err(refusal);
        }
        let pause = wait_end.since(now).as_duration();
        let _ = tokio::time::timeout(pause, changes.changed()).await;
    }
}

pub fn plan_now<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &mut CallState,
) -> Result<RouteUpstream, CallRefusal> {
    let now = front.now();
    if now >= state.deadline {
        return Err(ErrorKind::DeadlineBeforeSend.into());
    }
    // Nobody is left to pass its answer on.
    if front.stop.has_ended() {
        return Err(CallRefusal::retry_in(
            ErrorKind::ShuttingDown,
            RETURN_STOPPING,
        ));
    }
    // Since it was admitted its body was waited for, or an upstream: sent on this late, it could be cut.
    let answer_end = front.stop.answer_end(now);
    if state.sends() == 0 && answer_end.is_some_and(|end| state.deadline > end) {
        return Err(CallRefusal::retry_in(
            ErrorKind::ShuttingDown,
            RETURN_STOPPING,
        ));
    }
    let view: Arc<ClusterView> = front.shared.view.load_full();
    let config = view.config.as_ref().ok_or(ErrorKind::NoBundle)?;
    check_key(front, config, request, state, now)?;
    let isolation_index = check_standing(front, request, state)?;
    let no_upstream = CallRefusal::retry_in(ErrorKind::NoUpstream, RETURN_NO_UPSTREAM);
    let pool = view.pools.get(&state.service).ok_or(no_upstream)?;
    let upstreams = match &request.call.model {
        Some(model) if !pool.models.is_empty() => pool.models.get(model).ok_or(no_upstream)?,
        _ => &pool.plain,
    };
    let model = request.call.model.as_ref();
    let when_full = || {
        front
            .return_delays
            .borrow()
            .delay_if_full(model, rand::random())
    };
    let refused = CallRefusal::retry_in(ErrorKind::UpstreamRefused, when_full());
    let runs = runs_that_count(front, &view, state);
    if let Some(reason) = spent_by(state, runs) {
        note_not_sent_on(request, state, runs, reason);
        return Err(refused);
    }
    let home = &front.shared.site.failure_domain;
    let book = front.monitor.borrow();
    let ask = UpstreamCriteria {
        home,
        tried: &state.tried,
        idle_connections: &front.pool.idle(),
        has_begun_elsewhere: state.may_have_run(),
        priority: request.priority,
        prompt_tokens: request.call.prompt_tokens(),
        objective: state.route.objective,
        random: rand::random(),
        isolation_index,
    };
    let chosen = match book.choose(upstreams, &ask, now) {
        UpstreamChoice::Chosen(chosen) => chosen,
        UpstreamChoice::Full => {
            log::info!(
                "event=no_room request={} in_flight_and_limits={}",
                request.call.id,
                book.describe(upstreams, now)
            );
            return Err(CallRefusal::retry_in(ErrorKind::Overloaded, when_full()));
        }
        UpstreamChoice::Closed(Some(opens_at)) => {
            log::info!(
                "event=none_open request={} gates={}",
                request.call.id,
                book.describe_gates(upstreams, request.priority, now)
            );
            return Err(paused(Some(opens_at), now));
        }
        UpstreamChoice::Closed(None) => return Err(no_upstream),
        UpstreamChoice::None if state.tried.is_empty() => return Err(no_upstream),
        UpstreamChoice::None => {
            note_not_sent_on(request, state, runs, "no other upstream");
            return Err(refused);
        }
    };
    // What never reached an upstream was no try of it: the next send is the first. Counted as repeats, such sends
    // used the budget up in a failure domain that was cut off, and 332 requests were refused after one of them in
    // seven seconds (195 VMs; counted from the logs of a day). A repeat that reaches none is given back.
    if state.arrivals > 0 {
        let mut budget = front.budget.borrow_mut();
        budget.set_bounds(front.shared.bounds(), view.entries.len());
        if !budget.take(now, &state.service) {
            note_not_sent_on(request, state, runs, "no repeat left");
            return Err(refused);
        }
        state.retry_taken_at = Some(now);
    }
    Ok(chosen.clone())
}

/// Gives a repeat back that is not sent.
pub fn give_repeat_back<Dialect>(front: &FrontContext<Dialect>, state: &mut CallState) {
    if let Some(taken_at) = state.retry_taken_at.take() {
        let mut budget = front.budget.borrow_mut();
        budget.give_back(taken_at, &state.service);
    }
}

/// That no upstream takes the request for now, the first one again at this moment, if that is known.
fn paused(opens_at: Option<Millis>, now: Millis) -> CallRefusal {
    let wait = opens_at.map_or(RETURN_NO_UPSTREAM, |at| at.since(now));
    let spread = Millis(rand::random_range(0..=RETURN_SPREAD.0));
    CallRefusal::retry_in(ErrorKind::UpstreamsPaused, wait.max(LEAST_RETURN) + spread)
}

/// Why a request has been sent often enough, if it has.
fn spent_by(state: &CallState, runs: usize) -> Option<&'static str> {
    let most = state.route.max_attempts as usize;
    if runs >= most {
        return Some("runs");
    }
    if state.arrivals >= most + MAX_REFUSED_SENDS {
        return Some("sends that arrived");
    }
    (state.vain_sends() >= MAX_VAIN_SENDS).then_some("sends in vain")
}

/// Logs what a refusal or a stream that breaks off alone does not tell: which bound a request met.
fn note_not_sent_on(request: &SentRequest, state: &CallState, runs: usize, reason: &str) {
    log::info!(
        "event=not_sent_on request={} reason=\"{reason}\" sends={} arrivals={} runs={runs}",
        request.call.id,
        state.sends(),
        state.arrivals,
    );
}

/// Runs that count against the most upstreams that a request may be sent to: none of those that have ended. The directory
/// names these for some seconds more; going by it alone, 21 streams in half a second were not gone on with for which a
/// third upstream had ended (8 VMs before 54 upstreams; counted from the logs of a day).
pub fn runs_that_count<Dialect>(
    front: &FrontContext<Dialect>,
    view: &ClusterView,
    state: &CallState,
) -> usize {
    let quarantine = front.shared.quarantine.lock();
    // One that only left the directory may run on: it leaves without a word, or is cut off from the store.
    let is_gone = |incarnation: &UpstreamIncarnation| {
        state.disconnected.contains(incarnation) && !view.is_listed(incarnation)
    };
    let runs = state.possible_runs.iter();
    let counted =
        runs.filter(|incarnation| !quarantine.has_crashed(incarnation) && !is_gone(incarnation));
    counted.count()
}

/// Checks the caller's key once more, by the newest configuration, right before sending.
pub fn check_key<Dialect>(
    front: &FrontContext<Dialect>,
    config: &ServingConfig,
    request: &SentRequest,
    state: &CallState,
    now: Millis,
) -> Result<(), CallRefusal> {
    if config.accounts.is_none() || state.route.is_public {
        return Ok(());
    }
    if !front.shared.is_confirmed(now) {
        let kind = ErrorKind::ConfigUnconfirmed;
        let left = state.deadline.since(now);
        let wait = front.outage(now).return_delay(left, rand::random());
        return Err(CallRefusal::retry_in(kind, wait));
    }
    authorize(config, &state.route, &request.call)?;
    Ok(())
}
