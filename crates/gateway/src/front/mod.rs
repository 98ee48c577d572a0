//! The front thread: accepts requests from callers and drives each one to a single final answer.
//!
//! | module | contents |
//! | --- | --- |
//! | [`accept`] | accepts connections, within the VM's descriptors and memory |
//! | [`server`] | requests of a connection, readiness, shutdown |
//! | [`admit`] | checks of a request's route and account |
//! | [`head_timer`] | time limit for the head of a request |
//! | [`call`] | one request, from its head to its answer |
//! | [`state`] | state of a request |
//! | [`trace`] | logs requests that a shutdown leaves without a complete answer |
//! | [`plan`] | the next upstream for a request |
//! | [`retry`] | retries that the budget grants |
//! | [`residency`] | the regions in which a request may be processed |
//! | [`deadline`] | waiting with a deadline |
//! | [`attempt`] | one attempt at one upstream |
//! | [`open`] | the life of an attempt, and what its outcome shows of the upstream |
//! | [`hedge`] | requests at silent upstreams, which are also sent to another one |
//! | [`held`] | bodies that are held until they are known to be whole |
//! | [`large`] | answers that are too large to be held |
//! | [`relay`] | event streams, which may resume at another upstream |
//! | [`breaks`] | requests that broke at an upstream, and whether the upstream crashed |
//! | [`ends`] | crashes that the directory shows |
//! | [`standing`] | whether a request may be sent, given the crashes it is suspected of |
//! | [`quiet`] | detection of stalled upstreams |
//! | [`refusal`] | error responses of this system |
//! | [`flight`] | counts of requests in flight |
//! | [`gates`] | upstreams that ask for backoff or announce that they leave |
//! | [`limits`] | rate limits that upstreams advertise in their answers |
//! | [`permits`] | permits to send to an upstream with a limit |
//! | [`addresses`] | addresses of the other entry VMs |
//! | [`warmup`] | permits to send to an upstream that is cold |
//! | [`exchange`] | exchange of load reports and notices between entry VMs |
//! | [`budget`] | how many retries may be sent |
//! | [`forward`] | requests that are forwarded to and by other entry VMs |
//! | [`pace`] | how busy the callers' thread is |
//! | [`pool`] | connections to upstreams |
//! | [`panics`] | panics, each of which ends one request |
//! | [`partition`] | detection that no upstream is reachable |

pub mod accept;
pub mod addresses;
pub mod admit;
pub mod answer;
pub mod attempt;
pub mod breaks;
pub mod budget;
pub mod call;
pub mod deadline;
pub mod ends;
pub mod events;
pub mod exchange;
pub mod flight;
pub mod forward;
pub mod gates;
pub mod head_timer;
pub mod hedge;
pub mod held;
pub mod large;
pub mod limits;
pub mod open;
pub mod pace;
pub mod panics;
pub mod partition;
pub mod permits;
pub mod plan;
pub mod pool;
pub mod quiet;
pub mod refusal;
pub mod relay;
pub mod residency;
pub mod retry;
pub mod server;
pub mod standing;
pub mod state;
pub mod trace;
pub mod warmup;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use bergamot_feed::PeerDescriptor;
use bergamot_groups::DemandMeter;
use bergamot_intake::IntakeState;
use bergamot_peer::LeaderStall;
use bergamot_ports::RouteKind;
use bergamot_quarantine::QuarantineRecord;
use bergamot_quota::{PermitVerdict, QuotaState};
use bergamot_routing::{ReturnDelays, ServingOutage, UpstreamMonitor};
use bergamot_types::prelude::*;
use tokio::sync::{Notify, mpsc};

use crate::body::BodyBudget;
use crate::shared::SharedState;
use crate::stop::StopControl;
use budget::RetryBudget;
use forward::ForwardFront;
use held::HeldTotal;
use pace::PaceMeter;
use permits::{PendingPermits, QuotaMessage};
use pool::ConnectionPool;
use warmup::WarmUpFront;

