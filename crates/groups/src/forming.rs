//! Groups that are being formed.

use bergamot_ports::{GroupOrder, MemberState, UpstreamState};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::upstream::UpstreamRecord;

/// A group that does not serve yet.
#[derive(Clone, Debug)]
pub(crate) struct FormingGroup {
    pub epoch: u64,
    pub model: ModelName,
    /// The members in order of rank.
    pub members: Vec<UpstreamId>,
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

    fn join_order(&self, id: &GroupId) -> GroupOrder {
        GroupOrder::Join {
            group: id.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }
}
