//! Load and health of all upstreams, as one entry VM knows them.

use bergamot_feed::PeerDescriptor;
use bergamot_occupancy::{LeaderCounts, LeaderLoad, OccupancyState, leader_key};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::assignment::LeaderAssignment;
use crate::gate::GateTable;
use crate::latency::{DispatchedRequest, LeaderInactivity, ModelLatencies, StallVerdict};
use crate::load::{MIN_LIMIT, PastSilence, UpstreamLoad};
use crate::partition::PartitionState;
use crate::stalls::{StallNotice, StallRecipients, StallTable};
use crate::upstream::RouteUpstream;

/// Factor on an equal share of the slots that gives the initial limit.
const INITIAL_LIMIT_FACTOR: f64 = 1.5;
/// Lowest initial limit, in requests, unless the upstream has fewer slots.
const MIN_INITIAL_LIMIT: f64 = 2.0;

/// Load and health of all upstreams to which requests were sent.
#[derive(Debug)]
pub struct UpstreamMonitor {
    loads: IndexMap<UpstreamIncarnation, UpstreamLoad>,
    pub(crate) assignment: LeaderAssignment,
    /// Requests that the other entry VMs have in flight.
    pub occupancy: OccupancyState,
    /// Observed latencies of the leaders of each model.
    pub latencies: ModelLatencies,
    /// Stalled leaders that entry VMs reported.
    pub stalls: StallTable,
    /// Upstreams that do not accept all requests.
    pub gates: GateTable,
    /// Whether this VM reaches upstreams.
    pub partition: PartitionState,
}

impl UpstreamMonitor {
    /// Creates the monitor of the entry VM `own`, with no requests in flight.
    pub fn new(own: PeerDescriptor) -> Self {
        Self {
            loads: IndexMap::new(),
            assignment: LeaderAssignment::default(),
            occupancy: OccupancyState::new(own),
            latencies: ModelLatencies::default(),
            stalls: StallTable::default(),
            gates: GateTable::default(),
            partition: PartitionState::default(),
        }
    }

    /// Assigns the leaders to the entry VMs `vms`, of which `own` is this one.
    pub fn assign_leaders<'a, Leaders>(&mut self, leaders: Leaders, vms: &[&str], own: &str)
    where
        Leaders: Iterator<Item = &'a RouteUpstream>,
    {
        self.assignment.assign(leaders, vms, own);
        let used_leaders = self.assignment.assigned().into_iter().flatten();
        self.occupancy
            .set_used_leaders(used_leaders.map(leader_key));
    }

    /// Returns the load that this VM has in flight at each leader.
    pub fn in_flight(&self) -> LeaderCounts {
        let mut counts = LeaderCounts::default();
        for (incarnation, load) in &self.loads {
            counts.add(leader_key(incarnation), load.own_load());
        }
        counts
    }

    /// Returns the load of an upstream.
    pub fn load(&self, incarnation: &UpstreamIncarnation) -> UpstreamLoad {
        self.loads.get(incarnation).copied().unwrap_or_default()
    }

    fn load_mut(&mut self, incarnation: &UpstreamIncarnation) -> &mut UpstreamLoad {
        self.loads.entry(incarnation.clone()).or_default()
    }

    /// Returns the load that all entry VMs have in flight at a leader, as far as known.
    pub(crate) fn total_load_at(
        &self,
        incarnation: &UpstreamIncarnation,
        now: Millis,
    ) -> LeaderLoad {
        let remote_load = self.occupancy.remote_load_at(leader_key(incarnation), now);
        remote_load.saturating_add(self.load(incarnation).own_load())
    }