/// State that all requests share. It is confined to one thread.
pub struct FrontContext<Dialect> {
    /// State shared with the other threads.
    pub shared: Arc<SharedState>,
    /// The protocol of callers and upstreams.
    pub dialect: Dialect,
    /// Connections to upstreams.
    pub pool: Rc<ConnectionPool>,
    /// Requests that this VM forwards, and those that other VMs forward to it.
    pub forwards: ForwardFront,
    /// Load, failures and stalls of upstreams.
    pub monitor: Rc<RefCell<UpstreamMonitor>>,
    /// Notified when this VM suspects that it reaches no upstream.
    pub partition_suspected: Notify,
    /// Bodies of requests.
    pub bodies: Arc<BodyBudget>,
    /// Bytes that are held for answers.
    pub held: HeldTotal,
    /// Demand for each model.
    pub demand: RefCell<DemandMeter>,
    /// Delays after which rejected callers are asked to return.
    pub delays: RefCell<ReturnDelays>,
    /// The budget for retries.
    pub budget: RefCell<RetryBudget>,
    /// Limits that upstreams advertise, and the rate at which all VMs send to them.
    pub quota: RefCell<QuotaState>,
    /// Requests waiting for a permit.
    pub permits: PendingPermits<PermitVerdict>,
    /// Upstreams that are cold, and the permits to send to them.
    pub warm_up: WarmUpFront,
    /// Periods of this thread.
    pub pace: PaceMeter,
    /// How many connections of callers are accepted.
    pub intake: RefCell<IntakeState>,
    /// The life cycle of the process.
    pub stop: Rc<StopControl>,
    /// Sends crashes that this VM observed, and the requests that ran there, to the other VMs.
    pub crash_records: mpsc::Sender<QuarantineRecord>,
    /// Sends notices of stalled leaders to the other VMs.
    pub stall_notices: mpsc::Sender<LeaderStall>,
    /// Sends limit reports and permit questions to the other VMs.
    pub quota_messages: mpsc::Sender<QuotaMessage>,
}

impl<Dialect> FrontContext<Dialect> {
    /// Creates a context without connections.
    pub fn new(
        shared: Arc<SharedState>,
        dialect: Dialect,
        crash_records: mpsc::Sender<QuarantineRecord>,
        stall_notices: mpsc::Sender<LeaderStall>,
        quota_messages: mpsc::Sender<QuotaMessage>,
    ) -> Self {
        let budget = RetryBudget::new(shared.bounds(), shared.clock.now());
        let quota = QuotaState::new(shared.site.vm.to_string(), rand::random());
        let endless = shared.metrics.endless_answers.clone();
        let bodies = BodyBudget::new(
            shared.clock,
            shared.resource_shares().body_bytes,
            shared.metrics.bodies_given_up.clone(),
        );
        let descriptor = PeerDescriptor {
            vm: shared.site.vm.to_string(),
            failure_domain: shared.site.failure_domain.clone(),
            millicores: shared.site.millicores,
        };
        Self {
            pool: Rc::new(ConnectionPool::new(shared.clock, endless.clone())),
            forwards: ForwardFront::new(shared.clock, endless),
            bodies: Arc::new(bodies),
            held: HeldTotal::new(Arc::clone(&shared)),
            dialect,
            monitor: Rc::new(RefCell::new(UpstreamMonitor::new(descriptor))),
            partition_suspected: Notify::new(),
            demand: RefCell::default(),
            delays: RefCell::default(),
            budget: RefCell::new(budget),
            quota: RefCell::new(quota),
            permits: PendingPermits::default(),
            warm_up: WarmUpFront::new(shared.site.vm.to_string()),
            pace: PaceMeter::default(),
            intake: RefCell::default(),
            stop: Rc::new(StopControl::new(Arc::clone(&shared))),
            crash_records,
            stall_notices,
            quota_messages,
            shared,
        }
    }

    /// Returns how long this VM has been without a confirmed configuration. Determines when callers
    /// rejected for that reason are asked to return.
    pub fn outage(&self, now: Millis) -> ServingOutage {
        ServingOutage {
            duration: self.shared.config_age(now).min(self.shared.clock.age()),
            affects_other_vms: self.shared.are_peers_stale(now),
        }
    }

    /// Counts the outcome of a request.
    pub fn count_outcome(&self, kind: RouteKind, outcome: &str) {
        let requests = &self.shared.metrics.requests;
        requests.with_label_values(&[kind.as_str(), outcome]).inc();
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.shared.clock.now()
    }
}
