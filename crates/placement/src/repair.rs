//! What to do about groups that lack members.

use bergamot_types::prelude::*;

use crate::advance::AdvanceContext;
use crate::cost::{StealContext, steal_gain};
use crate::options::RepairPolicy;
use crate::record::{DomainRecord, GroupPhase};

/// Takes dead members out of groups and groups that lost one out of service.
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
        let is_short = record.members(&id).count() < group_size(record, &id);
        let has_dropped = record
            .members(&id)
            .any(|(vm, _)| context.has_dropped(vm, &id));
        let group = &mut record.groups[&id];
        match group.phase {
            // What was in flight died with the member, so there is nothing to drain for.
            GroupPhase::Draining if is_short => group.phase = GroupPhase::Releasing,
            GroupPhase::Serving if is_short || has_dropped => {
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

/// Gives broken groups what they lack, most urgent first.
pub(crate) fn repair_groups(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
    let mut broken: Vec<GroupId> = record
        .groups
        .iter()
        .filter(|(id, group)| group.phase == GroupPhase::Forming && !record.is_full(id))
        .map(|(id, _)| id.clone())
        .collect();
    // Groups that lack the fewest come first among equals: they are up again soonest.
    broken.sort_by_key(|id| (record.groups[id].priority, missing(record, id)));
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
        let is_helped = record
            .groups
            .iter()
            .any(|(_, group)| matches!(group.phase, GroupPhase::Draining | GroupPhase::Releasing));
        if is_helped {
            // VMs are on their way to the pool already.
            return;
        }
        // Packing: the last of the broken groups gives its members to the first ones.
        let packed = broken[index + 1..]
            .iter()
            .rev()
            .find(|donor| alive(record, donor) >= missing(record, id) as usize);
        if let Some(donor) = packed {
            record.groups[donor].phase = GroupPhase::Releasing;
            return;
        }
        if let Some(donor) = healthy_donor(record, context, id) {
            record.groups[&donor].phase = GroupPhase::Draining;
            return;
        }
    }
}

fn alive(record: &DomainRecord, id: &GroupId) -> usize {
    record.members(id).count()
}

fn missing(record: &DomainRecord, id: &GroupId) -> u32 {
    record.groups[id].size - alive(record, id) as u32
}

fn fill_from_spares(record: &mut DomainRecord, context: &AdvanceContext<'_>, id: &GroupId) -> bool {
    let need = missing(record, id) as usize;
    let model = record.groups[id].model.clone();
    let spares = context.usable_vms(record, Some(&model));
    if spares.len() < need {
        return false;
    }
    record.add_members(id, &spares[..need]);
    record.groups[id].epoch += 1;
    true
}

/// The healthy group whose VMs are worth more in the broken one, if any is.
fn healthy_donor(
    record: &DomainRecord,
    context: &AdvanceContext<'_>,
    broken: &GroupId,
) -> Option<GroupId> {
    let need = missing(record, broken);
    let priority = record.groups[broken].priority;
    let gain = |donor: &GroupId| {
        let group = &record.groups[donor];
        let steal = StealContext {
            broken_priority: priority,
            broken_alive: alive(record, broken) as u32,
            broken_missing: need,
            donor_priority: group.priority,
            donor_size: group.size,
        };
        steal_gain(context.options, &steal)
    };
    record
        .groups
        .iter()
        .filter(|(_, group)| group.phase == GroupPhase::Serving)
        .filter(|(_, group)| group.priority > priority && group.size >= need)
        .map(|(id, _)| (gain(id), id))
        .filter(|(gain, _)| *gain > 0.0)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, id)| id.clone())
}
