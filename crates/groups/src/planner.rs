//! State of the coordinator and its next actions.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bergamot_ports::{
    EngineSpec, MemberState, OrderRequest, RegionMap, UpstreamEntry, UpstreamReport, UpstreamTarget,
};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::demand::{ModelDemand, needed_shares};
use crate::evacuated::EvacuatedDomains;
use crate::forming::FormingGroup;
use crate::membership_log::MembershipLog;
use crate::options::GroupOptions;
use crate::upstream::UpstreamRecord;
use crate::view::{GroupKey, group_model};

/// An action that the coordinator requests.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GroupAction {
    /// Send an order and report its outcome to [`GroupPlanner::record_order_outcome`].
    Order(OrderRequest),
    /// Query an upstream's report and pass the outcome to [`GroupPlanner::record_query_outcome`].
    Query(UpstreamTarget),
    /// Store a hold on these members, which are about to leave a group whose leader may still be
    /// open. It must be readable by a later coordinator for at least
    /// [`GroupOptions::hold_validity`] plus [`GroupOptions::hold_time`]. Report the result to
    /// [`GroupPlanner::record_hold`].
    Hold {
        /// The group.
        group: GroupId,
        /// Its members.
        members: Vec<UpstreamId>,
    },
}

/// Outcome of a query.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QueryOutcome {
    /// The upstream answered.
    Answered(UpstreamReport),
    /// Its process has exited.
    Gone,
    /// No answer, and no connection could be established.
    Unreachable,
    /// No answer, although connections are established. The upstream may be at work and go on.
    Silent,
    /// No answer, but this process was paused while it waited, so the missing answer says nothing
    /// about the upstream.
    Unheard {
        /// Whether a connection was established all the same.
        is_reachable: bool,
    },
}

/// The coordinator of the replica groups of one service.
#[derive(Debug)]
pub struct GroupPlanner {
    pub(crate) options: GroupOptions,
    pub(crate) spec: EngineSpec,
    /// Demand for each model.
    pub(crate) demands: IndexMap<ModelName, ModelDemand>,
    /// The region of each failure domain.
    pub(crate) regions: RegionMap,
    /// Failure domains in which no group may have its leader.
    pub(crate) evacuated: EvacuatedDomains,
    pub(crate) fence: u64,
    pub(crate) epoch: u64,
    pub(crate) is_fenced: bool,
    /// Whether there was no coordinator before, so that an upstream that was not ordered has begun
    /// no orders.
    pub(crate) is_first_term: bool,
    /// Whether requests arrive.
    pub(crate) has_traffic: bool,
    /// When this coordinator took over.
    pub(crate) started_at: Millis,
    /// When an upstream was last listed for the first time.
    pub(crate) last_discovery_at: Millis,
    /// Members that earlier coordinators held, by group.
    pub(crate) inherited_holds: IndexMap<GroupId, Vec<UpstreamId>>,
    /// End of the time during which those are not used.
    pub(crate) inherited_holds_until: Millis,
    /// Upstreams that may be members of a group whose leader is open, as this VM saw, each with the end
    /// of that time.
    pub(crate) member_holds: IndexMap<UpstreamId, Millis>,
    /// Until when an upstream may have left such a group before this VM first read the directory.
    pub(crate) unseen_departures_until: Millis,
    /// Whether stored holds of earlier coordinators may be missing from those.
    pub(crate) may_lack_holds: bool,
    /// Fabric domains in which a group lacks members while its leader may be open.
    pub(crate) stalled_fabrics: IndexSet<FabricDomain>,
    /// When loads were ordered, within the window of the weight store's rate limit.
    pub(crate) load_starts: VecDeque<Millis>,
    /// Holds on members, by group.
    pub(crate) holds: IndexMap<GroupId, GroupHold>,
    /// Number of queries answered so far.
    pub(crate) answer_count: u64,
    /// The state that was last logged.
    pub(crate) last_logged_state: String,
    pub(crate) records: IndexMap<UpstreamId, UpstreamRecord>,
    pub(crate) forming: IndexMap<GroupId, FormingGroup>,
    /// The current or former leader of each member list.
    pub(crate) leaders: IndexMap<GroupKey, UpstreamId>,
}

