//! Retries that the budget grants, and those that it gets back.

use bergamot_types::prelude::*;

use super::FrontContext;
use super::attempt::SentRequest;
use super::state::CallState;

/// Takes a retry from the budget, which this VM shares with the others of `vms` known ones, and logs
/// how much of it is used. Returns whether one was left.
pub fn take_retry<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    vms: usize,
    now: Millis,
) -> bool {
    let mut budget = front.budget.borrow_mut();
    budget.set_bounds(front.shared.bounds(), vms);
    if front.shared.is_first_start() {
        budget.record_first_start();
    }
    let is_granted = budget.try_take(now, &state.service);
    let usage = budget.usage(now, &state.service);
    let outcome = if is_granted { "granted" } else { "denied" };
    count_retry(front, state, outcome);
    front
        .shared
        .metrics
        .set_state("retry_sharers", usage.sharers as i64);
    log::info!(
        "event=retry request={} service={} outcome={outcome} arrivals={} requests={} retries={} allowed={:.1} sharers={} process_age={}",
        request.call.id,
        state.service,
        state.arrivals,
        usage.requests,
        usage.retries,
        usage.allowed,
        usage.sharers,
        usage.process_age,
    );
    is_granted
}

fn count_retry<Dialect>(front: &FrontContext<Dialect>, state: &CallState, outcome: &str) {
    let retries = &front.shared.metrics.retries;
    let labels = [state.service.as_str(), outcome];
    retries.with_label_values(&labels).inc();
}

/// Refunds a retry that was not sent or did not reach an upstream.
pub fn refund_retry<Dialect>(front: &FrontContext<Dialect>, state: &mut CallState) {
    if let Some(taken_at) = state.retry_taken_at.take() {
        let mut budget = front.budget.borrow_mut();
        budget.refund(taken_at, &state.service);
        count_retry(front, state, "refunded");
    }
}
