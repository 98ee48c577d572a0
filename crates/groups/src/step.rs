//! One look at all groups: keeps them, ends them, or frees their members.

use bergamot_ports::{GroupOrder, MemberState, UpstreamState};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::forming::FormingStep;
use crate::give::SECOND_QUESTION;
use crate::planner::{GroupAction, GroupPlanner};
use crate::track::UpstreamTrack;
use crate::view::{GroupKey, GroupView, collect_groups, group_model};

/// Why a group cannot go on as it is.
#[derive(Clone, PartialEq, Eq, Debug)]
pub(crate) enum GroupLoss {
    /// This member is dead.
    Dead(UpstreamId),
    /// So many members are not in it any more.
    Missing(usize),
    /// A member is leaving.
    Leaving,
}

impl GroupPlanner {
    /// What is to be done now.
    pub fn step(&mut self, now: Millis) -> Vec<GroupAction> {
        let mut actions = Vec::new();
        if self.is_fenced {
            return actions;
        }
        let groups = collect_groups(&self.tracks);
        self.note_standing(now, &groups);
        self.step_forming(now, &mut actions);
        let mut counts: IndexMap<ModelName, usize> = IndexMap::new();
        let mut free: Vec<UpstreamId> = Vec::new();
        for (key, group) in &groups {
            if self.forming.contains_key(&key.0) {
                *counts.entry(group_model(&key.0)).or_default() += 1;
                continue;
            }
            self.step_group(now, key, group, &mut counts, &mut free, &mut actions);
        }
        for (id, track) in &self.tracks {
            if track.is_listed && track.entry.membership.is_none() {
                free.push(id.clone());
            }
        }
        self.log_state(now, &counts, &free);
        self.step_free(now, counts, &free, &mut actions);
        self.ask_silent(now, &mut actions);
        self.tracks
            .retain(|_, track| track.is_listed || !track.is_gone);
        actions
    }

    /// Notes where groups lack members while their leaders may stand open. An upstream that left such a group,
    /// or started again, before this coordinator took over, shows nothing of it.
    fn note_standing(&mut self, now: Millis, groups: &IndexMap<GroupKey, GroupView>) {
        self.standing.clear();
        if self.is_first || now >= self.inherited_until {
            return;
        }
        for (key, group) in groups {
            let leader = group.leader().map(|(_, state)| state);
            let may_stand = matches!(
                leader,
                None | Some(MemberState::Open | MemberState::Closing)
            );
            let model = self.spec.models.get(&group_model(&key.0));
            let is_full = model.is_some_and(|model| group.is_full(model.group_size));
            if !may_stand || is_full || self.forming.contains_key(&key.0) {
                continue;
            }
            let members = group.members.iter();
            let tracks = members.filter_map(|(_, id, _)| self.tracks.get(id));
            let fabrics = tracks.filter_map(|track| track.entry.fabric.clone());
            self.standing.extend(fabrics);
        }
    }

    /// Logs how many groups and upstreams there are, when that changed.
    pub(crate) fn log_state(
        &mut self,
        now: Millis,
        counts: &IndexMap<ModelName, usize>,
        free: &[UpstreamId],
    ) {
        let usable = free.iter().filter_map(|id| self.tracks.get(id));
        let usable: Vec<&UpstreamTrack> = usable.filter(|it| self.is_usable(it, now)).collect();
        let staged = usable.iter().filter(|it| !it.entry.staged.is_empty());
        let loading = self.tracks.values().filter(|it| it.staging.is_some());
        let held = self.tracks.values().filter(|it| it.held_until > now);
        let dead = self.tracks.keys().filter(|id| self.is_dead(id));
        let state = format!(
            "groups={counts:?} forming={} free={} staged={} loading={} held={} dead={} listed={}",
            self.forming.len(),
            usable.len(),
            staged.count(),
            loading.count(),
            held.count(),
            dead.count(),
            self.tracks.values().filter(|it| it.is_listed).count(),
        );
        if state != self.logged {
            log::info!("event=groups_state {state}");
            self.logged = state;
        }
    }

    /// Moves each forming group on, or gives it up.
    pub(crate) fn step_forming(&mut self, now: Millis, actions: &mut Vec<GroupAction>) {
        let ids: Vec<GroupId> = self.forming.keys().cloned().collect();
        for id in ids {
            let group = &self.forming[&id];
            let step = group.step(&id, &self.tracks, self.options.silent_limit);
            let is_late = now.since(group.since) > self.options.forming_limit;
            match step {
                FormingStep::Done => {
                    log::info!(
                        "event=group_serves group={id} took={}",
                        now.since(group.since)
                    );
                    self.forming.shift_remove(&id);
                }
                FormingStep::Abort(reason) => self.abort(&id, reason),
                FormingStep::Orders(_) if is_late => self.abort(&id, "it took too long"),
                FormingStep::Orders(orders) => {
                    for (upstream, order) in orders {
                        self.give(now, &upstream, order, actions);
                    }
                }
            }
        }
    }

