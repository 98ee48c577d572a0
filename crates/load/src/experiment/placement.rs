//! Groups under failures: the real coordinators, one for each fabric domain.

mod case;

use bergamot_placement::{
    DomainCapacity, DomainRecord, GroupPhase, PlacementAction, PlacementEvent, PlacementState,
    RepairPolicy, SwapOutcome, VmUse, distribute_replicas,
};
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use self::case::{DownCauses, PlacementCase, PlacementResult};
use super::events::{FleetEvent, draw};
use super::fabric::Lab;

/// Seconds one VM loads weights at the store's full rate.
const LOAD_SECONDS: f64 = 60.0;
/// Loads that share the store's rate without being slowed.
const FULL_RATE_LOADS: usize = 16;
/// Time until the platform takes a dead VM off its list.
const LIST_LAG: Millis = Millis(60_000);
/// Time until the platform gives a new VM for a lost or leaving one.
const REPLACEMENT: Millis = Millis(300_000);
/// Time between the platform's word that a VM leaves and the VM's end.
const LEAVING_NOTICE: Millis = Millis(600_000);
/// Step while something goes on.
const STEP: Millis = Millis(1_000);
/// Quiet time after which the run skips to the next event.
const QUIET: Millis = Millis(60_000);

#[derive(Clone, Debug)]
enum Planned {
    Event(FleetEvent),
    Unlist(VmId),
    Add(usize),
    Wake,
}

struct Run {
    case: PlacementCase,
    lab: Lab,
    states: Vec<PlacementState>,
    records: Vec<(i64, Option<DomainRecord>)>,
    planned: Vec<(Millis, Planned)>,
    now: Millis,
    changed_at: Millis,
    next_vm: usize,
    down: f64,
    causes: DownCauses,
    stranded: f64,
    healthy: f64,
    swaps: u64,
    measured_from: Millis,
}

/// Time for the fleet to come up before anything is measured.
const WARM_UP: Millis = Millis(1_800_000);

/// Runs one case.
pub fn run_placement(case: &PlacementCase) -> PlacementResult {
    let mut run = Run::new(case.clone());
    let end = Millis((case.days * 86_400_000.0) as u64) + WARM_UP;
    while run.now < end {
        run.step();
    }
    run.result()
}

impl Run {
    fn new(case: PlacementCase) -> Self {
        let is_baseline = case.options.policy == RepairPolicy::RebuildFirstFit;
        let mut lab = Lab {
            vms: IndexMap::new(),
            load_seconds: LOAD_SECONDS,
            full_rate_loads: FULL_RATE_LOADS,
            // To rebuild from scratch is to load from scratch.
            keeps_weights: !is_baseline,
            loaded_seconds: 0.0,
        };
        let mut fabrics = Vec::new();
        let mut next_vm = 0;
        for fabric in 0..case.fabrics {
            let mut vms = Vec::new();
            for _ in 0..case.vms_per_fabric {
                let vm = VmId::from(format!("vm-{next_vm}"));
                next_vm += 1;
                lab.add(vm.clone(), fabric);
                vms.push(vm);
            }
            fabrics.push(vms);
        }
        let mut random = ChaCha8Rng::seed_from_u64(case.seed);
        let events = draw(&mut random, &case.rates, &fabrics, case.days);
        let planned = events
            .into_iter()
            .map(|(at, event)| (at + WARM_UP, Planned::Event(event)))
            .collect();
        let states = (0..case.fabrics)
            .map(|fabric| {
                PlacementState::new(
                    EntryId::from(format!("entry-{fabric}")),
                    1,
                    fabric_name(fabric),
                    FailureDomain::from(format!("fd-{fabric}")),
                    case.options.clone(),
                )
            })
            .collect();
        Self {
            records: vec![(0, None); case.fabrics],
            states,
            lab,
            planned,
            now: Millis(10_000),
            changed_at: Millis(10_000),
            next_vm,
            down: 0.0,
            causes: DownCauses::default(),
            stranded: 0.0,
            healthy: 0.0,
            swaps: 0,
            measured_from: WARM_UP,
            case,
        }
    }

