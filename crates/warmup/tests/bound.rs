//! Guards against more arrivals at a cold upstream than it tolerates, and against a cold upstream
//! that is avoided while callers wait.

mod support;

use std::collections::BTreeMap;

use bergamot_ports::WarmUpBounds;
use bergamot_types::prelude::*;
use bergamot_warmup::{
    ANSWER_TIMEOUT, ColdAnswer, ColdQuestion, ColdStep, ColdVerdict, PERMIT_VALIDITY, WarmUpAction,
    WarmUpEvent, WarmUpState,
};
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{BOUNDS, CLAIM, RATE, entry, with_target};

const START: u64 = 10_000;
const END: u64 = 26_000;
/// Requests per second of all VMs for which the cold upstream is selected if its gate is open.
const DEMAND: u64 = 300;

#[derive(Clone, Copy)]
struct BoundCase {
    name: &'static str,
    bounds: WarmUpBounds,
    loss: f64,
    duplicates: f64,
    /// Longest time of a datagram, in milliseconds.
    max_transit: u64,
    /// Whether requests come in bursts and permits are used so that all of 1.3 s arrive in one
    /// second. Otherwise they are used at once.
    is_bunched: bool,
    /// Times at which the owner is removed from the list of VMs or added to it again.
    list_changes: &'static [u64],
    /// How long the removed VM gets no confirmation of its list, from its removal on.
    partition: u64,
    /// Smallest part of the rate that must be used.
    min_use: f64,
}

/// A bound that the supply of permits exhausts.
const TIGHT_BOUNDS: WarmUpBounds = WarmUpBounds {
    excess: 1.5,
    slack: 0.0,
};
/// Bursts begin once per period, at this time in it, and end after the grant span.
const BURST_PERIOD: u64 = 2_000;
const BURST_START: u64 = 400;
const BURST_END: u64 = 1_700;

const HEALTHY: BoundCase = BoundCase {
    name: "healthy network",
    bounds: BOUNDS,
    loss: 0.0,
    duplicates: 0.0,
    max_transit: 5,
    is_bunched: false,
    list_changes: &[],
    partition: 0,
    min_use: 0.8,
};
const BUNCHED: BoundCase = BoundCase {
    name: "a bound that the permits exhaust",
    bounds: TIGHT_BOUNDS,
    max_transit: 1,
    is_bunched: true,
    min_use: 0.0,
    ..HEALTHY
};
const CASES: [BoundCase; 5] = [
    HEALTHY,
    BUNCHED,
    BoundCase {
        name: "late, lost and duplicated messages",
        loss: 0.1,
        duplicates: 0.1,
        max_transit: 60,
        ..BUNCHED
    },
    BoundCase {
        name: "owners that change",
        loss: 0.02,
        duplicates: 0.05,
        max_transit: 20,
        list_changes: &[15_000, 20_000],
        ..BUNCHED
    },
    BoundCase {
        name: "an owner that is removed while it is partitioned and returns",
        loss: 0.02,
        duplicates: 0.05,
        max_transit: 20,
        list_changes: &[14_500, 18_500],
        partition: 5_000,
        ..BUNCHED
    },
];

#[derive(Clone)]
enum Step {
    Ask,
    Tick,
    Question(ColdQuestion),
    Answer(ColdAnswer),
    TimedOut(u64),
    /// The permit's time and the time at which the request arrives.
    Send(u64, u64),
}

struct Vm {
    state: WarmUpState,
    gate_until: u64,
    /// The list that the VM knows, and when it was confirmed.
    list: usize,
    confirmed_at: u64,
    asked_at: IndexMap<u64, u64>,
}

struct Fleet {
    case: BoundCase,
    vms: Vec<Vm>,
    owner: usize,
    random: ChaCha8Rng,
    /// What happens at which VM, by time and number.
    steps: BTreeMap<(u64, u64), (usize, Step)>,
    next_step: u64,
    arrivals: Vec<u64>,
}

fn vm_name(vm: usize) -> String {
    format!("vm-{vm}")
}

fn vm_index(name: &str) -> usize {
    name["vm-".len()..].parse().expect("the name has a number")
}

