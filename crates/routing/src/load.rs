//! Load and trouble of one upstream as seen from one entry VM.

use bergamot_occupancy::LeaderLoad;
use bergamot_types::prelude::*;

use crate::latency::SuspicionTimeouts;

/// Time for which an upstream with a failure is avoided; doubled with each failure in a row.
const FIRST_AVOIDANCE: Millis = Millis(300);
/// The longest avoidance.
const MAX_AVOIDANCE: Millis = Millis(5_000);
/// Time for which an upstream is avoided at which requests stand still: the groups' coordinator
/// ends the group by then, or it turns out to be sound.
const STALL_AVOIDANCE: Millis = Millis(2_000);
/// Time between two doubts in an upstream that the coordinator hears of: it asks a member no sooner again.
const SUSPICION_PERIOD: Millis = Millis(300);
/// Time that a connection takes at a sound upstream, several times over.
const SLOW_CONNECT_THRESHOLD: Millis = Millis(40);

/// Added to the limit of requests in flight by a first event in time.
const LIMIT_INCREASE: f64 = 0.3;
/// Taken off the limit by a late first event, or when the upstream is full. With twice the
/// increase, a third of the first events are late where the limit settles.
const LIMIT_DECREASE: f64 = 0.6;
/// The lowest limit.
pub(crate) const MIN_LIMIT: f64 = 1.0;

/// Requests of all entry VMs that a leader is given at first, as a part of its slots: as many as run at once.
const INITIAL_FILL: f64 = 1.0;
/// The highest part: what waits there then begins within one or two passes.
const MAX_FILL: f64 = 1.1;
/// The lowest part, for a leader whose first events are late whatever runs there.
const MIN_FILL: f64 = 0.1;
/// Added to the part by a first event in time at a leader that is nearly full.
const FILL_INCREASE: f64 = 0.02;
/// Taken off it by a late first event.
const FILL_DECREASE: f64 = 0.03;
/// Free slots with which a leader counts as nearly full.
const NEARLY_FULL_FREE_SLOTS: f64 = 2.0;

/// One upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamLoad {
    /// Part of its slots that requests of all entry VMs together may take; none before the first answer.
    /// Used while it is known what the others have in flight.
    fill: Option<f64>,
    /// Requests that may be in flight from here; none before the first answer. It grows while
    /// first events come in time and shrinks when they are late, so that all entry VMs together
    /// keep an upstream's queue short while they do not know what the others have in flight.
    limit: Option<f64>,
    /// Requests sent from here and not ended.
    pub in_flight: u32,
    /// Of these, the ones whose answers have begun.
    begun_answers: u32,
    /// Prompt tokens of the others.
    pending_prompt_tokens: u32,
    /// When anything last came from it.
    last_received_at: Millis,
    /// Since when there has been a request in flight from here without a break.
    busy_since: Millis,
    /// Silences after which others are better used, by the model of the last request.
    suspicion_timeouts: SuspicionTimeouts,
    /// Connections that are on their way.
    pending_connections: u32,
    /// Since when one has been, if one is.
    pub(crate) connecting_since: Option<Millis>,
    /// When it was last doubted that it goes on.
    suspected_at: Option<Millis>,
    /// When a connection to it was last not set up.
    connect_failed_at: Option<Millis>,
    /// Failures in a row.
    failures: u32,
    avoided_until: Millis,
}

impl UpstreamLoad {
    /// What is in flight from here.
    pub fn own_load(&self) -> LeaderLoad {
        LeaderLoad {
            requests: self.in_flight,
            pending_prompt_tokens: self.pending_prompt_tokens,
        }
    }

    /// Whether an answer from it has begun and goes on. Where none has, silence may only mean that
    /// requests wait there behind those of other entry VMs.
    pub fn has_begun(&self) -> bool {
        self.begun_answers > 0
    }

    /// How long it has been silent while it had something to do.
    pub fn inactivity(&self, now: Millis) -> Millis {
        match self.in_flight {
            0 => Millis::ZERO,
            _ => now.since(self.last_received_at.max(self.busy_since)),
        }
    }

    /// Whether others are better used now.
    pub fn is_avoided(&self, now: Millis) -> bool {
        let is_connecting = self.slow_connect_since(now).is_some();
        self.avoided_until > now
            || is_connecting
            || self.inactivity(now) > self.tolerated_inactivity()
    }

    /// The silence that passes: without a stream that has begun, no pause is over yet.
    fn tolerated_inactivity(&self) -> Millis {
        match self.has_begun() {
            true => self.suspicion_timeouts.gap,
            false => self.suspicion_timeouts.first_event,
        }
    }

