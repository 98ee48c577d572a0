//! Chooses the next upstream for a request.

use std::sync::Arc;

use bergamot_routing::{RouteUpstream, UpstreamChoice, UpstreamCriteria, longest_delay};
use bergamot_types::prelude::*;

use super::FrontContext;
use super::admit::authorize;
use super::attempt::SentRequest;
use super::permits::{PermitDenial, SendPermit, obtain_permit};
use super::quiet::STALL_CHECK_PERIOD;
use super::refusal::{
    CallRefusal, EVACUATED_SPREAD, MIN_RETURN_DELAY, RETURN_EVACUATED, RETURN_NO_UPSTREAM,
    RETURN_SPREAD, RETURN_STOPPING, refuse_by_config, refuse_unconfirmed,
};
use super::residency::{allowed_domains, log_homes};
use super::retry::{refund_retry, take_retry};
use super::standing::check_standing;
use super::state::CallState;
use crate::view::{ClusterView, ServicePool};

/// A request may wait for an upstream for the objective of its route divided by this number. After
/// a later rejection the caller could not retry in time.
pub const OBJECTIVE_WAIT_DIVISOR: u64 = 5;

/// A request may wait for room at silent upstreams for the time to its deadline divided by this number.
/// After a later rejection the caller could not be served elsewhere in time.
const SILENCE_WAIT_DIVISOR: u64 = 2;

/// How many sends may be refused before the request ran, in addition to the attempts that may have
/// run. Each counts against the retry budget that all entry VMs share.
pub const MAX_REFUSED_SENDS: usize = 2;

/// How many sends may fail before the request reaches an upstream. Each takes up to the connection
/// timeout (150 ms), so together they stay within the pause of two seconds after which callers of
/// streams disconnect.
pub const MAX_UNREACHED_SENDS: usize = 8;

/// The next send of a request.
pub struct PlannedSend {
    /// The upstream.
    pub upstream: RouteUpstream,
    /// The permit to send to it.
    pub permit: SendPermit,
}

/// Which upstreams a request may be sent to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UpstreamScope {
    /// All, preferably those that are not avoided.
    All,
    /// Those that are not avoided. Others would hardly make progress before the upstream at which
    /// the request is at work.
    Sound,
}

/// Chooses the next upstream, waiting for one if needed. The error states why none was found.
pub async fn plan<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &mut CallState,
    scope: UpstreamScope,
) -> Result<PlannedSend, CallRefusal> {
    let wait_until = state.arrived + Millis(state.route.objective.0 / OBJECTIVE_WAIT_DIVISOR);
    let mut changes = front.shared.view_changed.subscribe();
    let mut asking_time = Millis::ZERO;
    let mut left_out: Vec<UpstreamIncarnation> = Vec::new();
    loop {
        changes.mark_unchanged();
        let chosen_at = front.now();
        let refusal = match plan_now(front, request, state, scope, &left_out) {
            Ok(upstream) => match obtain_permit(front, request, &upstream, asking_time).await {
                Ok(permit) => return Ok(PlannedSend { upstream, permit }),
                Err(denial) => {
                    asking_time = asking_time + front.now().since(chosen_at);
                    refund_retry(front, state);
                    if denial == PermitDenial::OutOfTime {
                        left_out.push(upstream.incarnation);
                    }
                    // The upstream backs off now, or is left out. Another one is chosen, unless too
                    // little time is left for its answer. While some upstreams are cold, the others
                    // may have room, also for retries and resumed streams, whose time to wait is over.
                    let may_go_on = denial != PermitDenial::Limited || front.now() < wait_until;
                    match may_go_on {
                        true => continue,
                        false => upstreams_paused(None, front.now()),
                    }
                }
            },
            Err(refusal) => refusal,
        };
        let now = front.now();
        let timeout = match refusal.kind {
            ErrorKind::NoUpstream => wait_until.since(now),
            ErrorKind::Overloaded => silence_wait(front, request, state, now),
            _ => Millis::ZERO,
        };
        if timeout == Millis::ZERO {
            log_homes(front, request, refusal.kind);
            return Err(refusal);
        }
        let _ = tokio::time::timeout(timeout.as_duration(), changes.changed()).await;
    }
}

/// Returns how long a request that finds no room waits until room is looked for again. Zero unless
/// upstreams are full because they are silent, and while little time is left.
fn silence_wait<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    now: Millis,
) -> Millis {
    let view = front.shared.view.load();
    let pool = view.pools.get(&state.service);
    let upstreams = pool.and_then(|pool| pool.upstreams(request.call.model.as_ref()));
    let monitor = front.monitor.borrow();
    let is_silent = upstreams.is_some_and(|pool| monitor.are_mostly_silent(pool, now));
    let total = state.deadline.since(state.arrived);
    let wait_until = state.arrived + Millis(total.0 / SILENCE_WAIT_DIVISOR);
    match is_silent {
        true => wait_until.since(now).min(STALL_CHECK_PERIOD),
        false => Millis::ZERO,
    }
}

