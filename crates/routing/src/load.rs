//! Load and health of one upstream, as observed by one entry VM.

use bergamot_occupancy::LeaderLoad;
use bergamot_types::prelude::*;

use crate::latency::{MAX_STALL, SuspicionTimeouts};

/// How long an upstream is avoided after a failure. Doubles with each consecutive failure.
const FIRST_AVOIDANCE: Millis = Millis(300);
/// Longest avoidance.
const MAX_AVOIDANCE: Millis = Millis(5_000);
/// How long a stalled upstream is avoided. By then the groups' coordinator has stopped the group,
/// or the upstream has proved healthy.
const STALL_AVOIDANCE: Millis = Millis(2_000);
/// Shortest time between two suspicions of an upstream that reach the coordinator, which probes a
/// member no more often.
const SUSPICION_PERIOD: Millis = Millis(300);
/// Several times the duration of connecting to a healthy upstream.
const SLOW_CONNECT_THRESHOLD: Millis = Millis(40);

/// Increase of the limit of requests in flight after a first event in time.
const LIMIT_INCREASE: f64 = 0.3;
/// Decrease of the limit after a late first event, or when the upstream is full. At twice the
/// increase, the limit settles where a third of the first events are late.
const LIMIT_DECREASE: f64 = 0.6;
/// Lowest limit.
pub(crate) const MIN_LIMIT: f64 = 1.0;

/// Initial limit on the requests of all entry VMs at a leader, as a fraction of its slots: as many
/// as can run at once.
const INITIAL_FILL: f64 = 1.0;
/// Highest fraction. Requests beyond the slots then begin within one or two passes.
const MAX_FILL: f64 = 1.1;
/// Lowest fraction, for a leader whose first events are late at any load.
const MIN_FILL: f64 = 0.1;
/// Increase of the fraction after a first event in time at a nearly full leader.
const FILL_INCREASE: f64 = 0.02;
/// Decrease of the fraction after a late first event.
const FILL_DECREASE: f64 = 0.03;
/// Number of free slots up to which a leader counts as nearly full.
const NEARLY_FULL_FREE_SLOTS: f64 = 2.0;

/// Why other upstreams are preferred to one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum AvoidanceReason {
    /// Requests failed there.
    Failed,
    /// Connecting takes longer than usual.
    Connecting,
    /// Nothing arrives from it.
    Silent,
}

impl AvoidanceReason {
    /// Returns the reason's name in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Connecting => "connecting",
            Self::Silent => "silent",
        }
    }
}

/// A time in which nothing arrived from an upstream although requests waited there, and which is
/// over.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct PastSilence {
    ended_at: Millis,
    duration: Millis,
    /// Whether a stream had begun, so that the silence was no queue.
    had_begun: bool,
}

impl PastSilence {
    /// Whether a wait since `sent_at` may be longer for the silence. `has_queue` tells whether
    /// requests wait at the upstream for others.
    pub(crate) fn explains_wait(self, sent_at: Millis, has_queue: bool) -> bool {
        sent_at < self.ended_at && (self.had_begun || !has_queue)
    }

    /// Whether the upstream may still be at work on what arrived during the silence.
    fn has_backlog(self, now: Millis) -> bool {
        now.since(self.ended_at) < self.duration
    }
}

/// Load and health of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamLoad {
    /// Fraction of the slots that the requests of all entry VMs together may use; none before the
    /// first answer. Used while the load of the other VMs is known.
    fill: Option<f64>,
    /// Limit of requests in flight from this VM; none before the first answer. It grows while first
    /// events arrive in time and shrinks when they are late. Thus all entry VMs together keep the
    /// queue of an upstream short while they do not know each other's load.
    limit: Option<f64>,
    /// Number of requests in flight from this VM.
    pub in_flight: u32,
    /// Number of requests in flight whose answers have begun.
    begun_answers: u32,
    /// Number of prompt tokens of requests whose answers have not begun.
    pending_prompt_tokens: u64,
    /// When data was last received from the upstream.
    last_received_at: Millis,
    /// Start of the current period with at least one request in flight from this VM.
    busy_since: Millis,
    /// Inactivity after which the upstream is avoided, by the model of the last request.
    suspicion_timeouts: SuspicionTimeouts,
    /// Number of connections being established.
    pending_connections: u32,
    /// When the oldest of these began, if there are any.
    pub(crate) connecting_since: Option<Millis>,
    /// When the upstream was last suspected to be stalled.
    suspected_at: Option<Millis>,
    /// Whether an answer was given up because the upstream was silent, and nothing arrived since.
    is_given_up: bool,
    /// When a connection to the upstream last failed.
    connect_failed_at: Option<Millis>,
    /// Number of consecutive failures.
    failures: u32,
    avoided_until: Millis,
    /// Until when the upstream is avoided as stalled, unless data arrives.
    stalled_until: Millis,
    /// The last silence that was long enough for a stall.
    pub(crate) past_silence: Option<PastSilence>,
}

