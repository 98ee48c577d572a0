//! A fleet of entry VMs before one upstream that advertises a limit, in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use bergamot_quota::{
    LimitObservation, LimitReport, PermitAnswer, PermitClaim, PermitQuestion, PermitStep,
    PermitVerdict, QuotaAction, QuotaEvent, QuotaState, QuotaTarget, TokenBucket,
};
use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How VMs keep to a limit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LimitPolicy {
    /// Not at all.
    Ignored,
    /// Each to the whole limit by itself.
    Alone,
    /// Each to an equal part of it, by the VMs that it knows of.
    EqualParts,
    /// Each request has a permit of the quota's owner.
    Owner,
}

impl LimitPolicy {
    /// All ways.
    pub const ALL: [Self; 4] = [Self::Ignored, Self::Alone, Self::EqualParts, Self::Owner];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Ignored => "ignored",
            Self::Alone => "alone",
            Self::EqualParts => "parts",
            Self::Owner => "owner",
        }
    }
}

/// A fleet, its callers and what befalls it.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// Entry VMs.
    pub vms: usize,
    /// Failure domains that they are spread over.
    pub domains: usize,
    /// Requests a second that the upstream takes.
    pub limit: f64,
    /// Requests a second that callers have for it.
    pub demand: f64,
    /// How unevenly these come to the VMs: 0 is evenly.
    pub skew: f64,
    /// Part of the datagrams that are lost.
    pub lost: f64,
    /// Part of the others that come twice.
    pub doubled: f64,
    /// Time that one takes at most, in milliseconds.
    pub delay: u64,
    /// Time between two changes of the list of VMs, in milliseconds; 0: none.
    pub churn: u64,
    /// Time between two VMs that are suspended, in milliseconds; 0: none.
    pub suspensions: u64,
    /// How long it is played.
    pub seconds: u64,
    /// Whether VMs tell each other of the limit. Where not, each hears of it by its own answers alone.
    pub tells: bool,
}

impl FleetPlan {
    /// A calm fleet.
    pub const fn calm(vms: usize, domains: usize, limit: f64, demand: f64) -> Self {
        Self {
            vms,
            domains,
            limit,
            demand,
            skew: 1.0,
            lost: 0.0,
            doubled: 0.0,
            delay: 5,
            churn: 0,
            suspensions: 0,
            seconds: if vms > 100 { 14 } else { 30 },
            tells: true,
        }
    }
}

/// What reached the upstream.
#[derive(Clone, Debug, Default)]
pub struct FleetTally {
    /// When requests came, and from which VM.
    pub sent: Vec<(u64, usize)>,
    /// When each VM first heard of the limit itself.
    pub told: BTreeMap<usize, u64>,
    /// Moments at which each VM was suspended or cut out, with their ends.
    pub excused: Vec<(u64, u64, usize)>,
}

/// When the upstream advertises its limit, in milliseconds.
pub const NAMED_AT: u64 = 3_000;
/// Time after that from which it is to be kept, in milliseconds, as the users set it.
pub const CONTACT_TIME: u64 = 3_000;
/// The span over which requests are counted, in milliseconds, as the users set it.
const WINDOW: u64 = 4_000;

impl FleetTally {
    /// The most requests in 4 s from VMs that had heard half a second before, once all must keep to the limit.
    pub fn most_in_window(&self) -> usize {
        let counted = self.sent.iter().filter(|(at, vm)| {
            let is_told = self.told.get(vm).is_some_and(|told| told + 500 <= *at);
            let is_excused = self
                .excused
                .iter()
                .any(|(from, to, it)| it == vm && from <= at && *at <= to + CONTACT_TIME);
            *at >= NAMED_AT + CONTACT_TIME && is_told && !is_excused
        });
        let times: Vec<u64> = counted.map(|(at, _)| *at).collect();
        let within = |start: u64| {
            times
                .iter()
                .filter(move |at| (start..start + WINDOW).contains(*at))
        };
        times
            .iter()
            .map(|start| within(*start).count())
            .max()
            .unwrap_or(0)
    }

