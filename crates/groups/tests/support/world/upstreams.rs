//! Orders as upstreams carry them out, and the promises checked at each.

use super::*;

impl World {
    pub(super) fn apply(&mut self, request: &OrderRequest) -> OrderOutcome {
        let target = &request.target;
        let found = self
            .upstreams
            .iter()
            .position(|upstream| upstream.addr == target.addr);
        let Some(index) = found else {
            return OrderOutcome::Unknown("nobody".to_owned());
        };
        let upstream = &self.upstreams[index];
        if upstream.cut_from_coordinator || upstream.down_until > self.now {
            return OrderOutcome::Unknown("cut off".to_owned());
        }
        if upstream.id != target.incarnation.id {
            return OrderOutcome::Gone;
        }
        if request.fence < upstream.fence {
            return OrderOutcome::Fenced;
        }
        if request
            .expected
            .is_some_and(|expected| expected != upstream.begun)
        {
            return OrderOutcome::Unfit;
        }
        let outcome = self.carry_out(index, &request.order);
        let upstream = &mut self.upstreams[index];
        upstream.fence = upstream.fence.max(request.fence);
        let is_leave = matches!(request.order, GroupOrder::Leave { .. });
        if outcome == OrderOutcome::Begun || (is_leave && outcome == OrderOutcome::Holds) {
            upstream.begun += 1;
            self.revision += 1;
        }
        outcome
    }

    pub(super) fn carry_out(&mut self, index: usize, order: &GroupOrder) -> OrderOutcome {
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
                if *epoch < self.upstreams[index].top_epoch {
                    return OrderOutcome::Fenced;
                }
                let is_same = |joined: &Joined| {
                    let membership = &joined.membership;
                    let is_list = joined.members == *members;
                    membership.group == *group && membership.epoch == *epoch && is_list
                };
                if self.upstreams[index].joined.as_ref().is_some_and(is_same) {
                    return OrderOutcome::Holds;
                }
                self.check_join(index, group, *epoch);
                let upstream = &mut self.upstreams[index];
                let time = match (&upstream.warm, &upstream.staged) {
                    (Some(warm), _) if warm == model => 200,
                    (_, Some(staged)) if staged == model => 1_000,
                    _ => 3_000,
                };
                upstream.top_epoch = *epoch;
                upstream.warm = Some(model.clone());
                upstream.staged = Some(model.clone());
                let rank = members.iter().position(|id| *id == upstream.id);
                upstream.joined = Some(Joined {
                    membership: GroupMembership {
                        group: group.clone(),
                        epoch: *epoch,
                        rank: rank.unwrap_or(usize::MAX),
                        state: MemberState::Joining,
                    },
                    members: members.clone(),
                    due: now + time,
                });
                OrderOutcome::Begun
            }
            GroupOrder::Open { group, epoch } => self.open(index, group, *epoch),
            GroupOrder::Close { group, epoch, .. } => {
                let Some(joined) = self.joined_in(index, group, *epoch) else {
                    return OrderOutcome::Unfit;
                };
                joined.membership.state = MemberState::Ready;
                OrderOutcome::Begun
            }
            GroupOrder::Leave { group, epoch } => {
                if self.joined_in(index, group, *epoch).is_none() {
                    return OrderOutcome::Unfit;
                }
                self.upstreams[index].joined = None;
                OrderOutcome::Holds
            }
        }
    }

    pub(super) fn joined_in(
        &mut self,
        index: usize,
        group: &GroupId,
        epoch: u64,
    ) -> Option<&mut Joined> {
        let joined = self.upstreams[index].joined.as_mut()?;
        let membership = &joined.membership;
        (membership.group == *group && membership.epoch == epoch).then_some(joined)
    }

    /// No member joins another group while the leader of its old one is open.
    pub(super) fn check_join(&mut self, index: usize, group: &GroupId, epoch: u64) {
        let Some(old) = self.upstreams[index].joined.clone() else {
            return self.check_left(index);
        };
        if old.membership.group == *group && old.membership.epoch == epoch {
            return;
        }
        self.check_leader(&old.members[0], &old.membership, index);
    }

    /// One that left may still hold up a group that has not broken yet.
    pub(super) fn check_left(&mut self, index: usize) {
        let id = self.upstreams[index].id.clone();
        let standing = self.upstreams.iter().find(|upstream| {
            let joined = upstream.joined.as_ref();
            let is_open = joined.is_some_and(|it| {
                it.membership.state == MemberState::Open && it.members.contains(&id)
            });
            is_open && upstream.down_until <= self.now
        });
        if let Some(leader) = standing {
            let problem = format!("t={} {id} joins while {} stands still", self.now, leader.id);
            self.broken.push(problem);
        }
    }

    pub(super) fn check_leader(
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
        let is_open = upstream.joined.as_ref().is_some_and(|it| {
            it.membership.group == old.group
                && it.membership.epoch == old.epoch
                && it.membership.state == MemberState::Open
        });
        if is_open && upstream.down_until <= self.now {
            let id = &self.upstreams[index].id;
            let problem = format!("t={} {id} joins while {leader} is open", self.now);
            self.broken.push(problem);
        }
    }

    /// A group opens only when every member was ready in it.
    pub(super) fn open(&mut self, index: usize, group: &GroupId, epoch: u64) -> OrderOutcome {
        let Some(joined) = self.joined_in(index, group, epoch) else {
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
        let size = spec().models.get(model).map_or(0, |it| it.group_size);
        let key = (group.clone(), epoch, members.clone());
        let ready = self.ready.get(&key).cloned().unwrap_or_default();
        let is_whole = members.len() == size && members.iter().all(|id| ready.contains(id));
        if !is_whole {
            self.broken
                .push(format!("t={} {group} opens without all members", self.now));
        }
        OrderOutcome::Begun
    }
}
