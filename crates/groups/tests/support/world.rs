//! A model of the upstreams of one service, in virtual time.

mod trouble;
mod upstreams;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bergamot_groups::{GroupAction, GroupOptions, GroupPlanner, QueryOutcome};
use bergamot_ports::{
    EngineSpec, GroupMembership, GroupOrder, MemberState, ModelSpec, OrderOutcome, OrderRequest,
    UpstreamEntry, UpstreamReport, UpstreamState,
};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STALL: u64 = 4_000;
const LAPSE: u64 = 3_600;
const STEP: u64 = 20;

/// What goes wrong, each as a chance in a second.
#[derive(Clone, Copy)]
pub struct WorldOptions {
    /// An upstream's process dies; another run comes back after some seconds.
    pub crash_chance: f64,
    /// Part of the crashed upstreams that come back under their own id.
    pub same_id_part: f64,
    /// An upstream is cut off from the coordinator, from the store, or from both.
    pub cut_chance: f64,
    /// Another coordinator takes over while orders of the old one are still on their way.
    pub takeover_chance: f64,
    /// Chance of an order to be carried out 2 to 12 s later, without an answer.
    pub late_chance: f64,
    /// Chance of an order's answer to be lost.
    pub lost_chance: f64,
    /// Wrong on purpose: a refused connection counts as proof of death.
    pub trust_refusals: bool,
    /// Wrong on purpose: the next coordinator does not learn of held members.
    pub forget_holds: bool,
}

impl WorldOptions {
    pub const CALM: Self = Self {
        crash_chance: 0.0,
        same_id_part: 0.0,
        cut_chance: 0.0,
        takeover_chance: 0.0,
        late_chance: 0.0,
        lost_chance: 0.0,
        trust_refusals: false,
        forget_holds: false,
    };
}

#[derive(Clone)]
struct Joined {
    membership: GroupMembership,
    members: Vec<UpstreamId>,
    due: u64,
}

struct ModelUpstream {
    id: UpstreamId,
    /// When this run of it started.
    born: Option<UnixMillis>,
    fabric: usize,
    addr: SocketAddr,
    down_until: u64,
    cut_until: u64,
    cut_from_store: bool,
    cut_from_coordinator: bool,
    beat_at: u64,
    begun: u64,
    fence: u64,
    top_epoch: u64,
    staged: Option<ModelName>,
    loading: Option<(ModelName, u64)>,
    warm: Option<ModelName>,
    joined: Option<Joined>,
    broken_at: Option<u64>,
    /// What its earlier run wrote, until this one writes.
    old_entry: Option<UpstreamEntry>,
}

impl ModelUpstream {
    fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation::new(self.id.clone(), self.born)
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
            staged: self.staged.iter().cloned().collect(),
            models: Vec::new(),
            membership: self.joined.as_ref().map(|it| it.membership.clone()),
        }
    }
}

/// An order on its way.
struct Flying {
    at: u64,
    planner: usize,
    request: OrderRequest,
    is_answered: bool,
}

