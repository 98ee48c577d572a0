//! Orders to upstreams that had to wait here before they could be sent.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamot_gateway::clock::BootClock;
use bergamot_gateway::group_actions::{CompletedAction, OrderWindow, act};
use bergamot_groups::GroupAction;
use bergamot_ports::{
    ControlError, GroupOrder, OrderOutcome, OrderRequest, StateStore, StoreError, StoreItem,
    StoreRange, StoreTxn, TxnOutcome, UpstreamControl, UpstreamReport, UpstreamTarget,
    WatchOutcome,
};
use bergamot_types::prelude::*;
use tokio::sync::Semaphore;

/// A store that is not there.
struct LostStore;

const fn lost<Answer>() -> Result<Answer, StoreError> {
    Err(StoreError::Refused(503))
}

impl StateStore for LostStore {
    async fn get(&self, _key: &str) -> Result<Option<StoreItem>, StoreError> {
        lost()
    }

    async fn range(&self, _prefix: &str) -> Result<StoreRange, StoreError> {
        lost()
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: u64,
        _wait: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        lost()
    }

    async fn commit(&self, _txn: &StoreTxn) -> Result<TxnOutcome, StoreError> {
        lost()
    }

    async fn open_lease(&self, _ttl: Duration) -> Result<u64, StoreError> {
        lost()
    }

    async fn renew_lease(&self, _lease: u64) -> Result<bool, StoreError> {
        lost()
    }

    async fn revoke_lease(&self, _lease: u64) -> Result<(), StoreError> {
        lost()
    }

    fn reset(&self) {}
}

/// Upstreams that obey, and how many orders came to them.
#[derive(Default)]
struct CountedControl {
    orders: Cell<usize>,
}

impl UpstreamControl for CountedControl {
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

fn leave() -> OrderRequest {
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
    /// Time for which other calls take up all room.
    wait: Duration,
    /// Time for which the lease allows orders.
    allowed: Millis,
    outcome: OrderOutcome,
    orders: usize,
}

#[test]
fn an_order_is_not_sent_once_another_coordinator_may_give_orders() {
    let cases = [
        WaitCase {
            name: "it need not wait",
            wait: Duration::ZERO,
            allowed: Millis(1_200),
            outcome: OrderOutcome::Begun,
            orders: 1,
        },
        WaitCase {
            name: "it waits for a short time",
            wait: Duration::from_millis(50),
            allowed: Millis(5_000),
            outcome: OrderOutcome::Begun,
            orders: 1,
        },
        WaitCase {
            name: "it waits for longer than the lease allows",
            wait: Duration::from_millis(150),
            allowed: Millis(100),
            outcome: OrderOutcome::Unheard,
            orders: 0,
        },
        WaitCase {
            name: "the process stands still between the decision and the send",
            wait: Duration::ZERO,
            allowed: Millis::ZERO,
            outcome: OrderOutcome::Unheard,
            orders: 0,
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    for case in cases {
        let control = Rc::new(CountedControl::default());
        let clock = BootClock::default();
        let window = OrderWindow {
            clock,
            until: clock.now() + case.allowed,
        };
        let calls = Rc::new(Semaphore::new(1));
        let done = runtime.block_on(async {
            let others = Rc::clone(&calls);
            let others = async move {
                let _taken = others.acquire().await;
                tokio::time::sleep(case.wait).await;
            };
            let action = GroupAction::Order(leave());
            let order = act(
                Rc::new(LostStore),
                Rc::clone(&control),
                calls,
                window,
                action,
            );
            tokio::join!(biased; others, order).1
        });
        let CompletedAction::Order(request, outcome) = done else {
            panic!("{}: {done:?}", case.name);
        };
        assert_eq!(request, leave(), "{}", case.name);
        assert_eq!(outcome, case.outcome, "{}", case.name);
        assert_eq!(control.orders.get(), case.orders, "{}", case.name);
    }
}