    /// Returns the limit that applies before an upstream has answered. It is somewhat above an
    /// equal share of the slots, as callers are spread unevenly over VMs. Without it every VM would
    /// fill a newly opened group by itself.
    pub(crate) fn initial_limit(&self, slots: u32) -> f64 {
        let user_count = self.assignment.user_count(slots);
        let equal_share = f64::from(slots) / user_count as f64;
        let max_limit = f64::from(slots).max(MIN_LIMIT);
        let limit = (equal_share * INITIAL_LIMIT_FACTOR).max(MIN_INITIAL_LIMIT);
        limit.min(max_limit)
    }

    /// Returns the limit of requests in flight from this VM before the upstream has answered.
    pub(crate) fn limit_before_answers(&self, upstream: &RouteUpstream) -> f64 {
        // Plain services have no first events to learn a limit from; they reject excess requests
        // themselves.
        match upstream.group {
            Some(_) => self.initial_limit(upstream.slots),
            None => f64::from(upstream.slots),
        }
    }

    /// Records that a request with `prompt_tokens` tokens was sent.
    pub fn record_sent(
        &mut self,
        incarnation: &UpstreamIncarnation,
        model: Option<&ModelName>,
        prompt_tokens: u32,
        now: Millis,
    ) {
        let suspicion_timeouts = self.latencies.suspicion_timeouts(model);
        self.load_mut(incarnation)
            .record_sent(prompt_tokens, suspicion_timeouts, now);
    }

    /// Returns the time from sending to the first event that is expected from a leader at its load,
    /// or zero if its speed is unknown.
    pub fn expected_first_event(
        &self,
        upstream: &RouteUpstream,
        prompt_tokens: u32,
        now: Millis,
    ) -> Millis {
        let total_load = self.total_load_at(&upstream.incarnation, now);
        let expected_ms = upstream.first_event_ms(total_load, prompt_tokens);
        expected_ms.map_or(Millis::ZERO, |expected_ms| Millis(expected_ms as u64))
    }

    /// Judges whether a leader that has sent nothing is stalled, for a request that was sent to it.
    ///
    /// All entry VMs learn of stalled streams within about 150 ms, not only those with a stream
    /// there. On a day on which two upstreams become unreachable every 3 s, 252 of 13,000 streams
    /// got their first event only after 1.3 s at such an upstream and a retry (87 VMs; counted from
    /// the logs of a day).
    pub fn judge_stall(
        &self,
        upstream: &RouteUpstream,
        model: Option<&ModelName>,
        sent: DispatchedRequest,
        now: Millis,
    ) -> StallVerdict {
        let inactivity = self.leader_inactivity(upstream, sent, now);
        self.latencies.judge(model, inactivity)
    }

    /// Returns the inactivity of a leader, for a request that was sent to it.
    pub fn leader_inactivity(
        &self,
        upstream: &RouteUpstream,
        sent: DispatchedRequest,
        now: Millis,
    ) -> LeaderInactivity {
        let load = self.load(&upstream.incarnation);
        let total_load = self.total_load_at(&upstream.incarnation, now);
        LeaderInactivity {
            duration: load.inactivity(now),
            waited: now.since(sent.sent_at),
            sent,
            has_begun: load.has_begun(),
            has_queue: !self.occupancy.is_remote_load_known(now)
                || total_load.requests > upstream.slots,
            is_stalled: self
                .stalls
                .is_stalled(now, leader_key(&upstream.incarnation)),
        }
    }

    /// Records that the answer to a request has begun.
    pub fn record_answer_begun(&mut self, incarnation: &UpstreamIncarnation, prompt_tokens: u32) {
        self.load_mut(incarnation)
            .record_answer_begun(prompt_tokens);
    }

    /// Records the end of a request. `has_begun` tells whether its answer had begun.
    pub fn record_ended(
        &mut self,
        incarnation: &UpstreamIncarnation,
        has_begun: bool,
        prompt_tokens: u32,
    ) {
        self.load_mut(incarnation)
            .record_ended(has_begun, prompt_tokens);
    }

    /// Records that a connection is being established.
    pub fn record_connecting(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        self.load_mut(incarnation).record_connecting(now);
    }