    /// The part of the limit that was used from then on.
    pub fn used_part(&self, plan: &FleetPlan) -> f64 {
        let from = NAMED_AT + CONTACT_TIME;
        let sent = self.sent.iter().filter(|(at, _)| *at >= from).count();
        sent as f64 / (plan.limit * (plan.seconds * 1_000 - from) as f64 / 1_000.0)
    }
}

/// The most that the users allow in 4 s.
pub fn allowed(limit: f64) -> usize {
    (limit * 4.0 * 1.5 + 5.0) as usize
}

enum Message {
    Question(PermitQuestion),
    Answer(PermitAnswer),
    Word(LimitReport),
}

struct Vm {
    quota: QuotaState,
    bucket: Option<TokenBucket>,
    held_until: u64,
    /// When its list of VMs is next brought up to date.
    list_at: u64,
    suspended_until: u64,
    weight: f64,
}

/// The fleet as it is played.
pub struct LimitedFleet {
    plan: FleetPlan,
    policy: LimitPolicy,
    random: ChaCha8Rng,
    vms: Vec<Vm>,
    listed: Vec<bool>,
    messages: BTreeMap<(u64, u64), (usize, Message)>,
    count: u64,
    settled: BTreeSet<u64>,
    tally: FleetTally,
    incarnation: UpstreamIncarnation,
    domain: FailureDomain,
}

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

