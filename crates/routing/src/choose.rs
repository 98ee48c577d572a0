//! Which upstream a request is sent to, by load and trouble of all of them.

use bergamot_occupancy::leader_key;
use bergamot_types::prelude::*;

use crate::monitor::UpstreamMonitor;
use crate::reach::unreachable_domains;
use crate::upstream::RouteUpstream;

/// What a request to another failure domain counts, in requests: with equal load the near one.
const REMOTE_PENALTY: f64 = 0.5;

/// What a request that needs a new connection counts, in requests: less than one to another failure domain.
const CONNECT_PENALTY: f64 = 0.4;

/// Unread prompt tokens that count as much as one request in flight, in the choice among leaders.
const TOKENS_PER_REQUEST: f64 = 700.0;

/// Part of the objective within which the first event must be expected. The rest is for the way, and for what
/// others send meanwhile.
const IN_TIME_FRACTION: f64 = 0.75;

/// Leaders of which the less busy one is taken. What is known of them is some 75 ms old; all that choose the least
/// busy of all leaders meanwhile choose the same one. With two drawn ones 0.93 of a moderate load are in time,
/// with the least busy of 40 leaders 0.28 (87 VMs, `experiment::serving`).
const SAMPLED_LEADERS: usize = 2;

/// The most a leader may have to do, as a part of its limit and of the objective, to be taken when the drawn ones
/// are full: then it is no accident of a moment, and others may come at the same time.
const LIGHT_LOAD_FRACTION: f64 = 0.6;

/// What an upstream is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCriteria<'a> {
    /// Where this VM is.
    pub home: &'a FailureDomain,
    /// Upstreams that the request was sent to already.
    pub tried: &'a [UpstreamIncarnation],
    /// Upstreams to which a connection is open that nobody uses.
    pub idle_connections: &'a [UpstreamIncarnation],
    /// Whether it was begun elsewhere and needs no room: what it got so far would be lost with it.
    pub has_begun_elsewhere: bool,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// The time within which its first event is in time.
    pub objective: Millis,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// A random number, for what is equal otherwise.
    pub random: u64,
    /// Its place among the upstreams, where it is to be kept apart from other requests: those with other places go to
    /// other upstreams.
    pub isolation_index: Option<u64>,
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

impl UpstreamMonitor {
    /// Whether one more request may be sent.
    fn has_room(&self, upstream: &RouteUpstream) -> bool {
        let load = self.load(&upstream.incarnation);
        // Plain services have no first events to learn from; they turn away what is too much.
        let initial_limit = match upstream.group {
            Some(_) => self.initial_limit(upstream.slots),
            None => f64::from(upstream.slots),
        };
        f64::from(load.in_flight) + 1.0 <= load.limit(initial_limit)
    }

    /// Whether a leader has a slot for one more request, whose first event can be expected in time.
    ///
    /// Against limits that each VM learns by itself it gains 0.025 of the worth of days with trouble (8 VMs before
    /// 57 upstreams; five days, five plays before and two after): 26 running requests are no bound on what waits
    /// to be read, and where prompts are long a pass that reads several takes longer than the objective.
    fn is_in_time(
        &self,
        upstream: &RouteUpstream,
        criteria: &UpstreamCriteria<'_>,
        now: Millis,
    ) -> bool {
        let total_load = self.total_load_at(&upstream.incarnation, now);
        let limit = self
            .load(&upstream.incarnation)
            .common_limit(upstream.slots);
        let max_first_event_ms = criteria.objective.0 as f64 * IN_TIME_FRACTION;
        let first_event_ms = upstream.first_event_ms(total_load, criteria.prompt_tokens);
        let is_early = total_load.pending_prompt_tokens == 0
            || first_event_ms.is_none_or(|first_event_ms| first_event_ms <= max_first_event_ms);
        f64::from(total_load.requests) + 1.0 <= limit && is_early
    }

