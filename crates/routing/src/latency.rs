//! Observed latencies of a model's leaders, and when the inactivity of a leader counts as a stall.

use std::collections::VecDeque;

use bergamot_ports::EngineSpeed;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Number of latest samples kept of each kind. A change takes effect after some seconds if a VM
/// sends one request a second to a model.
const MAX_SAMPLES: usize = 256;
/// With fewer samples the configured engine speed is used instead of the observed latency.
const MIN_SAMPLES: usize = 20;
/// Samples between two updates of the limits. Each update sorts all samples.
const SAMPLES_PER_UPDATE: usize = 16;
/// Quantile of gaps and first events up to which latency is considered normal.
const NORMAL_QUANTILE: f64 = 0.99;

/// Factor on the normal longest gap after which a leader is suspected to be stalled. All streams of
/// a leader get their events together, so each VM with a stream there observes it. With a factor of
/// 1.3 four of five suspected leaders recovered (87 VMs, 165 upstreams, a day on which two become
/// unreachable every 3 s).
const SUSPICION_FACTOR: f64 = 2.0;
/// Number of passes assumed as a gap until gaps are observed.
const ASSUMED_GAP_PASSES: f64 = 3.0;
/// Shortest inactivity that counts. Processes of a VM with an eighth of a core are sometimes not
/// scheduled for this long.
const MIN_TIMEOUT: Millis = Millis(60);
/// Longest inactivity without suspicion, however slow all leaders are.
const MAX_TIMEOUT: Millis = Millis(350);
/// Inactivity after which a leader of a model without samples is avoided. With 350 ms, 0.029 of
/// requests instead of 0.026 were rejected for good at a load that just fills the leaders
/// (`experiment::serving`).
const DEFAULT_TIMEOUT: Millis = Millis(200);
/// Factor on the suspicion timeout after which requests that await their first event move to
/// another upstream. An early move lets more of them be in time. Two of three leaders that were
/// inactive for this long did not recover (on the same day as for `SUSPICION_FACTOR`).
const LIKELY_STALL_FACTOR: f64 = 1.7;
/// Factor on the suspicion timeout after which streams that have begun move too. Their gap is
/// already late by then, so an early move gains nothing.
const RESUME_FACTOR: f64 = 3.0;
/// Longest inactivity for which streams wait, whatever was observed.
pub(crate) const MAX_STALL: Millis = Millis(600);
/// Factor on the normal delay of a first event over the expected time, after which a request moves
/// to another upstream if the leader had room for it.
const DELAY_FACTOR: f64 = 1.5;
/// Timeout for the first event if other requests may be queued ahead, or if nothing was observed
/// yet. Callers leave after two seconds.
const QUEUE_TIMEOUT: Millis = Millis(1_300);
/// Shortest time that a request waits at a leader that others reported as stalled, as it may just
/// have recovered.
const MIN_REPORTED_STALL_WAIT: Millis = Millis(40);

/// The latest samples of one kind.
#[derive(Clone, Debug, Default)]
struct LatencySamples {
    samples: VecDeque<u32>,
}

impl LatencySamples {
    fn record(&mut self, duration: Millis) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples
            .push_back(duration.0.try_into().unwrap_or(u32::MAX));
    }

    /// Returns the normal upper bound in milliseconds, or none with too few samples.
    fn normal_ms(&self) -> Option<f64> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut samples: Vec<u32> = self.samples.iter().copied().collect();
        let rank = ((samples.len() - 1) as f64 * NORMAL_QUANTILE) as usize;
        let (_, normal, _) = samples.select_nth_unstable(rank);
        Some(f64::from(*normal))
    }
}

/// Observed latencies of the leaders of one model.
#[derive(Clone, Debug, Default)]
pub struct ModelLatency {
    gaps: LatencySamples,
    first_events: LatencySamples,
    /// How much later than expected first events arrived.
    first_event_delays: LatencySamples,
    /// Limits derived from the samples. Cached, as every check of a leader needs them.
    limits: LatencyLimits,
    /// Samples recorded since the limits were updated.
    samples_since_update: usize,
}

/// Limits on the inactivity of a leader.
#[derive(Clone, Copy, Debug)]
struct LatencyLimits {
    timeouts: SuspicionTimeouts,
    /// Time after the expected one after which a request that awaits its first event moves to
    /// another upstream.
    first_event_delay: Millis,
}