/// Chooses the next upstream among those that accept requests now and are not in `left_out`.
fn plan_now<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &mut CallState,
    scope: UpstreamScope,
    left_out: &[UpstreamIncarnation],
) -> Result<RouteUpstream, CallRefusal> {
    let now = front.now();
    check_time(front, state, now)?;
    let view: Arc<ClusterView> = front.shared.view.load_full();
    let config = view.config.as_ref().ok_or(ErrorKind::NoBundle)?;
    check_key(front, &view, request, state, now)?;
    let allowed_domains = allowed_domains(front, config, request)?;
    let allowed_domains = allowed_domains.as_deref();
    let isolation_index = check_standing(front, request, state)?;
    let no_upstream = CallRefusal::retry_in(ErrorKind::NoUpstream, RETURN_NO_UPSTREAM);
    let model = request.call.model.as_ref();
    let pool = view.pools.get(&state.service).ok_or(no_upstream)?;
    let evacuated_refusal = || refuse_evacuated(pool, model, allowed_domains, state, now);
    let Some(upstreams) = pool.upstreams(model) else {
        return Err(evacuated_refusal().unwrap_or(no_upstream));
    };
    let full_delay = || front.delays.borrow().delay_if_full(model, rand::random());
    let refusal = CallRefusal::retry_in(ErrorKind::UpstreamRefused, full_delay());
    let runs = uncrashed_runs(front, &view, state);
    if let Some(reason) = exhausted_reason(state, runs) {
        log_not_sent_on(request, state, runs, reason);
        return Err(refusal);
    }
    let home = &front.shared.site.failure_domain;
    let monitor = front.monitor.borrow();
    let criteria = UpstreamCriteria {
        home,
        tried: &[&state.tried[..], left_out].concat(),
        allowed_domains,
        idle_connections: &front.pool.idle_targets(),
        has_begun_elsewhere: state.may_have_run(),
        must_be_sound: scope == UpstreamScope::Sound,
        priority: request.priority,
        prompt_tokens: request.call.prompt_tokens(),
        objective: state.route.objective,
        random: rand::random(),
        isolation_index,
    };
    let chosen = match monitor.choose(upstreams, &criteria, now) {
        UpstreamChoice::Chosen(chosen) => chosen,
        UpstreamChoice::Full => {
            if silence_wait(front, request, state, now) == Millis::ZERO {
                log::info!(
                    "event=no_room request={} in_flight_and_limits={}",
                    request.call.id,
                    monitor.describe(upstreams, now)
                );
            }
            return Err(CallRefusal::retry_in(ErrorKind::Overloaded, full_delay()));
        }
        UpstreamChoice::Closed(Some(opens_at)) => {
            log::info!(
                "event=none_open request={} gates={}",
                request.call.id,
                monitor.describe_gates(upstreams, request.priority, now)
            );
            return Err(upstreams_paused(Some(opens_at), now));
        }
        UpstreamChoice::Closed(None) | UpstreamChoice::None if !left_out.is_empty() => {
            return Err(upstreams_paused(None, now));
        }
        UpstreamChoice::Closed(None) => return Err(no_upstream),
        UpstreamChoice::None => {
            if let Some(refusal) = evacuated_refusal() {
                return Err(refusal);
            }
            if state.tried.is_empty() {
                return Err(no_upstream);
            }
            if scope == UpstreamScope::Sound {
                return Err(refusal);
            }
            log_not_sent_on(request, state, runs, "no other upstream");
            return Err(refusal);
        }
    };
    // A send that reached no upstream is not an attempt, so the send after it is not a retry. When
    // such sends counted as retries, they used up the budget in a partitioned failure domain, and
    // 332 requests were rejected after one of them within seven seconds (195 VMs). A retry that
    // reaches no upstream is refunded.
    if state.arrivals > 0 {
        let vms = view.entries.len();
        if !take_retry(front, request, state, vms, now) {
            log_not_sent_on(request, state, runs, "no repeat left");
            return Err(refusal);
        }
        state.retry_taken_at = Some(now);
    }
    Ok(chosen.clone())
}

/// Checks that the request's deadline and a shutdown leave time for an answer.
pub fn check_time<Dialect>(
    front: &FrontContext<Dialect>,
    state: &CallState,
    now: Millis,
) -> Result<(), CallRefusal> {
    if now >= state.deadline {
        return Err(ErrorKind::DeadlineBeforeSend.into());
    }
    // The process has stopped serving, so nothing would forward the answer.
    if front.stop.has_ended() {
        return Err(CallRefusal::retry_in(
            ErrorKind::ShuttingDown,
            RETURN_STOPPING,
        ));
    }
    // The request waited for its body or for an upstream since it was admitted. If it were sent
    // this late, the shutdown might abort it.
    let answer_end = front.stop.answer_deadline(now);
    if state.sends() == 0 && answer_end.is_some_and(|end| state.deadline > end) {
        return Err(CallRefusal::retry_in(
            ErrorKind::ShuttingDown,
            RETURN_STOPPING,
        ));
    }
    Ok(())
}