    /// Records that a connection is no longer being established, whatever the outcome.
    pub fn record_connect_finished(&mut self, incarnation: &UpstreamIncarnation) {
        self.load_mut(incarnation).record_connect_finished();
    }

    /// Records that a connection was established.
    pub fn record_connected(&mut self, incarnation: &UpstreamIncarnation) {
        self.load_mut(incarnation).connecting_since = None;
    }

    /// Records that a connection could not be established.
    pub fn record_connect_failure(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        let load = self.load_mut(incarnation);
        load.connecting_since = None;
        load.record_connect_failure(now);
    }

    /// Drops past failures and learned limits of an upstream whose group has changed.
    pub fn record_group_change(&mut self, incarnation: &UpstreamIncarnation) {
        self.load_mut(incarnation).record_group_change();
    }

    /// Records that data was received from an upstream. Returns whether answers there had been given
    /// up since the last data.
    pub fn record_progress(&mut self, incarnation: &UpstreamIncarnation, now: Millis) -> bool {
        if !self.stalls.is_empty() {
            self.stalls.clear(leader_key(incarnation));
        }
        self.load_mut(incarnation).record_progress(now)
    }

    /// Records that an answer was given up because nothing was received from its upstream.
    pub fn record_given_up(&mut self, incarnation: &UpstreamIncarnation) {
        self.load_mut(incarnation).record_given_up();
    }

    /// Records the verdict on a leader, and returns who is to be informed. `witness` is the hash of
    /// this VM's name.
    pub fn record_stall_verdict(
        &mut self,
        incarnation: &UpstreamIncarnation,
        verdict: StallVerdict,
        witness: u32,
        now: Millis,
    ) -> StallRecipients {
        if verdict == StallVerdict::Still {
            self.record_stall(incarnation, now);
        }
        // If no stream has begun, the first event may merely take long.
        if verdict == StallVerdict::Sound || !self.load(incarnation).has_begun() {
            return StallRecipients::default();
        }
        let leader = leader_key(incarnation);
        let is_new_suspicion = !self.stalls.is_stalled(now, leader)
            && self.load_mut(incarnation).record_suspicion(now);
        let notice = StallNotice { leader, witness };
        let is_reported = verdict >= StallVerdict::Stalled && self.stalls.record(now, notice);
        StallRecipients {
            is_for_coordinator: is_new_suspicion || is_reported,
            for_vms: is_reported.then_some(notice),
        }
    }

    /// Records the notice of another VM that streams of a leader are stalled. Returns whether it
    /// should be passed on. A notice is ignored if this VM received data from the leader a moment
    /// ago.
    pub fn record_stall_notice(&mut self, notice: StallNotice, now: Millis) -> bool {
        let mut loads = self.loads.iter();
        let load = loads.find(|(incarnation, _)| leader_key(incarnation) == notice.leader);
        let has_recent_data = load.is_some_and(|(_, load)| load.has_recent_data(now));
        !has_recent_data && self.stalls.record(now, notice)
    }

    /// Records how long the first event of a stream took, and adjusts the limits by comparing it
    /// with the objective. Returns whether the time shows how fast the upstream is.
    pub fn record_first_event(
        &mut self,
        upstream: &RouteUpstream,
        latency: Millis,
        objective: Millis,
        now: Millis,
    ) -> bool {
        let RouteUpstream {
            incarnation, slots, ..
        } = upstream;
        let total_requests = self.total_load_at(incarnation, now).requests;
        let initial_limit = self.initial_limit(*slots);
        let load = self.load_mut(incarnation);
        let has_queue = total_requests > *slots;
        let is_explained = |silence: PastSilence| {
            let sent_at = Millis(now.0.saturating_sub(latency.0));
            silence.explains_wait(sent_at, has_queue)
        };
        if load.past_silence.is_some_and(is_explained) {
            return false;
        }
        if upstream.group.is_some() {
            match latency > objective {
                true => load.record_late_first_event(initial_limit),
                false => load.raise_limits(*slots, initial_limit, total_requests),
            }
        }
        true
    }

