//! Permits to send to upstreams that are cold.

use std::cell::RefCell;
use std::sync::Arc;

use bergamot_ports::ReplyFacts;
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;
use bergamot_warmup::{
    ANSWER_TIMEOUT, ColdAnswer, ColdClaim, ColdQuestion, ColdStep, ColdVerdict, EndedEvacuation,
    PERMIT_VALIDITY, WarmUpAction, WarmUpEvent, WarmUpState,
};

use super::FrontContext;
use super::permits::{PendingPermits, PermitDenial, PermitGrant, QuotaMessage};
use crate::view::ClusterView;

/// The warm-up state of this VM, and the view that it has applied.
pub struct WarmUpFront {
    state: RefCell<WarmUpState>,
    view: RefCell<Arc<ClusterView>>,
    waiting: PendingPermits<ColdVerdict>,
}

impl WarmUpFront {
    /// Creates the state of the VM named `own_vm`, with an empty view.
    pub fn new(own_vm: String) -> Self {
        Self {
            state: RefCell::new(WarmUpState::new(own_vm, rand::random())),
            view: RefCell::default(),
            waiting: PendingPermits::default(),
        }
    }

    /// Returns the applied view.
    fn view(&self) -> Arc<ClusterView> {
        Arc::clone(&self.view.borrow())
    }
}

/// Returns the evacuations that ended recently, according to a view.
fn ended_evacuations(view: &ClusterView) -> impl Iterator<Item = EndedEvacuation> {
    let ended = view.ended_evacuations.iter();
    ended.map(|(failure_domain, ended)| EndedEvacuation {
        failure_domain: failure_domain.clone(),
        revision: ended.revision,
        learned_at: ended.known_at,
    })
}

/// Applies the current view, if it is not applied yet. A request must not be sent by a view from
/// which the warm-up state has not learned yet that an upstream is cold.
fn refresh<Dialect>(front: &FrontContext<Dialect>) {
    let view = front.shared.view.load_full();
    if Arc::ptr_eq(&view, &front.warm_up.view()) {
        return;
    }
    front.warm_up.view.replace(Arc::clone(&view));
    let now = front.now();
    let mut state = front.warm_up.state.borrow_mut();
    for ended in ended_evacuations(&view) {
        state.handle(now, WarmUpEvent::EvacuationEnded(&ended));
    }
    if !view.cold_entries.is_empty() {
        let entries = view.entries.values();
        let vms = entries.map(|entry| (entry.failure_domain.clone(), entry.vm.clone()));
        state.set_vms(now, vms);
    }
    drop(state);
    review(front);
}

/// Logs which upstreams have become cold or warm.
pub fn review<Dialect>(front: &FrontContext<Dialect>) {
    let view = front.warm_up.view();
    let mut state = front.warm_up.state.borrow_mut();
    let cold_before = state.cold_count();
    if view.cold_entries.is_empty() && cold_before == 0 {
        return;
    }
    let (now, bounds) = (front.now(), front.shared.bounds().warm_up);
    let targets = view.cold_entries.values();
    let actions = state.review(now, targets.map(|entry| entry.target(bounds)));
    for action in actions {
        match action {
            WarmUpAction::LogCold(upstream, span) => log::info!(
                "event=upstream_cold upstream={upstream} left={} source={} age={}",
                span.until.since(now),
                span.source.as_str(),
                now.since(span.stated_at)
            ),
            WarmUpAction::LogWarm(upstream) => {
                log::info!("event=upstream_warm upstream={upstream}");
                let gates = &mut front.monitor.borrow_mut().gates;
                gates.clear_cold_limits(&upstream);
            }
            _ => {}
        }
    }
    let metrics = &front.shared.metrics;
    metrics.set_state("cold_upstreams", state.cold_count() as i64);
}

