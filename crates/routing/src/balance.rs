//! Which upstream a request goes to.

use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::runner::{RunnerFact, RunnerTable};

/// How an upstream is chosen. All but the first are baselines.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancePolicy {
    /// Prefix affinity within a few candidates, two choices by load, slow ones set aside.
    #[default]
    Affinity,
    /// Each in turn.
    RoundRobin,
    /// The least load of all.
    LeastLoaded,
    /// The prefix's first choice, whatever its load.
    PureHash,
    /// Nested subsets by account and then by prefix, at random within, as in the cited paper.
    NestedSubsets,
}

/// Settings of the choice.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceOptions {
    /// How an upstream is chosen.
    pub policy: BalancePolicy,
    /// Upstreams a prefix may go to.
    pub candidates: usize,
    /// How much more loaded than the second choice the first may be, in requests.
    pub affinity_slack: f64,
    /// Whether candidates of the home failure domain come before all others. It saves the way
    /// between failure domains and costs one copy of each prefix in every failure domain.
    pub prefer_home: bool,
    /// Requests an upstream of the home failure domain may have more than one outside.
    pub home_slack: f64,
    /// Times the median latency beyond which an upstream is set aside.
    pub slow_factor: f64,
    /// Least latency that can count as slow, in milliseconds.
    pub slow_floor_ms: f64,
    /// First time set aside.
    pub set_aside: Millis,
    /// Age up to which evidence allows dispatch.
    pub evidence_max_age: Millis,
    /// Failures in a row that set an upstream aside.
    pub failures_allowed: u32,
}

impl Default for BalanceOptions {
    fn default() -> Self {
        Self {
            policy: BalancePolicy::Affinity,
            candidates: 3,
            affinity_slack: 8.0,
            prefer_home: false,
            home_slack: 0.0,
            slow_factor: 3.0,
            slow_floor_ms: 100.0,
            set_aside: Millis(5_000),
            evidence_max_age: Millis(3_000),
            failures_allowed: 3,
        }
    }
}

/// What the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Whose request.
    pub account: &'a ClientAccount,
    /// Hash of the prompt's first part.
    pub prefix: u64,
    /// The failure domain of this entry VM.
    pub home: &'a FailureDomain,
    /// Upstreams that this request was tried at already.
    pub tried: &'a [UpstreamId],
}

/// The outcome of a choice.
#[derive(Clone, PartialEq, Debug)]
pub enum Choice {
    /// Send it there.
    Upstream(RunnerFact),
    /// Ask this upstream's members first; what is known of it is too old.
    Probe(RunnerFact),
    /// There is none.
    None,
}

/// Chooses upstreams for one model or service.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: BalanceOptions,
    table: RunnerTable,
    random: ChaCha8Rng,
    turn: usize,
}

/// How much of a new sample enters the smoothed latency.
const LATENCY_GAIN: f64 = 0.2;
/// Samples before a latency says anything.
const MIN_SAMPLES: u64 = 5;
/// Share of its turns an upstream takes when it is let back first.
const FIRST_ADMISSION: f64 = 0.1;
/// Longest time set aside, as a multiple of the first.
const MAX_SET_ASIDE: u64 = 24;
/// Size of an account's subset in [`BalancePolicy::NestedSubsets`].
const ACCOUNT_SUBSET: usize = 12;

impl Balancer {
    /// A balancer without upstreams.
    pub fn new(options: BalanceOptions, seed: u64) -> Self {
        Self {
            options,
            table: RunnerTable::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            turn: 0,
        }
    }

    /// What is known of the upstreams.
    pub fn table(&self) -> &RunnerTable {
        &self.table
    }

    /// Takes over the routable upstreams.
    pub fn replace(&mut self, facts: Vec<RunnerFact>) {
        self.table.replace(facts);
    }

    /// Chooses an upstream. Count it with [`Balancer::note_sent`] when the request is sent.
    ///
    /// Costs a hash for each upstream.
    pub fn pick(&mut self, now: Millis, request: &PickRequest<'_>) -> Choice {
        let untried: Vec<&RunnerFact> = self
            .table
            .facts()
            .values()
            .filter(|fact| !request.tried.contains(&fact.id))
            .collect();
        if untried.is_empty() {
            return Choice::None;
        }
        let chosen = match self.options.policy {
            BalancePolicy::Affinity => {
                let admitted = admitted(now, &self.table, &mut self.random, &untried);
                self.pick_affine(request, &admitted)
            }
            BalancePolicy::RoundRobin => {
                self.turn = self.turn.wrapping_add(1);
                untried[self.turn % untried.len()].clone()
            }
            BalancePolicy::LeastLoaded => self.least_loaded(&untried),
            BalancePolicy::PureHash => ranked(request.prefix, &untried)[0].clone(),
            BalancePolicy::NestedSubsets => {
                let account = hash_bytes(request.account.as_str().as_bytes());
                let outer = ranked(account, &untried);
                let outer = &outer[..outer.len().min(ACCOUNT_SUBSET)];
                let inner = ranked(request.prefix, outer);
                let size = inner.len().min(self.options.candidates);
                inner[self.random.random_range(0..size)].clone()
            }
        };
        match now.since(chosen.evidence_at) > self.options.evidence_max_age {
            true => Choice::Probe(chosen),
            false => Choice::Upstream(chosen),
        }
    }

