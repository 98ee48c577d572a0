//! One pass over all groups, which keeps, closes or dissolves each of them.

use bergamot_ports::{GroupOrder, MemberState, UpstreamState};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::forming::FormingStep;
use crate::issue::SECOND_QUERY_DELAY;
use crate::planner::{GroupAction, GroupPlanner};
use crate::upstream::UpstreamRecord;
use crate::view::{GroupKey, GroupView, collect_groups, group_model};

/// Why a group cannot continue to serve.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum GroupLoss {
    /// This member is presumed crashed.
    Dead(UpstreamId),
    /// This many members are no longer in the group.
    Missing(usize),
    /// A member is leaving.
    Leaving,
}

impl GroupPlanner {
    /// Returns the next actions.
    pub fn step(&mut self, now: Millis) -> Vec<GroupAction> {
        let mut actions = Vec::new();
        if self.is_fenced {
            return actions;
        }
        let groups = collect_groups(&self.records);
        self.record_stalled_fabrics(now, &groups);
        self.step_forming(now, &mut actions);
        let mut group_counts: IndexMap<ModelName, usize> = IndexMap::new();
        let mut free: Vec<UpstreamId> = Vec::new();
        for (key, group) in &groups {
            if let Some(forming) = self.forming.get(&key.0) {
                let is_supply = self.is_supply(&forming.members[0]);
                *group_counts.entry(group_model(&key.0)).or_default() += usize::from(is_supply);
                continue;
            }
            self.step_group(now, key, group, &mut group_counts, &mut free, &mut actions);
        }
        for (id, record) in &self.records {
            if record.is_listed && record.entry.membership.is_none() {
                free.push(id.clone());
            }
        }
        self.log_state(now, &group_counts, &free);
        self.assign_free(now, group_counts, &free, &mut actions);
        self.query_unresponsive(now, &mut actions);
        self.records
            .retain(|_, record| record.is_listed || !record.has_exited);
        actions
    }

    /// Records the fabric domains of incomplete groups whose leaders may be open. An upstream that
    /// left such a group, or restarted, before this coordinator took over shows no trace of the
    /// group.
    fn record_stalled_fabrics(&mut self, now: Millis, groups: &IndexMap<GroupKey, GroupView>) {
        self.stalled_fabrics.clear();
        if self.is_first_term || now >= self.inherited_holds_until {
            return;
        }
        for (key, group) in groups {
            let leader = group.leader().map(|(_, state)| state);
            let may_be_open = matches!(
                leader,
                None | Some(MemberState::Open | MemberState::Closing)
            );
            let model = self.spec.models.get(&group_model(&key.0));
            let is_full = model.is_some_and(|model| group.is_full(model.group_size));
            if !may_be_open || is_full || self.forming.contains_key(&key.0) {
                continue;
            }
            let members = group.members.iter();
            let records = members.filter_map(|(_, id, _)| self.records.get(id));
            let fabrics = records.filter_map(|record| record.entry.fabric.clone());
            self.stalled_fabrics.extend(fabrics);
        }
    }

    /// Logs the number of groups and upstreams if it changed.
    pub(crate) fn log_state(
        &mut self,
        now: Millis,
        group_counts: &IndexMap<ModelName, usize>,
        free: &[UpstreamId],
    ) {
        let usable = free.iter().filter_map(|id| self.records.get(id));
        let usable: Vec<&UpstreamRecord> = usable
            .filter(|record| self.is_usable(record, now))
            .collect();
        let staged = usable
            .iter()
            .filter(|record| !record.entry.staged.is_empty());
        let loading = self
            .records
            .values()
            .filter(|record| record.staging.is_some());
        let held = self
            .records
            .values()
            .filter(|record| record.held_until > now);
        let dead = self
            .records
            .keys()
            .filter(|id| self.is_presumed_crashed(id));
        let state = format!(
            "groups={group_counts:?} forming={} free={} staged={} loading={} held={} dead={} listed={}",
            self.forming.len(),
            usable.len(),
            staged.count(),
            loading.count(),
            held.count(),
            dead.count(),
            self.records
                .values()
                .filter(|record| record.is_listed)
                .count(),
        );
        if state != self.last_logged_state {
            log::info!("event=groups_state {state}");
            self.last_logged_state = state;
        }
    }

