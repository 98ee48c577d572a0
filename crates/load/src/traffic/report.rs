//! What a load came to, as numbers.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::audit::AuditResult;
use super::caller::CallOutcome;

/// Percentiles of one measure, in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Percentiles {
    /// Samples.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// For 95 in 100.
    pub p95: u64,
    /// For 99 in 100.
    pub p99: u64,
    /// The most.
    pub most: u64,
    /// Points of the whole curve, for the plot: percentile and microseconds.
    pub curve: Vec<(f64, u64)>,
}

/// The numbers of one load.
#[derive(Clone, Debug, Serialize)]
pub struct TrafficReport {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered with success.
    pub answered: usize,
    /// Requests by status and code.
    pub outcomes: BTreeMap<String, usize>,
    /// Tokens received.
    pub tokens: u64,
    /// Time to the first token or answer.
    pub first_token: Percentiles,
    /// Time between tokens.
    pub between_tokens: Percentiles,
    /// The comparison with the upstreams.
    pub audit: AuditResult,
}

/// Points of a curve.
const CURVE: [f64; 14] = [
    1.0, 5.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 80.0, 90.0, 95.0, 99.0, 99.9,
];
/// The longest time that is told apart, in microseconds.
const MOST_US: u64 = 600_000_000;

fn percentiles(samples: impl Iterator<Item = std::time::Duration>) -> Percentiles {
    let mut histogram: Histogram<u64> =
        Histogram::new_with_max(MOST_US, 3).expect("the bounds are constants");
    for sample in samples {
        histogram.saturating_record(sample.as_micros() as u64);
    }
    let at = |percent: f64| histogram.value_at_quantile(percent / 100.0);
    Percentiles {
        count: histogram.len(),
        p50: at(50.0),
        p95: at(95.0),
        p99: at(99.0),
        most: histogram.max(),
        curve: CURVE
            .iter()
            .map(|percent| (*percent, at(*percent)))
            .collect(),
    }
}

impl TrafficReport {
    /// Sums up a load.
    pub fn new(outcomes: &[CallOutcome], audit: AuditResult) -> Self {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for outcome in outcomes {
            let name = format!("{} {}", outcome.status, outcome.code);
            *counts.entry(name.trim().to_owned()).or_default() += 1;
        }
        Self {
            requests: outcomes.len(),
            answered: outcomes.iter().filter(|o| o.status == 200).count(),
            outcomes: counts,
            tokens: outcomes.iter().map(|outcome| outcome.tokens).sum(),
            first_token: percentiles(outcomes.iter().filter_map(|outcome| outcome.first)),
            between_tokens: percentiles(outcomes.iter().flat_map(|o| o.between.iter().copied())),
            audit,
        }
    }

    /// The table for the terminal.
    pub fn table(&self) -> Vec<String> {
        let row = |name: &str, p: &Percentiles| {
            format!(
                "{name:15} {:8} {:9.2} {:9.2} {:9.2} {:9.2}",
                p.count,
                p.p50 as f64 / 1e3,
                p.p95 as f64 / 1e3,
                p.p99 as f64 / 1e3,
                p.most as f64 / 1e3
            )
        };
        let mut lines = vec![
            format!(
                "requests {}  answered {}  tokens {}",
                self.requests, self.answered, self.tokens
            ),
            "ms                 count       p50       p95       p99      most".to_owned(),
            row("first token", &self.first_token),
            row("between tokens", &self.between_tokens),
        ];
        for (name, count) in &self.outcomes {
            lines.push(format!("{count:8}  {name}"));
        }
        lines.push(match self.audit.is_clean() {
            true => format!(
                "audit: clean ({} confirmations and {} chats were run)",
                self.audit.confirmations_run, self.audit.chats_run
            ),
            false => format!("audit: {:?}", self.audit),
        });
        lines
    }
}
