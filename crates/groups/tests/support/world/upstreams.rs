//! Execution of orders by the upstreams, with checks of the guarantees.

use super::*;

impl World {
    pub(super) fn receive_order(&mut self, request: &OrderRequest) -> OrderOutcome {
        let target = &request.target;
        let position = self
            .upstreams
            .iter()
            .position(|upstream| upstream.addr == target.addr);
        let Some(index) = position else {
            return OrderOutcome::Unknown("no upstream at the address".to_owned());
        };
        let upstream = &self.upstreams[index];
        if upstream.cut_from_coordinator || upstream.down_until > self.now {
            return OrderOutcome::Unknown("cut off".to_owned());
        }
        if upstream.id != target.incarnation.id {
            return OrderOutcome::Gone;
        }
        if request.fence < upstream.highest_fence {
            return OrderOutcome::Fenced;
        }
        if request
            .expected
            .is_some_and(|expected| expected != upstream.orders_begun)
        {
            return OrderOutcome::Unfit;
        }
        let outcome = self.execute_order(index, &request.order);
        let upstream = &mut self.upstreams[index];
        upstream.highest_fence = upstream.highest_fence.max(request.fence);
        let is_leave = matches!(request.order, GroupOrder::Leave { .. });
        if outcome == OrderOutcome::Begun || (is_leave && outcome == OrderOutcome::Holds) {
            upstream.orders_begun += 1;
            self.revision += 1;
        }
        outcome
    }

    pub(super) fn execute_order(&mut self, index: usize, order: &GroupOrder) -> OrderOutcome {
        let now = self.now;
        match order {
            GroupOrder::Stage { model } => {
                let upstream = &mut self.upstreams[index];
                if upstream.loading.is_some() {
                    return OrderOutcome::Unfit;
                }
                upstream.loading = Some((model.clone(), now + 2_000));
                OrderOutcome::Begun
            }
            GroupOrder::Join {
                group,
                epoch,
                model,
                members,
            } => {
                if *epoch < self.upstreams[index].highest_epoch {
                    return OrderOutcome::Fenced;
                }
                let is_same = |joined: &JoinedGroup| {
                    let membership = &joined.membership;
                    let has_same_members = joined.members == *members;
                    membership.group == *group && membership.epoch == *epoch && has_same_members
                };
                if self.upstreams[index].joined.as_ref().is_some_and(is_same) {
                    return OrderOutcome::Holds;
                }
                self.check_join(index, group, *epoch);
                let upstream = &mut self.upstreams[index];
                let join_time_ms = match (&upstream.warm, &upstream.staged) {
                    (Some(warm), _) if warm == model => 200,
                    (_, Some(staged)) if staged == model => 1_000,
                    _ => 3_000,
                };
                upstream.highest_epoch = *epoch;
                upstream.warm = Some(model.clone());
                upstream.staged = Some(model.clone());
                let rank = members.iter().position(|id| *id == upstream.id);
                upstream.joined = Some(JoinedGroup {
                    membership: GroupMembership {
                        group: group.clone(),
                        epoch: *epoch,
                        rank: rank.unwrap_or(usize::MAX),
                        state: MemberState::Joining,
                    },
                    members: members.clone(),
                    ready_at: now + join_time_ms,
                });
                OrderOutcome::Begun
            }
            GroupOrder::Open { group, epoch } => self.open_group(index, group, *epoch),
            GroupOrder::Close { group, epoch, .. } => {
                let Some(joined) = self.joined_group(index, group, *epoch) else {
                    return OrderOutcome::Unfit;
                };
                joined.membership.state = MemberState::Ready;
                OrderOutcome::Begun
            }
            GroupOrder::Leave { group, epoch } => {
                if self.joined_group(index, group, *epoch).is_none() {
                    return OrderOutcome::Unfit;
                }
                self.upstreams[index].joined = None;
                OrderOutcome::Holds
            }
        }
    }

    pub(super) fn joined_group(
        &mut self,
        index: usize,
        group: &GroupId,
        epoch: u64,
    ) -> Option<&mut JoinedGroup> {
        let joined = self.upstreams[index].joined.as_mut()?;
        let membership = &joined.membership;
        (membership.group == *group && membership.epoch == epoch).then_some(joined)
    }

    /// Checks that no member joins another group while the leader of its old group is open.
    pub(super) fn check_join(&mut self, index: usize, group: &GroupId, epoch: u64) {
        let Some(old) = self.upstreams[index].joined.clone() else {
            return self.check_departed_member(index);
        };
        if old.membership.group == *group && old.membership.epoch == epoch {
            return;
        }
        self.check_old_leader(&old.members[0], &old.membership, index);
    }

    /// Checks that a member that left its group does not join another one while the old group is
    /// stalled but not broken.
    pub(super) fn check_departed_member(&mut self, index: usize) {
        let id = self.upstreams[index].id.clone();
        let stalled_leader = self.upstreams.iter().find(|upstream| {
            let joined = upstream.joined.as_ref();
            let is_open = joined.is_some_and(|joined| {
                joined.membership.state == MemberState::Open && joined.members.contains(&id)
            });
            is_open && upstream.down_until <= self.now
        });
        if let Some(leader) = stalled_leader {
            let violation = format!(
                "t={} {id} joins while the group of {} is stalled",
                self.now, leader.id
            );
            self.violations.push(violation);
        }
    }

    pub(super) fn check_old_leader(
        &mut self,
        leader: &UpstreamId,
        old: &GroupMembership,
        index: usize,
    ) {
        let Some(upstream) = self
            .upstreams
            .iter()
            .find(|upstream| upstream.id == *leader)
        else {
            return;
        };
        let is_open = upstream.joined.as_ref().is_some_and(|joined| {
            joined.membership.group == old.group
                && joined.membership.epoch == old.epoch
                && joined.membership.state == MemberState::Open
        });
        if is_open && upstream.down_until <= self.now {
            let id = &self.upstreams[index].id;
            let violation = format!("t={} {id} joins while {leader} is open", self.now);
            self.violations.push(violation);
        }
    }

    /// Opens a group, and checks that every member was ready in it.
    pub(super) fn open_group(&mut self, index: usize, group: &GroupId, epoch: u64) -> OrderOutcome {
        let Some(joined) = self.joined_group(index, group, epoch) else {
            return OrderOutcome::Unfit;
        };
        if joined.membership.state != MemberState::Ready {
            return OrderOutcome::Unfit;
        }
        joined.membership.state = MemberState::Open;
        let members = joined.members.clone();
        let model = group
            .as_str()
            .rsplit_once('.')
            .map_or("", |(model, _)| model);
        let size = spec().models.get(model).map_or(0, |model| model.group_size);
        let key = (group.clone(), epoch, members.clone());
        let ready = self.ready.get(&key).cloned().unwrap_or_default();
        let is_complete = members.len() == size && members.iter().all(|id| ready.contains(id));
        if !is_complete {
            self.violations
                .push(format!("t={} {group} opens without all members", self.now));
        }
        OrderOutcome::Begun
    }
}
