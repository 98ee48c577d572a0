//! The coordinator's place and a VM that is told to stop while it takes it.
//!
//! What would be seen: no coordinator for up to 1.5 s after a stop that came in the first moments of a term. Cause: whether
//! the process stops was looked at before the wait for the place, and acted on after it.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_gateway::groups::GroupCoordinator;
use bergamot_gateway::own_keys::EntryRecord;
use bergamot_gateway::shared::SharedState;
use bergamot_gateway::view::ClusterView;
use bergamot_ports::{
    ControlError, EngineSpec, OrderOutcome, OrderRequest, ServiceSpec, ServingConfig, StateStore,
    StoreError, StoreItem, StoreRange, StoreTxn, TxnOutcome, UpstreamControl, UpstreamReport,
    UpstreamTarget, WatchOutcome,
};
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use support::site;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// VMs that go before this one, so that it waits for 320 ms and more.
const VMS_BEFORE: u16 = 4;
/// Within the shortest wait.
const WITHIN_WAIT: Duration = Duration::from_millis(20);
/// Longer than the wait and what follows it.
const PLAY: Duration = Duration::from_millis(1_200);

/// When the signal to stop comes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum StopMoment {
    Never,
    Waiting,
    Opening,
    Committing,
    Renewing,
}

/// A store that notes what it is asked, and during which call the signal comes.
struct NotedStore {
    shared: Arc<SharedState>,
    moment: StopMoment,
    calls: RefCell<Vec<&'static str>>,
}

impl NotedStore {
    fn note(&self, call: &'static str, moment: StopMoment) {
        self.calls.borrow_mut().push(call);
        if moment == self.moment {
            self.shared.begin_stop();
        }
    }
}

impl StateStore for NotedStore {
    async fn get(&self, _key: &str) -> Result<Option<StoreItem>, StoreError> {
        Ok(None)
    }

    async fn range(&self, _prefix: &str) -> Result<StoreRange, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: u64,
        _wait: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn commit(&self, _txn: &StoreTxn) -> Result<TxnOutcome, StoreError> {
        self.note("commit", StopMoment::Committing);
        Ok(TxnOutcome::Done(9))
    }

    async fn open_lease(&self, _ttl: Duration) -> Result<u64, StoreError> {
        self.note("open", StopMoment::Opening);
        Ok(7)
    }

    async fn renew_lease(&self, _lease: u64) -> Result<bool, StoreError> {
        self.note("renew", StopMoment::Renewing);
        Ok(true)
    }

    async fn revoke_lease(&self, _lease: u64) -> Result<(), StoreError> {
        self.note("end", StopMoment::Never);
        Ok(())
    }

    fn reset(&self) {}
}

/// Upstreams that are out of reach.
struct LostControl;

impl UpstreamControl for LostControl {
    const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
    const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

    async fn report(&self, _target: &UpstreamTarget) -> Result<UpstreamReport, ControlError> {
        Err(ControlError::Gone)
    }

    async fn order(&self, _request: &OrderRequest) -> OrderOutcome {
        OrderOutcome::Unheard
    }
}

/// A view with a service of engines that nobody coordinates, and VMs that go before this one.
fn vacant_view() -> ClusterView {
    let engine = EngineSpec {
        slots: 8,
        models: IndexMap::new(),
        loads_per_second: 10.0,
        parallel_loads: 6,
        open_time: Millis(10),
        speed: None,
    };
    let name = ServiceName::new("engines");
    let spec = ServiceSpec {
        name: name.clone(),
        max_connections: 100,
        engine: Some(engine),
    };
    let config = ServingConfig {
        services: [(name, spec)].into(),
        ..ServingConfig::default()
    };
    let before = (0..VMS_BEFORE).map(|number| {
        let record = EntryRecord {
            vm: format!("before-{number}"),
            peer_addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: FailureDomain::new("east"),
            millicores: 4_000,
        };
        (record.vm.clone(), record)
    });
    ClusterView {
        config: Some(Arc::new(config)),
        revision: 3,
        entries: before.collect(),
        ..ClusterView::default()
    }
}

struct StopCase {
    moment: StopMoment,
    /// What the store is asked, equal calls in a row once.
    calls: &'static [&'static str],
}

#[test]
fn a_vm_that_stops_neither_takes_the_coordinators_place_nor_keeps_it() {
    let cases = [
        StopCase {
            moment: StopMoment::Never,
            calls: &["open", "commit", "renew"],
        },
        StopCase {
            moment: StopMoment::Waiting,
            calls: &[],
        },
        StopCase {
            moment: StopMoment::Opening,
            calls: &["open", "end"],
        },
        StopCase {
            moment: StopMoment::Committing,
            calls: &["open", "commit", "end"],
        },
        StopCase {
            moment: StopMoment::Renewing,
            calls: &["open", "commit", "renew", "end"],
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let mut wrong = Vec::new();
    for case in cases {
        let (quiet, quiets) = mpsc::channel(1);
        let (records, _) = mpsc::channel(1);
        let (_doubt, doubts) = mpsc::channel(1);
        let shared = SharedState::new(site(), quiet, records);
        shared.publish(vacant_view());
        let store = Rc::new(NotedStore {
            shared: Arc::clone(&shared),
            moment: case.moment,
            calls: RefCell::default(),
        });
        runtime.block_on(async {
            let socket = UdpSocket::bind(("127.0.0.1", 0)).await;
            let socket = socket.expect("a port is free");
            let control = Rc::new(LostControl);
            let duty = GroupCoordinator::new(
                Arc::clone(&shared),
                Rc::clone(&store),
                control,
                quiets,
                doubts,
                socket,
            );
            let signal = async {
                tokio::time::sleep(WITHIN_WAIT).await;
                if case.moment == StopMoment::Waiting {
                    shared.begin_stop();
                }
            };
            let play = tokio::time::timeout(PLAY, duty.run());
            let _ = tokio::join!(play, signal);
        });
        let mut calls = store.calls.take();
        calls.dedup();
        if calls != case.calls {
            wrong.push(format!("{:?}: {calls:?}", case.moment));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
