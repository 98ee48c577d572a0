//! A simulation of the upstreams of one service in virtual time.

mod faults;
mod orders;
mod upstreams;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bergamot_groups::{GroupAction, GroupOptions, GroupPlanner, MembershipLog, QueryOutcome};
use bergamot_ports::{
    EngineSpec, GroupMembership, GroupOrder, MemberState, ModelSpec, OrderOutcome, OrderRequest,
    StoreGeneration, StoreRevision, UpstreamEntry, UpstreamReport, UpstreamState,
};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STALL_MS: u64 = 4_000;
const ENTRY_TTL_MS: u64 = 3_600;
const STEP_MS: u64 = 20;
/// How long a hold is stored.
const HOLD_TTL_MS: u64 = 12_000;

/// Probabilities of faults: per second for crashes, cuts and takeovers, per order for late and lost
/// orders.
#[derive(Clone, Copy)]
pub struct WorldOptions {
    /// An upstream crashes; another incarnation starts after some seconds.
    pub crash_chance: f64,
    /// Fraction of the crashed upstreams that restart under the same id.
    pub same_id_share: f64,
    /// An upstream is cut off from the coordinator, from the store, or from both.
    pub cut_chance: f64,
    /// Per second for each open group: all of its members but one are cut off from the store until their
    /// entries have expired. Then that one restarts under its id, and another coordinator takes over.
    pub orphan_chance: f64,
    /// Another coordinator takes over while orders of the previous one are still in transit.
    pub takeover_chance: f64,
    /// An order is carried out 2 to 12 s late, and its answer is lost.
    pub late_chance: f64,
    /// The answer to an order is lost.
    pub lost_chance: f64,
    /// The store is restored from an older copy, so that revisions and holds are lost and another
    /// coordinator takes over.
    pub restore_chance: f64,
    /// Deliberate fault: a refused connection counts as proof of a crash.
    pub trust_refusals: bool,
    /// Deliberate fault: the next coordinator does not receive the holds.
    pub forget_holds: bool,
    /// Deliberate fault: the next coordinator has not seen which members left.
    pub forget_departures: bool,
    /// Deliberate fault: a coordinator trusts the holds that a restored store has.
    pub trust_restored_holds: bool,
    /// Deliberate fault: fencing numbers and epochs are the store's bare numbers.
    pub ignore_generations: bool,
}

impl WorldOptions {
    pub const NO_FAULTS: Self = Self {
        crash_chance: 0.0,
        same_id_share: 0.0,
        cut_chance: 0.0,
        orphan_chance: 0.0,
        takeover_chance: 0.0,
        late_chance: 0.0,
        lost_chance: 0.0,
        restore_chance: 0.0,
        trust_refusals: false,
        forget_holds: false,
        forget_departures: false,
        trust_restored_holds: false,
        ignore_generations: false,
    };
}

#[derive(Clone)]
struct JoinedGroup {
    membership: GroupMembership,
    members: Vec<UpstreamId>,
    ready_at: u64,
}

struct SimulatedUpstream {
    id: UpstreamId,
    /// When this incarnation started.
    started_at: Option<UnixMillis>,
    fabric: usize,
    addr: SocketAddr,
    down_until: u64,
    cut_until: u64,
    cut_from_store: bool,
    cut_from_coordinator: bool,
    entry_written_at: u64,
    orders_begun: u64,
    highest_fence: u64,
    highest_epoch: u64,
    staged: Option<ModelName>,
    loading: Option<(ModelName, u64)>,
    warm: Option<ModelName>,
    joined: Option<JoinedGroup>,
    breaks_at: Option<u64>,
    /// The entry of the previous incarnation, until this one writes its own.
    previous_entry: Option<UpstreamEntry>,
}

impl SimulatedUpstream {
    fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation::new(self.id.clone(), self.started_at)
    }

    fn entry(&self) -> UpstreamEntry {
        UpstreamEntry {
            incarnation: self.incarnation(),
            service: ServiceName::new("engines"),
            addr: self.addr,
            failure_domain: FailureDomain::new("fd"),
            fabric: Some(FabricDomain::from(format!("fabric-{}", self.fabric))),
            state: UpstreamState::Ready,
            slots: 8,
            cold_left: Millis::ZERO,
            staged: self.staged.iter().cloned().collect(),
            models: Vec::new(),
            membership: self.joined.as_ref().map(|joined| joined.membership.clone()),
        }
    }
}