impl LimitedFleet {
    /// A fleet that keeps to the limit in one way.
    pub fn new(plan: FleetPlan, policy: LimitPolicy, seed: u64) -> Self {
        let vms = (0..plan.vms).map(|vm| Vm {
            quota: QuotaState::new(name(vm), vm as u64 * 1_000_000),
            bucket: None,
            held_until: 0,
            list_at: 0,
            suspended_until: 0,
            weight: 1.0 / ((vm + 1) as f64).powf(plan.skew),
        });
        Self {
            plan,
            policy,
            random: ChaCha8Rng::seed_from_u64(seed),
            vms: vms.collect(),
            listed: vec![true; plan.vms],
            messages: BTreeMap::new(),
            count: 0,
            settled: BTreeSet::new(),
            tally: FleetTally::default(),
            incarnation: UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(1))),
            domain: FailureDomain::from("domain-0".to_owned()),
        }
    }

    /// Plays it to its end.
    pub fn play(mut self) -> FleetTally {
        let total: f64 = self.vms.iter().map(|vm| vm.weight).sum();
        for now in 0..self.plan.seconds * 1_000 {
            self.befall(now);
            self.update_lists(now);
            self.deliver(now);
            for vm in 0..self.vms.len() {
                let rate = self.plan.demand * self.vms[vm].weight / total;
                let comes = self.random.random_bool((rate / 1_000.0).min(1.0));
                if comes && self.vms[vm].suspended_until <= now {
                    self.request(vm, now);
                }
            }
        }
        self.tally
    }

    fn befall(&mut self, now: u64) {
        let is_due = |period: u64| period > 0 && now > 0 && now.is_multiple_of(period);
        if is_due(self.plan.suspensions) {
            let vm = self.random.random_range(0..self.vms.len());
            let until = now + self.random.random_range(500..5_000);
            self.vms[vm].suspended_until = until;
            self.tally.excused.push((now, until, vm));
        }
        if is_due(self.plan.churn) {
            let vm = self.random.random_range(0..self.vms.len());
            self.listed[vm] = !self.listed[vm];
            for vm in &mut self.vms {
                // News of the list comes to each VM by itself.
                vm.list_at = now + self.random.random_range(0..1_500);
            }
        }
    }

    fn update_lists(&mut self, now: u64) {
        let listed: Vec<(FailureDomain, String)> = (0..self.vms.len())
            .filter(|vm| self.listed[*vm])
            .map(|vm| {
                let domain = format!("domain-{}", vm % self.plan.domains);
                (FailureDomain::from(domain), name(vm))
            })
            .collect();
        for vm in &mut self.vms {
            if vm.list_at == now && vm.suspended_until <= now {
                vm.quota.set_vms(Millis(now), listed.clone());
            }
        }
    }

    fn request(&mut self, vm: usize, now: u64) {
        let is_named = now >= NAMED_AT;
        let may_send = match self.policy {
            LimitPolicy::Ignored => true,
            LimitPolicy::Alone => self.take(vm, now, self.plan.limit),
            LimitPolicy::EqualParts => {
                let known = self.listed.iter().filter(|is_listed| **is_listed).count();
                self.take(vm, now, self.plan.limit / known.max(1) as f64)
            }
            LimitPolicy::Owner => return self.ask(vm, now),
        };
        if may_send || !is_named {
            self.send(vm, now);
        }
    }

    fn take(&mut self, vm: usize, now: u64, rate: f64) -> bool {
        let is_told = self.tally.told.contains_key(&vm);
        let bucket = &mut self.vms[vm].bucket;
        let bucket = bucket.get_or_insert_with(|| TokenBucket::empty(rate, Millis(now)));
        bucket.set_rate(Millis(now), rate);
        !is_told || bucket.take(Millis(now))
    }

    fn ask(&mut self, vm: usize, now: u64) {
        if self.vms[vm].held_until > now {
            return;
        }
        let (incarnation, failure_domain) = (self.incarnation.clone(), self.domain.clone());
        let place = QuotaTarget {
            incarnation: &incarnation,
            failure_domain: &failure_domain,
        };
        let claim = PermitClaim {
            priority: 1,
            account: 7,
        };
        match self.vms[vm].quota.request_permit(Millis(now), place, claim) {
            PermitStep::NotNeeded | PermitStep::Granted => self.send(vm, now),
            PermitStep::Later(wait) => self.vms[vm].held_until = now + wait.0,
            PermitStep::Ask { owner, question } => {
                let owner = owner.trim_start_matches("vm-").parse().expect("a number");
                self.post(now, owner, || Message::Question(question.clone()));
            }
        }
    }

    fn post<Make>(&mut self, now: u64, to: usize, make: Make)
    where
        Make: Fn() -> Message,
    {
        if self.random.random_bool(self.plan.lost) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.plan.doubled));
        for _ in 0..copies {
            self.count += 1;
            let at = now + 1 + self.random.random_range(0..self.plan.delay);
            self.messages.insert((at, self.count), (to, make()));
        }
    }

    fn deliver(&mut self, now: u64) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let ((_, count), (to, message)) = entry.remove_entry();
            let until = self.vms[to].suspended_until;
            if until > now {
                self.messages.insert((until, count), (to, message));
                continue;
            }
            self.take_in(to, now, &message);
        }
    }

    fn take_in(&mut self, vm: usize, now: u64, message: &Message) {
        let actions = match message {
            Message::Word(report) => {
                let event = QuotaEvent::Reported(report);
                self.vms[vm].quota.handle(Millis(now), event)
            }
            Message::Question(question) => {
                let event = QuotaEvent::PermitRequested(question);
                self.vms[vm].quota.handle(Millis(now), event)
            }
            Message::Answer(answer) => {
                let event = QuotaEvent::PermitAnswered(answer);
                let actions = self.vms[vm].quota.handle(Millis(now), event);
                // A second copy of an answer finds nobody who waits.
                let is_first = self.settled.insert(answer.number);
                if is_first && answer.verdict == PermitVerdict::Granted {
                    self.send(vm, now);
                }
                actions
            }
        };
        for action in actions {
            match action {
                QuotaAction::Answer { vm, answer } => {
                    let to = vm.trim_start_matches("vm-").parse().expect("a number");
                    self.post(now, to, || Message::Answer(answer));
                }
                QuotaAction::BackOff { wait, .. } => self.vms[vm].held_until = now + wait.0,
                QuotaAction::LogChange(..) | QuotaAction::Broadcast(_) => {}
            }
        }
    }

    fn send(&mut self, vm: usize, now: u64) {
        self.tally.sent.push((now, vm));
        if now < NAMED_AT {
            return;
        }
        self.tally.told.entry(vm).or_insert(now);
        let milli = (self.plan.limit * 1_000.0) as u32;
        let observation = LimitObservation {
            rate: Some(SendRate::from_milli(milli)),
            sent_at: Millis(now),
            received_at: Millis(now),
        };
        let (incarnation, failure_domain) = (self.incarnation.clone(), self.domain.clone());
        let place = QuotaTarget {
            incarnation: &incarnation,
            failure_domain: &failure_domain,
        };
        let event = QuotaEvent::Observed(place, observation);
        let actions = self.vms[vm].quota.handle(Millis(now), event);
        for action in actions {
            if let QuotaAction::Broadcast(report) = action
                && self.plan.tells
            {
                for to in (0..self.vms.len()).filter(|to| *to != vm) {
                    self.post(now, to, || Message::Word(report.clone()));
                }
            }
        }
    }
}

