//! Whether a group may be sent requests.

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::record::{DomainRecord, GroupPhase};
use crate::report::EngineReport;

/// What speaks for a group being whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct GroupEvidence {
    /// When the oldest of its members' reports was asked for.
    pub oldest_at: Millis,
    /// Requests its leader reported as running.
    pub running: u32,
    /// Requests its leader reported as queued.
    pub queued: u32,
}

/// The evidence that every member of a serving group is ready in the group's own epoch.
///
/// None when the record does not say serving, a member is missing, or any report differs.
pub fn group_evidence(
    record: &DomainRecord,
    id: &GroupId,
    reports: &IndexMap<VmId, (Millis, EngineReport)>,
) -> Option<GroupEvidence> {
    let group = record.groups.get(id)?;
    if group.phase != GroupPhase::Serving || !record.is_full(id) {
        return None;
    }
    let mut evidence: Option<GroupEvidence> = None;
    let asked_members = match is_on(Mutation::AcceptPartialGroup) {
        true => 1,
        false => usize::MAX,
    };
    for (vm, _) in record.members(id).take(asked_members) {
        let (asked, report) = reports.get(vm)?;
        if !report.is_ready_in(id, group.epoch) || report.model.as_ref() != Some(&group.model) {
            return None;
        }
        match evidence.as_mut() {
            Some(evidence) => evidence.oldest_at = evidence.oldest_at.min(*asked),
            None => {
                evidence = Some(GroupEvidence {
                    oldest_at: *asked,
                    running: report.running,
                    queued: report.queued,
                });
            }
        }
    }
    evidence
}