impl Default for LatencyLimits {
    fn default() -> Self {
        Self {
            timeouts: SuspicionTimeouts::default(),
            first_event_delay: QUEUE_TIMEOUT,
        }
    }
}

/// Inactivity of a leader after which it is avoided.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SuspicionTimeouts {
    /// Applies if a stream from the leader has begun.
    pub gap: Millis,
    /// Applies if only first events are due.
    pub first_event: Millis,
}

impl Default for SuspicionTimeouts {
    fn default() -> Self {
        Self {
            gap: DEFAULT_TIMEOUT,
            first_event: DEFAULT_TIMEOUT,
        }
    }
}

impl ModelLatency {
    /// Records the time between two events of a stream from one leader, unless the leader counted as
    /// stalled in it.
    pub fn record_gap(&mut self, duration: Millis, speed: Option<EngineSpeed>, slots: u32) {
        if duration >= MAX_STALL {
            return;
        }
        self.gaps.record(duration);
        self.update_limits(speed, slots);
    }

    /// Records the time from sending to the first event, and the expected time.
    pub fn record_first_event(
        &mut self,
        duration: Millis,
        expected: Millis,
        speed: Option<EngineSpeed>,
        slots: u32,
    ) {
        self.first_events.record(duration);
        self.first_event_delays.record(duration.since(expected));
        self.update_limits(speed, slots);
    }

    /// Updates the limits after every few samples.
    fn update_limits(&mut self, speed: Option<EngineSpeed>, slots: u32) {
        self.samples_since_update += 1;
        if self.samples_since_update < SAMPLES_PER_UPDATE {
            return;
        }
        self.samples_since_update = 0;
        let pass_ms = speed.map(|speed| speed.pass_ms(f64::from(slots)));
        let assumed_gap_ms = pass_ms.map(|pass_ms| pass_ms * ASSUMED_GAP_PASSES);
        let gap = self.gaps.normal_ms().or(assumed_gap_ms);
        let gap_timeout = gap.map_or(MAX_TIMEOUT, |gap| Millis((gap * SUSPICION_FACTOR) as u64));
        let first_event_ms = self.first_events.normal_ms();
        let delay = self.first_event_delays.normal_ms();
        let first_event_delay =
            delay.map_or(QUEUE_TIMEOUT, |delay| Millis((delay * DELAY_FACTOR) as u64));
        self.limits = LatencyLimits {
            timeouts: SuspicionTimeouts {
                gap: gap_timeout.max(MIN_TIMEOUT).min(MAX_TIMEOUT),
                first_event: first_event_ms
                    .map_or(MAX_TIMEOUT, |first_event| Millis(first_event as u64)),
            },
            first_event_delay: first_event_delay.min(QUEUE_TIMEOUT),
        };
    }

    /// Judges the inactivity of a leader.
    pub fn judge(&self, inactivity: LeaderInactivity) -> StallVerdict {
        match inactivity.has_begun {
            true => self.judge_gap(inactivity),
            false => self.judge_first_event(inactivity),
        }
    }

    /// Returns the inactivity after which a leader counts as stalled.
    pub fn stall_timeout(&self, inactivity: LeaderInactivity) -> Millis {
        let LeaderInactivity {
            sent,
            has_begun,
            has_queue,
            ..
        } = inactivity;
        match (has_begun, sent.is_last) {
            (true, true) => MAX_STALL,
            (true, false) => self.scaled_gap(RESUME_FACTOR),
            (false, is_last) if is_last || has_queue => QUEUE_TIMEOUT,
            (false, _) => {
                let first_event_timeout = sent.expected_first_event + self.limits.first_event_delay;
                first_event_timeout.min(QUEUE_TIMEOUT)
            }
        }
    }

    /// Returns a multiple of the suspicion timeout for gaps, within the longest inactivity.
    fn scaled_gap(&self, factor: f64) -> Millis {
        let timeout = self.limits.timeouts.gap;
        Millis((timeout.0 as f64 * factor) as u64).min(MAX_STALL)
    }

