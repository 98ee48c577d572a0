//! The coordinator's state and its next orders.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bergamot_ports::{
    EngineSpec, MemberState, OrderRequest, UpstreamEntry, UpstreamReport, UpstreamTarget,
};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::demand::{ModelDemand, needed_shares};
use crate::forming::FormingGroup;
use crate::options::GroupOptions;
use crate::track::UpstreamTrack;
use crate::view::{GroupKey, group_model};

/// Something the coordinator wants done.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GroupAction {
    /// Give an order and tell [`GroupPlanner::record_order_outcome`] what became of it.
    Order(OrderRequest),
    /// Ask for a report and tell [`GroupPlanner::record_query_outcome`].
    Query(UpstreamTarget),
    /// Keep these where a later coordinator finds them, for at least [`GroupOptions::hold_use`] and then
    /// [`GroupOptions::hold_time`], and tell [`GroupPlanner::record_hold`]: they are about to leave a group whose leader may
    /// still stand open.
    Hold {
        /// The group.
        group: GroupId,
        /// Its members.
        members: Vec<UpstreamId>,
    },
}

/// What became of a question.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QueryOutcome {
    /// It answered.
    Answered(UpstreamReport),
    /// Its process is gone.
    Gone,
    /// No answer.
    Silent,
    /// No answer, but this process stood still while it waited: that says nothing of the upstream.
    Unheard,
}

/// The coordinator of the replica groups of one service.
#[derive(Debug)]
pub struct GroupPlanner {
    pub(crate) options: GroupOptions,
    pub(crate) spec: EngineSpec,
    /// What is asked of each model.
    uses: IndexMap<ModelName, ModelDemand>,
    pub(crate) fence: u64,
    pub(crate) epoch: u64,
    pub(crate) is_fenced: bool,
    /// Whether there was no coordinator before: an upstream that was not ordered has begun none.
    pub(crate) is_first: bool,
    /// Whether requests come in.
    pub(crate) has_traffic: bool,
    /// When it took over.
    pub(crate) began: Millis,
    /// When an upstream was last listed for the first time.
    pub(crate) listed_at: Millis,
    /// Members that earlier coordinators held, by group.
    pub(crate) inherited: IndexMap<GroupId, Vec<UpstreamId>>,
    /// Until when none of those is used.
    pub(crate) inherited_until: Millis,
    /// Fabric domains in which a group lacks members while its leader may stand open.
    pub(crate) standing: IndexSet<FabricDomain>,
    /// When loads were ordered, within the window of the weight store's rate.
    pub(crate) load_starts: VecDeque<Millis>,
    /// Members that are held, by group.
    pub(crate) holds: IndexMap<GroupId, GroupHold>,
    /// Questions that were answered so far.
    pub(crate) answers_heard: u64,
    /// The last state that was logged.
    pub(crate) logged: String,
    pub(crate) tracks: IndexMap<UpstreamId, UpstreamTrack>,
    pub(crate) forming: IndexMap<GroupId, FormingGroup>,
    /// Who leads, or led, each list of members.
    pub(crate) leaders: IndexMap<GroupKey, UpstreamId>,
}

impl GroupPlanner {
    /// A coordinator that took over at `now` with fencing number `fence`. `is_first` says that
    /// there was none before it; `inherited` are the members that earlier ones held, by
    /// group.
    pub fn new(
        options: GroupOptions,
        spec: EngineSpec,
        fence: u64,
        is_first: bool,
        inherited: IndexMap<GroupId, Vec<UpstreamId>>,
        now: Millis,
    ) -> Self {
        Self {
            began: now,
            listed_at: now,
            inherited_until: now + options.hold_time(),
            inherited,
            standing: IndexSet::new(),
            answers_heard: 0,
            load_starts: VecDeque::new(),
            holds: IndexMap::new(),
            logged: String::new(),
            options,
            spec,
            uses: IndexMap::new(),
            fence,
            epoch: fence,
            is_fenced: false,
            is_first,
            has_traffic: !is_first,
            tracks: IndexMap::new(),
            forming: IndexMap::new(),
            leaders: IndexMap::new(),
        }
    }

    /// Whether an upstream has seen a higher fencing number: another coordinator took over.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Takes over a new configuration.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Takes over what callers ask of each model.
    pub fn set_demand(&mut self, uses: IndexMap<ModelName, ModelDemand>) {
        self.uses = uses;
    }

    /// The configuration with the parts of the upstreams that the models need by what is asked.
    pub(crate) fn needed_spec(&self) -> EngineSpec {
        let mut spec = self.spec.clone();
        for (name, share) in needed_shares(&spec, &self.uses).unwrap_or_default() {
            spec.models[&name].demand_share = share;
        }
        spec
    }

