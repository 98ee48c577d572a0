//! The groups as shown by the directory entries.

use bergamot_ports::MemberState;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::upstream::UpstreamRecord;

/// Identifies one member list.
pub(crate) type GroupKey = (GroupId, u64);

/// One group.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupView {
    /// The listed members with their rank and state.
    pub members: Vec<(usize, UpstreamId, MemberState)>,
}

impl GroupView {
    /// Returns the listed leader and its state.
    pub fn leader(&self) -> Option<(&UpstreamId, MemberState)> {
        let mut leaders = self.members.iter().filter(|(rank, _, _)| *rank == 0);
        leaders.next().map(|(_, id, state)| (id, *state))
    }

    /// Whether `size` members are listed, with each rank exactly once.
    pub fn is_full(&self, size: usize) -> bool {
        let mut ranks: Vec<usize> = self.members.iter().map(|(rank, _, _)| *rank).collect();
        ranks.sort_unstable();
        ranks.into_iter().eq(0..size)
    }
}

/// Collects the groups of all listed upstreams.
pub(crate) fn collect_groups(
    records: &IndexMap<UpstreamId, UpstreamRecord>,
) -> IndexMap<GroupKey, GroupView> {
    let mut groups: IndexMap<GroupKey, GroupView> = IndexMap::new();
    for (id, record) in records.iter().filter(|(_, record)| record.is_listed) {
        let Some(membership) = &record.entry.membership else {
            continue;
        };
        let key = (membership.group.clone(), membership.epoch);
        let member = (membership.rank, id.clone(), membership.state);
        groups.entry(key).or_default().members.push(member);
    }
    groups
}

/// Returns the name of a new group. It starts with the model, so that any coordinator can tell
/// which model an incomplete group was meant to run.
pub(crate) fn group_name(model: &ModelName, epoch: u64) -> GroupId {
    GroupId::from(format!("{model}.{epoch}"))
}

/// Returns the model that a group's name starts with.
pub(crate) fn group_model(group: &GroupId) -> ModelName {
    let name = group.as_str();
    ModelName::new(name.rsplit_once('.').map_or(name, |(model, _)| model))
}