/// An order in transit.
struct PendingOrder {
    deliver_at: u64,
    planner: usize,
    request: OrderRequest,
    is_answered: bool,
}

pub struct World {
    options: WorldOptions,
    random: ChaCha8Rng,
    now: u64,
    upstreams: Vec<SimulatedUpstream>,
    planners: Vec<(GroupPlanner, u64)>,
    pending_orders: Vec<PendingOrder>,
    /// The directory as all entry VMs last read it.
    listed: IndexMap<UpstreamId, UpstreamEntry>,
    /// The departures that the entry VMs have seen.
    departures: MembershipLog,
    /// Listed members of unlisted groups that restart at a time.
    orphans: Vec<(UpstreamId, u64)>,
    /// When another coordinator takes over after such a restart.
    takeovers_at: Vec<u64>,
    revision: u64,
    /// Number of restores of the store.
    generation: u64,
    restored_at: Option<u64>,
    next_incarnation: u64,
    holds: IndexMap<GroupId, (Vec<UpstreamId>, u64)>,
    /// The members that were ever ready, by group, epoch and member list.
    ready: BTreeMap<(GroupId, u64, Vec<UpstreamId>), IndexSet<UpstreamId>>,
    /// Number of serving groups, summed over the steps of the second half of the run.
    serving_sum: u64,
    counted_steps: u64,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

fn spec() -> EngineSpec {
    let model = |name: &str, size, share| ModelSpec {
        name: ModelName::new(name),
        group_size: size,
        demand_share: share,
        pace: 1.0,
        load_time: Millis(2_000),
        warmup_time: Millis(1_000),
    };
    let models = [model("large", 4, 0.5), model("small", 3, 0.5)];
    EngineSpec {
        slots: 8,
        models: models
            .into_iter()
            .map(|model| (model.name.clone(), model))
            .collect(),
        loads_per_second: 10.0,
        parallel_loads: 6,
        open_time: Millis(300),
        speed: None,
    }
}

impl World {
    pub fn new(seed: u64, options: WorldOptions) -> Self {
        let mut world = Self {
            options,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            upstreams: Vec::new(),
            planners: Vec::new(),
            pending_orders: Vec::new(),
            listed: IndexMap::new(),
            departures: MembershipLog::default(),
            orphans: Vec::new(),
            takeovers_at: Vec::new(),
            revision: 10,
            generation: 0,
            restored_at: None,
            next_incarnation: 0,
            holds: IndexMap::new(),
            ready: BTreeMap::new(),
            serving_sum: 0,
            counted_steps: 0,
            violations: Vec::new(),
        };
        for index in 0..18_u16 {
            let upstream = world.start_upstream(
                usize::from(index / 9),
                ([10, 0, 0, 1], 9_000 + index).into(),
            );
            world.upstreams.push(upstream);
        }
        world.take_over();
        world
    }

    fn start_upstream(&mut self, fabric: usize, addr: SocketAddr) -> SimulatedUpstream {
        self.next_incarnation += 1;
        self.revision += 1;
        SimulatedUpstream {
            id: UpstreamId::from(format!("i-{}", self.next_incarnation)),
            started_at: Some(UnixMillis(self.next_incarnation)),
            fabric,
            addr,
            down_until: 0,
            cut_until: 0,
            cut_from_store: false,
            cut_from_coordinator: false,
            entry_written_at: self.now,
            orders_begun: 0,
            highest_fence: 0,
            highest_epoch: 0,
            staged: None,
            loading: None,
            warm: None,
            joined: None,
            breaks_at: None,
            previous_entry: None,
        }
    }

    /// Returns the number by which coordinators order the store's revisions.
    fn ordinal(&self) -> u64 {
        let generation = match self.options.ignore_generations {
            true => 0,
            false => self.generation,
        };
        StoreRevision::new(StoreGeneration(generation), self.revision).to_ordinal()
    }