impl Fleet {
    fn new(case: BoundCase, vms: usize, seed: u64) -> Self {
        let new_vm = |vm| Vm {
            state: WarmUpState::new(vm_name(vm), vm as u64 * 1_000_000),
            gate_until: 0,
            list: 0,
            confirmed_at: START,
            asked_at: IndexMap::new(),
        };
        let mut fleet = Self {
            case,
            vms: (0..vms).map(new_vm).collect(),
            owner: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            steps: BTreeMap::new(),
            next_step: 0,
            arrivals: Vec::new(),
        };
        for vm in 0..vms {
            fleet.learn(START, vm, 0);
            let phase = fleet.random.random_range(0..250);
            fleet.schedule(START + phase, vm, Step::Tick);
            fleet.schedule(START + 1, vm, Step::Ask);
        }
        fleet.owner = fleet.owner_of(vms - 1);
        fleet
    }

    /// Returns the owner according to a VM, which must not be the owner itself.
    fn owner_of(&mut self, vm: usize) -> usize {
        for vm in [vm, vm - 1] {
            if let ColdStep::Ask { owner, .. } = self.request(START, vm) {
                return vm_index(&owner);
            }
        }
        panic!("one of two VMs is not the owner");
    }

    fn schedule(&mut self, at: u64, vm: usize, step: Step) {
        if at < END {
            self.next_step += 1;
            self.steps.insert((at, self.next_step), (vm, step));
        }
    }

    /// Sends a datagram, which may be late, lost or duplicated.
    fn send(&mut self, now: u64, vm: usize, step: &Step) {
        let copies = 1 + usize::from(self.random.random_bool(self.case.duplicates));
        for _ in 0..copies {
            if !self.random.random_bool(self.case.loss) {
                let at = now + self.random.random_range(1..=self.case.max_transit);
                self.schedule(at, vm, step.clone());
            }
        }
    }

    fn request(&mut self, now: u64, vm: usize) -> ColdStep {
        let state = &mut self.vms[vm].state;
        with_target(entry(1, START, 600_000), self.case.bounds, |target| {
            state.request_permit(Millis(now), target, CLAIM)
        })
    }

    fn handle(&mut self, now: u64, vm: usize, event: WarmUpEvent<'_>) -> Vec<WarmUpAction> {
        let actions = self.vms[vm].state.handle(Millis(now), event);
        for action in &actions {
            if let WarmUpAction::BackOff { wait, .. } = action {
                self.vms[vm].gate_until = now + wait.0;
            }
        }
        actions
    }

    /// Tells a VM the list with this number: the owner is missing in those with an odd number.
    fn learn(&mut self, now: u64, vm: usize, list: usize) {
        let removed = (list % 2 == 1).then_some(self.owner);
        let listed = (0..self.vms.len()).filter(|listed| Some(*listed) != removed);
        let listed = listed.map(|listed| (FailureDomain::new("east"), vm_name(listed)));
        let listed: Vec<_> = listed.collect();
        self.vms[vm].list = list;
        self.vms[vm].state.set_vms(Millis(now), listed);
    }

    /// Confirms a VM's list as of a recent time, unless it is partitioned.
    fn tick(&mut self, now: u64, vm: usize) {
        self.schedule(now + 250, vm, Step::Tick);
        let changes = self.case.list_changes;
        let current = changes.iter().filter(|at| **at <= now).count();
        let removed_at = changes.first().copied().unwrap_or(END);
        let partition = removed_at..removed_at + self.case.partition;
        if vm == self.owner && partition.contains(&now) {
            return;
        }
        let mut confirmed_at = now - self.random.random_range(0..600).min(now - START);
        if self.vms[vm].list < current {
            // A VM learns of the latest list within two seconds; until then it confirms the
            // earlier one.
            let change = changes[self.vms[vm].list];
            confirmed_at = confirmed_at.min(change - 1);
            let changed_at = changes[current - 1];
            // Most VMs learn of it soon.
            let delay = self.random.random_range(0..1_800_u64).pow(2) / 1_800;
            if now > changed_at + delay {
                self.learn(now, vm, current);
                confirmed_at = now;
            }
        }
        let confirmed_at = confirmed_at.max(self.vms[vm].confirmed_at);
        self.vms[vm].confirmed_at = confirmed_at;
        self.handle(now, vm, WarmUpEvent::ListConfirmed(Millis(confirmed_at)));
    }

