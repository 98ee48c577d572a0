//! Groups whose leader is not listed or does not answer.

use bergamot_ports::GroupOrder;
use bergamot_types::prelude::*;

use crate::issue::SECOND_QUERY_DELAY;
use crate::planner::{GroupAction, GroupPlanner};
use crate::view::{GroupKey, GroupView};

impl GroupPlanner {
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
        let is_leader_unresponsive =
            record.is_none_or(|record| record.unanswered >= self.options.max_unanswered);
        if !is_leader_unresponsive {
            let min_interval = Millis(self.options.query_interval.0 / 3);
            actions.extend(leader.and_then(|leader| self.query(&leader, now, min_interval)));
            return;
        }
        // The leader may run and serve requests where this coordinator cannot reach it. Without one
        // of its members it stalls, and breaks after the stall time; until then no member of the
        // group is used again.
        let last_timeout_at = record.map(|record| record.last_timeout_at);
        let silent_since = record.and_then(|record| record.unanswered_since);
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
        // A sound leader that is only silent goes on with its requests if its members stay.
        let min_silence = self.options.stalled_loss_time();
        if silent_since.is_some_and(|since| now.since(since) < min_silence) {
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