impl UpstreamLoad {
    /// Returns the load in flight from this VM.
    pub fn own_load(&self) -> LeaderLoad {
        LeaderLoad {
            requests: self.in_flight,
            pending_prompt_tokens: u32::try_from(self.pending_prompt_tokens).unwrap_or(u32::MAX),
        }
    }

    /// Whether an answer from the upstream has begun and has not ended. If none has, inactivity may
    /// only mean that requests are queued behind those of other entry VMs.
    pub fn has_begun(&self) -> bool {
        self.begun_answers > 0
    }

    /// Returns how long nothing was received while a request was in flight.
    pub fn inactivity(&self, now: Millis) -> Millis {
        match self.in_flight {
            0 => Millis::ZERO,
            _ => now.since(self.last_received_at.max(self.busy_since)),
        }
    }

    /// Whether other upstreams are preferred now.
    pub fn is_avoided(&self, now: Millis) -> bool {
        self.avoidance(now).is_some()
    }

    /// Returns why other upstreams are preferred now.
    pub(crate) fn avoidance(&self, now: Millis) -> Option<AvoidanceReason> {
        if self.avoided_until > now {
            return Some(AvoidanceReason::Failed);
        }
        if self.slow_connect_since(now).is_some() {
            return Some(AvoidanceReason::Connecting);
        }
        self.is_silent(now).then_some(AvoidanceReason::Silent)
    }

