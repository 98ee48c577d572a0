//! Groups that are being formed.

use bergamot_ports::{GroupOrder, MemberState, UpstreamState};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::track::UpstreamTrack;

/// One group on its way to serving.
#[derive(Clone, Debug)]
pub(crate) struct FormingGroup {
    pub epoch: u64,
    pub model: ModelName,
    /// The members in order of rank.
    pub members: Vec<UpstreamId>,
    pub since: Millis,
}

/// What a forming group needs next.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FormingStep {
    /// These orders; none while members join.
    Orders(Vec<(UpstreamId, GroupOrder)>),
    /// It serves.
    Done,
    /// It cannot become whole.
    Abort(&'static str),
}

impl FormingGroup {
    /// Looks at the members and says what is next.
    pub fn step(
        &self,
        id: &GroupId,
        tracks: &IndexMap<UpstreamId, UpstreamTrack>,
        silent_limit: u32,
    ) -> FormingStep {
        let mut orders = Vec::new();
        let mut ready = 0;
        for (rank, member) in self.members.iter().enumerate() {
            let Some(track) = tracks.get(member).filter(|track| track.is_listed) else {
                return FormingStep::Abort("a member is not listed any more");
            };
            if track.entry.state == UpstreamState::Draining {
                return FormingStep::Abort("a member is leaving");
            }
            if track.is_gone || track.silent >= silent_limit {
                return FormingStep::Abort("a member does not answer");
            }
            if !track.is_in(id, self.epoch) {
                orders.push((member.clone(), self.join(id)));
                continue;
            }
            let state = track.entry.membership.as_ref().map(|it| it.state);
            match state {
                Some(MemberState::Open) if rank == 0 => return FormingStep::Done,
                Some(MemberState::Broken) => return FormingStep::Abort("it broke"),
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

    fn join(&self, id: &GroupId) -> GroupOrder {
        GroupOrder::Join {
            group: id.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }
}