impl GroupPlanner {
    /// Creates a coordinator that took over at `now` with fencing number `fence`. `is_first_term`
    /// is set if there was no coordinator before it; `inherited_holds` are the members that earlier
    /// coordinators held, by group.
    pub fn new(
        options: GroupOptions,
        spec: EngineSpec,
        fence: u64,
        is_first_term: bool,
        inherited_holds: IndexMap<GroupId, Vec<UpstreamId>>,
        now: Millis,
    ) -> Self {
        Self {
            started_at: now,
            last_discovery_at: now,
            inherited_holds_until: now + options.hold_time(),
            inherited_holds,
            member_holds: IndexMap::new(),
            unseen_departures_until: Millis::ZERO,
            may_lack_holds: false,
            stalled_fabrics: IndexSet::new(),
            answer_count: 0,
            load_starts: VecDeque::new(),
            holds: IndexMap::new(),
            last_logged_state: String::new(),
            options,
            spec,
            demands: IndexMap::new(),
            evacuated: EvacuatedDomains::default(),
            regions: RegionMap::default(),
            fence,
            epoch: fence,
            is_fenced: false,
            is_first_term,
            has_traffic: !is_first_term,
            records: IndexMap::new(),
            forming: IndexMap::new(),
            leaders: IndexMap::new(),
        }
    }

    /// Records that stored holds of earlier coordinators may be lost. Upstreams without a group count
    /// as held for as long as a hold lasts: the leader of the group that they left may be open and
    /// cut off from the directory.
    pub fn expect_lost_holds(&mut self) {
        self.may_lack_holds = true;
    }

    /// Applies what this VM saw of the members' departures, also before it took over. Must be called
    /// before each directory is set, as upstreams that were not listed before are held by it.
    pub fn set_departures<'a, Find>(&mut self, log: &MembershipLog, find_entry: Find, now: Millis)
    where
        Find: Fn(&UpstreamId) -> Option<&'a UpstreamEntry>,
    {
        let hold_time = self.options.hold_time();
        self.member_holds = log.holds(find_entry, hold_time, now);
        if !self.is_first_term {
            self.unseen_departures_until = log.followed_since().unwrap_or(now) + hold_time;
        }
    }

    /// Whether an upstream has seen a higher fencing number, so that another coordinator has taken
    /// over.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Replaces the configuration.
    pub fn set_spec(&mut self, spec: EngineSpec) {
        self.spec = spec;
    }

    /// Replaces the measured demand for each model.
    pub fn set_demand(&mut self, demands: IndexMap<ModelName, ModelDemand>) {
        self.demands = demands;
    }

    /// Returns the configuration with demand shares that follow the measured demand.
    pub(crate) fn spec_with_demand(&self) -> EngineSpec {
        let mut spec = self.spec.clone();
        for (name, share) in needed_shares(&spec, &self.demands).unwrap_or_default() {
            spec.models[&name].demand_share = share;
        }
        spec
    }

    /// Replaces the directory with the one read at the store's `revision`, as an ordinal.
    pub fn set_directory<'a, Entries>(&mut self, entries: Entries, revision: u64, now: Millis)
    where
        Entries: IntoIterator<Item = &'a UpstreamEntry>,
    {
        // Every change of a membership raises the store's revision, so this is higher than any
        // epoch that an earlier coordinator used.
        self.epoch = self.epoch.max(revision);
        for record in self.records.values_mut() {
            record.is_listed = false;
        }
        let known_count = self.records.len();
        let mut listed_by_addr: IndexMap<SocketAddr, &UpstreamId> = IndexMap::new();
        let mut departures: Vec<(UpstreamId, GroupKey)> = Vec::new();
        for entry in entries {
            let id = &entry.incarnation.id;
            listed_by_addr.insert(entry.addr, id);
            let record = self.records.entry(id.clone()).or_insert_with(|| {
                let held_until = self.member_holds.get(id).copied();
                if let Some(held_until) = held_until {
                    log::info!("event=member_held upstream={id} until={held_until}");
                }
                UpstreamRecord {
                    held_until: held_until.unwrap_or_default(),
                    ..UpstreamRecord::new(entry.clone())
                }
            });
            record.is_listed = true;
            if record.entry.incarnation.is_newer_than(&entry.incarnation) {
                // The upstream reported its restart before its entry shows it.
                continue;
            }
            let previous = record.entry.membership.as_ref();
            let is_restarted = entry.incarnation.is_newer_than(&record.entry.incarnation);
            if let Some(previous) = previous.filter(|_| entry.membership.is_none()) {
                departures.push((id.clone(), (previous.group.clone(), previous.epoch)));
            }
            if is_restarted {
                log::info!("event=upstream_restarted upstream={:?}", entry.incarnation);
                record.restart(entry.clone());
            } else if record.entry.differs_beyond_cold_time(entry) {
                record.unanswered = 0;
                record.has_exited = false;
                record.entry = entry.clone();
            }
            if let Some(membership) = &entry.membership {
                self.epoch = self.epoch.max(membership.epoch);
                record.warm_model = Some(group_model(&membership.group));
                if membership.rank == 0 {
                    let key = (membership.group.clone(), membership.epoch);
                    self.leaders.insert(key, id.clone());
                }
            }
            let is_staged = |model: &ModelName| {
                let is_unknown = model.as_str().is_empty() && !entry.staged.is_empty();
                is_unknown || entry.staged.contains(model)
            };
            if record
                .staging
                .as_ref()
                .is_some_and(|(model, _)| is_staged(model))
            {
                record.staging = None;
            }
        }
        if self.records.len() > known_count {
            self.last_discovery_at = now;
        }
        for (id, key) in departures {
            self.hold_if_leader_open(&id, &key, now);
        }
        // An address belongs to one upstream at a time.
        for (id, record) in self
            .records
            .iter_mut()
            .filter(|(_, record)| !record.is_listed)
        {
            let successor = listed_by_addr.get(&record.entry.addr);
            record.has_exited |= successor.is_some_and(|successor| *successor != id);
        }
    }

