//! Load and trouble of upstreams as seen from this VM.

use std::cell::RefCell;
use std::rc::Rc;

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use super::sharing::LeaderSharing;
use crate::view::RouteUpstream;

/// Time for which an upstream with a failure is avoided; doubled with each failure in a row.
const FIRST_AVOIDANCE: Millis = Millis(300);
/// The longest avoidance.
const MAX_AVOIDANCE: Millis = Millis(5_000);
/// Time for which an upstream is avoided at which requests stand still: the groups' coordinator
/// ends the group by then, or it turns out to be sound.
const QUIET_AVOIDANCE: Millis = Millis(2_000);
/// Time that a connection takes at a sound upstream, several times over.
const SLOW_CONNECT: Millis = Millis(40);
/// Time without any event from a busy engine after which new requests go elsewhere, if they can.
/// Engines answer in passes of some 50 ms.
const SUSPECT_SILENCE: Millis = Millis(200);
/// What a request to another failure domain counts, in requests: with equal load the near one.
const AWAY_PENALTY: f64 = 0.5;

/// Added to the limit of requests in flight by a first event in time.
const LIMIT_INCREASE: f64 = 0.3;
/// Taken off the limit by a late first event, or when the upstream is full. With twice the
/// increase, a third of the first events are late where the limit settles.
const LIMIT_DECREASE: f64 = 0.6;
/// Factor on an equal part of the slots for the first limit.
const FIRST_LIMIT_FACTOR: f64 = 1.5;
/// The lowest first limit, in requests.
const FIRST_LIMIT_FLOOR: f64 = 2.0;
/// The lowest limit.
const MIN_LIMIT: f64 = 1.0;

/// One upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamLoad {
    /// Requests that may be in flight from here; none before the first answer. It grows while
    /// first events come in time and shrinks when they are late, so that all entry VMs together
    /// keep an upstream's queue short without counting for each other.
    limit: Option<f64>,
    /// Requests sent from here and not ended.
    pub in_flight: u32,
    /// Of these, the ones whose answers have begun.
    begun: u32,
    /// When anything last came from it.
    pub progress_at: Millis,
    /// Since when there has been a request in flight from here without a break.
    busy_since: Millis,
    /// Since when a connection has been on its way, if one is.
    connecting_since: Option<Millis>,
    /// Failures in a row.
    failures: u32,
    avoided_until: Millis,
}

impl UpstreamLoad {
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
    fn is_avoided(&self, now: Millis) -> bool {
        let is_unreachable = self
            .connecting_since
            .is_some_and(|since| now.since(since) > SLOW_CONNECT);
        self.avoided_until > now || is_unreachable || self.silence(now) > SUSPECT_SILENCE
    }
}

/// All upstreams that were sent to.
#[derive(Debug, Default)]
pub struct UpstreamBook {
    loads: IndexMap<UpstreamId, UpstreamLoad>,
    sharing: LeaderSharing,
}

impl UpstreamBook {
    /// Shares the leaders out over the entry VMs `vms`, of which `own` is this one.
    pub fn share_leaders<'a, Leaders>(&mut self, leaders: Leaders, vms: &[&str], own: &str)
    where
        Leaders: Iterator<Item = &'a RouteUpstream>,
    {
        self.sharing.share(leaders, vms, own);
    }

    /// The limit before an upstream has shown what it bears: somewhat more than an equal part of
    /// its slots, as callers are spread unevenly. Without it every VM would fill a group that has
    /// just opened by itself.
    fn first_limit(&self, slots: u32) -> f64 {
        let users = self.sharing.users(slots);
        let part = f64::from(slots) / users as f64;
        (part * FIRST_LIMIT_FACTOR).clamp(FIRST_LIMIT_FLOOR, f64::from(slots).max(MIN_LIMIT))
    }

    /// The load of one upstream.
    pub fn load(&self, id: &UpstreamId) -> UpstreamLoad {
        self.loads.get(id).copied().unwrap_or_default()
    }