    fn step(&mut self) {
        while let Some((at, planned)) = self.take_planned() {
            self.changed_at = self.changed_at.max(at);
            self.befall(planned);
        }
        self.decide();
        let next_event = self.planned.iter().map(|(at, _)| *at).min();
        if self.lab.is_loading() {
            self.changed_at = self.now;
        }
        let is_quiet = self.now.since(self.changed_at) > QUIET;
        let next = match (is_quiet, next_event) {
            (true, Some(at)) => at.max(self.now + STEP),
            (true, None) => self.now + QUIET,
            (false, _) => self.now + STEP,
        };
        let span = next.since(self.now);
        self.measure(span);
        self.lab.load(self.now, span);
        self.now = next;
    }

    fn take_planned(&mut self) -> Option<(Millis, Planned)> {
        let due = self.planned.iter().position(|(at, _)| *at <= self.now)?;
        Some(self.planned.swap_remove(due))
    }

    fn plan(&mut self, after: Millis, planned: Planned) {
        self.planned.push((self.now + after, planned));
    }

    fn befall(&mut self, planned: Planned) {
        match planned {
            Planned::Event(FleetEvent::Fail(vm)) => {
                let Some(lab) = self.lab.vms.get_mut(&vm) else {
                    return;
                };
                if lab.is_dead {
                    return;
                }
                lab.is_dead = true;
                let fabric = lab.fabric;
                self.plan(LIST_LAG, Planned::Unlist(vm));
                self.plan(REPLACEMENT, Planned::Add(fabric));
            }
            Planned::Event(FleetEvent::Replace(vm)) => {
                let Some(lab) = self.lab.vms.get_mut(&vm) else {
                    return;
                };
                if lab.is_dead || lab.is_leaving {
                    return;
                }
                lab.is_leaving = true;
                let fabric = lab.fabric;
                self.plan(REPLACEMENT, Planned::Add(fabric));
                self.plan(LEAVING_NOTICE, Planned::Unlist(vm));
            }
            Planned::Event(FleetEvent::Pause(vm, span)) => {
                let until = self.now + span;
                if let Some(lab) = self.lab.vms.get_mut(&vm) {
                    lab.silent_until = lab.silent_until.max(until);
                }
                self.plan(span, Planned::Wake);
            }
            Planned::Event(FleetEvent::Dark(fabric, span)) => {
                let until = self.now + span;
                let vms = self.lab.vms.values_mut();
                for lab in vms.filter(|lab| lab.fabric == fabric) {
                    lab.silent_until = lab.silent_until.max(until);
                }
                self.plan(span, Planned::Wake);
            }
            Planned::Unlist(vm) => {
                self.lab.vms.shift_remove(&vm);
            }
            Planned::Add(fabric) => {
                let vm = VmId::from(format!("vm-{}", self.next_vm));
                self.next_vm += 1;
                self.lab.add(vm, fabric);
            }
            Planned::Wake => {}
        }
    }

    fn decide(&mut self) {
        let now = self.now;
        let wanted = self.wanted();
        for (fabric, models) in wanted.into_iter().enumerate() {
            let state = &mut self.states[fabric];
            state.handle(now, PlacementEvent::Lead(true));
            state.handle(now, PlacementEvent::Listed(self.lab.listings(fabric)));
            for report in self.lab.reports(now, fabric) {
                state.handle(now, report);
            }
            state.handle(
                now,
                PlacementEvent::Wanted {
                    roll: 1,
                    models,
                    may_replace: true,
                },
            );
            for _ in 0..ROUNDS {
                let actions = self.states[fabric].handle(now, PlacementEvent::Tick);
                if actions.is_empty() {
                    break;
                }
                for action in actions {
                    self.carry_out(fabric, action);
                }
            }
        }
    }

    fn wanted(&self) -> Vec<Vec<bergamot_placement::WantedModel>> {
        let capacities: IndexMap<FabricDomain, DomainCapacity> = (0..self.case.fabrics)
            .map(|fabric| (fabric_name(fabric), self.capacity(fabric)))
            .collect();
        let mut shares = distribute_replicas(&self.case.models, &capacities);
        (0..self.case.fabrics)
            .map(|fabric| shares.swap_remove(&fabric_name(fabric)).unwrap_or_default())
            .collect()
    }

    fn capacity(&self, fabric: usize) -> DomainCapacity {
        let state = &self.states[fabric];
        let vms = self.lab.vms.values();
        let mut capacity = DomainCapacity {
            vms: vms
                .filter(|lab| lab.fabric == fabric && !lab.is_leaving)
                .count() as u32,
            is_lost: state.is_storm(self.now),
            ..DomainCapacity::default()
        };
        for group in state
            .record()
            .iter()
            .flat_map(|record| record.groups.values())
        {
            if matches!(group.phase, GroupPhase::Forming | GroupPhase::Serving) {
                *capacity.groups.entry(group.model.name.clone()).or_default() += 1;
            }
        }
        capacity
    }