    /// Takes over the directory, read at the store's `revision`.
    pub fn set_directory<'a, Entries>(&mut self, entries: Entries, revision: u64, now: Millis)
    where
        Entries: IntoIterator<Item = &'a UpstreamEntry>,
    {
        // Every change of a membership raises the store's revision, so this is higher than any
        // epoch that an earlier coordinator used.
        self.epoch = self.epoch.max(revision);
        for track in self.tracks.values_mut() {
            track.is_listed = false;
        }
        let known = self.tracks.len();
        let mut listed: IndexMap<SocketAddr, &UpstreamId> = IndexMap::new();
        let mut left: Vec<(UpstreamId, GroupKey)> = Vec::new();
        for entry in entries {
            let id = &entry.incarnation.id;
            listed.insert(entry.addr, id);
            let track = self
                .tracks
                .entry(id.clone())
                .or_insert_with(|| UpstreamTrack::new(entry.clone()));
            track.is_listed = true;
            if track.entry.incarnation.is_newer_than(&entry.incarnation) {
                // It reported its restart before its entry shows it.
                continue;
            }
            let before = track.entry.membership.as_ref();
            let is_restarted = entry.incarnation.is_newer_than(&track.entry.incarnation);
            if let Some(before) = before.filter(|_| entry.membership.is_none()) {
                left.push((id.clone(), (before.group.clone(), before.epoch)));
            }
            if is_restarted {
                log::info!("event=upstream_restarted upstream={:?}", entry.incarnation);
                track.restart(entry.clone());
            } else if track.entry != *entry {
                track.silent = 0;
                track.is_gone = false;
                track.entry = entry.clone();
            }
            if let Some(membership) = &entry.membership {
                self.epoch = self.epoch.max(membership.epoch);
                track.warm_model = Some(group_model(&membership.group));
                if membership.rank == 0 {
                    let key = (membership.group.clone(), membership.epoch);
                    self.leaders.insert(key, id.clone());
                }
            }
            let is_staged = |model: &ModelName| {
                let is_unknown = model.as_str().is_empty() && !entry.staged.is_empty();
                is_unknown || entry.staged.contains(model)
            };
            if track
                .staging
                .as_ref()
                .is_some_and(|(model, _)| is_staged(model))
            {
                track.staging = None;
            }
        }
        if self.tracks.len() > known {
            self.listed_at = now;
        }
        for (id, key) in left {
            self.hold_if_standing(&id, &key, now);
        }
        // An address belongs to one upstream at a time.
        for (id, track) in self.tracks.iter_mut().filter(|(_, track)| !track.is_listed) {
            let successor = listed.get(&track.entry.addr);
            track.is_gone |= successor.is_some_and(|successor| *successor != id);
        }
    }

    /// Holds a member that left a group whose leader may still stand open, by an order that an
    /// earlier coordinator gave and that was carried out late.
    pub(crate) fn hold_if_standing(&mut self, id: &UpstreamId, key: &GroupKey, now: Millis) {
        let leader = self.leaders.get(key).filter(|leader| *leader != id);
        let leader = leader.and_then(|leader| self.tracks.get(leader));
        let is_over = leader.is_some_and(|leader| {
            let state = leader.entry.membership.as_ref().map(|it| it.state);
            let is_open = matches!(state, Some(MemberState::Open | MemberState::Closing));
            leader.is_gone || (leader.is_listed && !(is_open && leader.is_in(&key.0, key.1)))
        });
        let was_leader = self.leaders.get(key) == Some(id);
        if is_over || was_leader {
            return;
        }
        let hold = now + self.options.hold_time();
        if let Some(track) = self.tracks.get_mut(id) {
            track.held_until = track.held_until.max(hold);
        }
    }

    /// Hears that requests come in.
    pub fn record_traffic(&mut self) {
        self.has_traffic = true;
    }

    /// Hears that nothing comes from this leader, and whether requests stand still there for certain.
    /// Asks all members; only certainty makes one that does not answer a lost one.
    pub fn record_stall(
        &mut self,
        leader: &UpstreamIncarnation,
        is_certain: bool,
        now: Millis,
    ) -> Vec<GroupAction> {
        let track = self.tracks.get_mut(&leader.id);
        let Some(track) = track.filter(|track| track.entry.incarnation == *leader) else {
            return Vec::new();
        };
        if is_certain {
            track.quiet_at = Some(now);
        }
        let Some(membership) = track.entry.membership.clone() else {
            return Vec::new();
        };
        let members: Vec<UpstreamId> = self
            .tracks
            .iter()
            .filter(|(_, track)| track.is_in(&membership.group, membership.epoch))
            .map(|(id, _)| id.clone())
            .collect();
        let gap = Millis(self.options.ask_again.0 / 3);
        let asked = members.iter().filter_map(|id| self.ask(id, now, gap));
        asked.collect()
    }

    /// Hears whether members are held where a later coordinator finds it.
    pub fn record_hold(&mut self, group: &GroupId, members: &[UpstreamId], is_kept: bool) {
        let held = self.holds.entry(group.clone()).or_default();
        match is_kept {
            true => held.kept.extend(members.iter().cloned()),
            false => held.forget_kept(),
        }
    }
}

/// The members of a group that are held.
#[derive(Debug, Default)]
pub(crate) struct GroupHold {
    /// Those that were to be kept, at any time.
    pub(crate) asked: IndexSet<UpstreamId>,
    /// Those that are kept: only they are ordered to leave.
    pub(crate) kept: IndexSet<UpstreamId>,
    /// When the first of them were to be kept; none where all are to be kept anew.
    pub(crate) asked_at: Option<Millis>,
}

impl GroupHold {
    /// Goes by nothing that was kept: all are to be kept anew before anybody leaves.
    pub(crate) fn forget_kept(&mut self) {
        self.kept.clear();
        self.asked_at = None;
    }
}