/// Applies the current view and the last confirmation of the list of entry VMs. Called every few
/// dozen milliseconds, as the state derives from it whether the list was confirmed all the time.
pub fn tick<Dialect>(front: &FrontContext<Dialect>) {
    // Read before the view, which may be replaced by a later one in between.
    let confirmed_at = front.shared.list_confirmed_at();
    refresh(front);
    if front.warm_up.view().cold_entries.is_empty() {
        return;
    }
    let now = front.now();
    let event = WarmUpEvent::ListConfirmed(confirmed_at);
    front.warm_up.state.borrow_mut().handle(now, event);
}

/// Obtains a permit for one request of this priority if the upstream is cold. The request waits for
/// the answer of another VM for at most `time_left`.
///
/// # Errors
/// Why none is available now.
pub async fn obtain_cold_permit<Dialect>(
    front: &FrontContext<Dialect>,
    priority: u8,
    upstream: &RouteUpstream,
    time_left: Millis,
) -> Result<PermitGrant, PermitDenial> {
    tick(front);
    let view = front.warm_up.view();
    let Some(entry) = view.cold_entry(&upstream.incarnation) else {
        return Ok(PermitGrant::Free);
    };
    let now = front.now();
    let may_ask = time_left > Millis::ZERO;
    let target = entry.target(front.shared.bounds().warm_up);
    let step = {
        let mut state = front.warm_up.state.borrow_mut();
        state.request_permit(now, target, ColdClaim { priority, may_ask })
    };
    let (outcome, permit) = match step {
        ColdStep::NotNeeded => return Ok(PermitGrant::Free),
        ColdStep::Granted => ("granted", Ok(PermitGrant::Granted(now))),
        ColdStep::Later(wait) => {
            back_off_cold(front, &upstream.incarnation, priority, wait);
            ("later", Err(PermitDenial::Cold))
        }
        ColdStep::NoOwner(wait) => {
            back_off_cold(front, &upstream.incarnation, priority, wait);
            ("no_owner", Err(PermitDenial::Cold))
        }
        ColdStep::NotAsked => ("later", Err(PermitDenial::OutOfTime)),
        ColdStep::Ask { owner, question } => ask_owner(front, owner, question, time_left).await,
    };
    let permits = &front.shared.metrics.warm_up_permits;
    permits.with_label_values(&[outcome]).inc();
    permit
}

/// Asks the owner of a cold upstream's permits. Returns the outcome's name in the metrics with the
/// permit.
async fn ask_owner<Dialect>(
    front: &FrontContext<Dialect>,
    owner: String,
    question: ColdQuestion,
    time_left: Millis,
) -> (&'static str, Result<PermitGrant, PermitDenial>) {
    let number = question.number;
    let (incarnation, owner_vm) = (question.incarnation.clone(), owner.clone());
    // The owner grants the permit at this time or later, so the permit's age is overestimated.
    let asked_at = front.now();
    let verdict = front.warm_up.waiting.insert(number);
    let vm = owner;
    let timeout = time_left.min(ANSWER_TIMEOUT);
    front.send_quota(QuotaMessage::ColdQuestion { vm, question });
    match tokio::time::timeout(timeout.as_duration(), verdict).await {
        Ok(Ok(ColdVerdict::Granted)) => ("granted", Ok(PermitGrant::Granted(asked_at))),
        Ok(Ok(ColdVerdict::Later(_))) => ("later", Err(PermitDenial::Cold)),
        Ok(Err(_)) | Err(_) => {
            front.warm_up.waiting.take(number);
            if timeout < ANSWER_TIMEOUT {
                // The owner may still answer in time for others, so it does not count as silent.
                return ("unanswered", Err(PermitDenial::OutOfTime));
            }
            handle(front, WarmUpEvent::TimedOut(number));
            log::info!("event=cold_permit_unanswered upstream={incarnation} owner={owner_vm}");
            ("unanswered", Err(PermitDenial::Cold))
        }
    }
}

