//! Guards against a VM that becomes or stays coordinator although it stops, or reaches no upstream.

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
    StoreError, StoreGeneration, StoreItem, StoreLease, StoreRange, StoreRevision, StoreTxn,
    TxnOutcome, UpstreamControl, UpstreamReport, UpstreamTarget, WatchOutcome,
};
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use support::entry_site;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Number of VMs with precedence over this one, which make it wait for at least 320 ms.
const PRECEDING_VMS: u16 = 4;
/// Time of the stop signal, which is within the shortest wait.
const SIGNAL_DELAY: Duration = Duration::from_millis(20);
/// Run time of a case. Longer than the wait and the calls after it.
const RUN_TIME: Duration = Duration::from_millis(1_200);

const fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreGeneration(0), number)
}

/// Why the VM cannot coordinate.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum EndCause {
    Stopping,
    Partitioned,
}

impl EndCause {
    fn begin(self, shared: &SharedState) {
        match self {
            Self::Stopping => shared.begin_stop(),
            Self::Partitioned => shared.set_upstreams_unreachable(true),
        }
    }
}

/// When the VM becomes unable to coordinate.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum StopMoment {
    Never,
    Waiting,
    Opening,
    Committing,
    Renewing,
}

/// A store that records its calls, during one of which the VM becomes unable to coordinate.
struct RecordingStore {
    shared: Arc<SharedState>,
    cause: EndCause,
    moment: StopMoment,
    calls: RefCell<Vec<&'static str>>,
}

impl RecordingStore {
    fn record(&self, call: &'static str, moment: StopMoment) {
        self.calls.borrow_mut().push(call);
        if moment == self.moment {
            self.cause.begin(&self.shared);
        }
    }
}

impl StateStore for RecordingStore {
    async fn get(&self, _key: &str) -> Result<Option<StoreItem>, StoreError> {
        Ok(None)
    }

    async fn range(&self, _prefix: &str) -> Result<StoreRange, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: StoreRevision,
        _wait: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn commit(&self, _txn: &StoreTxn) -> Result<TxnOutcome, StoreError> {
        self.record("commit", StopMoment::Committing);
        Ok(TxnOutcome::Done(revision(9)))
    }

    async fn open_lease(&self, _ttl: Duration) -> Result<StoreLease, StoreError> {
        self.record("open", StopMoment::Opening);
        Ok(StoreLease {
            generation: StoreGeneration(0),
            id: 7,
        })
    }

    async fn renew_lease(&self, _lease: StoreLease) -> Result<bool, StoreError> {
        self.record("renew", StopMoment::Renewing);
        Ok(true)
    }

    async fn revoke_lease(&self, _lease: StoreLease) -> Result<(), StoreError> {
        self.record("end", StopMoment::Never);
        Ok(())
    }

    fn generation(&self) -> StoreGeneration {
        StoreGeneration::default()
    }

    fn reset(&self) {}
}

/// Upstreams that are unreachable.
struct UnreachableControl;

impl UpstreamControl for UnreachableControl {
    const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
    const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

    async fn report(&self, _target: &UpstreamTarget) -> Result<UpstreamReport, ControlError> {
        Err(ControlError::Gone)
    }

    async fn order(&self, _request: &OrderRequest) -> OrderOutcome {
        OrderOutcome::Unheard
    }
}

/// Returns a view with a service of engines without a coordinator, and VMs with precedence over
/// this one.
fn view_without_coordinator() -> ClusterView {
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
        warm_up: None,
    };
    let config = ServingConfig {
        services: [(name, spec)].into(),
        ..ServingConfig::default()
    };
    let preceding_vms = (0..PRECEDING_VMS).map(|number| {
        let record = EntryRecord {
            vm: format!("before-{number}"),
            peer_addr: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: FailureDomain::new("east"),
            millicores: 4_000,
            forwarding: None,
        };
        (record.vm.clone(), record)
    });
    ClusterView {
        config: Some(Arc::new(config)),
        revision: revision(3),
        entries: preceding_vms.collect(),
        ..ClusterView::default()
    }
}

struct StopCase {
    moment: StopMoment,
    /// The calls of the store, without consecutive duplicates.
    calls: &'static [&'static str],
}

#[test]
fn a_vm_that_stops_or_is_partitioned_neither_becomes_coordinator_nor_stays_it() {
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
        .expect("the runtime starts");
    let mut failures = Vec::new();
    let causes = [EndCause::Stopping, EndCause::Partitioned];
    let runs = causes
        .into_iter()
        .flat_map(|cause| cases.iter().map(move |case| (cause, case)));
    for (cause, case) in runs {
        let (own_sender, own_notices) = mpsc::channel(1);
        let (record_sender, _) = mpsc::channel(1);
        let (_peer_sender, peer_notices) = mpsc::channel(1);
        let shared = SharedState::new(entry_site(), own_sender, record_sender);
        shared.publish(view_without_coordinator());
        let store = Rc::new(RecordingStore {
            shared: Arc::clone(&shared),
            cause,
            moment: case.moment,
            calls: RefCell::default(),
        });
        runtime.block_on(async {
            let socket = UdpSocket::bind(("127.0.0.1", 0)).await;
            let socket = socket.expect("a port is free");
            let control = Rc::new(UnreachableControl);
            let duty = GroupCoordinator::new(
                Arc::clone(&shared),
                Rc::clone(&store),
                control,
                own_notices,
                peer_notices,
                socket,
            );
            let signal = async {
                tokio::time::sleep(SIGNAL_DELAY).await;
                if case.moment == StopMoment::Waiting {
                    cause.begin(&shared);
                }
            };
            let run = tokio::time::timeout(RUN_TIME, duty.run());
            let _ = tokio::join!(run, signal);
        });
        let mut calls = store.calls.take();
        calls.dedup();
        if calls != case.calls {
            failures.push(format!("{cause:?} {:?}: {calls:?}", case.moment));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
