//! Selects the upstream for a request by the load and health of all candidates.

use bergamot_occupancy::leader_key;
use bergamot_types::prelude::*;

use crate::monitor::UpstreamMonitor;
use crate::reach::unreachable_domains;
use crate::upstream::RouteUpstream;

/// Penalty for an upstream in another failure domain, in requests. At equal load the near upstream
/// is used.
const REMOTE_PENALTY: f64 = 0.5;

/// Penalty for an upstream that needs a new connection, in requests. Lower than the penalty for
/// another failure domain.
const CONNECT_PENALTY: f64 = 0.4;

/// Number of unread prompt tokens that count as one request in flight when leaders are compared.
const TOKENS_PER_REQUEST: f64 = 700.0;

/// Fraction of the objective within which the first event must be expected. The rest covers network
/// latency and requests that other VMs send in the meantime.
const IN_TIME_FRACTION: f64 = 0.75;

/// Number of leaders sampled at random, of which the less loaded one is used. Load figures are
/// about 75 ms old, so VMs that pick the least loaded of all leaders all pick the same one. At
/// moderate load 0.93 of requests are in time with two samples, and 0.28 with the least loaded of
/// 40 leaders (87 VMs, `experiment::serving`).
const SAMPLED_LEADERS: usize = 2;

/// Highest load of a leader outside the sample that may be used when the sampled ones are full, as
/// a fraction of its limit and of the objective. A leader below it is not just momentarily free,
/// and has room if other VMs choose it at the same time.
const LIGHT_LOAD_FRACTION: f64 = 0.6;

/// Requirements of a request for its upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCriteria<'a> {
    /// The failure domain of this VM.
    pub home: &'a FailureDomain,
    /// Upstreams to which the request was already sent, or is not to be sent for another reason.
    pub tried: &'a [UpstreamIncarnation],
    /// Failure domains in which the request may be processed; none if it may be in all.
    pub allowed_domains: Option<&'a [&'a FailureDomain]>,
    /// Upstreams to which an unused open connection exists.
    pub idle_connections: &'a [UpstreamIncarnation],
    /// Whether the request has begun at another upstream. Such a request bypasses limits, as
    /// rejecting it would waste the work already done.
    pub has_begun_elsewhere: bool,
    /// Whether avoided upstreams are left out, as the request is at work at another one.
    pub must_be_sound: bool,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Time within which the first event must arrive.
    pub objective: Millis,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Random number that samples leaders and breaks ties.
    pub random: u64,
    /// Set if the request must be isolated from others. Requests with different indexes go to
    /// different upstreams.
    pub isolation_index: Option<u64>,
}

impl UpstreamCriteria<'_> {
    /// Whether the request may be processed at an upstream.
    fn allows(&self, upstream: &RouteUpstream) -> bool {
        let domains = self.allowed_domains;
        domains.is_none_or(|domains| domains.contains(&&upstream.failure_domain))
    }
}

/// Result of the selection.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum UpstreamChoice<'a> {
    /// The upstream to use.
    Chosen(&'a RouteUpstream),
    /// All untried upstreams have as many requests as they can handle.
    Full,
    /// All untried upstreams are closed to requests. Carries the earliest time at which one may
    /// open, if known.
    Closed(Option<Millis>),
    /// No untried upstream is left.
    None,
}

impl UpstreamMonitor {
    /// Whether the upstream has room for one more request.
    fn has_room(&self, upstream: &RouteUpstream) -> bool {
        let load = self.load(&upstream.incarnation);
        f64::from(load.in_flight) + 1.0 <= self.own_limit(upstream)
    }

    /// Returns the limit of requests in flight from this VM.
    pub(crate) fn own_limit(&self, upstream: &RouteUpstream) -> f64 {
        let initial_limit = self.limit_before_answers(upstream);
        self.load(&upstream.incarnation).limit(initial_limit)
    }

    /// Whether a leader has a free slot for one more request and its first event can be expected in
    /// time.
    ///
    /// Compared with limits that each VM learns by itself, this adds 0.025 to the value of days
    /// with faults (8 VMs, 57 upstreams; five days, with five runs before and two after). A limit
    /// of 26 running requests does not bound the prompts waiting to be read, and with long prompts
    /// a pass that reads several of them takes longer than the objective.
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

    /// Whether the load of a leader is so low that other VMs may send to it at the same time.
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

    /// Returns the upstreams of `usable` that have room for one more request.
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
        // Stalled and unreachable leaders have little load. They are avoided while there are
        // others, even full ones: in 4 s with three of nine leaders unreachable, 245 requests
        // waited 0.15 to 0.45 s for connections to them.
        if !usable.iter().all(|upstream| is_avoided(upstream)) {
            usable.retain(|upstream| !is_avoided(upstream));
        }
        // Leaders with an open connection come first. When 195 VMs sampled all of 40 leaders, every
        // third request opened a new connection, twice as many as with this order (five days with
        // faults, one run each).
        let has_idle_connection =
            |leader: &RouteUpstream| criteria.idle_connections.contains(&leader.incarnation);
        let sample_order =
            |leader: &RouteUpstream| rendezvous_score(criteria.random, leader.incarnation.as_str());
        usable.sort_by_cached_key(|leader| (!has_idle_connection(leader), sample_order(leader)));
        // One of the two sampled leaders is in this failure domain, as traffic between failure
        // domains is billed.
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

    /// Returns the load of an upstream, in requests.
    fn load_in_requests(&self, upstream: &RouteUpstream, now: Millis) -> f64 {
        if upstream.group.is_none() || !self.occupancy.is_remote_load_known(now) {
            return f64::from(self.load(&upstream.incarnation).in_flight);
        }
        let total_load = self.total_load_at(&upstream.incarnation, now);
        f64::from(total_load.requests)
            + f64::from(total_load.pending_prompt_tokens) / TOKENS_PER_REQUEST
    }

    /// Selects the least loaded untried upstream that has room. Avoided upstreams are used only if
    /// there are no others.
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
            .filter(|upstream| criteria.allows(upstream))
            .filter(|upstream| !criteria.tried.contains(&upstream.incarnation))
            .filter(|upstream| !criteria.must_be_sound || !is_avoided(upstream))
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
                && criteria.allows(upstream)
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

/// Selects an upstream by index among all usable ones, or among the avoided ones if there are no
/// others. All VMs that know the same upstreams select the same one, whatever the load.
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
