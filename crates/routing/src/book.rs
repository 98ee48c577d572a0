//! Load and trouble of all upstreams, as one entry VM knows them.

use bergamot_feed::PeerDescriptor;
use bergamot_occupancy::{LeaderCounts, LeaderLoad, OccupancyState, leader_key};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::gate::GateTable;
use crate::load::UpstreamLoad;
use crate::pace::{LeaderSilence, ModelPaces, SentRun, SilenceVerdict};
use crate::sharing::LeaderSharing;
use crate::told::{SilenceNews, ToldSilence, ToldSilences};
use crate::upstream::RouteUpstream;

/// Factor on an equal part of the slots for the first limit.
const FIRST_LIMIT_FACTOR: f64 = 1.5;
/// The lowest first limit, in requests.
const FIRST_LIMIT_FLOOR: f64 = 2.0;

/// All upstreams that were sent to.
#[derive(Debug)]
pub struct UpstreamBook {
    loads: IndexMap<UpstreamIncarnation, UpstreamLoad>,
    pub(crate) sharing: LeaderSharing,
    /// What the other entry VMs have in flight.
    pub occupancy: OccupancyState,
    /// How fast the leaders of each model are seen to be.
    pub paces: ModelPaces,
    /// Leaders of whose silence entry VMs tell each other.
    pub told: ToldSilences,
    /// Upstreams that do not take all requests.
    pub gates: GateTable,
}

impl UpstreamBook {
    /// A book of the entry VM at `place` in which nothing was sent yet.
    pub fn new(place: PeerDescriptor) -> Self {
        Self {
            loads: IndexMap::new(),
            sharing: LeaderSharing::default(),
            occupancy: OccupancyState::new(place),
            paces: ModelPaces::default(),
            told: ToldSilences::default(),
            gates: GateTable::default(),
        }
    }

    /// Shares the leaders out over the entry VMs `vms`, of which `own` is this one.
    pub fn share_leaders<'a, Leaders>(&mut self, leaders: Leaders, vms: &[&str], own: &str)
    where
        Leaders: Iterator<Item = &'a RouteUpstream>,
    {
        self.sharing.share(leaders, vms, own);
    }

    /// What is in flight from here.
    pub fn in_flight(&self) -> LeaderCounts {
        let mut counts = LeaderCounts::default();
        for (incarnation, load) in &self.loads {
            counts.add(leader_key(incarnation), load.own());
        }
        counts
    }

    /// The load of one upstream.
    pub fn load(&self, incarnation: &UpstreamIncarnation) -> UpstreamLoad {
        self.loads.get(incarnation).copied().unwrap_or_default()
    }

    fn load_mut(&mut self, incarnation: &UpstreamIncarnation) -> &mut UpstreamLoad {
        self.loads.entry(incarnation.clone()).or_default()
    }

    /// What all entry VMs have in flight at a leader, as far as known.
    pub(crate) fn total_at(&self, incarnation: &UpstreamIncarnation, now: Millis) -> LeaderLoad {
        let others = self.occupancy.remote_load_at(leader_key(incarnation), now);
        others.saturating_add(self.load(incarnation).own())
    }

    /// The limit before an upstream has shown what it bears: somewhat more than an equal part of
    /// its slots, as callers are spread unevenly. Without it every VM would fill a group that has
    /// just opened by itself.
    pub(crate) fn first_limit(&self, slots: u32) -> f64 {
        let users = self.sharing.users(slots);
        let part = f64::from(slots) / users as f64;
        (part * FIRST_LIMIT_FACTOR).clamp(FIRST_LIMIT_FLOOR, f64::from(slots).max(1.0))
    }

    /// Counts a request for a model with so many prompt tokens that is sent.
    pub fn note_sent(
        &mut self,
        incarnation: &UpstreamIncarnation,
        model: Option<&ModelName>,
        prompt: u32,
        now: Millis,
    ) {
        let patience = self.paces.patience(model);
        self.load_mut(incarnation).note_sent(prompt, patience, now);
    }

    /// The time from a send to the first event that is expected from a leader by its load, where its speed is known.
    pub fn expected_first(&self, upstream: &RouteUpstream, prompt: u32, now: Millis) -> Millis {
        let total = self.total_at(&upstream.incarnation, now);
        let first = upstream.first_event_ms(total, prompt);
        first.map_or(Millis::ZERO, |first| Millis(first as u64))
    }

    /// What it means that nothing has come from a leader, for a request for this model that was sent there.
    ///
    /// Where its streams stand still all entry VMs know within some 150 ms, not only those with a stream there: of 13,000
    /// streams on a day on which two upstreams go dark every 3 s, 252 had their first event only after 1.3 s there and
    /// another send (87 VMs; counted from the logs of a day).
    pub fn judge_silence(
        &self,
        upstream: &RouteUpstream,
        model: Option<&ModelName>,
        run: SentRun,
        now: Millis,
    ) -> SilenceVerdict {
        let load = self.load(&upstream.incarnation);
        let total = self.total_at(&upstream.incarnation, now);
        let silence = LeaderSilence {
            length: load.silence(now),
            waited: now.since(run.at),
            run,
            has_begun: load.has_begun(),
            has_queue: !self.occupancy.is_remote_load_known(now) || total.requests > upstream.slots,
            is_stalled: self.told.has(now, leader_key(&upstream.incarnation)),
        };
        self.paces.judge(model, silence)
    }

    /// Counts the answer to such a request that begins.
    pub fn note_begun(&mut self, incarnation: &UpstreamIncarnation, prompt: u32) {
        self.load_mut(incarnation).note_begun(prompt);
    }