/// Whether a permit to send to an upstream is valid now, given whether the upstream is cold.
pub fn is_cold_permit_valid<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    permit: PermitGrant,
) -> bool {
    refresh(front);
    !is_cold(front, &upstream.incarnation) || permit.is_valid(true, front.now(), PERMIT_VALIDITY)
}

/// Records how much longer an upstream is cold, if its answer states it.
pub fn record_cold_time<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    facts: &ReplyFacts,
) {
    let cold_left = match facts.cold_left {
        Ok(None) => return,
        Ok(Some(cold_left)) => cold_left,
        Err(error) => {
            let incarnation = &upstream.incarnation;
            log::warn!("event=cold_time_unreadable upstream={incarnation} reason=\"{error}\"");
            return;
        }
    };
    refresh(front);
    if let Some(entry) = front.warm_up.view().cold_entry(&upstream.incarnation) {
        let target = entry.target(front.shared.bounds().warm_up);
        handle(front, WarmUpEvent::Answered(target, cold_left));
        if !is_cold(front, &upstream.incarnation) {
            let gates = &mut front.monitor.borrow_mut().gates;
            gates.clear_cold_limits(&upstream.incarnation);
        }
    }
}

/// Whether an upstream is cold, by the view that was applied last.
fn is_cold<Dialect>(front: &FrontContext<Dialect>, incarnation: &UpstreamIncarnation) -> bool {
    let view = front.warm_up.view();
    view.cold_entry(incarnation).is_some_and(|entry| {
        let target = entry.target(front.shared.bounds().warm_up);
        let state = front.warm_up.state.borrow();
        state.span(&target).is_cold(front.now())
    })
}

/// Closes the gate of a cold upstream for `wait` to requests that are not more urgent than
/// `priority`. Does nothing if the upstream has become warm since the permit was requested.
fn back_off_cold<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
    priority: u8,
    wait: Millis,
) {
    if !is_cold(front, incarnation) {
        return;
    }
    let now = front.now();
    let gates = &mut front.monitor.borrow_mut().gates;
    gates.limit_cold_until(incarnation, priority, now + wait, now);
}

/// Handles the owner's answer to a question of this VM.
pub fn deliver_cold_answer<Dialect>(front: &FrontContext<Dialect>, answer: &ColdAnswer) {
    handle(front, WarmUpEvent::PermitAnswered(answer));
}

/// Returns the answer to a question of another VM, with the name of that VM.
pub fn answer_cold_question<Dialect>(
    front: &FrontContext<Dialect>,
    question: &ColdQuestion,
) -> Option<(String, ColdAnswer)> {
    tick(front);
    let view = front.warm_up.view();
    let bounds = front.shared.bounds().warm_up;
    let entry = view.cold_entry(&question.incarnation);
    let target = entry.map(|entry| entry.target(bounds));
    handle(front, WarmUpEvent::PermitRequested(question, target))
}

/// Passes an event to the warm-up state and performs the actions that follow. Returns the answer
/// for another VM, which the caller has to send.
fn handle<Dialect>(
    front: &FrontContext<Dialect>,
    event: WarmUpEvent<'_>,
) -> Option<(String, ColdAnswer)> {
    let actions = {
        let mut state = front.warm_up.state.borrow_mut();
        state.handle(front.now(), event)
    };
    let mut answer_to_send = None;
    for action in actions {
        match action {
            WarmUpAction::Answer { vm, answer } => answer_to_send = Some((vm, answer)),
            WarmUpAction::Resolve(answer) => {
                if let Some(sender) = front.warm_up.waiting.take(answer.number) {
                    // Fails if the caller has disconnected, so that nobody waits for the verdict.
                    let _ = sender.send(answer.verdict);
                }
            }
            WarmUpAction::BackOff {
                incarnation,
                priority,
                wait,
            } => back_off_cold(front, &incarnation, priority, wait),
            WarmUpAction::LogCold(..) | WarmUpAction::LogWarm(_) => {}
        }
    }
    answer_to_send
}
