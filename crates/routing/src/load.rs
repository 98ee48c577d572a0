//! Load and trouble of one upstream as seen from one entry VM.

use bergamot_occupancy::LeaderLoad;
use bergamot_types::prelude::*;

use crate::pace::LeaderPatience;

/// Time for which an upstream with a failure is avoided; doubled with each failure in a row.
const FIRST_AVOIDANCE: Millis = Millis(300);
/// The longest avoidance.
const MAX_AVOIDANCE: Millis = Millis(5_000);
/// Time for which an upstream is avoided at which requests stand still: the groups' coordinator
/// ends the group by then, or it turns out to be sound.
const QUIET_AVOIDANCE: Millis = Millis(2_000);
/// Time between two doubts in an upstream that the coordinator hears of: it asks a member no sooner again.
const DOUBT_PERIOD: Millis = Millis(300);
/// Time that a connection takes at a sound upstream, several times over.
const SLOW_CONNECT: Millis = Millis(40);

/// Added to the limit of requests in flight by a first event in time.
const LIMIT_INCREASE: f64 = 0.3;
/// Taken off the limit by a late first event, or when the upstream is full. With twice the
/// increase, a third of the first events are late where the limit settles.
const LIMIT_DECREASE: f64 = 0.6;
/// The lowest limit.
pub(crate) const MIN_LIMIT: f64 = 1.0;

/// Requests of all entry VMs that a leader is given at first, as a part of its slots: as many as run at once.
const FIRST_FILL: f64 = 1.0;
/// The highest part: what waits there then begins within one or two passes.
const MAX_FILL: f64 = 1.1;
/// The lowest part, for a leader whose first events are late whatever runs there.
const MIN_FILL: f64 = 0.1;
/// Added to the part by a first event in time at a leader that is nearly full.
const FILL_INCREASE: f64 = 0.02;
/// Taken off it by a late first event.
const FILL_DECREASE: f64 = 0.03;
/// Free slots with which a leader counts as nearly full.
const NEARLY_FULL: f64 = 2.0;

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
    begun: u32,
    /// Prompt tokens of the others.
    unread: u32,
    /// When anything last came from it.
    progress_at: Millis,
    /// Since when there has been a request in flight from here without a break.
    busy_since: Millis,
    /// Silences after which others are better used, by the model of the last request.
    patience: LeaderPatience,
    /// Connections that are on their way.
    connecting: u32,
    /// Since when one has been, if one is.
    pub(crate) connecting_since: Option<Millis>,
    /// When it was last doubted that it goes on.
    doubted_at: Option<Millis>,
    /// When a connection to it was last not set up.
    unreached_at: Option<Millis>,
    /// Failures in a row.
    failures: u32,
    avoided_until: Millis,
}

impl UpstreamLoad {
    /// What is in flight from here.
    pub fn own(&self) -> LeaderLoad {
        LeaderLoad {
            requests: self.in_flight,
            pending_prompt_tokens: self.unread,
        }
    }

    /// Whether an answer from it has begun and goes on. Where none has, silence may only mean that
    /// requests wait there behind those of other entry VMs.
    pub fn has_begun(&self) -> bool {
        self.begun > 0
    }

    /// How long it has been silent while it had something to do.
    pub fn silence(&self, now: Millis) -> Millis {
        match self.in_flight {
            0 => Millis::ZERO,
            _ => now.since(self.progress_at.max(self.busy_since)),
        }
    }

    /// Whether others are better used now.
    pub fn is_avoided(&self, now: Millis) -> bool {
        let is_connecting = self.slow_connect_since(now).is_some();
        self.avoided_until > now || is_connecting || self.silence(now) > self.patience()
    }

    /// The silence that passes: without a stream that has begun, no pause is over yet.
    fn patience(&self) -> Millis {
        match self.has_begun() {
            true => self.patience.pause,
            false => self.patience.first,
        }
    }

    /// Since when a connection has been on its way, if that is longer than it takes at a sound upstream.
    fn slow_connect_since(&self, now: Millis) -> Option<Millis> {
        self.connecting_since
            .filter(|since| now.since(*since) > SLOW_CONNECT)
    }

    /// Since when connections to it are not set up; none where that is not known or long ago.
    pub(crate) fn unreached_since(&self, now: Millis) -> Option<Millis> {
        let failed = self.unreached_at;
        let failed = failed.filter(|at| now.since(*at) < QUIET_AVOIDANCE);
        failed.or_else(|| self.slow_connect_since(now))
    }

