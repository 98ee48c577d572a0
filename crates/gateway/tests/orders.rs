//! Guards against orders to upstreams that wait in this process until another coordinator may have
//! taken over, and are then sent nevertheless.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamot_gateway::clock::BootClock;
use bergamot_gateway::group_actions::{CompletedAction, OrderWindow, act};
use bergamot_groups::GroupAction;
use bergamot_ports::{
    ControlError, GroupOrder, OrderOutcome, OrderRequest, StateStore, StoreError, StoreGeneration,
    StoreItem, StoreLease, StoreRange, StoreRevision, StoreTxn, TxnOutcome, UpstreamControl,
    UpstreamReport, UpstreamTarget, WatchOutcome,
};
use bergamot_types::prelude::*;
use tokio::sync::Semaphore;

/// A store that is unavailable.
struct UnavailableStore;

const fn unavailable<Answer>() -> Result<Answer, StoreError> {
    Err(StoreError::Refused(503))
}

impl StateStore for UnavailableStore {
    async fn get(&self, _key: &str) -> Result<Option<StoreItem>, StoreError> {
        unavailable()
    }

    async fn range(&self, _prefix: &str) -> Result<StoreRange, StoreError> {
        unavailable()
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: StoreRevision,
        _wait: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        unavailable()
    }

    async fn commit(&self, _txn: &StoreTxn) -> Result<TxnOutcome, StoreError> {
        unavailable()
    }

    async fn open_lease(&self, _ttl: Duration) -> Result<StoreLease, StoreError> {
        unavailable()
    }

    async fn renew_lease(&self, _lease: StoreLease) -> Result<bool, StoreError> {
        unavailable()
    }

    async fn revoke_lease(&self, _lease: StoreLease) -> Result<(), StoreError> {
        unavailable()
    }

    fn generation(&self) -> StoreGeneration {
        StoreGeneration::default()
    }

    fn reset(&self) {}
}

/// Upstreams that begin every order, and count the orders received.
#[derive(Default)]
struct CountingControl {
    orders: Cell<usize>,
}

impl UpstreamControl for CountingControl {
    const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
    const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

    async fn report(&self, _target: &UpstreamTarget) -> Result<UpstreamReport, ControlError> {
        Err(ControlError::Gone)
    }

    async fn order(&self, _request: &OrderRequest) -> OrderOutcome {
        self.orders.set(self.orders.get() + 1);
        OrderOutcome::Begun
    }
}

fn leave_order() -> OrderRequest {
    let incarnation = UpstreamIncarnation::new(UpstreamId::new("e1"), None);
    OrderRequest {
        target: UpstreamTarget {
            incarnation,
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        },
        order: GroupOrder::Leave {
            group: GroupId::new("m.7"),
            epoch: 7,
        },
        fence: 5,
        expected: Some(2),
    }
}

struct WaitCase {
    name: &'static str,
    /// How long other calls occupy all concurrency permits.
    occupied_for: Duration,
    /// How long the lease allows orders.
    lease_time: Millis,
    outcome: OrderOutcome,
    sent_orders: usize,
}

#[test]
fn an_order_is_not_sent_after_another_coordinator_may_have_taken_over() {
    let cases = [
        WaitCase {
            name: "the order does not wait",
            occupied_for: Duration::ZERO,
            lease_time: Millis(1_200),
            outcome: OrderOutcome::Begun,
            sent_orders: 1,
        },
        WaitCase {
            name: "the order waits for a short time",
            occupied_for: Duration::from_millis(50),
            lease_time: Millis(5_000),
            outcome: OrderOutcome::Begun,
            sent_orders: 1,
        },
        WaitCase {
            name: "the order waits for longer than the lease allows",
            occupied_for: Duration::from_millis(150),
            lease_time: Millis(100),
            outcome: OrderOutcome::Unheard,
            sent_orders: 0,
        },
        WaitCase {
            name: "the process is paused between the decision and the send",
            occupied_for: Duration::ZERO,
            lease_time: Millis::ZERO,
            outcome: OrderOutcome::Unheard,
            sent_orders: 0,
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    for case in cases {
        let control = Rc::new(CountingControl::default());
        let clock = BootClock::default();
        let window = OrderWindow {
            clock,
            until: clock.now() + case.lease_time,
        };
        let calls = Rc::new(Semaphore::new(1));
        let completed = runtime.block_on(async {
            let other_calls = Rc::clone(&calls);
            let other_calls = async move {
                let _occupied = other_calls.acquire().await;
                tokio::time::sleep(case.occupied_for).await;
            };
            let action = GroupAction::Order(leave_order());
            let order = act(
                Rc::new(UnavailableStore),
                Rc::clone(&control),
                calls,
                window,
                action,
            );
            tokio::join!(biased; other_calls, order).1
        });
        let CompletedAction::Order(request, outcome) = completed else {
            panic!("{}: {completed:?}", case.name);
        };
        assert_eq!(request, leave_order(), "{}", case.name);
        assert_eq!(outcome, case.outcome, "{}", case.name);
        assert_eq!(control.orders.get(), case.sent_orders, "{}", case.name);
    }
}
