//! How fast the leaders of a model are seen to be, and what silence of one means by that.

use std::collections::VecDeque;

use bergamot_ports::EngineSpeed;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Times that are kept of each kind: the last ones, so that what changed counts after some seconds where a VM sends one
/// request a second to a model.
const MAX_SAMPLES: usize = 256;
/// Times below which the configuration says more than what was seen.
const MIN_SAMPLES: usize = 20;
/// Times that are noted between two looks at what follows from them: a look sorts all that are kept.
const SAMPLES_PER_UPDATE: usize = 16;
/// Part of pauses and first events that are no sign of trouble.
const NORMAL_QUANTILE: f64 = 0.99;

/// Factor on the usual longest pause after which a leader is suspected to stand still. All streams there get their events
/// together, so each VM that has one sees it. With 1.3 four of five leaders that were suspected went on (87 VMs before 165
/// upstreams, a day on which two go dark every 3 s).
const SUSPICION_FACTOR: f64 = 2.0;
/// Passes that make a pause where none was seen yet.
const ASSUMED_GAP_PASSES: f64 = 3.0;
/// The shortest silence that counts: processes of a VM on an eighth of a core are not run for this long at times.
const MIN_TIMEOUT: Millis = Millis(60);
/// The longest one that passes without suspicion, however slow all leaders are.
const MAX_TIMEOUT: Millis = Millis(350);
/// Silence after which others are better used where nothing was seen of a model yet. With 350 ms 0.029 instead of 0.026 of a
/// load as large as the leaders bear were refused for good (`experiment::serving`).
const DEFAULT_TIMEOUT: Millis = Millis(200);
/// Factor on that silence after which requests go on elsewhere that still wait for their first event there. The sooner, the
/// more of them are in time; of those silences that reached this, two in three did not end (the same day).
const LIKELY_STALL_FACTOR: f64 = 1.7;
/// The same for streams that have begun. Their pause is late by then, so there is no hurry.
const RESUME_FACTOR: f64 = 3.0;
/// The longest silence in which streams wait, whatever was seen.
const MAX_STALL: Millis = Millis(600);
/// Factor on what first events usually come later than expected at most, after which a request goes on elsewhere where the
/// leader has room for it.
const DELAY_FACTOR: f64 = 1.5;
/// The same where requests of others may wait before it, or where nothing was seen yet. Callers leave after two seconds.
const QUEUE_TIMEOUT: Millis = Millis(1_300);
/// The least time that a request waits at a leader of whose silence others tell: it may just have gone on.
const MIN_REPORTED_STALL_WAIT: Millis = Millis(40);

/// The last times of one kind.
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

    /// The time below which the usual part stays, in milliseconds; none where too few were seen.
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

/// How fast the leaders of one model are seen to be.
#[derive(Clone, Debug, Default)]
pub struct ModelLatency {
    gaps: LatencySamples,
    first_events: LatencySamples,
    /// How much later than expected first events came.
    first_event_delays: LatencySamples,
    /// What follows from them. Kept, as it is asked for at each look.
    limits: LatencyLimits,
    /// Times noted since the limits were worked out.
    samples_since_update: usize,
}

/// Silences that mean something.
#[derive(Clone, Copy, Debug)]
struct LatencyLimits {
    timeouts: SuspicionTimeouts,
    /// Time beyond the expected one after which a request goes on elsewhere that waits for its first event.
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

/// Silences of a leader after which others are better used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SuspicionTimeouts {
    /// Where a stream from there has begun.
    pub gap: Millis,
    /// Where only first events are due.
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
    /// Notes the time between two events of a stream at one leader.
    pub fn record_gap(&mut self, duration: Millis, speed: Option<EngineSpeed>, slots: u32) {
        self.gaps.record(duration);
        self.update_limits(speed, slots);
    }

    /// Notes the time from a send to the first event, and the one that was expected.
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

    /// Works the limits out anew, now and then.
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

    /// What a leader's silence means.
    pub fn judge(&self, inactivity: LeaderInactivity) -> StallVerdict {
        match inactivity.has_begun {
            true => self.judge_gap(inactivity),
            false => self.judge_first_event(inactivity),
        }
    }

