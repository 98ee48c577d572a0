//! Which upstream a request is sent to, by load and trouble of all of them.

use bergamot_occupancy::leader_key;
use bergamot_types::prelude::*;

use crate::book::UpstreamBook;
use crate::reach::dark_domains;
use crate::upstream::RouteUpstream;

/// What a request to another failure domain counts, in requests: with equal load the near one.
const AWAY_PENALTY: f64 = 0.5;

/// What a request that needs a new connection counts, in requests: less than one to another failure domain.
const CONNECT_PENALTY: f64 = 0.4;

/// Unread prompt tokens that count as much as one request in flight, in the choice among leaders.
const TOKENS_PER_REQUEST: f64 = 700.0;

/// Part of the objective within which the first event must be expected. The rest is for the way, and for what
/// others send meanwhile.
const IN_TIME_PART: f64 = 0.75;

/// Leaders of which the less busy one is taken. What is known of them is some 75 ms old; all that choose the least
/// busy of all leaders meanwhile choose the same one. With two drawn ones 0.93 of a moderate load are in time,
/// with the least busy of 40 leaders 0.28 (87 VMs, `experiment::serving`).
const DRAWN_LEADERS: usize = 2;

/// The most a leader may have to do, as a part of its limit and of the objective, to be taken when the drawn ones
/// are full: then it is no accident of a moment, and others may come at the same time.
const IDLE_PART: f64 = 0.6;

/// What an upstream is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamAsk<'a> {
    /// Where this VM is.
    pub home: &'a FailureDomain,
    /// Upstreams that the request was sent to already.
    pub tried: &'a [UpstreamIncarnation],
    /// Upstreams to which a connection is open that nobody uses.
    pub idle: &'a [UpstreamIncarnation],
    /// Whether it was begun elsewhere and needs no room: what it got so far would be lost with it.
    pub must_go_on: bool,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// The time within which its first event is in time.
    pub objective: Millis,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// A random number, for what is equal otherwise.
    pub draw: u64,
    /// Its place among the upstreams, where it is to be kept apart from other requests: those with other places go to
    /// other upstreams.
    pub apart: Option<u64>,
}

/// What a choice came to.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum UpstreamChoice<'a> {
    /// This one.
    Chosen(&'a RouteUpstream),
    /// All that are left have as many requests as they bear.
    Full,
    /// None of those that are left takes requests now; the first one may at this moment, where that is known.
    Closed(Option<Millis>),
    /// None is left.
    None,
}

impl UpstreamBook {
    /// Whether one more request may be sent.
    fn has_room(&self, upstream: &RouteUpstream) -> bool {
        let load = self.load(&upstream.incarnation);
        // Plain services have no first events to learn from; they turn away what is too much.
        let first = match upstream.group {
            Some(_) => self.first_limit(upstream.slots),
            None => f64::from(upstream.slots),
        };
        f64::from(load.in_flight) + 1.0 <= load.limit(first)
    }

    /// Whether a leader has a slot for one more request, whose first event can be expected in time.
    ///
    /// Against limits that each VM learns by itself it gains 0.025 of the worth of days with trouble (8 VMs before
    /// 57 upstreams; five days, five plays before and two after): 26 running requests are no bound on what waits
    /// to be read, and where prompts are long a pass that reads several takes longer than the objective.
    fn is_in_time(&self, upstream: &RouteUpstream, ask: &UpstreamAsk<'_>, now: Millis) -> bool {
        let total = self.total_at(&upstream.incarnation, now);
        let limit = self
            .load(&upstream.incarnation)
            .common_limit(upstream.slots);
        let in_time = ask.objective.0 as f64 * IN_TIME_PART;
        let first = upstream.first_event_ms(total, ask.prompt);
        let is_early =
            total.pending_prompt_tokens == 0 || first.is_none_or(|first| first <= in_time);
        f64::from(total.requests) + 1.0 <= limit && is_early
    }

    /// Whether a leader has so little to do that others may send there at the same time.
    fn is_idle(&self, upstream: &RouteUpstream, ask: &UpstreamAsk<'_>, now: Millis) -> bool {
        let total = self.total_at(&upstream.incarnation, now);
        let limit = self
            .load(&upstream.incarnation)
            .common_limit(upstream.slots);
        let first = upstream.first_event_ms(total, ask.prompt);
        let early = ask.objective.0 as f64 * IDLE_PART;
        let is_early = first.is_none_or(|first| first <= early);
        f64::from(total.requests) <= limit * IDLE_PART && is_early
    }