    /// Advances each forming group, or gives it up.
    pub(crate) fn step_forming(&mut self, now: Millis, actions: &mut Vec<GroupAction>) {
        let ids: Vec<GroupId> = self.forming.keys().cloned().collect();
        for id in ids {
            let group = &self.forming[&id];
            let step = group.step(&id, &self.records, self.options.max_unanswered);
            let is_late = now.since(group.started_at) > self.options.forming_timeout;
            match step {
                FormingStep::Done => {
                    log::info!(
                        "event=group_serves group={id} took={}",
                        now.since(group.started_at)
                    );
                    self.forming.shift_remove(&id);
                }
                FormingStep::Abort(reason) => self.abort(&id, reason),
                FormingStep::Orders(_) if is_late => self.abort(&id, "forming timed out"),
                FormingStep::Orders(orders) => {
                    for (upstream, order) in orders {
                        self.send_order(now, &upstream, order, actions);
                    }
                }
            }
        }
    }

    /// Gives up a forming group. The next pass over all groups orders its leader to leave.
    pub(crate) fn abort(&mut self, id: &GroupId, reason: &str) {
        log::info!("event=group_given_up group={id} reason={reason:?}");
        self.forming.shift_remove(id);
    }

    /// Handles a group that is not forming: keeps it, closes it, or frees its members.
    pub(crate) fn step_group(
        &mut self,
        now: Millis,
        key: &GroupKey,
        group: &GroupView,
        group_counts: &mut IndexMap<ModelName, usize>,
        free: &mut Vec<UpstreamId>,
        actions: &mut Vec<GroupAction>,
    ) {
        let model = group_model(&key.0);
        let size = self
            .spec
            .models
            .get(&model)
            .map_or(1, |model| model.group_size);
        let Some((leader, state)) = group.leader() else {
            self.step_leaderless(now, key, group, free, actions);
            return;
        };
        let loss = self.find_loss(now, key, group, size);
        let supply = usize::from(self.is_supply(leader));
        match (state, loss) {
            (MemberState::Broken, _) => {
                free.extend(group.members.iter().map(|(_, id, _)| id.clone()));
            }
            (MemberState::Open, None) => *group_counts.entry(model).or_default() += supply,
            (MemberState::Ready, None) if self.is_joined(group, size) => {
                *group_counts.entry(model).or_default() += supply;
                let order = GroupOrder::Open {
                    group: key.0.clone(),
                    epoch: key.1,
                };
                self.send_order(now, leader, order, actions);
            }
            (_, _) if self.is_lost(now, leader, leader) => {
                self.step_leaderless(now, key, group, free, actions);
            }
            (_, _) if self.is_presumed_crashed(leader) => {}
            (MemberState::Open, Some(GroupLoss::Leaving)) => {
                let order = GroupOrder::Close {
                    group: key.0.clone(),
                    epoch: key.1,
                    aborts_in_flight: false,
                };
                self.send_order(now, leader, order, actions);
            }
            (MemberState::Closing, Some(GroupLoss::Leaving) | None) => {}
            // A spare that warms up in a group of its own.
            (MemberState::Joining, _) if group.members.len() == 1 => {}
            // A group that lost a member makes no progress, and a group that never opened is not
            // needed: the leader leaves, which frees the other members.
            (_, loss) => {
                log::info!("event=group_ends group={} loss={loss:?}", key.0);
                let order = GroupOrder::Leave {
                    group: key.0.clone(),
                    epoch: key.1,
                };
                self.send_order(now, leader, order, actions);
            }
        }
    }

