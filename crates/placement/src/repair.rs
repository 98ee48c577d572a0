//! Repairs groups that lack members.

use bergamot_types::prelude::*;

use crate::advance::AdvanceContext;
use crate::cost::{TransferContext, transfer_gain};
use crate::options::RepairPolicy;
use crate::record::{DomainRecord, GroupPhase};

/// Evicts dead members, and takes groups that lost a member out of service.
pub(crate) fn evict_dead(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
    let ids: Vec<GroupId> = record.groups.keys().cloned().collect();
    for id in ids {
        let group = &record.groups[&id];
        if group.phase == GroupPhase::Releasing {
            continue;
        }
        let dead: Vec<VmId> = record
            .members(&id)
            .filter(|(vm, _)| context.is_dead(vm))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in &dead {
            record.evict(vm);
        }
        let is_incomplete = record.members(&id).count() < group_size(record, &id);
        let has_member_left = record.members(&id).any(|(vm, _)| context.has_left(vm, &id));
        let group = &mut record.groups[&id];
        match group.phase {
            // The requests in flight failed with the lost member, so no drain is needed.
            GroupPhase::Draining if is_incomplete => group.phase = GroupPhase::Releasing,
            GroupPhase::Serving if is_incomplete || has_member_left => {
                group.phase = GroupPhase::Forming;
                group.epoch += 1;
            }
            GroupPhase::Forming if !dead.is_empty() => group.epoch += 1,
            _ => {}
        }
    }
}

fn group_size(record: &DomainRecord, id: &GroupId) -> usize {
    record.groups[id].size as usize
}

/// Fills up broken groups, most urgent first.
pub(crate) fn repair_groups(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
    let mut broken: Vec<GroupId> = record
        .groups
        .iter()
        .filter(|(id, group)| group.phase == GroupPhase::Forming && !record.is_full(id))
        .map(|(id, _)| id.clone())
        .collect();
    // Among groups of equal priority, those that lack the fewest members serve again soonest.
    broken.sort_by_key(|id| (record.groups[id].priority, missing_members(record, id)));
    if context.options.policy == RepairPolicy::RebuildFirstFit {
        for id in broken {
            record.groups[&id].phase = GroupPhase::Releasing;
        }
        return;
    }
    for (index, id) in broken.iter().enumerate() {
        if fill_from_spares(record, context, id) {
            continue;
        }
        let is_release_underway = record
            .groups
            .iter()
            .any(|(_, group)| matches!(group.phase, GroupPhase::Draining | GroupPhase::Releasing));
        if is_release_underway {
            // Other VMs will be free soon.
            return;
        }
        // Packing: the last broken group with enough members gives them to the first one.
        let broken_donor = broken[index + 1..]
            .iter()
            .rev()
            .find(|donor| member_count(record, donor) >= missing_members(record, id) as usize);
        if let Some(donor) = broken_donor {
            record.groups[donor].phase = GroupPhase::Releasing;
            return;
        }
        if let Some(donor) = healthy_donor(record, context, id) {
            record.groups[&donor].phase = GroupPhase::Draining;
            return;
        }
    }
}

fn member_count(record: &DomainRecord, id: &GroupId) -> usize {
    record.members(id).count()
}

fn missing_members(record: &DomainRecord, id: &GroupId) -> u32 {
    record.groups[id].size - member_count(record, id) as u32
}

/// Fills up a group from free VMs. Returns false if there are too few of them.
fn fill_from_spares(record: &mut DomainRecord, context: &AdvanceContext<'_>, id: &GroupId) -> bool {
    let missing = missing_members(record, id) as usize;
    let model = record.groups[id].model.clone();
    let spares = context.usable_vms(record, Some(&model));
    if spares.len() < missing {
        return false;
    }
    record.add_members(id, &spares[..missing]);
    record.groups[id].epoch += 1;
    true
}

/// Returns the less urgent healthy group whose VMs gain the most in the broken group, if any gain.
fn healthy_donor(
    record: &DomainRecord,
    context: &AdvanceContext<'_>,
    broken: &GroupId,
) -> Option<GroupId> {
    let missing = missing_members(record, broken);
    let priority = record.groups[broken].priority;
    let gain = |donor: &GroupId| {
        let group = &record.groups[donor];
        let transfer = TransferContext {
            broken_priority: priority,
            broken_alive: member_count(record, broken) as u32,
            broken_missing: missing,
            donor_priority: group.priority,
            donor_size: group.size,
        };
        transfer_gain(context.options, &transfer)
    };
    record
        .groups
        .iter()
        .filter(|(_, group)| group.phase == GroupPhase::Serving)
        .filter(|(_, group)| group.priority > priority && group.size >= missing)
        .map(|(id, _)| (gain(id), id))
        .filter(|(gain, _)| *gain > 0.0)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, id)| id.clone())
}