    /// Those of `usable` that one more request may be sent to.
    fn with_room<'a, Avoided>(
        &self,
        mut usable: Vec<&'a RouteUpstream>,
        ask: &UpstreamAsk<'_>,
        is_avoided: &Avoided,
        now: Millis,
    ) -> Vec<&'a RouteUpstream>
    where
        Avoided: Fn(&RouteUpstream) -> bool,
    {
        if ask.must_go_on {
            return usable;
        }
        let are_leaders = usable.iter().all(|it| it.group.is_some());
        if !are_leaders || !self.occupancy.is_remote_load_known(now) {
            usable.retain(|upstream| self.has_room(upstream));
            return usable;
        }
        // A leader that is silent or out of reach has little to do. While there are others it is left alone, also
        // when they are full: 245 requests waited 0.15 to 0.45 s for connections to dark leaders in 4 s in which
        // three of nine were dark.
        if !usable.iter().all(|it| is_avoided(it)) {
            usable.retain(|it| !is_avoided(it));
        }
        // Those that a connection is open to come first: 195 VMs that drew among all of 40 leaders opened a new one for
        // each third request, twice as many as now (five days with trouble, one play each).
        let is_idle = |it: &RouteUpstream| ask.idle.contains(&it.incarnation);
        let draw = |it: &RouteUpstream| rendezvous_score(ask.draw, it.incarnation.as_str());
        usable.sort_by_cached_key(|it| (!is_idle(it), draw(it)));
        // One of the two is near: what goes to other failure domains is paid for.
        let near = usable.iter().position(|it| it.failure_domain == *ask.home);
        if let Some(near) = near {
            usable[..=near].rotate_right(1);
        }
        let mut others = usable.split_off(DRAWN_LEADERS.min(usable.len()));
        let has_idle = usable.iter().any(|it| is_idle(it));
        usable.retain(|upstream| self.is_in_time(upstream, ask, now));
        if !usable.is_empty() {
            return usable;
        }
        if has_idle {
            let mut next = others.split_off(DRAWN_LEADERS.min(others.len()));
            std::mem::swap(&mut next, &mut others);
            next.retain(|upstream| self.is_in_time(upstream, ask, now));
            if !next.is_empty() {
                return next;
            }
        }
        others.retain(|upstream| self.is_idle(upstream, ask, now));
        others.truncate(DRAWN_LEADERS);
        others
    }

    /// How much a leader has to do, in requests.
    fn work_at(&self, upstream: &RouteUpstream, now: Millis) -> f64 {
        if upstream.group.is_none() || !self.occupancy.is_remote_load_known(now) {
            return f64::from(self.load(&upstream.incarnation).in_flight);
        }
        let total = self.total_at(&upstream.incarnation, now);
        f64::from(total.requests) + f64::from(total.pending_prompt_tokens) / TOKENS_PER_REQUEST
    }

    /// The least loaded upstream that was not tried and has room. Avoided ones are used when there
    /// are no others.
    pub fn choose<'a>(
        &self,
        pool: &'a [RouteUpstream],
        ask: &UpstreamAsk<'_>,
        now: Millis,
    ) -> UpstreamChoice<'a> {
        let dark = dark_domains(pool, |upstream| self.load(&upstream.incarnation), now);
        let is_told = |upstream: &RouteUpstream| {
            !self.told.is_empty() && self.told.has(now, leader_key(&upstream.incarnation))
        };
        let is_avoided = |upstream: &RouteUpstream| {
            dark.contains(&&upstream.failure_domain)
                || self.load(&upstream.incarnation).is_avoided(now)
                || is_told(upstream)
        };
        let score = |upstream: &RouteUpstream| {
            let away = match upstream.failure_domain == *ask.home {
                true => 0.0,
                false => AWAY_PENALTY,
            };
            let connect = match ask.idle.contains(&upstream.incarnation) {
                true => 0.0,
                false => CONNECT_PENALTY,
            };
            let work = self.work_at(upstream, now) + away + connect;
            let is_shared = !self.sharing.is_own(&upstream.incarnation);
            (
                is_avoided(upstream),
                is_shared,
                work / f64::from(upstream.slots.max(1)),
            )
        };
        let mut fresh = pool
            .iter()
            .filter(|upstream| !ask.tried.contains(&upstream.incarnation))
            .peekable();
        if fresh.peek().is_none() {
            return UpstreamChoice::None;
        }
        let gate = |it: &RouteUpstream| self.gates.state(&it.incarnation, ask.priority, now);
        let (fresh, closed): (Vec<_>, Vec<_>) = fresh.partition(|it| gate(it).is_open());
        if fresh.is_empty() {
            let opens = closed.into_iter().filter_map(|it| gate(it).opens_at());
            return UpstreamChoice::Closed(opens.min());
        }
        if let Some(place) = ask.apart {
            return at_place(fresh, &is_avoided, place);
        }
        let has_own = pool.iter().any(|it| {
            self.sharing.is_own(&it.incarnation) && !is_avoided(it) && gate(it).is_open()
        });
        let usable = fresh.into_iter().filter(|upstream| {
            let is_plain = upstream.group.is_none();
            ask.must_go_on || is_plain || self.sharing.is_own(&upstream.incarnation) || !has_own
        });
        let roomy = self.with_room(usable.collect(), ask, &is_avoided, now);
        let scored = roomy
            .into_iter()
            .map(|upstream| (score(upstream), upstream));
        let best = scored.min_by(|(a_score, a), (b_score, b)| {
            let by_score = (a_score.0, a_score.1)
                .cmp(&(b_score.0, b_score.1))
                .then(a_score.2.total_cmp(&b_score.2));
            let tie = |it: &RouteUpstream| rendezvous_score(ask.draw, it.incarnation.as_str());
            by_score.then_with(|| tie(a).cmp(&tie(b)))
        });
        best.map_or(UpstreamChoice::Full, |(_, chosen)| {
            UpstreamChoice::Chosen(chosen)
        })
    }
}

/// The upstream at a place among all that are usable, or among the avoided ones where there are no others; the same one at
/// all VMs that know of the same upstreams, whatever the load.
fn at_place<'a, Avoided>(
    mut usable: Vec<&'a RouteUpstream>,
    is_avoided: &Avoided,
    place: u64,
) -> UpstreamChoice<'a>
where
    Avoided: Fn(&RouteUpstream) -> bool,
{
    if !usable.iter().all(|it| is_avoided(it)) {
        usable.retain(|it| !is_avoided(it));
    }
    usable.sort_unstable_by(|a, b| a.incarnation.as_str().cmp(b.incarnation.as_str()));
    let index = place % usable.len().max(1) as u64;
    let chosen = usable.get(index as usize);
    chosen.map_or(UpstreamChoice::None, |it| UpstreamChoice::Chosen(it))
}