    /// Whether nothing was received for longer than usual although requests wait at the upstream, or
    /// waited there a moment ago.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        self.stalled_until > now || self.inactivity(now) > self.tolerated_inactivity()
    }

    /// Whether the upstream is silent, or was a moment ago and is at work on what arrived meanwhile.
    pub(crate) fn is_held_up(&self, now: Millis) -> bool {
        let has_backlog = |silence: PastSilence| silence.has_backlog(now);
        self.is_silent(now) || self.past_silence.is_some_and(has_backlog)
    }

    /// Returns the inactivity that is tolerated. The first-event timeout applies until a stream has
    /// begun, as no gap between events can be late before.
    fn tolerated_inactivity(&self) -> Millis {
        match self.has_begun() {
            true => self.suspicion_timeouts.gap,
            false => self.suspicion_timeouts.first_event,
        }
    }

    /// Returns when the oldest pending connection began, if it takes longer than at a healthy
    /// upstream.
    fn slow_connect_since(&self, now: Millis) -> Option<Millis> {
        self.connecting_since
            .filter(|since| now.since(*since) > SLOW_CONNECT_THRESHOLD)
    }

    /// Returns since when connections to the upstream fail; none if that is unknown or long ago.
    pub(crate) fn connect_failing_since(&self, now: Millis) -> Option<Millis> {
        let failed_at = self.connect_failed_at;
        let failed_at = failed_at.filter(|failed_at| now.since(*failed_at) < STALL_AVOIDANCE);
        failed_at.or_else(|| self.slow_connect_since(now))
    }

    /// Records that the upstream is suspected to be stalled. Returns false if this was already
    /// recorded a moment ago.
    pub(crate) fn record_suspicion(&mut self, now: Millis) -> bool {
        let is_due = self
            .suspected_at
            .is_none_or(|suspected_at| now.since(suspected_at) >= SUSPICION_PERIOD);
        if is_due {
            self.suspected_at = Some(now);
        }
        is_due
    }

    /// Returns when data was last received from the upstream.
    pub(crate) const fn last_received_at(&self) -> Millis {
        self.last_received_at
    }

    pub(crate) fn record_connecting(&mut self, now: Millis) {
        self.pending_connections += 1;
        self.connecting_since.get_or_insert(now);
    }

    /// Records the end of connecting. Otherwise a connection whose caller left early would count as
    /// slow for good.
    pub(crate) fn record_connect_finished(&mut self) {
        self.pending_connections = self.pending_connections.saturating_sub(1);
        if self.pending_connections == 0 {
            self.connecting_since = None;
        }
    }

    pub(crate) fn record_connect_failure(&mut self, now: Millis) {
        self.connect_failed_at = Some(now);
    }

    /// Returns the limit of requests in flight from this VM. `initial_limit` applies before the
    /// first answer.
    pub fn limit(&self, initial_limit: f64) -> f64 {
        self.limit.unwrap_or(initial_limit).max(MIN_LIMIT)
    }

    /// Returns the limit of requests from all entry VMs at a leader with this many slots.
    pub fn common_limit(&self, slots: u32) -> f64 {
        (f64::from(slots) * self.fill.unwrap_or(INITIAL_FILL)).max(MIN_LIMIT)
    }

    pub(crate) fn record_sent(
        &mut self,
        prompt_tokens: u32,
        suspicion_timeouts: SuspicionTimeouts,
        now: Millis,
    ) {
        self.suspicion_timeouts = suspicion_timeouts;
        if self.in_flight == 0 {
            self.busy_since = now;
        }
        self.in_flight += 1;
        self.pending_prompt_tokens += u64::from(prompt_tokens);
    }

    pub(crate) fn record_answer_begun(&mut self, prompt_tokens: u32) {
        self.begun_answers += 1;
        self.remove_pending(prompt_tokens);
    }

    pub(crate) fn record_ended(&mut self, has_begun: bool, prompt_tokens: u32) {
        if !has_begun {
            self.remove_pending(prompt_tokens);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.begun_answers = self.begun_answers.saturating_sub(u32::from(has_begun));
    }

    fn remove_pending(&mut self, prompt_tokens: u32) {
        let removed = u64::from(prompt_tokens);
        self.pending_prompt_tokens = self.pending_prompt_tokens.saturating_sub(removed);
    }

    /// Returns whether this is the first data since an answer was given up.
    pub(crate) fn record_progress(&mut self, now: Millis) -> bool {
        let duration = self.inactivity(now);
        if duration >= MAX_STALL {
            self.past_silence = Some(PastSilence {
                ended_at: now,
                duration,
                had_begun: self.has_begun(),
            });
        }
        self.last_received_at = now;
        self.connect_failed_at = None;
        self.stalled_until = Millis::ZERO;
        std::mem::take(&mut self.is_given_up)
    }

    pub(crate) fn record_given_up(&mut self) {
        self.is_given_up = true;
    }

    /// Whether data was received from the upstream within the time of a normal gap.
    pub(crate) fn has_recent_data(&self, now: Millis) -> bool {
        now.since(self.last_received_at) < self.suspicion_timeouts.gap
    }

    /// Drops past failures and learned limits.
    pub(crate) fn record_group_change(&mut self) {
        self.avoided_until = Millis::ZERO;
        self.stalled_until = Millis::ZERO;
        self.failures = 0;
        self.limit = None;
        self.fill = None;
    }

    /// Raises the limits after a first event in time, with `total_requests` requests of all VMs in
    /// flight.
    pub(crate) fn raise_limits(&mut self, slots: u32, initial_limit: f64, total_requests: u32) {
        if f64::from(total_requests) >= self.common_limit(slots) - NEARLY_FULL_FREE_SLOTS {
            let fill = self.fill.unwrap_or(INITIAL_FILL);
            self.fill = Some((fill + FILL_INCREASE).min(MAX_FILL));
        }
        let limit = self.limit.unwrap_or(initial_limit);
        if f64::from(self.in_flight) >= limit - 1.0 {
            self.limit = Some((limit + LIMIT_INCREASE).min(f64::from(slots)));
        }
    }

    /// Raises a limit that was lowered, after a complete answer of a plain service.
    pub(crate) fn restore_limit(&mut self, slots: u32) {
        let raised = |limit: f64| (limit + LIMIT_INCREASE).min(f64::from(slots));
        self.limit = self.limit.map(raised);
    }

    /// Lowers the limits after a late first event.
    pub(crate) fn record_late_first_event(&mut self, initial_limit: f64) {
        let fill = self.fill.unwrap_or(INITIAL_FILL);
        self.fill = Some((fill - FILL_DECREASE).max(MIN_FILL));
        self.lower_limit(initial_limit);
    }

    /// Lowers the limit of requests from this VM.
    pub(crate) fn lower_limit(&mut self, initial_limit: f64) {
        let limit = self.limit.unwrap_or(initial_limit);
        let limit = limit.min(f64::from(self.in_flight.max(1)) + 1.0);
        self.limit = Some((limit - LIMIT_DECREASE).max(MIN_LIMIT));
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        self.avoided_until = Millis::ZERO;
        self.stalled_until = Millis::ZERO;
    }

    pub(crate) fn record_failure(&mut self, now: Millis) {
        let factor = 1_u64 << self.failures.min(6);
        self.failures = self.failures.saturating_add(1);
        let avoidance = Millis(FIRST_AVOIDANCE.0 * factor).min(MAX_AVOIDANCE);
        self.avoided_until = self.avoided_until.max(now + avoidance);
    }

    pub(crate) fn record_stall(&mut self, now: Millis) {
        self.stalled_until = now + STALL_AVOIDANCE;
    }
}