    /// Judges the inactivity of a leader from which a stream has begun.
    fn judge_gap(&self, inactivity: LeaderInactivity) -> StallVerdict {
        let timeout = self.limits.timeouts.gap;
        let max_gap = self.stall_timeout(inactivity);
        match inactivity.duration {
            // A request that was sent to an already inactive leader first allows it the time for an
            // answer.
            duration if duration >= max_gap && inactivity.waited >= timeout => StallVerdict::Still,
            duration if duration >= self.scaled_gap(LIKELY_STALL_FACTOR) => StallVerdict::Stalled,
            duration if duration >= timeout => StallVerdict::Suspected,
            _ => StallVerdict::Sound,
        }
    }

    /// Judges the inactivity of a leader from which only first events are due.
    fn judge_first_event(&self, inactivity: LeaderInactivity) -> StallVerdict {
        let timeout = self.stall_timeout(inactivity);
        if inactivity.sent.is_last || inactivity.has_queue {
            return match inactivity.duration {
                duration if duration >= timeout => StallVerdict::Still,
                duration if duration >= MAX_STALL => StallVerdict::Suspected,
                _ => StallVerdict::Sound,
            };
        }
        let is_late = inactivity.duration >= timeout;
        let is_reported_stalled =
            inactivity.is_stalled && inactivity.waited >= MIN_REPORTED_STALL_WAIT;
        match is_late || is_reported_stalled {
            true => StallVerdict::Still,
            false => StallVerdict::Sound,
        }
    }
}

/// A request that was sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct DispatchedRequest {
    /// When the request was sent.
    pub sent_at: Millis,
    /// Time from sending to the first event, as expected when it was sent.
    pub expected_first_event: Millis,
    /// Whether the request may not be sent to another upstream. Such a request waits longest, as it
    /// has no alternative.
    pub is_last: bool,
}

/// State of a leader from which nothing is received.
#[derive(Clone, Copy, Debug)]
pub struct LeaderInactivity {
    /// How long nothing was received from the leader.
    pub duration: Millis,
    /// How long the request has waited at the leader.
    pub waited: Millis,
    /// The request for which the leader is judged.
    pub sent: DispatchedRequest,
    /// Whether a stream from the leader has begun, so that its next event is due.
    pub has_begun: bool,
    /// Whether requests may be queued at the leader.
    pub has_queue: bool,
    /// Whether another VM reported that its streams from the leader are stalled.
    pub is_stalled: bool,
}

/// Verdict on the inactivity of a leader.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum StallVerdict {
    /// The leader is healthy: events arrive in passes.
    Sound,
    /// The leader may be stalled: this VM sends new requests elsewhere and informs the coordinator.
    Suspected,
    /// The leader is very likely stalled: requests that await their first event move to other
    /// upstreams, and the other VMs are informed.
    Stalled,
    /// The leader is stalled: all requests move to other upstreams.
    Still,
}

/// Observed latencies of the leaders of each model.
#[derive(Clone, Debug, Default)]
pub struct ModelLatencies {
    latencies: IndexMap<ModelName, ModelLatency>,
}

impl ModelLatencies {
    /// Returns the latencies of a model.
    pub fn get_mut(&mut self, model: &ModelName) -> &mut ModelLatency {
        if !self.latencies.contains_key(model) {
            self.latencies
                .insert(model.clone(), ModelLatency::default());
        }
        &mut self.latencies[model]
    }

    /// Judges the inactivity of a leader of this model.
    pub fn judge(&self, model: Option<&ModelName>, inactivity: LeaderInactivity) -> StallVerdict {
        let latency = model.and_then(|model| self.latencies.get(model));
        match latency {
            Some(latency) => latency.judge(inactivity),
            None => ModelLatency::default().judge(inactivity),
        }
    }

    /// Returns the inactivity after which a leader of this model counts as stalled.
    pub fn stall_timeout(&self, model: Option<&ModelName>, inactivity: LeaderInactivity) -> Millis {
        let latency = model.and_then(|model| self.latencies.get(model));
        match latency {
            Some(latency) => latency.stall_timeout(inactivity),
            None => ModelLatency::default().stall_timeout(inactivity),
        }
    }

    /// Returns the inactivity after which a leader of this model is avoided.
    pub fn suspicion_timeouts(&self, model: Option<&ModelName>) -> SuspicionTimeouts {
        let latency = model.and_then(|model| self.latencies.get(model));
        latency.map_or_else(SuspicionTimeouts::default, |known| known.limits.timeouts)
    }
}
