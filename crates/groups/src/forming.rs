//! Groups that are being formed.

use bergamot_ports::{GroupOrder, MemberState, UpstreamState};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::upstream::UpstreamRecord;
use crate::view::GroupKey;

/// A group that does not serve yet.
#[derive(Clone, Debug)]
pub(crate) struct FormingGroup {
    pub epoch: u64,
    pub model: ModelName,
    /// The members in order of rank.
    pub members: Vec<UpstreamId>,
    /// The groups that members had not left when this one began to form.
    pub earlier_groups: IndexMap<UpstreamId, GroupKey>,
    pub started_at: Millis,
}

/// The next step of a forming group.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FormingStep {
    /// Send these orders; empty while members are joining.
    Orders(Vec<(UpstreamId, GroupOrder)>),
    /// The group serves.
    Done,
    /// The group cannot be completed.
    Abort(&'static str),
}

impl FormingGroup {
    /// Returns the next step, given the state of the members.
    pub fn step(
        &self,
        id: &GroupId,
        records: &IndexMap<UpstreamId, UpstreamRecord>,
        max_unanswered: u32,
    ) -> FormingStep {
        let mut orders = Vec::new();
        let mut ready = 0;
        for (rank, member) in self.members.iter().enumerate() {
            let Some(record) = records.get(member).filter(|record| record.is_listed) else {
                return FormingStep::Abort("a member is no longer listed");
            };
            if record.entry.state == UpstreamState::Draining {
                return FormingStep::Abort("a member is leaving");
            }
            if record.has_exited || record.unanswered >= max_unanswered {
                return FormingStep::Abort("a member does not answer");
            }
            if self.has_joined_another(id, record) {
                return FormingStep::Abort("a member joined another group");
            }
            if !record.is_member_of(id, self.epoch) {
                orders.push((member.clone(), self.join_order(id)));
                continue;
            }
            let state = record
                .entry
                .membership
                .as_ref()
                .map(|membership| membership.state);
            match state {
                Some(MemberState::Open) if rank == 0 => return FormingStep::Done,
                Some(MemberState::Broken) => return FormingStep::Abort("the group broke"),
                Some(MemberState::Ready) => ready += 1,
                _ => {}
            }
        }
        if ready == self.members.len() {
            let open = GroupOrder::Open {
                group: id.clone(),
                epoch: self.epoch,
            };
            orders.push((self.members[0].clone(), open));
        }
        FormingStep::Orders(orders)
    }

    /// Whether a member joined another group since this one began to form, by an order of an earlier
    /// coordinator that was still on its way. That group may serve.
    fn has_joined_another(&self, id: &GroupId, record: &UpstreamRecord) -> bool {
        let Some(membership) = &record.entry.membership else {
            return false;
        };
        let key = (membership.group.clone(), membership.epoch);
        let is_this_group = key.0 == *id && key.1 == self.epoch;
        let earlier_group = self.earlier_groups.get(&record.entry.incarnation.id);
        !is_this_group && earlier_group != Some(&key)
    }

    fn join_order(&self, id: &GroupId) -> GroupOrder {
        GroupOrder::Join {
            group: id.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }
}