    fn carry_out(&mut self, fabric: usize, action: PlacementAction) {
        let now = self.now;
        let answer = match action {
            PlacementAction::Read => {
                let (revision, record) = self.records[fabric].clone();
                PlacementEvent::Record {
                    record,
                    revision,
                    started: now,
                }
            }
            PlacementAction::Swap { record, expected } => {
                let nonce = record.nonce;
                let (revision, current) = &mut self.records[fabric];
                let outcome = match *revision == expected {
                    true => {
                        *revision += 1;
                        *current = Some(record);
                        SwapOutcome::Won(*revision)
                    }
                    false => SwapOutcome::Lost,
                };
                self.swaps += 1;
                self.changed_at = now;
                PlacementEvent::Swapped { nonce, outcome }
            }
            PlacementAction::Order { vm, order } => {
                self.lab.obey(now, &vm, &order);
                PlacementEvent::Ordered { vm }
            }
        };
        self.states[fabric].handle(now, answer);
    }

    fn measure(&mut self, span: Millis) {
        if self.now < self.measured_from {
            return;
        }
        let seconds = span.as_secs_f64();
        let wanted: u32 = self.case.models.iter().map(|model| model.replicas).sum();
        let mut serving = 0;
        let mut idle = 0;
        let mut healthy = 0;
        let mut free = 0;
        let mut causes = self.causes;
        for (_, record) in &self.records {
            let Some(record) = record else {
                continue;
            };
            for (id, group) in &record.groups {
                let is_serving = self.is_serving(record, id);
                serving += u32::from(is_serving);
                let causes = &mut causes;
                match group.phase {
                    GroupPhase::Serving if is_serving => {}
                    GroupPhase::Serving => causes.unnoticed += seconds,
                    GroupPhase::Forming if record.is_full(id) => causes.loading += seconds,
                    GroupPhase::Forming => causes.lacking += seconds,
                    GroupPhase::Draining | GroupPhase::Releasing => causes.ending += seconds,
                }
            }
            for (vm, slot) in &record.vms {
                if !self.lab.answers(self.now, vm) {
                    continue;
                }
                healthy += 1;
                match &slot.usage {
                    VmUse::Free => free += 1,
                    VmUse::Member(id) if self.is_serving(record, id) => {}
                    VmUse::Member(_) | VmUse::Evicted(_) => idle += 1,
                }
            }
        }
        let lacking = wanted.saturating_sub(serving);
        let known: u32 = self
            .records
            .iter()
            .flat_map(|(_, record)| record)
            .map(|r| r.groups.len() as u32)
            .sum();
        causes.absent += f64::from(wanted.saturating_sub(known)) * seconds;
        self.causes = causes;
        // Spares are no waste while every wanted group serves.
        let stranded = idle + if lacking > 0 { free } else { 0 };
        self.down += f64::from(lacking) * seconds;
        self.stranded += f64::from(stranded) * seconds;
        self.healthy += f64::from(healthy) * seconds;
    }

    fn is_serving(&self, record: &DomainRecord, id: &GroupId) -> bool {
        let group = &record.groups[id];
        group.phase == GroupPhase::Serving
            && record.is_full(id)
            && record.members(id).all(|(vm, _)| {
                let lab = self.lab.vms.get(vm);
                self.lab.answers(self.now, vm)
                    && lab.is_some_and(|lab| lab.report.is_ready_in(id, group.epoch))
            })
    }

    fn result(&self) -> PlacementResult {
        let wanted: u32 = self.case.models.iter().map(|model| model.replicas).sum();
        let hours = self.now.since(self.measured_from).as_secs_f64() / 3_600.0;
        PlacementResult {
            downtime_per_group_hour: self.down / (f64::from(wanted) * hours),
            stranded_share: self.stranded / self.healthy.max(1.0),
            swaps: self.swaps,
            load_hours: self.lab.loaded_seconds / 3_600.0,
            causes: self.causes,
        }
    }
}

/// Rounds of decisions in one step.
const ROUNDS: usize = 6;

fn fabric_name(fabric: usize) -> FabricDomain {
    FabricDomain::from(format!("fabric-{fabric}"))
}