pub struct World {
    options: WorldOptions,
    random: ChaCha8Rng,
    now: u64,
    upstreams: Vec<ModelUpstream>,
    planners: Vec<(GroupPlanner, u64)>,
    flying: Vec<Flying>,
    revision: u64,
    next_run: u64,
    holds: IndexMap<GroupId, (Vec<UpstreamId>, u64)>,
    /// Who was ever ready in which group, epoch and list.
    ready: BTreeMap<(GroupId, u64, Vec<UpstreamId>), IndexSet<UpstreamId>>,
    /// Serving groups, added up over the steps of the second half of the run.
    served: u64,
    steps: u64,
    /// Promises that were broken.
    pub broken: Vec<String>,
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
        models: models.into_iter().map(|it| (it.name.clone(), it)).collect(),
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
            flying: Vec::new(),
            revision: 10,
            next_run: 0,
            holds: IndexMap::new(),
            ready: BTreeMap::new(),
            served: 0,
            steps: 0,
            broken: Vec::new(),
        };
        for index in 0..18_u16 {
            let upstream = world.start(
                usize::from(index / 9),
                ([10, 0, 0, 1], 9_000 + index).into(),
            );
            world.upstreams.push(upstream);
        }
        world.take_over();
        world
    }

    fn start(&mut self, fabric: usize, addr: SocketAddr) -> ModelUpstream {
        self.next_run += 1;
        self.revision += 1;
        ModelUpstream {
            id: UpstreamId::from(format!("i-{}", self.next_run)),
            born: Some(UnixMillis(self.next_run)),
            fabric,
            addr,
            down_until: 0,
            cut_until: 0,
            cut_from_store: false,
            cut_from_coordinator: false,
            beat_at: self.now,
            begun: 0,
            fence: 0,
            top_epoch: 0,
            staged: None,
            loading: None,
            warm: None,
            joined: None,
            broken_at: None,
            old_entry: None,
        }
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
        self.trace(|| format!("takeover, held: {inherited:?}"));
        let planner = GroupPlanner::new(
            GroupOptions::default(),
            spec(),
            self.revision,
            is_first,
            inherited,
            Millis(self.now),
        );
        // An old one gives no more orders: it acts only while its lease is confirmed, and the
        // lease ends before it can be taken over. What it gave may still be on its way.
        for (_, until) in &mut self.planners {
            *until = (*until).min(self.now);
        }
        self.planners.push((planner, u64::MAX));
    }

    pub fn run(&mut self, length: u64) {
        while self.now < length && self.broken.is_empty() {
            self.now += STEP;
            if self.now.is_multiple_of(1_000) {
                self.trouble();
            }
            self.live();
            self.deliver();
            for index in 0..self.planners.len() {
                self.plan(index);
            }
            if self.now * 2 > length {
                self.served += self.serving();
                self.steps += 1;
            }
        }
    }

    /// Groups that served in the second half of the run, as a part of the four that fit.
    pub fn serving_part(&self) -> f64 {
        self.served as f64 / (self.steps.max(1) * 4) as f64
    }

    fn serving(&self) -> u64 {
        let open = self.upstreams.iter().filter(|upstream| {
            let state = upstream.joined.as_ref().map(|it| it.membership.state);
            state == Some(MemberState::Open) && upstream.down_until <= self.now
        });
        open.count() as u64
    }

    fn directory(&self) -> Vec<UpstreamEntry> {
        let listed = self.upstreams.iter().filter(|upstream| {
            let is_written = upstream.down_until <= self.now || upstream.old_entry.is_some();
            is_written && self.now - upstream.beat_at < LAPSE
        });
        listed
            .map(|upstream| match &upstream.old_entry {
                Some(entry) => entry.clone(),
                None => upstream.entry(),
            })
            .collect()
    }

    fn plan(&mut self, index: usize) {
        let now = Millis(self.now);
        let is_current = index + 1 == self.planners.len();
        if self.planners[index].1 < self.now {
            return;
        }
        let entries = self.directory();
        let revision = self.revision;
        let planner = &mut self.planners[index].0;
        // A coordinator that was replaced goes on with what it knew.
        if is_current {
            planner.set_directory(entries.iter(), revision, now);
        }
        planner.record_traffic();
        for action in self.planners[index].0.step(now) {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: GroupAction) {
        match action {
            GroupAction::Hold { group, members } => {
                let planner = &mut self.planners[index].0;
                planner.record_hold(&group, &members, true);
                self.holds.insert(group, (members, self.now + 12_000));
            }
            GroupAction::Query(target) => {
                let outcome = self.ask(&target.incarnation.id, target.addr);
                self.trace(|| format!("{index} asks {:?}: {outcome:?}", target.incarnation));
                let now = Millis(self.now);
                self.planners[index]
                    .0
                    .record_query_outcome(&target.incarnation, &outcome, now);
            }
            GroupAction::Order(request) => {
                let is_late = self.random.random_bool(self.options.late_chance);
                let is_lost = is_late || self.random.random_bool(self.options.lost_chance);
                let delay = match is_late {
                    true => self.random.random_range(2_000..12_000),
                    false => STEP,
                };
                if is_lost {
                    let outcome = OrderOutcome::Unknown("lost".to_owned());
                    self.planners[index]
                        .0
                        .record_order_outcome(&request, &outcome);
                }
                self.flying.push(Flying {
                    at: self.now + delay,
                    planner: index,
                    request,
                    is_answered: !is_lost,
                });
            }
        }
    }

    /// What the upstream at an address answers to a question for `id`.
    fn ask(&self, id: &UpstreamId, addr: SocketAddr) -> QueryOutcome {
        let there = self.upstreams.iter().find(|upstream| upstream.addr == addr);
        let Some(upstream) = there.filter(|upstream| !upstream.cut_from_coordinator) else {
            return match self.options.trust_refusals {
                true => QueryOutcome::Gone,
                false => QueryOutcome::Silent,
            };
        };
        if upstream.down_until > self.now {
            return QueryOutcome::Silent;
        }
        if upstream.id != *id {
            return QueryOutcome::Gone;
        }
        QueryOutcome::Answered(UpstreamReport {
            born: upstream.born,
            orders_begun: upstream.begun,
            is_busy: upstream.loading.is_some(),
            waiting: 0,
            running: 0,
            membership: upstream.joined.as_ref().map(|it| it.membership.clone()),
        })
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Flying>, Vec<Flying>) = std::mem::take(&mut self.flying)
            .into_iter()
            .partition(|it| it.at <= now);
        self.flying = later;
        for order in due {
            let outcome = self.apply(&order.request);
            self.trace(|| {
                let request = &order.request;
                let id = &request.target.incarnation;
                format!("{} to {id}: {:?} {outcome:?}", order.planner, request.order)
            });
            if order.is_answered {
                self.planners[order.planner]
                    .0
                    .record_order_outcome(&order.request, &outcome);
            }
        }
    }

    /// Prints what happens when `BERGAMOT_TRACE` is set.
    fn trace(&self, line: impl Fn() -> String) {
        if std::env::var_os("BERGAMOT_TRACE").is_some() {
            println!("t={} {}", self.now, line());
        }
    }
}
