//! Selects the upstream for a request by prefix affinity and load.

use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::table::{UpstreamFact, UpstreamTable};

/// How an upstream is selected. All policies but the first are baselines.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BalancePolicy {
    /// Prefix affinity within a few candidates, less loaded of two choices, slow upstreams ejected.
    #[default]
    Affinity,
    /// Each upstream in turn.
    RoundRobin,
    /// The least loaded of all upstreams.
    LeastLoaded,
    /// The first choice of the prefix, whatever its load.
    PureHash,
    /// Nested subsets by account and then by prefix, random within the inner subset, as in the
    /// cited paper.
    NestedSubsets,
}

/// Settings of the selection.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalanceOptions {
    /// How an upstream is selected.
    pub policy: BalancePolicy,
    /// Number of upstreams to which a prefix may be sent.
    pub candidates: usize,
    /// How many more requests the first choice may have than the least loaded candidate.
    pub affinity_slack: f64,
    /// Whether candidates of the home failure domain precede all others. This saves latency between
    /// failure domains and costs one copy of each prefix in every failure domain.
    pub prefer_home: bool,
    /// How many more requests an upstream of the home failure domain may have than one outside.
    pub home_slack: f64,
    /// Factor on the median latency beyond which an upstream is ejected.
    pub slow_factor: f64,
    /// Lowest latency that can count as slow, in milliseconds.
    pub slow_floor_ms: f64,
    /// Duration of the first ejection.
    pub set_aside: Millis,
    /// Largest age of evidence with which requests are sent without a probe.
    pub evidence_max_age: Millis,
    /// Number of consecutive failures after which an upstream is ejected.
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

/// Properties of a request that determine its upstream.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The account that sent the request.
    pub account: &'a ClientAccount,
    /// Hash of the first part of the prompt.
    pub prefix: u64,
    /// The failure domain of this entry VM.
    pub home: &'a FailureDomain,
    /// Upstreams to which the request was already sent.
    pub tried: &'a [UpstreamId],
}

/// Result of the selection.
#[derive(Clone, PartialEq, Debug)]
pub enum Choice {
    /// Send the request to this upstream.
    Upstream(UpstreamFact),
    /// Probe the members of this upstream first, as the evidence about it is too old.
    Probe(UpstreamFact),
    /// No upstream is available.
    None,
}

/// Selects upstreams for one model or service.
#[derive(Clone, Debug)]
pub struct Balancer {
    options: BalanceOptions,
    table: UpstreamTable,
    random: ChaCha8Rng,
    next_index: usize,
}

/// Weight of a new sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Number of samples before a latency is used.
const MIN_SAMPLES: u64 = 5;
/// Fraction of its requests that an upstream gets first when it is readmitted.
const INITIAL_ADMISSION: f64 = 0.1;
/// Longest ejection, as a multiple of the first.
const MAX_EJECTION_FACTOR: u64 = 24;
/// Size of an account's subset in [`BalancePolicy::NestedSubsets`].
const ACCOUNT_SUBSET_SIZE: usize = 12;

impl Balancer {
    /// Creates a balancer without upstreams.
    pub fn new(options: BalanceOptions, seed: u64) -> Self {
        Self {
            options,
            table: UpstreamTable::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            next_index: 0,
        }
    }

    /// Returns the known upstreams and their loads.
    pub fn table(&self) -> &UpstreamTable {
        &self.table
    }

    /// Replaces the routable upstreams.
    pub fn replace(&mut self, facts: Vec<UpstreamFact>) {
        self.table.replace(facts);
    }

    /// Selects an upstream. The caller records the request with [`Balancer::record_sent`] when it
    /// is sent.
    ///
    /// Computes one hash for each upstream.
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
        // Candidates of the home failure domain come first. Those of another are used only if home
        // is much busier.
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

    /// Records that a request was sent.
    pub fn record_sent(&mut self, id: &UpstreamId) {
        let load = self.table.load_mut(id);
        load.in_flight += 1;
        load.sent_since_report += 1;
    }

    /// Records the end of a request that was sent.
    pub fn record_ended(&mut self, id: &UpstreamId) {
        let load = self.table.load_mut(id);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Records a failure, and ejects the upstream after several consecutive ones.
    pub fn record_failure(&mut self, now: Millis, id: &UpstreamId) {
        let max_failures = self.options.failures_allowed;
        let load = self.table.load_mut(id);
        load.failures += 1;
        if load.failures >= max_failures {
            self.eject(now, id);
        }
    }

    /// Records evidence that arrived with an answer.
    pub fn record_evidence(&mut self, id: &UpstreamId, epoch: u32, requested_at: Millis) {
        self.table.record_evidence(id, epoch, requested_at);
    }

    /// Records the time to the first token of an answer.
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
        // A readmitted upstream is judged by its first answer.
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
        // Statistics start anew when the upstream is readmitted.
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

/// Returns the upstreams that take part: no ejected ones, and readmitted ones for a fraction of
/// requests.
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
        // A slow answer is better than none.
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