    /// The same where a stream from there has begun.
    fn judge_gap(&self, inactivity: LeaderInactivity) -> StallVerdict {
        let timeout = self.limits.timeouts.gap;
        let scaled = |factor: f64| Millis((timeout.0 as f64 * factor) as u64).min(MAX_STALL);
        let max_gap = match inactivity.sent.is_last {
            true => MAX_STALL,
            false => scaled(RESUME_FACTOR),
        };
        match inactivity.duration {
            // One that came when the leader had long been silent has yet to give it the time for an answer.
            duration if duration >= max_gap && inactivity.waited >= timeout => StallVerdict::Still,
            duration if duration >= scaled(LIKELY_STALL_FACTOR) => StallVerdict::Stalled,
            duration if duration >= timeout => StallVerdict::Suspected,
            _ => StallVerdict::Sound,
        }
    }

    /// The same where only first events are due.
    fn judge_first_event(&self, inactivity: LeaderInactivity) -> StallVerdict {
        if inactivity.sent.is_last || inactivity.has_queue {
            return match inactivity.duration {
                duration if duration >= QUEUE_TIMEOUT => StallVerdict::Still,
                duration if duration >= MAX_STALL => StallVerdict::Suspected,
                _ => StallVerdict::Sound,
            };
        }
        let first_event_timeout =
            inactivity.sent.expected_first_event + self.limits.first_event_delay;
        let is_late = inactivity.duration >= first_event_timeout.min(QUEUE_TIMEOUT);
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
    /// When.
    pub sent_at: Millis,
    /// The time from there to its first event that was expected then.
    pub expected_first_event: Millis,
    /// Whether it may be sent to no further upstream: it gets the most time, as nothing is left to it elsewhere.
    pub is_last: bool,
}

/// What is known of a leader from which nothing comes.
#[derive(Clone, Copy, Debug)]
pub struct LeaderInactivity {
    /// How long nothing has come from it.
    pub duration: Millis,
    /// How long the request that asks has waited there.
    pub waited: Millis,
    /// The request that asks.
    pub sent: DispatchedRequest,
    /// Whether a stream from there has begun, so that its next event is due.
    pub has_begun: bool,
    /// Whether requests may wait there behind others.
    pub has_queue: bool,
    /// Whether another VM tells that its streams there stand still.
    pub is_stalled: bool,
}

/// What a silence means.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum StallVerdict {
    /// Nothing: events come in passes.
    Sound,
    /// It may stand still: new requests of this VM go elsewhere, and the coordinator is told.
    Suspected,
    /// It stands still by all appearances: requests that wait there for their first event go on elsewhere, and the other VMs
    /// are told.
    Stalled,
    /// It stands still: requests go on elsewhere.
    Still,
}

/// How fast the leaders of each model are seen to be.
#[derive(Clone, Debug, Default)]
pub struct ModelLatencies {
    latencies: IndexMap<ModelName, ModelLatency>,
}

impl ModelLatencies {
    /// The pace of a model.
    pub fn get_mut(&mut self, model: &ModelName) -> &mut ModelLatency {
        if !self.latencies.contains_key(model) {
            self.latencies
                .insert(model.clone(), ModelLatency::default());
        }
        &mut self.latencies[model]
    }

    /// What a silence of a leader of this model means.
    pub fn judge(&self, model: Option<&ModelName>, inactivity: LeaderInactivity) -> StallVerdict {
        let latency = model.and_then(|model| self.latencies.get(model));
        match latency {
            Some(latency) => latency.judge(inactivity),
            None => ModelLatency::default().judge(inactivity),
        }
    }

    /// Silences of a leader of this model after which others are better used.
    pub fn suspicion_timeouts(&self, model: Option<&ModelName>) -> SuspicionTimeouts {
        let latency = model.and_then(|model| self.latencies.get(model));
        latency.map_or_else(SuspicionTimeouts::default, |known| known.limits.timeouts)
    }
}