    /// Whether every member advertises that it has joined.
    pub(crate) fn is_joined(&self, group: &GroupView, size: usize) -> bool {
        let all_ready = group
            .members
            .iter()
            .all(|(_, _, state)| *state == MemberState::Ready);
        all_ready && group.is_full(size)
    }

    /// Returns why a group cannot continue, or none if it is complete.
    pub(crate) fn find_loss(
        &self,
        now: Millis,
        key: &GroupKey,
        group: &GroupView,
        size: usize,
    ) -> Option<GroupLoss> {
        let members = group.members.iter().map(|(_, id, _)| id);
        // Members that are no longer listed still belong to the group until they are lost.
        let unlisted = self.records.values();
        let unlisted =
            unlisted.filter(|record| !record.is_listed && record.is_member_of(&key.0, key.1));
        let unlisted: Vec<&UpstreamId> = unlisted
            .map(|record| &record.entry.incarnation.id)
            .collect();
        let mut all_members = members.chain(unlisted.iter().copied());
        let leader = group.leader().map(|(leader, _)| leader);
        let is_lost = |id: &&UpstreamId| self.is_lost(now, id, leader.unwrap_or(id));
        if let Some(dead) = all_members.find(is_lost) {
            return Some(GroupLoss::Dead(dead.clone()));
        }
        let member_count = group.members.len() + unlisted.len();
        if member_count < size {
            return Some(GroupLoss::Missing(size - member_count));
        }
        let is_leaving = |id: &UpstreamId| {
            let record = self.records.get(id);
            record.is_some_and(|record| record.entry.state == UpstreamState::Draining)
        };
        let has_leaving = group.members.iter().any(|(_, id, _)| is_leaving(id));
        has_leaving.then_some(GroupLoss::Leaving)
    }

    /// Whether an upstream is presumed crashed.
    pub(crate) fn is_presumed_crashed(&self, id: &UpstreamId) -> bool {
        let max_unanswered = self.options.max_unanswered;
        let record = self.records.get(id);
        record.is_none_or(|record| record.has_exited || record.unanswered >= max_unanswered)
    }

    /// Whether a member of the group that `leader` leads is lost to that group. A member that only
    /// fails to answer this coordinator may be cut off from it and still work in its group. It is
    /// lost if it is not reachable and requests have been stalled at the leader since then, or if the
    /// group would have broken by now without it. A member that accepts connections and is silent
    /// may go on, and ending its group would end what runs there.
    fn is_lost(&self, now: Millis, id: &UpstreamId, leader: &UpstreamId) -> bool {
        let Some(record) = self
            .records
            .get(id)
            .filter(|_| self.is_presumed_crashed(id))
        else {
            return !self.records.contains_key(id);
        };
        let Some(unanswered_since) = record.unanswered_since.filter(|_| !record.has_exited) else {
            return true;
        };
        let stalled_at = self
            .records
            .get(leader)
            .and_then(|leader| leader.stalled_at);
        let is_stalled = stalled_at.is_some_and(|stalled_at| stalled_at >= unanswered_since);
        let is_evident = is_stalled && record.is_unreachable;
        is_evident || now.since(unanswered_since) >= self.options.stall_time
    }

    /// Whether the leader of a group is given up: it is not reachable, or has not answered for as
    /// long as it takes a group to break.
    fn is_leader_given_up(&self, now: Millis, leader: &UpstreamRecord) -> bool {
        let silence = leader.unanswered_since.map(|since| now.since(since));
        let is_over = silence.is_some_and(|silence| silence >= self.options.stall_time);
        leader.unanswered >= self.options.max_unanswered && (leader.is_unreachable || is_over)
    }

