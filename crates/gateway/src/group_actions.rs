//! Carries out the actions of the group planner and reports their outcomes to it.

use std::rc::Rc;
use std::time::Duration;

use bergamot_groups::{GroupAction, GroupPlanner, QueryOutcome};
use bergamot_ports::{
    ControlError, KeyWrite, OrderOutcome, OrderRequest, StateStore, StoreError, StoreTxn,
    TxnOutcome, UpstreamControl,
};
use bergamot_types::prelude::*;
use tokio::sync::Semaphore;

use crate::clock::BootClock;
use crate::own_keys::{HOLD_PREFIX, hold_to_bytes};
use crate::shared::SharedState;

/// Lifetime of a stored hold. Covers the time during which held members may be ordered to leave
/// because of it (3 s), the hold itself (4.4 s) and a change of coordinator.
pub(crate) const HOLD_TTL: Millis = Millis::from_secs(12);

/// Most orders and queries in flight at once. 3,000 at once, as at the first start of that many
/// upstreams, would all time out for lack of CPU on this VM.
pub(crate) const MAX_CONCURRENT_CALLS: usize = 64;

/// How late a timer may fire in a process that is not short of CPU. Several times the delay of a
/// few milliseconds seen in practice.
const TIMER_DELAY_MARGIN: Duration = Duration::from_millis(40);

/// A completed action of the planner, with its outcome.
#[derive(Debug)]
pub enum CompletedAction {
    /// An order was sent, or its window had closed.
    Order(OrderRequest, OrderOutcome),
    /// An upstream was queried for its report.
    Query(UpstreamIncarnation, QueryOutcome),
    /// The hold of a group's members was written; `true` if the store accepted it.
    Hold(GroupId, Vec<UpstreamId>, bool),
}

/// The period during which orders may be sent.
#[derive(Clone, Copy, Debug)]
pub struct OrderWindow {
    /// The clock that measures the period.
    pub clock: BootClock,
    /// End of the period. Another coordinator may give orders soon after it.
    pub until: Millis,
}

/// Carries out one action as soon as `calls` has a free permit for it.
pub async fn act<Store, Control>(
    store: Rc<Store>,
    control: Rc<Control>,
    calls: Rc<Semaphore>,
    window: OrderWindow,
    action: GroupAction,
) -> CompletedAction
where
    Store: StateStore,
    Control: UpstreamControl,
{
    let clock = window.clock;
    // The semaphore is never closed, so `acquire` never fails. A hold is a call to the store and
    // needs no permit.
    let _permit = match &action {
        GroupAction::Hold { .. } => None,
        GroupAction::Order(_) | GroupAction::Query(_) => calls.acquire().await.ok(),
    };
    match action {
        GroupAction::Hold { group, members } => {
            let stored = store_hold(store.as_ref(), &group, &members).await;
            if let Err(error) = &stored {
                log::info!("event=hold_not_kept group={group} reason={error:?}");
            }
            CompletedAction::Hold(group, members, stored.is_ok())
        }
        // The lease allowed the order when it was decided, but the window closed while it waited.
        GroupAction::Order(request) if clock.now() >= window.until => {
            CompletedAction::Order(request, OrderOutcome::Unheard)
        }
        GroupAction::Order(request) => {
            let started_at = clock.now();
            let outcome = match control.order(&request).await {
                OrderOutcome::Unknown(_)
                    if timed_out_late(clock, started_at, Control::ORDER_TIMEOUT) =>
                {
                    OrderOutcome::Unheard
                }
                outcome => outcome,
            };
            CompletedAction::Order(request, outcome)
        }
        GroupAction::Query(target) => {
            let started_at = clock.now();
            let outcome = match control.report(&target).await {
                Ok(report) => QueryOutcome::Answered(report),
                Err(ControlError::Gone) => QueryOutcome::Gone,
                Err(error @ (ControlError::Unreachable(_) | ControlError::NoAnswer(_))) => {
                    let is_reachable = matches!(error, ControlError::NoAnswer(_));
                    let is_late = timed_out_late(clock, started_at, Control::REPORT_TIMEOUT);
                    log::info!(
                        "event=report_missing upstream={} reachable={is_reachable} late={is_late} reason=\"{error}\"",
                        target.incarnation
                    );
                    match (is_late, is_reachable) {
                        (true, is_reachable) => QueryOutcome::Unheard { is_reachable },
                        (false, true) => QueryOutcome::Silent,
                        (false, false) => QueryOutcome::Unreachable,
                    }
                }
                Err(ControlError::Malformed(reason)) => {
                    log::warn!(
                        "event=report_unreadable upstream={} reason={reason:?}",
                        target.incarnation
                    );
                    QueryOutcome::Silent
                }
            };
            CompletedAction::Query(target.incarnation, outcome)
        }
    }
}

/// Whether a call that started at `started_at` returned later than its `timeout` allows. If so,
/// this process got no CPU time or its VM was suspended, and an answer may have arrived unread.
fn timed_out_late(clock: BootClock, started_at: Millis, timeout: Duration) -> bool {
    clock.now().since(started_at).as_duration() > timeout + TIMER_DELAY_MARGIN
}

/// Writes the held members of a group to the store, for longer than the hold lasts.
pub(crate) async fn store_hold<Store>(
    store: &Store,
    group: &GroupId,
    members: &[UpstreamId],
) -> Result<(), StoreError>
where
    Store: StateStore,
{
    let lease = store.open_lease(HOLD_TTL.as_duration()).await?;
    let txn = StoreTxn {
        writes: vec![KeyWrite {
            key: format!("{HOLD_PREFIX}{group}"),
            value: hold_to_bytes(members),
            lease: Some(lease),
        }],
        ..StoreTxn::default()
    };
    match store.commit(&txn).await? {
        TxnOutcome::Done(_) => Ok(()),
        other => Err(StoreError::Malformed(format!("{other:?}"))),
    }
}

pub(crate) fn record_completed(
    shared: &SharedState,
    planner: Option<&mut GroupPlanner>,
    completed: &CompletedAction,
) {
    let Some(planner) = planner else {
        return;
    };
    match completed {
        CompletedAction::Order(request, outcome) => {
            let order = request.order.as_str();
            log::info!(
                "event=order upstream={} order={order} group={} fence={} expected={:?} outcome={outcome:?}",
                request.target.incarnation,
                request.order.group().map_or("", |group| group.as_str()),
                request.fence,
                request.expected,
            );
            let label = outcome_label(outcome);
            let orders = &shared.metrics.orders;
            orders.with_label_values(&[order, label]).inc();
            if matches!(outcome, OrderOutcome::Unknown(_)) {
                shared.record_unanswered_control(&request.target.incarnation);
            }
            planner.record_order_outcome(request, outcome);
        }
        CompletedAction::Hold(group, members, is_stored) => {
            planner.record_hold(group, members, *is_stored);
        }
        CompletedAction::Query(id, outcome) => {
            log::info!("event=asked upstream={id} outcome={outcome:?}");
            if matches!(outcome, QueryOutcome::Silent | QueryOutcome::Unreachable) {
                shared.record_unanswered_control(id);
            }
            planner.record_query_outcome(id, outcome, shared.clock.now());
        }
    }
}

pub(crate) fn outcome_label(outcome: &OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Begun => "begun",
        OrderOutcome::Holds => "holds",
        OrderOutcome::Unfit => "unfit",
        OrderOutcome::Fenced => "fenced",
        OrderOutcome::Refused(_) => "refused",
        OrderOutcome::Gone => "gone",
        OrderOutcome::Unknown(_) => "unknown",
        OrderOutcome::Unheard => "unheard",
    }
}