    /// Counts the end of such a request, whose answer may have begun.
    pub fn note_ended(&mut self, incarnation: &UpstreamIncarnation, has_begun: bool, prompt: u32) {
        self.load_mut(incarnation).note_ended(has_begun, prompt);
    }

    /// Notes that a connection is being set up.
    pub fn note_connecting(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        self.load_mut(incarnation).note_connecting(now);
    }

    /// Notes that a connection is no longer being set up, whatever became of it.
    pub fn note_connect_ended(&mut self, incarnation: &UpstreamIncarnation) {
        self.load_mut(incarnation).note_connect_ended();
    }

    /// Notes that a connection was set up.
    pub fn note_connected(&mut self, incarnation: &UpstreamIncarnation) {
        self.load_mut(incarnation).connecting_since = None;
    }

    /// Notes that a connection was not set up.
    pub fn note_unreached(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        let load = self.load_mut(incarnation);
        load.connecting_since = None;
        load.note_unreached(now);
    }

    /// Notes that its group has changed: what was held against it no longer counts.
    pub fn note_regrouped(&mut self, incarnation: &UpstreamIncarnation) {
        self.load_mut(incarnation).note_regrouped();
    }

    /// Notes that something came from it.
    pub fn note_progress(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        if !self.told.is_empty() {
            self.told.forget(leader_key(incarnation));
        }
        self.load_mut(incarnation).note_progress(now);
    }

    /// Notes what the silence of a leader was found to mean by the VM whose short name is `witness`, which is this one.
    pub fn note_silence(
        &mut self,
        incarnation: &UpstreamIncarnation,
        verdict: SilenceVerdict,
        witness: u32,
        now: Millis,
    ) -> SilenceNews {
        if verdict == SilenceVerdict::Still {
            self.note_quiet(incarnation, now);
        }
        // Without a stream that has begun, it may only be that the first event takes long.
        if verdict == SilenceVerdict::Sound || !self.load(incarnation).has_begun() {
            return SilenceNews::default();
        }
        let leader = leader_key(incarnation);
        let is_fresh = !self.told.has(now, leader) && self.load_mut(incarnation).note_doubt(now);
        let told = ToldSilence { leader, witness };
        let is_told = verdict >= SilenceVerdict::Stalled && self.told.note(now, told);
        SilenceNews {
            is_for_coordinator: is_fresh || is_told,
            for_vms: is_told.then_some(told),
        }
    }

    /// Notes that another VM tells that streams of a leader stand still. Says whether to pass that on. What came from there
    /// to this VM a moment ago says more.
    pub fn note_told(&mut self, told: ToldSilence, now: Millis) -> bool {
        let mut loads = self.loads.iter();
        let load = loads.find(|(incarnation, _)| leader_key(incarnation) == told.leader);
        let is_heard = load.is_some_and(|(_, load)| load.is_heard(now));
        !is_heard && self.told.note(now, told)
    }

    /// Notes how long the first event of a stream took, against its objective.
    pub fn note_first(
        &mut self,
        incarnation: &UpstreamIncarnation,
        slots: u32,
        took: Millis,
        objective: Millis,
        now: Millis,
    ) {
        let total = self.total_at(incarnation, now).requests;
        let first = self.first_limit(slots);
        let load = self.load_mut(incarnation);
        match took > objective {
            true => load.note_late(first),
            false => load.increase(slots, first, total),
        }
    }

    /// Notes that an upstream is full.
    pub fn decrease(&mut self, incarnation: &UpstreamIncarnation, slots: u32) {
        let first = self.first_limit(slots);
        self.load_mut(incarnation).decrease(first);
    }

    /// Notes a whole answer.
    pub fn note_success(&mut self, incarnation: &UpstreamIncarnation) {
        self.load_mut(incarnation).note_success();
    }

    /// Notes a failure.
    pub fn note_failure(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        self.load_mut(incarnation).note_failure(now);
    }

    /// Notes that requests stand still there.
    pub fn note_quiet(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        self.load_mut(incarnation).note_quiet(now);
    }

    /// Forgets upstreams that are not listed any more and have nothing in flight.
    pub fn retain<Keep>(&mut self, is_listed: Keep, now: Millis)
    where
        Keep: Fn(&UpstreamIncarnation) -> bool,
    {
        self.gates.retain(&is_listed, now);
        self.loads
            .retain(|incarnation, load| load.in_flight > 0 || is_listed(incarnation));
    }

    /// Why these upstreams take no request of this rank now, for the log.
    pub fn describe_gates(&self, pool: &[RouteUpstream], priority: u8, now: Millis) -> String {
        let gates = pool.iter().map(|upstream| {
            let incarnation = &upstream.incarnation;
            let state = self.gates.state(incarnation, priority, now);
            let wait = state.opens_at().map_or(Millis::ZERO, |at| at.since(now));
            format!("{incarnation}:{}:{wait}", state.as_str())
        });
        gates.collect::<Vec<_>>().join(",")
    }

    /// What the limits of these upstreams are, and what is in flight, for the log.
    pub fn describe(&self, pool: &[RouteUpstream], now: Millis) -> String {
        let is_known = self.occupancy.is_remote_load_known(now);
        let loads = pool.iter().map(|upstream| {
            let load = self.load(&upstream.incarnation);
            if !is_known {
                let limit = load.limit(self.first_limit(upstream.slots));
                return format!("{}/{limit:.1}", load.in_flight);
            }
            let total = self.total_at(&upstream.incarnation, now);
            let limit = load.common_limit(upstream.slots);
            format!(
                "{}/{limit:.1}:{}",
                total.requests, total.pending_prompt_tokens
            )
        });
        loads.collect::<Vec<_>>().join(",")
    }
}
