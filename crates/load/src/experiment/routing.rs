//! Requests over replicas: the real balancers, one for each entry VM, with lagging reports.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bergamot_routing::{BalanceOptions, Balancer, Choice, PickRequest, UpstreamFact};
use bergamot_types::prelude::*;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::runner_model::{QueuedRequest, RunnerModel, RunnerSpeed};

/// One load with one policy.
#[derive(Clone, Debug)]
pub struct RoutingCase {
    /// What the row is called.
    pub name: &'static str,
    /// The policy.
    pub options: BalanceOptions,
    /// Entry VMs.
    pub entries: usize,
    /// Replicas.
    pub runners: usize,
    /// Failure domains that both are spread over.
    pub domains: usize,
    /// Replicas that are slow, and how many times as slow.
    pub stragglers: (usize, f64),
    /// Requests per second.
    pub rate: f64,
    /// Conversations that requests belong to, some far more often than others.
    pub prefixes: usize,
    /// Client accounts.
    pub accounts: usize,
    /// Virtual seconds.
    pub seconds: u64,
    /// The seed of the load.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize)]
pub struct RoutingResult {
    /// Time to the first token, in milliseconds: the median.
    pub first_p50: u64,
    /// For 95 in 100.
    pub first_p95: u64,
    /// For 99 in 100.
    pub first_p99: u64,
    /// Share of all requests at the busiest replica, times the number of replicas.
    pub busiest: f64,
    /// Share of prompts whose prefix was held.
    pub hit_share: f64,
    /// Share of requests whose first token took longer than the deadline.
    pub late_share: f64,
}

/// How old reports are when they reach the entry VMs, and time between two.
const REPORT_PERIOD: Millis = Millis(1_000);
const REPORT_LAG: Millis = Millis(300);
/// A first token later than this is of no use.
const DEADLINE: Millis = Millis(5_000);
/// Time at the start that is not measured: caches fill, the straggler is found.
const WARM_UP: Millis = Millis(120_000);
/// Exponent of how unequal prefixes are.
const ZIPF: f64 = 0.9;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Step {
    Report,
    First(usize),
    End(usize),
    Arrive,
    Snapshot,
}

struct Request {
    entry: usize,
    runner: usize,
    at: Millis,
}

struct Run<'a> {
    case: &'a RoutingCase,
    random: ChaCha8Rng,
    runners: Vec<RunnerModel>,
    balancers: Vec<Balancer>,
    requests: Vec<Request>,
    steps: BinaryHeap<Reverse<(Millis, usize, Step)>>,
    order: usize,
    snapshot: (Millis, Vec<u32>),
    weights: Vec<f64>,
    first: Histogram<u64>,
    late: u64,
    measured: u64,
}

/// Runs one case.
pub fn run_routing(case: &RoutingCase) -> RoutingResult {
    let mut run = Run::new(case);
    let end = Millis::from_secs(case.seconds) + WARM_UP;
    while let Some(Reverse((now, _, step))) = run.steps.pop() {
        if now >= end {
            break;
        }
        run.take(now, step);
    }
    run.result()
}

impl<'a> Run<'a> {
    fn new(case: &'a RoutingCase) -> Self {
        const MOST_MS: u64 = 3_600_000;
        let slow = |index: usize| match index < case.stragglers.0 {
            true => case.stragglers.1,
            false => 1.0,
        };
        let runners = (0..case.runners)
            .map(|index| RunnerModel::new(RunnerSpeed::default(), slow(index)))
            .collect();
        let balancers = (0..case.entries)
            .map(|entry| Balancer::new(case.options.clone(), case.seed * 1_000 + entry as u64))
            .collect();
        let mut sum = 0.0;
        let weights = (1..=case.prefixes)
            .map(|rank| {
                sum += 1.0 / (rank as f64).powf(ZIPF);
                sum
            })
            .collect();
        let mut run = Self {
            case,
            random: ChaCha8Rng::seed_from_u64(case.seed),
            runners,
            balancers,
            requests: Vec::new(),
            steps: BinaryHeap::new(),
            order: 0,
            snapshot: (Millis::ZERO, vec![0; case.runners]),
            weights,
            first: Histogram::new_with_max(MOST_MS, 3).expect("the bounds are constants"),
            late: 0,
            measured: 0,
        };
        run.report(Millis::ZERO);
        run.at(Millis(1), Step::Arrive);
        run.at(REPORT_PERIOD - REPORT_LAG, Step::Snapshot);
        run
    }