    fn load_mut(&mut self, id: &UpstreamId) -> &mut UpstreamLoad {
        self.loads.entry(id.clone()).or_default()
    }

    /// Counts a request that is sent.
    pub fn note_sent(&mut self, id: &UpstreamId, now: Millis) {
        let load = self.load_mut(id);
        if load.in_flight == 0 {
            load.busy_since = now;
        }
        load.in_flight += 1;
    }

    /// Notes that a connection is being set up.
    pub fn note_connecting(&mut self, id: &UpstreamId, now: Millis) {
        self.load_mut(id).connecting_since.get_or_insert(now);
    }

    /// Notes that a connection was set up, or was given up.
    pub fn note_connected(&mut self, id: &UpstreamId) {
        self.load_mut(id).connecting_since = None;
    }

    /// Notes that its group has changed: what was held against it no longer counts.
    pub fn note_regrouped(&mut self, id: &UpstreamId) {
        let load = self.load_mut(id);
        load.avoided_until = Millis::ZERO;
        load.failures = 0;
        load.limit = None;
    }

    /// Counts an answer that begins.
    fn note_begun(&mut self, id: &UpstreamId) {
        self.load_mut(id).begun += 1;
    }

    /// Counts the end of a request, whose answer may have begun.
    fn note_ended(&mut self, id: &UpstreamId, has_begun: bool) {
        let load = self.load_mut(id);
        load.in_flight = load.in_flight.saturating_sub(1);
        load.begun = load.begun.saturating_sub(u32::from(has_begun));
    }

    /// Notes that something came from it.
    pub fn note_progress(&mut self, id: &UpstreamId, now: Millis) {
        self.load_mut(id).progress_at = now;
    }

    /// Notes how long the first event of a stream took, against its objective.
    pub fn note_first(&mut self, id: &UpstreamId, slots: u32, took: Millis, objective: Millis) {
        if took > objective {
            self.decrease(id, slots);
            return;
        }
        let first = self.first_limit(slots);
        let load = self.load_mut(id);
        let limit = load.limit.unwrap_or(first);
        if f64::from(load.in_flight) >= limit - 1.0 {
            load.limit = Some((limit + LIMIT_INCREASE).min(f64::from(slots)));
        }
    }

    /// Notes that an upstream is full.
    pub fn decrease(&mut self, id: &UpstreamId, slots: u32) {
        let first = self.first_limit(slots);
        let load = self.load_mut(id);
        let limit = load.limit.unwrap_or(first);
        let limit = limit.min(f64::from(load.in_flight.max(1)) + 1.0);
        load.limit = Some((limit - LIMIT_DECREASE).max(MIN_LIMIT));
    }

    /// Whether one more request may be sent.
    fn has_room(&self, upstream: &RouteUpstream) -> bool {
        let load = self.load(&upstream.id);
        // Plain services have no first events to learn from; they turn away what is too much.
        let first = match upstream.group {
            Some(_) => self.first_limit(upstream.slots),
            None => f64::from(upstream.slots),
        };
        let limit = load.limit.unwrap_or(first);
        f64::from(load.in_flight) + 1.0 <= limit.max(MIN_LIMIT)
    }

    /// Notes a whole answer.
    pub fn note_success(&mut self, id: &UpstreamId) {
        let load = self.load_mut(id);
        load.failures = 0;
        load.avoided_until = Millis::ZERO;
    }

    /// Notes a failure.
    pub fn note_failure(&mut self, id: &UpstreamId, now: Millis) {
        let load = self.load_mut(id);
        let factor = 1_u64 << load.failures.min(6);
        load.failures += 1;
        let wait = Millis(FIRST_AVOIDANCE.0 * factor).min(MAX_AVOIDANCE);
        load.avoided_until = load.avoided_until.max(now + wait);
    }

    /// Notes that requests stand still there.
    pub fn note_quiet(&mut self, id: &UpstreamId, now: Millis) {
        let load = self.load_mut(id);
        load.avoided_until = load.avoided_until.max(now + QUIET_AVOIDANCE);
    }

