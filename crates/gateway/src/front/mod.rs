//! The callers' duty: takes requests in and carries each to one final answer.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`server`] | connections of callers, readiness, the stop |
//! | [`admit`] | route, account and body of a request |
//! | [`head_timer`] | the time that a request's head may take |
//! | [`call`] | one request from its head to its answer |
//! | [`state`] | where a request stands |
//! | [`trace`] | what is known of a request until its answer has left |
//! | [`plan`] | the next upstream for a request |
//! | [`deadline`] | waits that end at a deadline |
//! | [`attempt`] | one try at one upstream |
//! | [`relay`] | a stream of events, over several upstreams if need be |
//! | [`breaks`] | requests that were broken off at upstreams, and whether these have ended |
//! | [`ends`] | the same by the directory |
//! | [`standing`] | whether a request may be sent, by the upstreams that ended under it |
//! | [`quiet`] | when an upstream counts as standing still |
//! | [`refusal`] | answers of this system's own |
//! | [`flight`] | counts of requests at upstreams |
//! | [`gates`] | upstreams that ask VMs to back off, or say that they leave |
//! | [`limits`] | limits that upstreams advertise in their answers |
//! | [`permits`] | permits to send to an upstream that advertises a limit |
//! | [`exchange`] | what all entry VMs have in flight, told between them |
//! | [`budget`] | how many repeats may be sent |
//! | [`pool`] | connections to upstreams |

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
pub mod gates;
pub mod head_timer;
pub mod limits;
pub mod open;
pub mod permits;
pub mod plan;
pub mod pool;
pub mod quiet;
pub mod refusal;
pub mod relay;
pub mod server;
pub mod standing;
pub mod state;
pub mod trace;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use bergamot_feed::PeerDescriptor;
use bergamot_groups::DemandMeter;
use bergamot_peer::LeaderStall;
use bergamot_ports::RouteKind;
use bergamot_quarantine::QuarantineRecord;
use bergamot_quota::QuotaState;
use bergamot_routing::{ReturnDelays, ServingOutage, UpstreamMonitor};
use bergamot_types::prelude::*;
use tokio::sync::mpsc;

use crate::shared::SharedState;
use crate::stop::StopControl;
use budget::RepeatBudget;
use permits::{PermitQueue, QuotaNews};
use pool::ConnectionPool;

/// What every request needs. Lives on one thread.
pub struct FrontContext<Dialect> {
    /// What all duties share.
    pub shared: Arc<SharedState>,
    /// How callers and upstreams speak.
    pub dialect: Dialect,
    /// Connections to upstreams.
    pub pool: Rc<ConnectionPool>,
    /// Load and trouble of upstreams.
    pub book: Rc<RefCell<UpstreamMonitor>>,
    /// What callers ask of each model.
    pub demand: RefCell<DemandMeter>,
    /// When refused callers should come back.
    pub returns: RefCell<ReturnDelays>,
    /// Repeats sent.
    pub budget: RefCell<RepeatBudget>,
    /// Limits that upstreams advertise, and what is sent there by all VMs.
    pub quota: RefCell<QuotaState>,
    /// Requests that wait for a permit.
    pub permits: PermitQueue,
    /// The life cycle of the process.
    pub stop: Rc<StopControl>,
    /// What this VM saw of requests under which upstreams ended, for the other VMs.
    pub crash_news: mpsc::Sender<QuarantineRecord>,
    /// Leaders whose streams stand still, for the other VMs.
    pub still_news: mpsc::Sender<LeaderStall>,
    /// Words on limits and questions for permits, for the other VMs.
    pub quota_news: mpsc::Sender<QuotaNews>,
}

impl<Dialect> FrontContext<Dialect> {
    /// A context without any connection yet.
    pub fn new(
        shared: Arc<SharedState>,
        dialect: Dialect,
        crash_news: mpsc::Sender<QuarantineRecord>,
        still_news: mpsc::Sender<LeaderStall>,
        quota_news: mpsc::Sender<QuotaNews>,
    ) -> Self {
        let budget = RepeatBudget::new(shared.bounds());
        let quota = QuotaState::new(shared.site.vm.to_string(), rand::random());
        let place = PeerDescriptor {
            vm: shared.site.vm.to_string(),
            failure_domain: shared.site.failure_domain.clone(),
            millicores: shared.site.millicores,
        };
        Self {
            pool: Rc::new(ConnectionPool::new(shared.clock)),
            dialect,
            book: Rc::new(RefCell::new(UpstreamMonitor::new(place))),
            demand: RefCell::default(),
            returns: RefCell::default(),
            budget: RefCell::new(budget),
            quota: RefCell::new(quota),
            permits: PermitQueue::default(),
            stop: Rc::new(StopControl::new(Arc::clone(&shared))),
            crash_news,
            still_news,
            quota_news,
            shared,
        }
    }

    /// Since when this VM has had no confirmed configuration, as far as a refusal for want of one goes.
    pub fn outage(&self, now: Millis) -> ServingOutage {
        ServingOutage {
            duration: self.shared.config_age(now).min(self.shared.clock.age()),
            affects_other_vms: self.shared.are_peers_away(now),
        }
    }

    /// Counts a request's outcome.
    pub fn count(&self, kind: RouteKind, outcome: &str) {
        let requests = &self.shared.metrics.requests;
        requests.with_label_values(&[kind.as_str(), outcome]).inc();
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.shared.clock.now()
    }
}