    /// Handles a group whose leader is not listed or does not answer.
    pub(crate) fn step_leaderless(
        &mut self,
        now: Millis,
        key: &GroupKey,
        group: &GroupView,
        free: &mut Vec<UpstreamId>,
        actions: &mut Vec<GroupAction>,
    ) {
        let members = group.members.iter().map(|(_, id, _)| id);
        let leader = self.leaders.get(key).cloned();
        let record = leader.as_ref().and_then(|leader| self.records.get(leader));
        let has_left =
            record.is_some_and(|record| record.is_listed && !record.is_member_of(&key.0, key.1));
        let has_exited = record.is_some_and(|record| record.has_exited);
        if has_left || has_exited {
            free.extend(members.cloned());
            return;
        }
        let is_leader_given_up = record.is_none_or(|record| self.is_leader_given_up(now, record));
        if !is_leader_given_up {
            let min_interval = Millis(self.options.query_interval.0 / 3);
            actions.extend(leader.and_then(|leader| self.query(&leader, now, min_interval)));
            return;
        }
        // The leader may run and serve requests where this coordinator cannot reach it. Without one
        // of its members it stalls, and breaks after the stall time; until then no member of the
        // group is used again.
        let last_timeout_at = record.map(|record| record.last_timeout_at);
        let members: Vec<UpstreamId> = members.cloned().collect();
        let others = members.iter().filter(|id| Some(*id) != leader.as_ref());
        // If all members are unresponsive, this coordinator is the one that is cut off, and the
        // group may be complete. Its members are then left alone.
        let responsive: Vec<UpstreamId> = others
            .filter(|id| !self.is_presumed_crashed(id))
            .cloned()
            .collect();
        if responsive.is_empty() {
            return;
        }
        self.request_hold(now, &key.0, &members, actions);
        // The leader may be back too if another member answered after the leader's last timeout.
        let answered_later = |id: &UpstreamId| {
            let answered_at = self.records.get(id).map(|record| record.answered_at);
            last_timeout_at.is_some() && answered_at > last_timeout_at
        };
        if responsive.iter().any(answered_later) {
            actions.extend(leader.and_then(|leader| self.query(&leader, now, SECOND_QUERY_DELAY)));
            return;
        }
        let stored = self.holds.get(&key.0).map(|hold| hold.stored.clone());
        let stored = stored.unwrap_or_default();
        let hold_until = now + self.options.hold_time();
        for id in responsive.iter().filter(|id| stored.contains(*id)) {
            let order = GroupOrder::Leave {
                group: key.0.clone(),
                epoch: key.1,
            };
            self.send_order(now, id, order, actions);
            if let Some(record) = self.records.get_mut(id) {
                record.held_until = record.held_until.max(hold_until);
            }
        }
    }

    /// Requests a hold on the members of a group that a later coordinator can read.
    fn request_hold(
        &mut self,
        now: Millis,
        group: &GroupId,
        members: &[UpstreamId],
        actions: &mut Vec<GroupAction>,
    ) {
        let hold = self.holds.entry(group.clone()).or_default();
        // The stored hold expires, whether members left under it or not. Members that did leave
        // stay part of the next hold.
        let has_expired =
            |requested_at: Millis| now.since(requested_at) >= self.options.hold_validity;
        if hold.requested_at.is_some_and(has_expired) {
            hold.discard_stored();
        }
        // A member may return to the directory after a hold on the others was requested.
        let is_requested = members.iter().all(|id| hold.requested.contains(id));
        if is_requested && hold.requested_at.is_some() {
            return;
        }
        hold.requested_at.get_or_insert(now);
        hold.requested.extend(members.iter().cloned());
        // The new hold replaces the one that an earlier coordinator stored for the group, whose
        // members may have left since.
        let inherited_holds = self.inherited_holds.get(group);
        hold.requested
            .extend(inherited_holds.into_iter().flatten().cloned());
        actions.push(GroupAction::Hold {
            group: group.clone(),
            members: hold.requested.iter().cloned().collect(),
        });
    }
}