    /// Forgets upstreams that are not listed any more and have nothing in flight.
    pub fn retain<Keep>(&mut self, is_listed: Keep)
    where
        Keep: Fn(&UpstreamId) -> bool,
    {
        self.loads
            .retain(|id, load| load.in_flight > 0 || is_listed(id));
    }

    /// What the limits of these upstreams add up to, and what is in flight, for the log.
    pub fn describe(&self, pool: &[RouteUpstream]) -> String {
        let loads = pool.iter().map(|upstream| {
            let load = self.load(&upstream.id);
            let limit = load.limit.unwrap_or(self.first_limit(upstream.slots));
            format!("{}/{limit:.1}", load.in_flight)
        });
        loads.collect::<Vec<_>>().join(",")
    }

    /// The least loaded upstream that was not tried and has room. Avoided ones are used when there
    /// are no others. A request that was begun elsewhere (`must_go_on`) needs no room: what it got
    /// so far would be lost with it.
    pub fn choose<'a>(
        &self,
        pool: &'a [RouteUpstream],
        home: &FailureDomain,
        tried: &[UpstreamId],
        now: Millis,
        must_go_on: bool,
    ) -> UpstreamChoice<'a> {
        let random: u64 = rand::random();
        let score = |upstream: &RouteUpstream| {
            let load = self.load(&upstream.id);
            let is_avoided = load.is_avoided(now);
            let away = match upstream.failure_domain == *home {
                true => 0.0,
                false => AWAY_PENALTY,
            };
            let load = (f64::from(load.in_flight) + away) / f64::from(upstream.slots.max(1));
            (is_avoided, !self.sharing.is_own(&upstream.id), load)
        };
        let mut fresh = pool
            .iter()
            .filter(|upstream| !tried.contains(&upstream.id))
            .peekable();
        if fresh.peek().is_none() {
            return UpstreamChoice::None;
        }
        let has_own = pool.iter().any(|upstream| {
            self.sharing.is_own(&upstream.id) && !self.load(&upstream.id).is_avoided(now)
        });
        let usable = fresh.filter(|upstream| {
            let is_plain = upstream.group.is_none();
            must_go_on || is_plain || self.sharing.is_own(&upstream.id) || !has_own
        });
        let roomy = usable.filter(|upstream| must_go_on || self.has_room(upstream));
        let best = roomy.min_by(|a, b| {
            let (a_score, b_score) = (score(a), score(b));
            let by_score = (a_score.0, a_score.1)
                .cmp(&(b_score.0, b_score.1))
                .then(a_score.2.total_cmp(&b_score.2));
            let tie = |it: &RouteUpstream| rendezvous_score(random, it.id.as_str());
            by_score.then_with(|| tie(a).cmp(&tie(b)))
        });
        best.map_or(UpstreamChoice::Full, UpstreamChoice::Chosen)
    }
}

/// What a choice came to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UpstreamChoice<'a> {
    /// This one.
    Chosen(&'a RouteUpstream),
    /// All that are left have as many requests as they bear.
    Full,
    /// None is left.
    None,
}

/// Counts a request at an upstream until dropped.
#[derive(Debug)]
pub struct FlightGuard {
    book: Rc<RefCell<UpstreamBook>>,
    id: UpstreamId,
    has_begun: bool,
}

impl FlightGuard {
    /// Counts a request that is about to be sent.
    pub fn enter(book: &Rc<RefCell<UpstreamBook>>, id: &UpstreamId, now: Millis) -> Self {
        book.borrow_mut().note_sent(id, now);
        Self {
            book: Rc::clone(book),
            id: id.clone(),
            has_begun: false,
        }
    }

    /// Counts that the answer has begun.
    pub fn note_begun(&mut self) {
        if !self.has_begun {
            self.has_begun = true;
            self.book.borrow_mut().note_begun(&self.id);
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.book.borrow_mut().note_ended(&self.id, self.has_begun);
    }
}