    /// Gives a forming group up. Its leader is told to leave with the next look at all groups.
    pub(crate) fn abort(&mut self, id: &GroupId, reason: &str) {
        log::info!("event=group_given_up group={id} reason={reason:?}");
        self.forming.shift_remove(id);
    }

    /// Looks at a group that is not being formed: keeps it, ends it, or frees its members.
    pub(crate) fn step_group(
        &mut self,
        now: Millis,
        key: &GroupKey,
        group: &GroupView,
        counts: &mut IndexMap<ModelName, usize>,
        free: &mut Vec<UpstreamId>,
        actions: &mut Vec<GroupAction>,
    ) {
        let model = group_model(&key.0);
        let size = self.spec.models.get(&model).map_or(1, |it| it.group_size);
        let Some((leader, state)) = group.leader() else {
            self.step_leaderless(now, key, group, free, actions);
            return;
        };
        let loss = self.loss(now, key, group, size);
        match (state, loss) {
            (MemberState::Broken, _) => {
                free.extend(group.members.iter().map(|(_, id, _)| id.clone()));
            }
            (MemberState::Open, None) => *counts.entry(model).or_default() += 1,
            (MemberState::Ready, None) if self.is_joined(group, size) => {
                *counts.entry(model).or_default() += 1;
                let order = GroupOrder::Open {
                    group: key.0.clone(),
                    epoch: key.1,
                };
                self.give(now, leader, order, actions);
            }
            (_, _) if self.is_lost(now, leader, leader) => {
                self.step_leaderless(now, key, group, free, actions);
            }
            (_, _) if self.is_dead(leader) => {}
            (MemberState::Open, Some(GroupLoss::Leaving)) => {
                let order = GroupOrder::Close {
                    group: key.0.clone(),
                    epoch: key.1,
                    aborts_in_flight: false,
                };
                self.give(now, leader, order, actions);
            }
            (MemberState::Closing, Some(GroupLoss::Leaving) | None) => {}
            // A spare that warms up, alone.
            (MemberState::Joining, _) if group.members.len() == 1 => {}
            // Nothing moves in a group that lost a member, and one that never opened is not
            // needed: the leader leaves, and with that the others are free.
            (_, loss) => {
                log::info!("event=group_ends group={} loss={loss:?}", key.0);
                let order = GroupOrder::Leave {
                    group: key.0.clone(),
                    epoch: key.1,
                };
                self.give(now, leader, order, actions);
            }
        }
    }

    /// Whether every member says that it has joined.
    pub(crate) fn is_joined(&self, group: &GroupView, size: usize) -> bool {
        let all_ready = group
            .members
            .iter()
            .all(|(_, _, state)| *state == MemberState::Ready);
        all_ready && group.is_full(size)
    }

    /// What a group lacks, if anything.
    pub(crate) fn loss(
        &self,
        now: Millis,
        key: &GroupKey,
        group: &GroupView,
        size: usize,
    ) -> Option<GroupLoss> {
        let members = group.members.iter().map(|(_, id, _)| id);
        // Those that fell out of the directory are members all the same, until they are lost.
        let unlisted = self.tracks.values();
        let unlisted = unlisted.filter(|it| !it.is_listed && it.is_in(&key.0, key.1));
        let unlisted: Vec<&UpstreamId> = unlisted.map(|it| &it.entry.incarnation.id).collect();
        let mut all = members.chain(unlisted.iter().copied());
        let leader = group.leader().map(|(leader, _)| leader);
        let is_lost = |id: &&UpstreamId| self.is_lost(now, id, leader.unwrap_or(id));
        if let Some(dead) = all.find(is_lost) {
            return Some(GroupLoss::Dead(dead.clone()));
        }
        let left = group.members.len() + unlisted.len();
        if left < size {
            return Some(GroupLoss::Missing(size - left));
        }
        let is_leaving = |id: &UpstreamId| {
            let track = self.tracks.get(id);
            track.is_some_and(|track| track.entry.state == UpstreamState::Draining)
        };
        let has_leaving = group.members.iter().any(|(_, id, _)| is_leaving(id));
        has_leaving.then_some(GroupLoss::Leaving)
    }

