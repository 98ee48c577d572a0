//! Decides whether requests may be sent to a group.

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::record::{DomainRecord, GroupPhase};
use crate::report::EngineReport;

/// Evidence that a group is complete and ready.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct GroupEvidence {
    /// When the oldest of the members' reports was asked for.
    pub oldest_at: Millis,
    /// Number of requests that the leader reported as running.
    pub running: u32,
    /// Number of requests that the leader reported as queued.
    pub queued: u32,
}

/// Returns the evidence that every member of a serving group is ready in the group's epoch.
///
/// Returns none if the record does not list the group as serving, if a member is missing, or if a
/// member's report is missing or contradicts the record.
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
    let checked_members = match is_on(Mutation::AcceptPartialGroup) {
        true => 1,
        false => usize::MAX,
    };
    for (vm, _) in record.members(id).take(checked_members) {
        let (asked_at, report) = reports.get(vm)?;
        if !report.is_ready_in(id, group.epoch) || report.model.as_ref() != Some(&group.model) {
            return None;
        }
        match evidence.as_mut() {
            Some(evidence) => evidence.oldest_at = evidence.oldest_at.min(*asked_at),
            None => {
                evidence = Some(GroupEvidence {
                    oldest_at: *asked_at,
                    running: report.running,
                    queued: report.queued,
                });
            }
        }
    }
    evidence
}
