//! Which upstream a request goes to.

use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::table::{UpstreamFact, UpstreamTable};

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
    Upstream(UpstreamFact),
    /// Ask this upstream's members first; what is known of it is too old.
    Probe(UpstreamFact),
    /// There is none.
    None,
}

/// Chooses upstreams for one model or service.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: BalanceOptions,
    table: UpstreamTable,
    random: ChaCha8Rng,
    next_index: usize,
}

/// How much of a new sample enters the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Samples before a latency says anything.
const MIN_SAMPLES: u64 = 5;
/// Share of its turns an upstream takes when it is let back first.
const INITIAL_ADMISSION: f64 = 0.1;
/// Longest time set aside, as a multiple of the first.
const MAX_EJECTION_FACTOR: u64 = 24;
/// Size of an account's subset in [`BalancePolicy::NestedSubsets`].
const ACCOUNT_SUBSET_SIZE: usize = 12;

impl Balancer {
    /// A balancer without upstreams.
    pub fn new(options: BalanceOptions, seed: u64) -> Self {
        Self {
            options,
            table: UpstreamTable::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            next_index: 0,
        }
    }

    /// What is known of the upstreams.
    pub fn table(&self) -> &UpstreamTable {
        &self.table
    }

    /// Takes over the routable upstreams.
    pub fn replace(&mut self, facts: Vec<UpstreamFact>) {
        self.table.replace(facts);
    }

