//! Carries out what the coordinator wants done, and tells it what became of it.

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

/// How long a note of held members lasts: the time in which they may be told to leave by it (3 s), the hold itself (4.4 s) and a
/// change of the coordinator.
const HOLD_TTL: Duration = Duration::from_secs(12);

/// Orders and questions on their way at once, at most. Three thousand at once, as at the first start of
/// that many upstreams, would all run out of time for want of processor here.
pub(crate) const MAX_CALLS: usize = 64;

/// How late a timer may fire in a process that is not short of processor: several times the few
/// milliseconds that were seen.
const STALL_MARGIN: Duration = Duration::from_millis(40);

/// Something that came to an end.
#[derive(Debug)]
pub enum CompletedAction {
    /// An order, and what became of it.
    Order(OrderRequest, OrderOutcome),
    /// A question to an upstream, and what became of it.
    Query(UpstreamIncarnation, QueryOutcome),
    /// Members of a group that were to be held, and whether they are.
    Hold(GroupId, Vec<UpstreamId>, bool),
}

/// Until when orders may be sent, and by which clock.
#[derive(Clone, Copy, Debug)]
pub struct OrderWindow {
    /// The clock.
    pub clock: BootClock,
    /// The end: another coordinator may give orders soon after it.
    pub until: Millis,
}

/// Carries one action out once `calls` has room for it.
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
    // Never closed, so this only waits. A hold is a call to the store and waits for nobody.
    let _permit = match &action {
        GroupAction::Hold { .. } => None,
        GroupAction::Order(_) | GroupAction::Query(_) => calls.acquire().await.ok(),
    };
    match action {
        GroupAction::Hold { group, members } => {
            let kept = keep_hold(store.as_ref(), &group, &members).await;
            if let Err(error) = &kept {
                log::info!("event=hold_not_kept group={group} reason={error:?}");
            }
            CompletedAction::Hold(group, members, kept.is_ok())
        }
        // The lease allowed it when it was decided on, and it has waited since.
        GroupAction::Order(request) if clock.now() >= window.until => {
            CompletedAction::Order(request, OrderOutcome::Unheard)
        }
        GroupAction::Order(request) => {
            let began = clock.now();
            let outcome = match control.order(&request).await {
                OrderOutcome::Unknown(_) if stood_still(clock, began, Control::ORDER_TIMEOUT) => {
                    OrderOutcome::Unheard
                }
                outcome => outcome,
            };
            CompletedAction::Order(request, outcome)
        }
        GroupAction::Query(target) => {
            let began = clock.now();
            let outcome = match control.report(&target).await {
                Ok(report) => QueryOutcome::Answered(report),
                Err(ControlError::Gone) => QueryOutcome::Gone,
                Err(ControlError::NoAnswer(_))
                    if stood_still(clock, began, Control::REPORT_TIMEOUT) =>
                {
                    QueryOutcome::Unheard
                }
                Err(ControlError::NoAnswer(reason)) => {
                    log::info!(
                        "event=report_missing upstream={} reason={reason:?}",
                        target.incarnation
                    );
                    QueryOutcome::Silent
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

/// Whether a call that began at `began` and has `time` ran out late: then this process had no share
/// of the processor or its VM was suspended, and the answer may have waited for it.
fn stood_still(clock: BootClock, began: Millis, time: Duration) -> bool {
    clock.now().since(began).as_duration() > time + STALL_MARGIN
}

/// Keeps held members in the store for longer than the time they are held.
pub(crate) async fn keep_hold<Store>(
    store: &Store,
    group: &GroupId,
    members: &[UpstreamId],
) -> Result<(), StoreError>
where
    Store: StateStore,
{
    let lease = store.open_lease(HOLD_TTL).await?;
    let txn = StoreTxn {
        writes: vec![KeyWrite {
            key: format!("{HOLD_PREFIX}{group}"),
            value: hold_to_bytes(members),
            lease,
        }],
        ..StoreTxn::default()
    };
    match store.commit(&txn).await? {
        TxnOutcome::Done(_) => Ok(()),
        other => Err(StoreError::Malformed(format!("{other:?}"))),
    }
}

pub(crate) fn note_done(
    shared: &SharedState,
    planner: Option<&mut GroupPlanner>,
    done: &CompletedAction,
) {
    let Some(planner) = planner else {
        return;
    };
    match done {
        CompletedAction::Order(request, outcome) => {
            let order = request.order.as_str();
            log::info!(
                "event=order upstream={} order={order} group={} fence={} expected={:?} outcome={outcome:?}",
                request.target.incarnation,
                request.order.group().map_or("", |group| group.as_str()),
                request.fence,
                request.expected,
            );
            let name = outcome_name(outcome);
            let orders = &shared.metrics.orders;
            orders.with_label_values(&[order, name]).inc();
            planner.record_order_outcome(request, outcome);
        }
        CompletedAction::Hold(group, members, is_kept) => {
            planner.record_hold(group, members, *is_kept);
        }
        CompletedAction::Query(id, outcome) => {
            log::info!("event=asked upstream={id} outcome={outcome:?}");
            planner.record_query_outcome(id, outcome, shared.clock.now());
        }
    }
}

pub(crate) fn outcome_name(outcome: &OrderOutcome) -> &'static str {
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