    /// Holds a member that left a group whose leader may still be open, due to an order of an
    /// earlier coordinator that was delivered late.
    pub(crate) fn hold_if_leader_open(&mut self, id: &UpstreamId, key: &GroupKey, now: Millis) {
        let leader = self.leaders.get(key).filter(|leader| *leader != id);
        let leader = leader.and_then(|leader| self.records.get(leader));
        let has_ended = leader.is_some_and(|leader| {
            let state = leader
                .entry
                .membership
                .as_ref()
                .map(|membership| membership.state);
            let is_open = matches!(state, Some(MemberState::Open | MemberState::Closing));
            leader.has_exited
                || (leader.is_listed && !(is_open && leader.is_member_of(&key.0, key.1)))
        });
        let was_leader = self.leaders.get(key) == Some(id);
        if has_ended || was_leader {
            return;
        }
        let hold_until = now + self.options.hold_time();
        if let Some(record) = self.records.get_mut(id) {
            record.held_until = record.held_until.max(hold_until);
        }
    }

    /// Records that requests arrive.
    pub fn record_traffic(&mut self) {
        self.has_traffic = true;
    }

    /// Records that a leader makes no progress, and whether its requests are certain to be stalled.
    /// Returns queries to all members of its group. Only a certain stall makes an unresponsive
    /// member count as lost.
    pub fn record_stall(
        &mut self,
        leader: &UpstreamIncarnation,
        is_certain: bool,
        now: Millis,
    ) -> Vec<GroupAction> {
        let record = self.records.get_mut(&leader.id);
        let Some(record) = record.filter(|record| record.entry.incarnation == *leader) else {
            return Vec::new();
        };
        if is_certain {
            record.stalled_at = Some(now);
        }
        let Some(membership) = record.entry.membership.clone() else {
            return Vec::new();
        };
        let members: Vec<UpstreamId> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_member_of(&membership.group, membership.epoch))
            .map(|(id, _)| id.clone())
            .collect();
        let min_interval = Millis(self.options.query_interval.0 / 3);
        let queries = members
            .iter()
            .filter_map(|id| self.query(id, now, min_interval));
        queries.collect()
    }

    /// Records whether a hold was stored where a later coordinator finds it.
    pub fn record_hold(&mut self, group: &GroupId, members: &[UpstreamId], is_stored: bool) {
        let hold = self.holds.entry(group.clone()).or_default();
        match is_stored {
            true => hold.stored.extend(members.iter().cloned()),
            false => hold.discard_stored(),
        }
    }
}

/// The hold on the members of a group.
#[derive(Debug, Default)]
pub(crate) struct GroupHold {
    /// Members for which a hold was ever requested.
    pub(crate) requested: IndexSet<UpstreamId>,
    /// Members whose hold is stored. Only these are ordered to leave.
    pub(crate) stored: IndexSet<UpstreamId>,
    /// When the current hold was first requested; none if the hold must be requested anew for all
    /// members.
    pub(crate) requested_at: Option<Millis>,
}

impl GroupHold {
    /// Discards the stored hold. It must be stored anew before a member is ordered to leave.
    pub(crate) fn discard_stored(&mut self) {
        self.stored.clear();
        self.requested_at = None;
    }
}