    /// Lowers the limit of an upstream that is full.
    pub fn lower_limit(&mut self, upstream: &RouteUpstream) {
        let initial_limit = self.limit_before_answers(upstream);
        self.load_mut(&upstream.incarnation)
            .lower_limit(initial_limit);
    }

    /// Records a complete answer.
    pub fn record_success(&mut self, upstream: &RouteUpstream) {
        let load = self.load_mut(&upstream.incarnation);
        load.record_success();
        // First events do not raise the limit of a plain service.
        if upstream.group.is_none() {
            load.restore_limit(upstream.slots);
        }
    }

    /// Records a failure.
    pub fn record_failure(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        self.load_mut(incarnation).record_failure(now);
    }

    /// Records that an upstream did not answer a request in time.
    pub fn record_unanswered(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        match self.load(incarnation).is_silent(now) {
            true => self.record_stall(incarnation, now),
            false => self.record_failure(incarnation, now),
        }
    }

    /// Records that requests at an upstream are stalled.
    pub fn record_stall(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        self.load_mut(incarnation).record_stall(now);
    }

    /// Drops upstreams that are no longer listed and have no requests in flight.
    pub fn retain<IsListed>(&mut self, is_listed: IsListed, now: Millis)
    where
        IsListed: Fn(&UpstreamIncarnation) -> bool,
    {
        self.gates.retain(&is_listed, now);
        self.loads
            .retain(|incarnation, load| load.in_flight > 0 || is_listed(incarnation));
    }

    /// Describes for the log why these upstreams accept no request of this priority.
    pub fn describe_gates(&self, pool: &[RouteUpstream], priority: u8, now: Millis) -> String {
        let gates = pool.iter().map(|upstream| {
            let incarnation = &upstream.incarnation;
            let state = self.gates.state(incarnation, priority, now);
            let wait = state
                .opens_at()
                .map_or(Millis::ZERO, |opens_at| opens_at.since(now));
            format!("{incarnation}:{}:{wait}", state.as_str())
        });
        gates.collect::<Vec<_>>().join(",")
    }

    /// Describes for the log the limits of these upstreams, the requests in flight, and why others
    /// are preferred.
    pub fn describe(&self, pool: &[RouteUpstream], now: Millis) -> String {
        let is_remote_load_known = self.occupancy.is_remote_load_known(now);
        let loads = pool.iter().map(|upstream| {
            let load = self.load(&upstream.incarnation);
            let avoidance = self.avoidance_str(upstream, now);
            if upstream.group.is_none() || !is_remote_load_known {
                let limit = self.own_limit(upstream);
                return format!("{}/{limit:.1}{avoidance}", load.in_flight);
            }
            let total_load = self.total_load_at(&upstream.incarnation, now);
            let limit = load.common_limit(upstream.slots);
            format!(
                "{}/{limit:.1}:{}{avoidance}",
                total_load.requests, total_load.pending_prompt_tokens
            )
        });
        loads.collect::<Vec<_>>().join(",")
    }

    /// Returns why others are preferred to an upstream, as a suffix; empty if none are.
    fn avoidance_str(&self, upstream: &RouteUpstream, now: Millis) -> String {
        let reason = self.load(&upstream.incarnation).avoidance(now);
        let is_reported = self
            .stalls
            .is_stalled(now, leader_key(&upstream.incarnation));
        match (reason, is_reported) {
            (Some(reason), _) => format!("-{}", reason.as_str()),
            (None, true) => "-reported".to_owned(),
            (None, false) if !self.assignment.is_assigned(&upstream.incarnation) => {
                "-unassigned".to_owned()
            }
            (None, false) => String::new(),
        }
    }
}
