//! Limits that upstreams advertise in their answers.

use bergamot_ports::ReplyFacts;
use bergamot_quota::{LimitChange, LimitObservation, QuotaAction, QuotaEvent, QuotaTarget};
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::permits::QuotaMessage;

/// Takes in what an upstream's answer to a request that was sent at `sent_at` says of its limit.
pub fn record_limit<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    facts: &ReplyFacts,
    sent_at: Millis,
) {
    let incarnation = &upstream.incarnation;
    let rate = match facts.send_limit {
        Ok(rate) => rate,
        Err(error) => {
            let mut quota = front.quota.borrow_mut();
            if quota.limits_mut().record_malformed(incarnation, error) {
                log::warn!("event=limit_unreadable upstream={incarnation} reason=\"{error}\"");
            }
            return;
        }
    };
    // A request may be turned away before it comes to where limits are named.
    if facts.is_not_run && rate.is_none() {
        return;
    }
    let now = front.now();
    let observation = LimitObservation {
        rate,
        sent_at,
        received_at: now,
    };
    let actions = front
        .quota
        .borrow_mut()
        .handle(now, QuotaEvent::Observed(place_of(upstream), observation));
    apply_quota_actions(front, actions);
}

/// An upstream as its quota goes by it.
pub fn place_of(upstream: &RouteUpstream) -> QuotaTarget<'_> {
    QuotaTarget {
        incarnation: &upstream.incarnation,
        failure_domain: &upstream.failure_domain,
    }
}

/// Does what follows from an event, but for answers to other VMs, which are given back.
pub fn apply_quota_actions<Dialect>(
    front: &FrontContext<Dialect>,
    actions: Vec<QuotaAction>,
) -> Vec<QuotaAction> {
    let mut answers = Vec::new();
    for action in actions {
        match action {
            QuotaAction::LogChange(upstream, change) => note_change(front, &upstream, change),
            QuotaAction::Broadcast(report) => front.send_quota(QuotaMessage::Report(report)),
            QuotaAction::BackOff {
                incarnation,
                priority,
                wait,
            } => hold_back(front, &incarnation, priority, wait),
            QuotaAction::Answer { .. } => answers.push(action),
        }
    }
    answers
}

/// Sends nothing there for a while that is no more urgent.
pub fn hold_back<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
    priority: u8,
    wait: Millis,
) {
    let now = front.now();
    let gates = &mut front.monitor.borrow_mut().gates;
    gates.limit_until(incarnation, priority, now + wait, now);
}

fn note_change<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
    change: LimitChange,
) {
    match change {
        LimitChange::Advertised(rate) => {
            log::info!("event=upstream_limited upstream={incarnation} rate={rate}");
        }
        LimitChange::Withdrawn => {
            front.monitor.borrow_mut().gates.clear_limits(incarnation);
            log::info!("event=upstream_unlimited upstream={incarnation}");
        }
    }
    show_limited(front);
}

/// Shows how many upstreams advertise a limit.
pub fn show_limited<Dialect>(front: &FrontContext<Dialect>) {
    let limited = front.quota.borrow().limits().len();
    let metrics = &front.shared.metrics;
    metrics.set_state("limited_upstreams", limited as i64);
}
