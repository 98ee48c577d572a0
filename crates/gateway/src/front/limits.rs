//! Rate limits that upstreams advertise in their answers.

use bergamot_ports::ReplyFacts;
use bergamot_quota::{LimitChange, LimitObservation, QuotaAction, QuotaEvent, QuotaTarget};
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::permits::QuotaMessage;

/// Records the limit that an upstream advertises in its answer to a request sent at `sent_at`.
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
    // An upstream may reject a request before the stage that adds the limit to the answer, so a
    // missing limit does not mean that it was withdrawn.
    if facts.is_not_run && rate.is_none() {
        return;
    }
    let now = front.now();
    let observation = LimitObservation {
        rate,
        sent_at,
        received_at: now,
    };
    let actions = front.quota.borrow_mut().handle(
        now,
        QuotaEvent::Observed(quota_target(upstream), observation),
    );
    apply_quota_actions(front, actions);
}

/// Returns the upstream as a target of the quota state.
pub fn quota_target(upstream: &RouteUpstream) -> QuotaTarget<'_> {
    QuotaTarget {
        incarnation: &upstream.incarnation,
        failure_domain: &upstream.failure_domain,
    }
}

/// Executes the actions of the quota state. Returns the answers to other VMs, which the caller has
/// to send.
pub fn apply_quota_actions<Dialect>(
    front: &FrontContext<Dialect>,
    actions: Vec<QuotaAction>,
) -> Vec<QuotaAction> {
    let mut answers = Vec::new();
    for action in actions {
        match action {
            QuotaAction::LogChange(upstream, change) => log_change(front, &upstream, change),
            QuotaAction::Broadcast(report) => front.send_quota(QuotaMessage::Report(report)),
            QuotaAction::BackOff {
                incarnation,
                priority,
                wait,
            } => back_off(front, &incarnation, priority, wait),
            QuotaAction::Answer { .. } => answers.push(action),
        }
    }
    answers
}

/// Backs off from an upstream: for `wait`, only requests more urgent than `priority` are sent to
/// it.
pub fn back_off<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
    priority: u8,
    wait: Millis,
) {
    let now = front.now();
    let gates = &mut front.monitor.borrow_mut().gates;
    gates.limit_until(incarnation, priority, now + wait, now);
}

fn log_change<Dialect>(
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
    update_limited_metric(front);
}

/// Updates the metric that counts the upstreams that advertise a limit.
pub fn update_limited_metric<Dialect>(front: &FrontContext<Dialect>) {
    let limited_count = front.quota.borrow().limits().len();
    let metrics = &front.shared.metrics;
    metrics.set_state("limited_upstreams", limited_count as i64);
}