    fn at(&mut self, when: Millis, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((when, self.order, step)));
    }

    fn take(&mut self, now: Millis, step: Step) {
        match step {
            Step::Arrive => {
                let unit: f64 = self.random.random_range(f64::EPSILON..1.0);
                let wait = -unit.ln() / self.case.rate * 1_000.0;
                self.at(now + Millis(wait.round() as u64), Step::Arrive);
                self.arrive(now);
            }
            Step::First(number) => self.first_token(now, number),
            Step::End(number) => {
                let (runner, entry) = {
                    let request = &self.requests[number];
                    (request.runner, request.entry)
                };
                self.balancers[entry].record_ended(&runner_id(runner));
                let begun = self.runners[runner].end(now);
                self.note_begun(begun);
            }
            Step::Snapshot => {
                let loads = self.runners.iter().map(RunnerModel::load).collect();
                self.snapshot = (now, loads);
                self.at(now + REPORT_LAG, Step::Report);
                self.at(now + REPORT_PERIOD, Step::Snapshot);
            }
            Step::Report => self.report(now),
        }
    }

    fn report(&mut self, now: Millis) {
        let (taken, loads) = &self.snapshot;
        let facts: Vec<UpstreamFact> = loads
            .iter()
            .enumerate()
            .map(|(index, load)| UpstreamFact {
                id: runner_id(index),
                addr: ([127, 0, 0, 1], 1).into(),
                epoch: 1,
                failure_domain: domain(index, self.case.domains),
                evidence_at: now,
                reported: *load,
                reported_at: *taken,
            })
            .collect();
        for balancer in &mut self.balancers {
            balancer.replace(facts.clone());
        }
    }

    fn arrive(&mut self, now: Millis) {
        let entry = self.random.random_range(0..self.case.entries);
        let top = self.weights.last().copied().unwrap_or(1.0);
        let drawn = self.random.random_range(0.0..top);
        let prefix = self.weights.partition_point(|weight| *weight < drawn);
        let account = ClientAccount::from(format!("account-{}", prefix % self.case.accounts));
        let prefix = hash_bytes(&prefix.to_le_bytes());
        let tokens = self.random.random_range(40..160);
        let home = domain(entry, self.case.domains);
        let pick = PickRequest {
            account: &account,
            prefix,
            home: &home,
            tried: &[],
        };
        let Choice::Upstream(fact) = self.balancers[entry].pick(now, &pick) else {
            return;
        };
        let runner = runner_index(&fact.id);
        self.balancers[entry].record_sent(&fact.id);
        let number = self.requests.len();
        self.requests.push(Request {
            entry,
            runner,
            at: now,
        });
        let request = QueuedRequest {
            number,
            prefix,
            tokens,
        };
        let begun = self.runners[runner].arrive(now, request);
        self.note_begun(begun);
    }

    fn note_begun(&mut self, begun: Option<super::runner_model::BegunRequest>) {
        if let Some(begun) = begun {
            self.at(begun.first, Step::First(begun.number));
            self.at(begun.end, Step::End(begun.number));
        }
    }

    fn first_token(&mut self, now: Millis, number: usize) {
        let request = &self.requests[number];
        let took = now.since(request.at);
        let id = runner_id(request.runner);
        self.balancers[request.entry].record_latency(now, &id, took);
        if request.at >= WARM_UP {
            self.measured += 1;
            self.late += u64::from(took > DEADLINE);
            self.first.saturating_record(took.0.max(1));
        }
    }

    fn result(&self) -> RoutingResult {
        let served: Vec<u64> = self.runners.iter().map(|runner| runner.served).collect();
        let all: u64 = served.iter().sum();
        let hits: u64 = self.runners.iter().map(|runner| runner.hits).sum();
        let busiest = served.iter().max().copied().unwrap_or(0);
        let all = all.max(1) as f64;
        RoutingResult {
            first_p50: self.first.value_at_quantile(0.50),
            first_p95: self.first.value_at_quantile(0.95),
            first_p99: self.first.value_at_quantile(0.99),
            busiest: busiest as f64 / all * self.case.runners as f64,
            hit_share: hits as f64 / all,
            late_share: self.late as f64 / self.measured.max(1) as f64,
        }
    }
}

fn runner_id(index: usize) -> UpstreamId {
    UpstreamId::from(format!("runner-{index}"))
}

fn runner_index(id: &UpstreamId) -> usize {
    let number = id.as_str().trim_start_matches("runner-");
    number.parse().unwrap_or(0)
}

fn domain(index: usize, domains: usize) -> FailureDomain {
    FailureDomain::from(format!("fd-{}", index % domains))
}