/// A fleet that is played in each way.
#[derive(Clone, Copy, Debug)]
pub struct NamedFleet {
    /// What it is.
    pub name: &'static str,
    /// Its plan.
    pub plan: FleetPlan,
    /// Plays of it.
    pub plays: u64,
}

/// Small and large fleets with small and large limits, and nothing that befalls them.
pub const CALM_FLEETS: [NamedFleet; 4] = [
    NamedFleet {
        name: "9 VMs, 1.9 a second",
        plan: FleetPlan::calm(9, 3, 1.9, 8.0),
        plays: 3,
    },
    NamedFleet {
        name: "9 VMs, 20 a second",
        plan: FleetPlan::calm(9, 3, 20.0, 60.0),
        plays: 3,
    },
    NamedFleet {
        name: "195 VMs, 1.9 a second",
        plan: FleetPlan::calm(195, 5, 1.9, 30.0),
        plays: 1,
    },
    NamedFleet {
        name: "195 VMs, 20 a second",
        plan: FleetPlan::calm(195, 5, 20.0, 60.0),
        plays: 1,
    },
];

/// What came of a fleet in one way.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PlayedFleet {
    /// The most requests in 4 s over all plays.
    pub most: usize,
    /// The mean part of the limit that was used.
    pub used: f64,
}

/// Plays a fleet in one way.
pub fn play_fleets(fleet: &NamedFleet, policy: LimitPolicy) -> PlayedFleet {
    let plan = fleet.plan;
    let tallies = (0..fleet.plays).map(|seed| LimitedFleet::new(plan, policy, seed).play());
    let tallies: Vec<FleetTally> = tallies.collect();
    let most = tallies.iter().map(FleetTally::most_in_window).max();
    let used: f64 = tallies.iter().map(|it| it.used_part(&plan)).sum();
    PlayedFleet {
        most: most.unwrap_or(0),
        used: used / tallies.len().max(1) as f64,
    }
}

/// A table of all ways, a line each.
pub fn limits_table() -> Vec<String> {
    let mut lines = vec![format!(
        "{:<22} {:>10} {:>12} {:>10} {:>10}",
        "fleet", "policy", "most in 4 s", "allowed", "used part"
    )];
    for fleet in CALM_FLEETS {
        for policy in LimitPolicy::ALL {
            let PlayedFleet { most, used } = play_fleets(&fleet, policy);
            let allowed = allowed(fleet.plan.limit);
            lines.push(format!(
                "{:<22} {:>10} {most:>12} {allowed:>10} {used:>10.2}",
                fleet.name,
                policy.as_str()
            ));
        }
    }
    lines
}