    /// Chooses an upstream. Count it with [`Balancer::record_sent`] when the request is sent.
    ///
    /// Costs a hash for each upstream.
    pub fn pick(&mut self, now: Millis, request: &PickRequest<'_>) -> Choice {
        let untried: Vec<&UpstreamFact> = self
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
                let participants = admitted_upstreams(now, &self.table, &mut self.random, &untried);
                self.pick_affine(request, &participants)
            }
            BalancePolicy::RoundRobin => {
                self.next_index = self.next_index.wrapping_add(1);
                untried[self.next_index % untried.len()].clone()
            }
            BalancePolicy::LeastLoaded => self.least_loaded(&untried),
            BalancePolicy::PureHash => rank_upstreams(request.prefix, &untried)[0].clone(),
            BalancePolicy::NestedSubsets => {
                let account_hash = hash_bytes(request.account.as_str().as_bytes());
                let account_subset = rank_upstreams(account_hash, &untried);
                let account_subset =
                    &account_subset[..account_subset.len().min(ACCOUNT_SUBSET_SIZE)];
                let prefix_ranking = rank_upstreams(request.prefix, account_subset);
                let candidate_count = prefix_ranking.len().min(self.options.candidates);
                prefix_ranking[self.random.random_range(0..candidate_count)].clone()
            }
        };
        match now.since(chosen.evidence_at) > self.options.evidence_max_age {
            true => Choice::Probe(chosen),
            false => Choice::Upstream(chosen),
        }
    }

    fn pick_affine(&self, request: &PickRequest<'_>, facts: &[&UpstreamFact]) -> UpstreamFact {
        let candidates = rank_upstreams(request.prefix, facts);
        let count = self.options.candidates.min(candidates.len()).max(1);
        // Home candidates first: another domain's is worth it only when home is much busier.
        let load = |fact: &UpstreamFact| {
            let is_remote = fact.failure_domain != *request.home;
            let penalty = if is_remote {
                self.options.home_slack
            } else {
                0.0
            };
            self.table.estimated_load(&fact.id) + penalty
        };
        let home_candidates: Vec<&UpstreamFact> = candidates
            .iter()
            .copied()
            .filter(|fact| fact.failure_domain == *request.home)
            .take(count)
            .collect();
        let pool: Vec<&UpstreamFact> = match self.options.prefer_home && home_candidates.len() >= 2
        {
            true => {
                let remote_candidates = candidates.iter().copied();
                let remote_candidates =
                    remote_candidates.filter(|fact| fact.failure_domain != *request.home);
                home_candidates
                    .into_iter()
                    .chain(remote_candidates.take(1))
                    .collect()
            }
            false => candidates[..count].to_vec(),
        };
        let first_choice = pool[0];
        let least_loaded = pool
            .iter()
            .copied()
            .min_by(|a, b| load(a).total_cmp(&load(b)))
            .unwrap_or(first_choice);
        match load(first_choice) <= load(least_loaded) + self.options.affinity_slack {
            true => first_choice.clone(),
            false => least_loaded.clone(),
        }
    }

    fn least_loaded(&self, facts: &[&UpstreamFact]) -> UpstreamFact {
        let least_loaded = facts.iter().min_by(|a, b| {
            let load = |fact: &UpstreamFact| self.table.estimated_load(&fact.id);
            load(a).total_cmp(&load(b))
        });
        least_loaded.map_or_else(|| facts[0].clone(), |fact| (*fact).clone())
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self, id: &UpstreamId) {
        let load = self.table.load_mut(id);
        load.in_flight += 1;
        load.sent_since_report += 1;
    }

    /// Counts the end of a request that was sent.
    pub fn record_ended(&mut self, id: &UpstreamId) {
        let load = self.table.load_mut(id);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Notes a failure; several in a row set the upstream aside.
    pub fn record_failure(&mut self, now: Millis, id: &UpstreamId) {
        let max_failures = self.options.failures_allowed;
        let load = self.table.load_mut(id);
        load.failures += 1;
        if load.failures >= max_failures {
            self.eject(now, id);
        }
    }

    /// Notes evidence that came with an answer.
    pub fn record_evidence(&mut self, id: &UpstreamId, epoch: u32, requested_at: Millis) {
        self.table.record_evidence(id, epoch, requested_at);
    }

    /// Notes the time to the first token of an answer.
    pub fn record_latency(&mut self, now: Millis, id: &UpstreamId, latency: Millis) {
        let median = self.median_latency();
        let load = self.table.load_mut(id);
        load.failures = 0;
        load.samples += 1;
        let sample = latency.0 as f64;
        let weight = if load.samples == 1 {
            1.0
        } else {
            LATENCY_WEIGHT
        };
        load.latency += (sample - load.latency) * weight;
        let slow_threshold = (median * self.options.slow_factor).max(self.options.slow_floor_ms);
        // One that was set aside before has to prove itself with its first answer.
        let min_samples = match load.set_asides {
            0 => MIN_SAMPLES,
            _ => 1,
        };
        let is_slow = load.samples >= min_samples && median > 0.0 && load.latency > slow_threshold;
        if is_slow {
            self.eject(now, id);
        } else if load.admission < 1.0 && sample <= slow_threshold {
            load.admission = (load.admission * 2.0).min(1.0);
            if load.admission >= 1.0 {
                load.set_asides = 0;
            }
        }
    }

    fn eject(&mut self, now: Millis, id: &UpstreamId) {
        let first_ejection = self.options.set_aside;
        let load = self.table.load_mut(id);
        if load.set_aside_until > now {
            return;
        }
        let factor = (1_u64 << load.set_asides.min(6)).min(MAX_EJECTION_FACTOR);
        load.set_asides += 1;
        load.set_aside_until = now + Millis(first_ejection.0 * factor);
        load.admission = INITIAL_ADMISSION;
        // It proves itself anew when it is let back.
        load.samples = 0;
        load.latency = 0.0;
        load.failures = 0;
    }

    fn median_latency(&self) -> f64 {
        let mut latencies: Vec<f64> = self
            .table
            .loads()
            .values()
            .filter(|load| load.samples >= MIN_SAMPLES)
            .map(|load| load.latency)
            .collect();
        if latencies.is_empty() {
            return 0.0;
        }
        let median_index = latencies.len() / 2;
        *latencies
            .select_nth_unstable_by(median_index, f64::total_cmp)
            .1
    }
}

/// Upstreams that take part: those set aside do not, those let back take some turns.
fn admitted_upstreams<'a>(
    now: Millis,
    table: &UpstreamTable,
    random: &mut ChaCha8Rng,
    facts: &[&'a UpstreamFact],
) -> Vec<&'a UpstreamFact> {
    let mut participants = Vec::with_capacity(facts.len());
    for fact in facts {
        let load = table.loads().get(&fact.id);
        let (ejected_until, admission) = load.map_or((Millis::ZERO, 1.0), |load| {
            (load.set_aside_until, load.admission)
        });
        let is_admitted = admission >= 1.0 || random.random_bool(admission.clamp(0.0, 1.0));
        if ejected_until <= now && is_admitted {
            participants.push(*fact);
        }
    }
    match participants.is_empty() {
        // Better a slow answer than none.
        true => facts.to_vec(),
        false => participants,
    }
}

fn rank_upstreams<'a>(key: u64, facts: &[&'a UpstreamFact]) -> Vec<&'a UpstreamFact> {
    let mut scored: Vec<(u64, &UpstreamFact)> = facts
        .iter()
        .map(|fact| (rendezvous_score(key, fact.id.as_str()), *fact))
        .collect();
    scored.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.id.cmp(&b.1.id)));
    scored.into_iter().map(|(_, fact)| fact).collect()
}