    /// Since when a connection has been on its way, if that is longer than it takes at a sound upstream.
    fn slow_connect_since(&self, now: Millis) -> Option<Millis> {
        self.connecting_since
            .filter(|since| now.since(*since) > SLOW_CONNECT_THRESHOLD)
    }

    /// Since when connections to it are not set up; none where that is not known or long ago.
    pub(crate) fn connect_failing_since(&self, now: Millis) -> Option<Millis> {
        let failed_at = self.connect_failed_at;
        let failed_at = failed_at.filter(|failed_at| now.since(*failed_at) < STALL_AVOIDANCE);
        failed_at.or_else(|| self.slow_connect_since(now))
    }

    /// Notes that it is doubted to go on. Says whether that was not noted a moment ago.
    pub(crate) fn record_suspicion(&mut self, now: Millis) -> bool {
        let is_due = self
            .suspected_at
            .is_none_or(|suspected_at| now.since(suspected_at) >= SUSPICION_PERIOD);
        if is_due {
            self.suspected_at = Some(now);
        }
        is_due
    }

    /// When anything last came from it.
    pub(crate) const fn last_received_at(&self) -> Millis {
        self.last_received_at
    }

    pub(crate) fn record_connecting(&mut self, now: Millis) {
        self.pending_connections += 1;
        self.connecting_since.get_or_insert(now);
    }

    /// Without this, one whose caller left while it was being set up would count as slow for good.
    pub(crate) fn record_connect_finished(&mut self) {
        self.pending_connections = self.pending_connections.saturating_sub(1);
        if self.pending_connections == 0 {
            self.connecting_since = None;
        }
    }

    pub(crate) fn record_connect_failure(&mut self, now: Millis) {
        self.connect_failed_at = Some(now);
    }

    /// Requests that may be in flight from here, where `first` holds before the first answer.
    pub fn limit(&self, initial_limit: f64) -> f64 {
        self.limit.unwrap_or(initial_limit).max(MIN_LIMIT)
    }

    /// Requests that all entry VMs together may have in flight at a leader with so many slots.
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
        self.pending_prompt_tokens += prompt_tokens;
    }

    pub(crate) fn record_answer_begun(&mut self, prompt_tokens: u32) {
        self.begun_answers += 1;
        self.pending_prompt_tokens = self.pending_prompt_tokens.saturating_sub(prompt_tokens);
    }

    pub(crate) fn record_ended(&mut self, has_begun: bool, prompt_tokens: u32) {
        if !has_begun {
            self.pending_prompt_tokens = self.pending_prompt_tokens.saturating_sub(prompt_tokens);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.begun_answers = self.begun_answers.saturating_sub(u32::from(has_begun));
    }

    pub(crate) fn record_progress(&mut self, now: Millis) {
        self.last_received_at = now;
        self.connect_failed_at = None;
    }

    /// Whether something came from it within the time of a usual pause.
    pub(crate) fn has_recent_data(&self, now: Millis) -> bool {
        now.since(self.last_received_at) < self.suspicion_timeouts.gap
    }

    /// Forgets what was held against it.
    pub(crate) fn record_group_change(&mut self) {
        self.avoided_until = Millis::ZERO;
        self.failures = 0;
        self.limit = None;
        self.fill = None;
    }

    /// Raises its limits: a first event came in time while `total` requests of all VMs were there.
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

    /// Lowers its limits: a first event was late.
    pub(crate) fn record_late_first_event(&mut self, initial_limit: f64) {
        let fill = self.fill.unwrap_or(INITIAL_FILL);
        self.fill = Some((fill - FILL_DECREASE).max(MIN_FILL));
        self.lower_limit(initial_limit);
    }

    /// Lowers the limit of requests from here.
    pub(crate) fn lower_limit(&mut self, initial_limit: f64) {
        let limit = self.limit.unwrap_or(initial_limit);
        let limit = limit.min(f64::from(self.in_flight.max(1)) + 1.0);
        self.limit = Some((limit - LIMIT_DECREASE).max(MIN_LIMIT));
    }

    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
        self.avoided_until = Millis::ZERO;
    }

    pub(crate) fn record_failure(&mut self, now: Millis) {
        let factor = 1_u64 << self.failures.min(6);
        self.failures += 1;
        let avoidance = Millis(FIRST_AVOIDANCE.0 * factor).min(MAX_AVOIDANCE);
        self.avoided_until = self.avoided_until.max(now + avoidance);
    }

    pub(crate) fn record_stall(&mut self, now: Millis) {
        self.avoided_until = self.avoided_until.max(now + STALL_AVOIDANCE);
    }
}