    /// Whether an upstream counts as dead.
    pub(crate) fn is_dead(&self, id: &UpstreamId) -> bool {
        let limit = self.options.silent_limit;
        let track = self.tracks.get(id);
        track.is_none_or(|track| track.is_gone || track.silent >= limit)
    }

    /// Whether a member of the group that `leader` leads is lost for it. One that only does not answer
    /// us may be cut off from us and work in its group: it is lost when requests stand still at the
    /// leader since then, or when the group must have broken if it is dead.
    fn is_lost(&self, now: Millis, id: &UpstreamId, leader: &UpstreamId) -> bool {
        let Some(track) = self.tracks.get(id).filter(|_| self.is_dead(id)) else {
            return !self.tracks.contains_key(id);
        };
        let Some(since) = track.silent_since.filter(|_| !track.is_gone) else {
            return true;
        };
        let quiet_at = self.tracks.get(leader).and_then(|leader| leader.quiet_at);
        let stands_still = quiet_at.is_some_and(|at| at >= since);
        stands_still || now.since(since) >= self.options.stall_time
    }

    /// A group whose leader is not listed or does not answer.
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
        let track = leader.as_ref().and_then(|leader| self.tracks.get(leader));
        let has_left = track.is_some_and(|track| track.is_listed && !track.is_in(&key.0, key.1));
        let is_gone = track.is_some_and(|track| track.is_gone);
        if has_left || is_gone {
            free.extend(members.cloned());
            return;
        }
        let is_settled = track.is_none_or(|track| track.silent >= self.options.silent_limit);
        if !is_settled {
            let gap = Millis(self.options.ask_again.0 / 3);
            actions.extend(leader.and_then(|leader| self.ask(&leader, now, gap)));
            return;
        }
        // The leader may live and serve out of our sight. With a member gone it stands still, and
        // breaks when the stall time is over; until then nobody of the group is used again.
        let silent_at = track.map(|track| track.silent_at);
        let members: Vec<UpstreamId> = members.cloned().collect();
        let others = members.iter().filter(|id| Some(*id) != leader.as_ref());
        // With all of them silent it is we who are cut off, and the group may be whole: its members
        // are left alone then.
        let reached: Vec<UpstreamId> = others.filter(|id| !self.is_dead(id)).cloned().collect();
        if reached.is_empty() {
            return;
        }
        self.keep_hold(now, &key.0, &members, actions);
        // The leader may be back as well, if one of them was heard of after it was last silent.
        let is_outdated = |id: &UpstreamId| {
            let heard_at = self.tracks.get(id).map(|it| it.heard_at);
            silent_at.is_some() && heard_at > silent_at
        };
        if reached.iter().any(is_outdated) {
            actions.extend(leader.and_then(|leader| self.ask(&leader, now, SECOND_QUESTION)));
            return;
        }
        let kept = self.holds.get(&key.0).map(|held| held.kept.clone());
        let kept = kept.unwrap_or_default();
        let hold = now + self.options.hold_time();
        for id in reached.iter().filter(|id| kept.contains(*id)) {
            let order = GroupOrder::Leave {
                group: key.0.clone(),
                epoch: key.1,
            };
            self.give(now, id, order, actions);
            if let Some(track) = self.tracks.get_mut(id) {
                track.held_until = track.held_until.max(hold);
            }
        }
    }

    /// Has the members of a group held where a later coordinator finds them.
    fn keep_hold(
        &mut self,
        now: Millis,
        group: &GroupId,
        members: &[UpstreamId],
        actions: &mut Vec<GroupAction>,
    ) {
        let held = self.holds.entry(group.clone()).or_default();
        // What is kept in the store ends, whether members left by it or not. Those that did stay in what is kept next.
        let is_over = |at: Millis| now.since(at) >= self.options.hold_use;
        if held.asked_at.is_some_and(is_over) {
            held.forget_kept();
        }
        // A member may come back to the directory when others were held already.
        let is_asked = members.iter().all(|id| held.asked.contains(id));
        if is_asked && held.asked_at.is_some() {
            return;
        }
        held.asked_at.get_or_insert(now);
        held.asked.extend(members.iter().cloned());
        // What is kept now takes the place of what an earlier coordinator kept of the group, whose members may have
        // left it meanwhile.
        let inherited = self.inherited.get(group);
        held.asked.extend(inherited.into_iter().flatten().cloned());
        actions.push(GroupAction::Hold {
            group: group.clone(),
            members: held.asked.iter().cloned().collect(),
        });
    }
}