    /// Notes that it is doubted to go on. Says whether that was not noted a moment ago.
    pub(crate) fn note_doubt(&mut self, now: Millis) -> bool {
        let is_due = self
            .doubted_at
            .is_none_or(|at| now.since(at) >= DOUBT_PERIOD);
        if is_due {
            self.doubted_at = Some(now);
        }
        is_due
    }

    /// When anything last came from it.
    pub(crate) const fn progress_at(&self) -> Millis {
        self.progress_at
    }

    pub(crate) fn note_connecting(&mut self, now: Millis) {
        self.connecting += 1;
        self.connecting_since.get_or_insert(now);
    }

    /// Without this, one whose caller left while it was being set up would count as slow for good.
    pub(crate) fn note_connect_ended(&mut self) {
        self.connecting = self.connecting.saturating_sub(1);
        if self.connecting == 0 {
            self.connecting_since = None;
        }
    }

    pub(crate) fn note_unreached(&mut self, now: Millis) {
        self.unreached_at = Some(now);
    }

    /// Requests that may be in flight from here, where `first` holds before the first answer.
    pub fn limit(&self, first: f64) -> f64 {
        self.limit.unwrap_or(first).max(MIN_LIMIT)
    }

    /// Requests that all entry VMs together may have in flight at a leader with so many slots.
    pub fn common_limit(&self, slots: u32) -> f64 {
        (f64::from(slots) * self.fill.unwrap_or(FIRST_FILL)).max(MIN_LIMIT)
    }

    pub(crate) fn note_sent(&mut self, prompt: u32, patience: LeaderPatience, now: Millis) {
        self.patience = patience;
        if self.in_flight == 0 {
            self.busy_since = now;
        }
        self.in_flight += 1;
        self.unread += prompt;
    }

    pub(crate) fn note_begun(&mut self, prompt: u32) {
        self.begun += 1;
        self.unread = self.unread.saturating_sub(prompt);
    }

    pub(crate) fn note_ended(&mut self, has_begun: bool, prompt: u32) {
        if !has_begun {
            self.unread = self.unread.saturating_sub(prompt);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.begun = self.begun.saturating_sub(u32::from(has_begun));
    }

    pub(crate) fn note_progress(&mut self, now: Millis) {
        self.progress_at = now;
        self.unreached_at = None;
    }

    /// Whether something came from it within the time of a usual pause.
    pub(crate) fn is_heard(&self, now: Millis) -> bool {
        now.since(self.progress_at) < self.patience.pause
    }

    /// Forgets what was held against it.
    pub(crate) fn note_regrouped(&mut self) {
        self.avoided_until = Millis::ZERO;
        self.failures = 0;
        self.limit = None;
        self.fill = None;
    }

    /// Raises its limits: a first event came in time while `total` requests of all VMs were there.
    pub(crate) fn increase(&mut self, slots: u32, first: f64, total: u32) {
        if f64::from(total) >= self.common_limit(slots) - NEARLY_FULL {
            let fill = self.fill.unwrap_or(FIRST_FILL);
            self.fill = Some((fill + FILL_INCREASE).min(MAX_FILL));
        }
        let limit = self.limit.unwrap_or(first);
        if f64::from(self.in_flight) >= limit - 1.0 {
            self.limit = Some((limit + LIMIT_INCREASE).min(f64::from(slots)));
        }
    }

    /// Lowers its limits: a first event was late.
    pub(crate) fn note_late(&mut self, first: f64) {
        let fill = self.fill.unwrap_or(FIRST_FILL);
        self.fill = Some((fill - FILL_DECREASE).max(MIN_FILL));
        self.decrease(first);
    }

    /// Lowers the limit of requests from here.
    pub(crate) fn decrease(&mut self, first: f64) {
        let limit = self.limit.unwrap_or(first);
        let limit = limit.min(f64::from(self.in_flight.max(1)) + 1.0);
        self.limit = Some((limit - LIMIT_DECREASE).max(MIN_LIMIT));
    }

    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
        self.avoided_until = Millis::ZERO;
    }

    pub(crate) fn note_failure(&mut self, now: Millis) {
        let factor = 1_u64 << self.failures.min(6);
        self.failures += 1;
        let wait = Millis(FIRST_AVOIDANCE.0 * factor).min(MAX_AVOIDANCE);
        self.avoided_until = self.avoided_until.max(now + wait);
    }

    pub(crate) fn note_quiet(&mut self, now: Millis) {
        self.avoided_until = self.avoided_until.max(now + QUIET_AVOIDANCE);
    }
}