    fn pick_affine(&self, request: &PickRequest<'_>, facts: &[&RunnerFact]) -> RunnerFact {
        let candidates = ranked(request.prefix, facts);
        let count = self.options.candidates.min(candidates.len()).max(1);
        // Home candidates first: another domain's is worth it only when home is much busier.
        let load = |fact: &RunnerFact| {
            let away = fact.failure_domain != *request.home;
            let penalty = if away { self.options.home_slack } else { 0.0 };
            self.table.estimated_load(&fact.id) + penalty
        };
        let home: Vec<&RunnerFact> = candidates
            .iter()
            .copied()
            .filter(|fact| fact.failure_domain == *request.home)
            .take(count)
            .collect();
        let pool: Vec<&RunnerFact> = match self.options.prefer_home && home.len() >= 2 {
            true => {
                let away = candidates.iter().copied();
                let away = away.filter(|fact| fact.failure_domain != *request.home);
                home.into_iter().chain(away.take(1)).collect()
            }
            false => candidates[..count].to_vec(),
        };
        let first = pool[0];
        let best = pool
            .iter()
            .copied()
            .min_by(|a, b| load(a).total_cmp(&load(b)))
            .unwrap_or(first);
        match load(first) <= load(best) + self.options.affinity_slack {
            true => first.clone(),
            false => best.clone(),
        }
    }

    fn least_loaded(&self, facts: &[&RunnerFact]) -> RunnerFact {
        let least = facts.iter().min_by(|a, b| {
            let load = |fact: &RunnerFact| self.table.estimated_load(&fact.id);
            load(a).total_cmp(&load(b))
        });
        least.map_or_else(|| facts[0].clone(), |fact| (*fact).clone())
    }

    /// Counts a request that is sent.
    pub fn note_sent(&mut self, id: &UpstreamId) {
        let load = self.table.load_mut(id);
        load.in_flight += 1;
        load.sent_since_report += 1;
    }

    /// Counts the end of a request that was sent.
    pub fn note_ended(&mut self, id: &UpstreamId) {
        let load = self.table.load_mut(id);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Notes a failure; several in a row set the upstream aside.
    pub fn note_failed(&mut self, now: Millis, id: &UpstreamId) {
        let allowed = self.options.failures_allowed;
        let load = self.table.load_mut(id);
        load.failures += 1;
        if load.failures >= allowed {
            self.set_aside(now, id);
        }
    }

    /// Notes evidence that came with an answer.
    pub fn note_evidence(&mut self, id: &UpstreamId, epoch: u32, asked: Millis) {
        self.table.note_evidence(id, epoch, asked);
    }

    /// Notes the time to the first token of an answer.
    pub fn note_latency(&mut self, now: Millis, id: &UpstreamId, latency: Millis) {
        let median = self.median_latency();
        let load = self.table.load_mut(id);
        load.failures = 0;
        load.samples += 1;
        let sample = latency.0 as f64;
        let gain = if load.samples == 1 { 1.0 } else { LATENCY_GAIN };
        load.latency += (sample - load.latency) * gain;
        let slow = (median * self.options.slow_factor).max(self.options.slow_floor_ms);
        // One that was set aside before has to prove itself with its first answer.
        let needed = match load.set_asides {
            0 => MIN_SAMPLES,
            _ => 1,
        };
        let is_slow = load.samples >= needed && median > 0.0 && load.latency > slow;
        if is_slow {
            self.set_aside(now, id);
        } else if load.admission < 1.0 && sample <= slow {
            load.admission = (load.admission * 2.0).min(1.0);
            if load.admission >= 1.0 {
                load.set_asides = 0;
            }
        }
    }

    fn set_aside(&mut self, now: Millis, id: &UpstreamId) {
        let first = self.options.set_aside;
        let load = self.table.load_mut(id);
        if load.set_aside_until > now {
            return;
        }
        let factor = (1_u64 << load.set_asides.min(6)).min(MAX_SET_ASIDE);
        load.set_asides += 1;
        load.set_aside_until = now + Millis(first.0 * factor);
        load.admission = FIRST_ADMISSION;
        // It proves itself anew when it is let back.
        load.samples = 0;
        load.latency = 0.0;
        load.failures = 0;
    }

    fn median_latency(&self) -> f64 {
        let mut known: Vec<f64> = self
            .table
            .loads()
            .values()
            .filter(|load| load.samples >= MIN_SAMPLES)
            .map(|load| load.latency)
            .collect();
        if known.is_empty() {
            return 0.0;
        }
        let middle = known.len() / 2;
        *known.select_nth_unstable_by(middle, f64::total_cmp).1
    }
}

/// Upstreams that take part: those set aside do not, those let back take some turns.
fn admitted<'a>(
    now: Millis,
    table: &RunnerTable,
    random: &mut ChaCha8Rng,
    facts: &[&'a RunnerFact],
) -> Vec<&'a RunnerFact> {
    let mut admitted = Vec::with_capacity(facts.len());
    for fact in facts {
        let load = table.loads().get(&fact.id);
        let (until, share) = load.map_or((Millis::ZERO, 1.0), |load| {
            (load.set_aside_until, load.admission)
        });
        let has_turn = share >= 1.0 || random.random_bool(share.clamp(0.0, 1.0));
        if until <= now && has_turn {
            admitted.push(*fact);
        }
    }
    match admitted.is_empty() {
        // Better a slow answer than none.
        true => facts.to_vec(),
        false => admitted,
    }
}

fn ranked<'a>(key: u64, facts: &[&'a RunnerFact]) -> Vec<&'a RunnerFact> {
    let mut scored: Vec<(u64, &RunnerFact)> = facts
        .iter()
        .map(|fact| (rendezvous_score(key, fact.id.as_str()), *fact))
        .collect();
    scored.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    scored.into_iter().map(|(_, fact)| fact).collect()
}