    fn take_over(&mut self) {
        let is_first = self.planners.is_empty();
        self.revision += 1;
        let inherited = match self.options.forget_holds {
            true => IndexMap::new(),
            false => {
                let holds = self.holds.iter();
                holds
                    .map(|(group, (ids, _))| (group.clone(), ids.clone()))
                    .collect()
            }
        };
        self.trace(|| format!("takeover, inherited holds: {inherited:?}"));
        let mut planner = GroupPlanner::new(
            GroupOptions::default(),
            spec(),
            self.ordinal(),
            is_first,
            inherited,
            Millis(self.now),
        );
        let may_lack_holds = self
            .restored_at
            .is_some_and(|at| self.now < at + HOLD_TTL_MS);
        if may_lack_holds && !self.options.trust_restored_holds {
            planner.expect_lost_holds();
        }
        // The previous coordinator sends no more orders: it acts only while its lease is confirmed,
        // and the lease ends before a takeover. Its earlier orders may still be in transit.
        for (_, until) in &mut self.planners {
            *until = (*until).min(self.now);
        }
        self.planners.push((planner, u64::MAX));
    }

    pub fn run(&mut self, length_ms: u64) {
        while self.now < length_ms && self.violations.is_empty() {
            self.now += STEP_MS;
            if self.now.is_multiple_of(1_000) {
                self.inject_faults();
            }
            self.restart_orphans();
            self.advance_upstreams();
            self.read_directory();
            self.deliver_orders();
            for index in 0..self.planners.len() {
                self.step_planner(index);
            }
            if self.now * 2 > length_ms {
                self.serving_sum += self.count_serving();
                self.counted_steps += 1;
            }
        }
    }

    /// Average number of groups that served in the second half of the run, as a fraction of the
    /// four that fit.
    pub fn serving_share(&self) -> f64 {
        self.serving_sum as f64 / (self.counted_steps.max(1) * 4) as f64
    }

    fn count_serving(&self) -> u64 {
        let open = self.upstreams.iter().filter(|upstream| {
            let state = upstream
                .joined
                .as_ref()
                .map(|joined| joined.membership.state);
            state == Some(MemberState::Open) && upstream.down_until <= self.now
        });
        open.count() as u64
    }

    fn directory(&self) -> Vec<UpstreamEntry> {
        let listed = self.upstreams.iter().filter(|upstream| {
            let has_entry = upstream.down_until <= self.now || upstream.previous_entry.is_some();
            has_entry && self.now - upstream.entry_written_at < ENTRY_TTL_MS
        });
        listed
            .map(|upstream| match &upstream.previous_entry {
                Some(entry) => entry.clone(),
                None => upstream.entry(),
            })
            .collect()
    }

    /// Lets the entry VMs read the directory.
    fn read_directory(&mut self) {
        let now = Millis(self.now);
        let directory = self.directory().into_iter();
        let directory = directory.map(|entry| (entry.incarnation.id.clone(), entry));
        let previous = std::mem::replace(&mut self.listed, directory.collect());
        let removed = previous
            .iter()
            .filter(|(id, _)| !self.listed.contains_key(*id));
        for (_, entry) in removed {
            self.departures.record_removal(entry);
        }
        for (id, entry) in &self.listed {
            self.departures.record_entry(previous.get(id), entry, now);
        }
        self.departures.record_read(now);
    }

    fn step_planner(&mut self, index: usize) {
        let now = Millis(self.now);
        let is_current = index + 1 == self.planners.len();
        if self.planners[index].1 < self.now {
            return;
        }
        let entries = self.directory();
        let revision = self.ordinal();
        let planner = &mut self.planners[index].0;
        // A coordinator that was replaced continues with the directory it last read.
        if is_current && !self.options.forget_departures {
            let find_entry = |id: &UpstreamId| self.listed.get(id);
            planner.set_departures(&self.departures, find_entry, now);
        }
        if is_current {
            planner.set_directory(entries.iter(), revision, now);
        }
        planner.record_traffic();
        for action in self.planners[index].0.step(now) {
            self.execute_action(index, action);
        }
    }

    /// Prints a line of the run's trace if `BERGAMOT_TRACE` is set.
    fn trace(&self, line: impl Fn() -> String) {
        if std::env::var_os("BERGAMOT_TRACE").is_some() {
            println!("t={} {}", self.now, line());
        }
    }
}