/// Returns the rejection for a request that no upstream accepts at present. `opens_at` is when the
/// first one accepts requests again, if known.
fn upstreams_paused(opens_at: Option<Millis>, now: Millis) -> CallRefusal {
    let wait = opens_at.map_or(RETURN_NO_UPSTREAM, |opens_at| opens_at.since(now));
    let jitter = Millis(rand::random_range(0..=RETURN_SPREAD.0));
    CallRefusal::retry_in(
        ErrorKind::UpstreamsPaused,
        wait.max(MIN_RETURN_DELAY) + jitter,
    )
}

/// Returns the rejection for a request without an untried upstream, if an evacuated failure domain
/// that is allowed for it has some. Waiting would not help, as evacuations last seconds to minutes.
fn refuse_evacuated(
    pool: &ServicePool,
    model: Option<&ModelName>,
    allowed_domains: Option<&[&FailureDomain]>,
    state: &CallState,
    now: Millis,
) -> Option<CallRefusal> {
    let mut domains = pool.evacuated_domains(model).iter();
    let is_allowed = |domain| allowed_domains.is_none_or(|allowed| allowed.contains(&domain));
    let is_evacuated = domains.any(is_allowed);
    is_evacuated.then(|| domains_evacuated(state.deadline.since(now)))
}

/// Returns the rejection for a request whose upstreams are all in evacuated failure domains. The
/// delays of callers differ also where the time left shortens them.
fn domains_evacuated(time_left: Millis) -> CallRefusal {
    let longest = longest_delay(time_left).min(RETURN_EVACUATED + EVACUATED_SPREAD);
    let spread = Millis(longest.0 / 3);
    let delay = longest.since(Millis(rand::random_range(0..=spread.0)));
    CallRefusal::retry_in(ErrorKind::DomainsEvacuated, delay)
}

/// Returns the reason why this VM may not send a request again, if it has used up its sends.
fn exhausted_reason(state: &CallState, runs: usize) -> Option<&'static str> {
    let is_vain = state.unreached_sends() >= MAX_UNREACHED_SENDS;
    arrived_reason(state, runs).or_else(|| is_vain.then_some("sends in vain"))
}

/// Returns the reason why no VM may send a request again, if it has reached upstreams too often.
pub fn arrived_reason(state: &CallState, runs: usize) -> Option<&'static str> {
    let max_attempts = state.route.max_attempts as usize;
    if runs >= max_attempts {
        return Some("runs");
    }
    (state.arrivals >= max_attempts + MAX_REFUSED_SENDS).then_some("sends that arrived")
}

/// Logs the bound that a request met, once in a row. The rejection or the broken stream does not show
/// it.
pub fn log_not_sent_on(
    request: &SentRequest,
    state: &CallState,
    runs: usize,
    reason: &'static str,
) {
    if state.logged_bound.replace(Some(reason)) == Some(reason) {
        return;
    }
    log::info!(
        "event=not_sent_on request={} reason=\"{reason}\" sends={} arrivals={} runs={runs}",
        request.call.id,
        state.sends(),
        state.arrivals,
    );
}

/// Returns how many runs count against the maximum number of upstreams that a request may be sent
/// to. Runs at crashed upstreams do not count. The directory alone does not suffice, as it lists a
/// crashed upstream for some seconds more: 21 streams within half a second were then not resumed
/// because the third upstream of each had crashed (8 VMs in front of 54 upstreams).
pub fn uncrashed_runs<Dialect>(
    front: &FrontContext<Dialect>,
    view: &ClusterView,
    state: &CallState,
) -> usize {
    let quarantine = front.shared.quarantine.lock();
    // An upstream that is merely no longer listed may still run: it may leave without announcing
    // it, or be cut off from the store.
    let is_lost = |incarnation: &UpstreamIncarnation| {
        state.disconnected.contains(incarnation) && !view.is_listed(incarnation)
    };
    let runs = state.possible_runs.iter();
    let uncrashed =
        runs.filter(|incarnation| !quarantine.has_crashed(incarnation) && !is_lost(incarnation));
    uncrashed.count()
}

/// Checks the caller's key again against the configuration of a view, right before sending. Its
/// confirmation belongs to the same view, so that an older configuration is not taken as confirmed.
pub fn check_key<Dialect>(
    front: &FrontContext<Dialect>,
    view: &ClusterView,
    request: &SentRequest,
    state: &CallState,
    now: Millis,
) -> Result<(), CallRefusal> {
    let config = view.config.as_ref().ok_or(ErrorKind::NoBundle)?;
    if config.accounts.is_none() || state.route.is_public {
        return Ok(());
    }
    let (standing, time_left) = (view.config_standing(now), state.deadline.since(now));
    if !front.shared.is_view_confirmed(view, now) {
        return Err(refuse_unconfirmed(front, standing, time_left));
    }
    let granted = authorize(config, &state.route, &request.call);
    granted.map_err(|kind| refuse_by_config(front, standing, kind, time_left))?;
    Ok(())
}