    /// Whether a leader has so little to do that others may send there at the same time.
    fn is_lightly_loaded(
        &self,
        upstream: &RouteUpstream,
        criteria: &UpstreamCriteria<'_>,
        now: Millis,
    ) -> bool {
        let total_load = self.total_load_at(&upstream.incarnation, now);
        let limit = self
            .load(&upstream.incarnation)
            .common_limit(upstream.slots);
        let first_event_ms = upstream.first_event_ms(total_load, criteria.prompt_tokens);
        let max_first_event_ms = criteria.objective.0 as f64 * LIGHT_LOAD_FRACTION;
        let is_early =
            first_event_ms.is_none_or(|first_event_ms| first_event_ms <= max_first_event_ms);
        f64::from(total_load.requests) <= limit * LIGHT_LOAD_FRACTION && is_early
    }

    /// Those of `usable` that one more request may be sent to.
    fn with_room<'a, IsAvoided>(
        &self,
        mut usable: Vec<&'a RouteUpstream>,
        criteria: &UpstreamCriteria<'_>,
        is_avoided: &IsAvoided,
        now: Millis,
    ) -> Vec<&'a RouteUpstream>
    where
        IsAvoided: Fn(&RouteUpstream) -> bool,
    {
        if criteria.has_begun_elsewhere {
            return usable;
        }
        let are_leaders = usable.iter().all(|upstream| upstream.group.is_some());
        if !are_leaders || !self.occupancy.is_remote_load_known(now) {
            usable.retain(|upstream| self.has_room(upstream));
            return usable;
        }
        // A leader that is silent or out of reach has little to do. While there are others it is left alone, also
        // when they are full: 245 requests waited 0.15 to 0.45 s for connections to dark leaders in 4 s in which
        // three of nine were dark.
        if !usable.iter().all(|upstream| is_avoided(upstream)) {
            usable.retain(|upstream| !is_avoided(upstream));
        }
        // Those that a connection is open to come first: 195 VMs that drew among all of 40 leaders opened a new one for
        // each third request, twice as many as now (five days with trouble, one play each).
        let has_idle_connection =
            |leader: &RouteUpstream| criteria.idle_connections.contains(&leader.incarnation);
        let sample_order =
            |leader: &RouteUpstream| rendezvous_score(criteria.random, leader.incarnation.as_str());
        usable.sort_by_cached_key(|leader| (!has_idle_connection(leader), sample_order(leader)));
        // One of the two is near: what goes to other failure domains is paid for.
        let near_index = usable
            .iter()
            .position(|upstream| upstream.failure_domain == *criteria.home);
        if let Some(near_index) = near_index {
            usable[..=near_index].rotate_right(1);
        }
        let mut remaining = usable.split_off(SAMPLED_LEADERS.min(usable.len()));
        let has_any_idle_connection = usable.iter().any(|upstream| has_idle_connection(upstream));
        usable.retain(|upstream| self.is_in_time(upstream, criteria, now));
        if !usable.is_empty() {
            return usable;
        }
        if has_any_idle_connection {
            let mut next_sample = remaining.split_off(SAMPLED_LEADERS.min(remaining.len()));
            std::mem::swap(&mut next_sample, &mut remaining);
            next_sample.retain(|upstream| self.is_in_time(upstream, criteria, now));
            if !next_sample.is_empty() {
                return next_sample;
            }
        }
        remaining.retain(|upstream| self.is_lightly_loaded(upstream, criteria, now));
        remaining.truncate(SAMPLED_LEADERS);
        remaining
    }

    /// How much a leader has to do, in requests.
    fn load_in_requests(&self, upstream: &RouteUpstream, now: Millis) -> f64 {
        if upstream.group.is_none() || !self.occupancy.is_remote_load_known(now) {
            return f64::from(self.load(&upstream.incarnation).in_flight);
        }
        let total_load = self.total_load_at(&upstream.incarnation, now);
        f64::from(total_load.requests)
            + f64::from(total_load.pending_prompt_tokens) / TOKENS_PER_REQUEST
    }

    /// The least loaded upstream that was not tried and has room. Avoided ones are used when there
    /// are no others.
    pub fn choose<'a>(
        &self,
        pool: &'a [RouteUpstream],
        criteria: &UpstreamCriteria<'_>,
        now: Millis,
    ) -> UpstreamChoice<'a> {
        let unreachable =
            unreachable_domains(pool, |upstream| self.load(&upstream.incarnation), now);
        let is_reported_stalled = |upstream: &RouteUpstream| {
            !self.stalls.is_empty()
                && self
                    .stalls
                    .is_stalled(now, leader_key(&upstream.incarnation))
        };
        let is_avoided = |upstream: &RouteUpstream| {
            unreachable.contains(&&upstream.failure_domain)
                || self.load(&upstream.incarnation).is_avoided(now)
                || is_reported_stalled(upstream)
        };
        let score = |upstream: &RouteUpstream| {
            let remote_penalty = match upstream.failure_domain == *criteria.home {
                true => 0.0,
                false => REMOTE_PENALTY,
            };
            let connect_penalty = match criteria.idle_connections.contains(&upstream.incarnation) {
                true => 0.0,
                false => CONNECT_PENALTY,
            };
            let cost = self.load_in_requests(upstream, now) + remote_penalty + connect_penalty;
            let is_unassigned = !self.assignment.is_assigned(&upstream.incarnation);
            (
                is_avoided(upstream),
                is_unassigned,
                cost / f64::from(upstream.slots.max(1)),
            )
        };
        let mut untried = pool
            .iter()
            .filter(|upstream| !criteria.tried.contains(&upstream.incarnation))
            .peekable();
        if untried.peek().is_none() {
            return UpstreamChoice::None;
        }
        let gate_state =
            |route: &RouteUpstream| self.gates.state(&route.incarnation, criteria.priority, now);
        let (untried, closed): (Vec<_>, Vec<_>) =
            untried.partition(|upstream| gate_state(upstream).is_open());
        if untried.is_empty() {
            let opening_times = closed
                .into_iter()
                .filter_map(|upstream| gate_state(upstream).opens_at());
            return UpstreamChoice::Closed(opening_times.min());
        }
        if let Some(isolation_index) = criteria.isolation_index {
            return choose_isolated(untried, &is_avoided, isolation_index);
        }
        let has_own_leader = pool.iter().any(|upstream| {
            self.assignment.is_assigned(&upstream.incarnation)
                && !is_avoided(upstream)
                && gate_state(upstream).is_open()
        });
        let usable = untried.into_iter().filter(|upstream| {
            let is_plain = upstream.group.is_none();
            criteria.has_begun_elsewhere
                || is_plain
                || self.assignment.is_assigned(&upstream.incarnation)
                || !has_own_leader
        });
        let available = self.with_room(usable.collect(), criteria, &is_avoided, now);
        let scored = available
            .into_iter()
            .map(|upstream| (score(upstream), upstream));
        let preferred = scored.min_by(|(a_score, a), (b_score, b)| {
            let by_score = (a_score.0, a_score.1)
                .cmp(&(b_score.0, b_score.1))
                .then(a_score.2.total_cmp(&b_score.2));
            let tie_break =
                |tied: &RouteUpstream| rendezvous_score(criteria.random, tied.incarnation.as_str());
            by_score.then_with(|| tie_break(a).cmp(&tie_break(b)))
        });
        preferred.map_or(UpstreamChoice::Full, |(_, chosen)| {
            UpstreamChoice::Chosen(chosen)
        })
    }
}

/// The upstream at a place among all that are usable, or among the avoided ones where there are no others; the same one at
/// all VMs that know of the same upstreams, whatever the load.
fn choose_isolated<'a, IsAvoided>(
    mut usable: Vec<&'a RouteUpstream>,
    is_avoided: &IsAvoided,
    isolation_index: u64,
) -> UpstreamChoice<'a>
where
    IsAvoided: Fn(&RouteUpstream) -> bool,
{
    if !usable.iter().all(|upstream| is_avoided(upstream)) {
        usable.retain(|upstream| !is_avoided(upstream));
    }
    usable.sort_unstable_by(|a, b| a.incarnation.as_str().cmp(b.incarnation.as_str()));
    let index = isolation_index % usable.len().max(1) as u64;
    let chosen = usable.get(index as usize);
    chosen.map_or(UpstreamChoice::None, |found| UpstreamChoice::Chosen(found))
}