    fn ask(&mut self, now: u64, vm: usize) {
        let mean_pause = 1_000 * self.vms.len() as u64 / DEMAND;
        let pause = self.random.random_range(1..=2 * mean_pause.max(1));
        self.schedule(now + pause, vm, Step::Ask);
        let is_burst = (BURST_START..BURST_END).contains(&(now % BURST_PERIOD));
        if now < self.vms[vm].gate_until || (self.case.is_bunched && !is_burst) {
            return;
        }
        match self.request(now, vm) {
            ColdStep::NotNeeded => panic!("the upstream is cold"),
            ColdStep::NotAsked => panic!("the request may ask"),
            ColdStep::Granted => self.use_permit(now, vm, now),
            ColdStep::Later(wait) | ColdStep::NoOwner(wait) => {
                self.vms[vm].gate_until = now + wait.0;
            }
            ColdStep::Ask { owner, question } => {
                self.vms[vm].asked_at.insert(question.number, now);
                let timeout = Step::TimedOut(question.number);
                self.schedule(now + ANSWER_TIMEOUT.0, vm, timeout);
                self.send(now, vm_index(&owner), &Step::Question(question));
            }
        }
    }

    fn use_permit(&mut self, now: u64, vm: usize, granted_at: u64) {
        if !self.case.is_bunched {
            return self.schedule(now, vm, Step::Send(granted_at, now));
        }
        let arrives_at = now - now % BURST_PERIOD + BURST_END - 1_000;
        let validity_end = granted_at + PERMIT_VALIDITY.0;
        let send_at = arrives_at.min(validity_end).max(now);
        let arrives_at = arrives_at.min(send_at + 100).max(send_at);
        self.schedule(send_at, vm, Step::Send(granted_at, arrives_at));
    }

    fn answer(&mut self, now: u64, vm: usize, question: &ColdQuestion) {
        let bounds = self.case.bounds;
        let actions = with_target(entry(1, START, 600_000), bounds, |target| {
            self.handle(
                now,
                vm,
                WarmUpEvent::PermitRequested(question, Some(target)),
            )
        });
        for action in actions {
            if let WarmUpAction::Answer { vm, answer } = action {
                self.send(now, vm_index(&vm), &Step::Answer(answer));
            }
        }
    }

    fn step(&mut self, now: u64, vm: usize, step: Step) {
        match step {
            Step::Ask => self.ask(now, vm),
            Step::Tick => self.tick(now, vm),
            Step::Question(question) => self.answer(now, vm, &question),
            Step::Answer(answer) => {
                let actions = self.handle(now, vm, WarmUpEvent::PermitAnswered(&answer));
                let is_resolved = actions.contains(&WarmUpAction::Resolve(answer));
                if is_resolved && answer.verdict == ColdVerdict::Granted {
                    self.use_permit(now, vm, self.vms[vm].asked_at[&answer.number]);
                }
            }
            Step::TimedOut(number) => {
                self.handle(now, vm, WarmUpEvent::TimedOut(number));
            }
            Step::Send(granted_at, arrives_at) => {
                if now - granted_at <= PERMIT_VALIDITY.0 {
                    self.arrivals.push(arrives_at);
                }
            }
        }
    }

    fn run(&mut self) {
        while let Some(((now, _), (vm, step))) = self.steps.pop_first() {
            self.step(now, vm, step);
        }
        self.arrivals.sort_unstable();
    }

    fn most_in_one_second(&self) -> usize {
        let starts = self.arrivals.iter().enumerate();
        let counts = starts.map(|(first, start)| {
            let end = self.arrivals.partition_point(|at| *at < start + 1_000);
            end - first
        });
        counts.max().unwrap_or(0)
    }
}

#[test]
fn arrivals_in_any_second_stay_within_the_bound_and_the_rate_is_used() {
    for case in CASES {
        let bound = (RATE.per_second() * case.bounds.excess + case.bounds.slack) as usize;
        for (vms, seeds) in [(9, 12), (73, 6), (195, 3)] {
            for seed in 0..seeds {
                let mut fleet = Fleet::new(case, vms, seed);
                fleet.run();
                let most = fleet.most_in_one_second();
                let used = fleet.arrivals.iter().filter(|at| **at >= 13_000).count();
                let used = used as f64 / ((END - 13_000) as f64 / 1_000.0);
                let used = used / RATE.per_second();
                let run = format!("{}, {vms} VMs, seed {seed}", case.name);
                println!("{run}: {most} of {bound}, use {used:.2}");
                assert!(most <= bound, "{run}: {most}");
                assert!(used >= case.min_use, "{run}: {used}");
            }
        }
    }
}
