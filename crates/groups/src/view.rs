//! The groups as the directory's entries have them.

use bergamot_ports::MemberState;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::track::UpstreamTrack;

/// Names one list of members.
pub(crate) type GroupKey = (GroupId, u64);

/// One group.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupView {
    /// The members that are listed, with their rank and state.
    pub members: Vec<(usize, UpstreamId, MemberState)>,
}

impl GroupView {
    /// The listed leader and its state.
    pub fn leader(&self) -> Option<(&UpstreamId, MemberState)> {
        let mut leaders = self.members.iter().filter(|(rank, _, _)| *rank == 0);
        leaders.next().map(|(_, id, state)| (id, *state))
    }

    /// Whether `size` members are listed, each rank once.
    pub fn is_full(&self, size: usize) -> bool {
        let mut ranks: Vec<usize> = self.members.iter().map(|(rank, _, _)| *rank).collect();
        ranks.sort_unstable();
        ranks.into_iter().eq(0..size)
    }
}

/// Collects the groups of all listed upstreams.
pub(crate) fn collect_groups(
    tracks: &IndexMap<UpstreamId, UpstreamTrack>,
) -> IndexMap<GroupKey, GroupView> {
    let mut groups: IndexMap<GroupKey, GroupView> = IndexMap::new();
    for (id, track) in tracks.iter().filter(|(_, track)| track.is_listed) {
        let Some(membership) = &track.entry.membership else {
            continue;
        };
        let key = (membership.group.clone(), membership.epoch);
        let member = (membership.rank, id.clone(), membership.state);
        groups.entry(key).or_default().members.push(member);
    }
    groups
}

/// The name of a new group. It starts with the model, so that any coordinator can tell what an
/// incomplete group was meant to run.
pub(crate) fn group_name(model: &ModelName, epoch: u64) -> GroupId {
    GroupId::from(format!("{model}.{epoch}"))
}

/// The model that a group's name starts with.
pub(crate) fn group_model(group: &GroupId) -> ModelName {
    let text = group.as_str();
    ModelName::new(text.rsplit_once('.').map_or(text, |(model, _)| model))
}
