//! Upstreams that are cold after a start, and the bound on what they receive.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_adapter::sample::{COLD_RATE, COLD_TIME};
use bergamot_site_standin::WarmUpOptions;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::audit::AuditBook;
use crate::domains::UpstreamArrivals;
use crate::harmful::CRASH;
use crate::options::SoakOptions;
use crate::plan::{FaultKind, TimedFault};
use crate::run::SoakRun;
use crate::site::UpstreamRole;
use crate::violation::Violation;

/// Factor on the rate of a cold upstream, and requests allowed in addition, as in the settings of the
/// processes.
const COLD_EXCESS: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Span in which requests are counted.
const COLD_SPAN: Duration = Duration::from_secs(1);
/// How upstreams warm up. They withstand twice the bound.
pub(crate) const WARM_UP: WarmUpOptions = WarmUpOptions {
    start_time: COLD_TIME,
    crash_limit: 61,
    restart_delay: CRASH.restart_delay,
};
/// How long an upstream that becomes cold stays so, in milliseconds.
const COLD_MS: std::ops::Range<u64> = 1_000..5_000;
/// Distinguishes the random source of cold upstreams from those of other faults.
const COLD_SOURCE: u64 = 0x434f_4c44;

/// Draws starts of upstreams, and upstreams that become cold while they serve, from a source of their own.
pub(crate) fn draw_cold(seed: u64, options: &SoakOptions) -> Vec<TimedFault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(8) ^ COLD_SOURCE);
    let length = options.length.as_millis() as u64;
    let faults = (0..options.cold).map(|_| {
        let (role, places) = match rng.random_bool(0.5) {
            true => (UpstreamRole::Engine, options.engines),
            false => (UpstreamRole::Desk, options.desks),
        };
        let place = rng.random_range(0..places);
        TimedFault {
            at: Duration::from_millis(rng.random_range(0..length)),
            length: Duration::from_millis(rng.random_range(COLD_MS)),
            kind: match rng.random_bool(0.5) {
                true => FaultKind::Restarts(role, place),
                false => FaultKind::TurnsCold(role, place),
            },
        }
    });
    faults.collect()
}

impl SoakRun {
    /// Makes an upstream cold, unless it is leaving or does not answer.
    pub(crate) fn turn_cold(&self, role: UpstreamRole, place: usize, time: Duration) {
        if let Some(upstream) = self.site.staying(role, place) {
            upstream.turn_cold(time);
        }
    }
}

impl AuditBook {
    /// Cold upstreams get no more than the bound in any second, whatever the state of the processes.
    pub(crate) fn check_cold(&self, arrivals: &UpstreamArrivals) -> Option<Violation> {
        let incarnations = self.cold_times(arrivals);
        let requests = incarnations.values().map(|times| peak(times)).max()?;
        let bound = COLD_RATE * COLD_EXCESS + COLD_SLACK;
        (requests as f64 > bound).then(|| Violation::OverColdBound {
            upstream: arrivals.upstream.clone(),
            requests,
        })
    }

    /// The number of requests to cold upstreams, and the most that one of them got within a second.
    pub(crate) fn cold_counts(&self) -> (usize, usize) {
        let times = self.arrived.iter().map(|it| self.cold_times(it));
        let times: Vec<Vec<Instant>> = times.flat_map(BTreeMap::into_values).collect();
        let peaks = times.iter().map(|times| peak(times));
        let requests = times.iter().map(Vec::len).sum();
        (requests, peaks.max().unwrap_or(0))
    }

    /// Arrivals at each incarnation while it was cold. What a strained link held back does not count, as
    /// it was sent earlier.
    fn cold_times(&self, arrivals: &UpstreamArrivals) -> BTreeMap<u64, Vec<Instant>> {
        let mut incarnations: BTreeMap<u64, Vec<Instant>> = BTreeMap::new();
        for request in &arrivals.requests {
            let is_cold = !request.cold_left.is_zero() && !request.is_misdirected;
            if is_cold && !self.is_link_strained(arrivals, request.at) {
                let times = incarnations.entry(request.started_at).or_default();
                times.push(request.at);
            }
        }
        incarnations
    }
}

/// The largest number of arrivals in any span.
fn peak(times: &[Instant]) -> usize {
    let within = |start: &Instant| {
        let times = times.iter();
        let times = times.filter(|at| **at >= *start && **at - *start < COLD_SPAN);
        times.count()
    };
    times.iter().map(within).max().unwrap_or(0)
}
