//! Computes the next record from the current one, as a pure function.

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::cost::spare_target;
use crate::options::{PlacementOptions, RepairPolicy};
use crate::quota::WantedModel;
use crate::record::{DomainRecord, GroupPhase, GroupRecord, ModelRef, VmSlot, VmUse};
use crate::repair::{evict_dead, repair_groups};
use crate::views::{ListingState, VmView};

/// Inputs of [`advance`] other than the record.
#[derive(Clone, Copy)]
pub struct AdvanceContext<'a> {
    /// The current time.
    pub now: Millis,
    /// The settings.
    pub options: &'a PlacementOptions,
    /// What is known about each VM.
    pub views: &'a IndexMap<VmId, VmView>,
    /// The models that the fabric domain should run; none before a bundle was adopted.
    pub wanted: Option<&'a [WantedModel]>,
    /// The roll that specifies the wanted models.
    pub roll: u64,
    /// Whether groups of old versions may be replaced in this fabric domain.
    pub may_replace: bool,
    /// Progress of each draining group.
    pub drains: &'a IndexMap<GroupId, DrainProgress>,
    /// Since when each model has had more groups than wanted.
    pub surplus_since: &'a IndexMap<ModelName, Millis>,
    /// Until when orders of an earlier coordinator may be in flight.
    pub handover_until: Millis,
    /// Whether so many VMs are unresponsive at once that the fabric domain, or the link to it, is
    /// lost.
    pub is_storm: bool,
}

/// Progress of a drain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DrainProgress {
    /// When the record first listed the group as draining.
    pub recorded_at: Millis,
    /// When the leader's reports first showed that it accepts no new requests. Until then, entry
    /// VMs with an outdated record may still treat the leader as ready.
    pub leader_stopped_at: Option<Millis>,
}

impl AdvanceContext<'_> {
    /// Whether a VM counts as dead. During a storm only VMs that the platform has delisted do.
    pub(crate) fn is_dead(&self, vm: &VmId) -> bool {
        match self.views.get(vm) {
            Some(view) if self.is_storm => view.listing == ListingState::Delisted,
            Some(view) => view.is_dead(self.now, self.options),
            None => false,
        }
    }

    /// Whether a member's engine reports that it is not in the group, as after a restart.
    pub(crate) fn has_left(&self, vm: &VmId, group: &GroupId) -> bool {
        let view = self.views.get(vm);
        let report =
            view.and_then(|view| view.settled_report(self.now, self.handover_until, self.options));
        report.is_some_and(|report| report.group.as_ref() != Some(group))
    }

    fn is_leaving(&self, vm: &VmId) -> bool {
        if is_on(Mutation::KeepLeavingGroup) {
            return false;
        }
        self.views
            .get(vm)
            .is_some_and(|view| view.listing == ListingState::Leaving)
    }

    /// Returns the free VMs that may join a group now, those with the weights of `model` in memory
    /// first.
    pub(crate) fn usable_vms(&self, record: &DomainRecord, model: Option<&ModelRef>) -> Vec<VmId> {
        let is_warm = |view: &VmView| {
            let report = view.last_report.as_ref().map(|(_, report)| report);
            let report_and_model = report.zip(model);
            report_and_model.is_some_and(|(report, model)| report.warm.contains(model))
        };
        let mut usable: Vec<(bool, &VmId)> = record
            .vms
            .iter()
            .filter(|(_, slot)| slot.usage == VmUse::Free)
            .filter_map(|(vm, _)| self.views.get(vm).map(|view| (vm, view)))
            .filter(|(_, view)| view.is_usable(self.now, self.handover_until, self.options))
            .map(|(vm, view)| (!is_warm(view), vm))
            .collect();
        usable.sort_by_key(|(is_cold, _)| *is_cold);
        usable.into_iter().map(|(_, vm)| vm.clone()).collect()
    }
}

/// Returns the next record, which equals `record` if nothing has to change.
///
/// Takes a few passes over the VMs and groups of the fabric domain.
pub fn advance(record: &DomainRecord, context: &AdvanceContext<'_>) -> DomainRecord {
    let mut next = record.clone();
    apply_listings(&mut next, context);
    free_evicted(&mut next, context);
    evict_dead(&mut next, context);
    advance_phases(&mut next, context);
    retire_leaving(&mut next, context);
    repair_groups(&mut next, context);
    if let Some(wanted) = context.wanted {
        retire_surplus(&mut next, context, wanted);
        form_missing(&mut next, context, wanted);
        replace_outdated(&mut next, context, wanted);
    }
    next
}

/// Removes delisted VMs from the record and adds newly listed ones.
fn apply_listings(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
    record.vms.retain(|vm, _| {
        let view = context.views.get(vm);
        view.is_none_or(|view| view.listing != ListingState::Delisted)
    });
    for (vm, view) in context.views {
        if view.listing != ListingState::Live || record.vms.contains_key(vm) {
            continue;
        }
        let slot = VmSlot {
            usage: VmUse::Free,
            addr: view.addr,
            accelerators: view.accelerators,
        };
        record.vms.insert(vm.clone(), slot);
    }
}

/// Frees evicted VMs whose engines report that they left the group.
fn free_evicted(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
    for (vm, slot) in &mut record.vms {
        let VmUse::Evicted(group) = &slot.usage else {
            continue;
        };
        if context.has_left(vm, group) || is_on(Mutation::FreeUnconfirmedVm) {
            slot.usage = VmUse::Free;
        }
    }
}

/// Moves groups to the next phase of their life cycle where the reports allow it.
fn advance_phases(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
    let ids: Vec<GroupId> = record.groups.keys().cloned().collect();
    for id in ids {
        match record.groups[&id].phase {
            GroupPhase::Forming if is_ready(record, context, &id) => {
                record.groups[&id].phase = GroupPhase::Serving;
            }
            GroupPhase::Draining if is_drained(record, context, &id) => {
                record.groups[&id].phase = GroupPhase::Releasing;
            }
            GroupPhase::Releasing => {
                let has_left = |vm: &VmId| context.has_left(vm, &id);
                let have_all_left = record.members(&id).all(|(vm, _)| has_left(vm));
                if have_all_left {
                    record.dissolve(&id);
                } else {
                    evict_dead_members(record, context, &id);
                }
            }
            _ => {}
        }
    }
}

/// Retires groups with a member that the platform is about to remove, even if there is no
/// replacement for them.
fn retire_leaving(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
    let leaving: Vec<GroupId> = record
        .groups
        .iter()
        .filter(|(_, group)| matches!(group.phase, GroupPhase::Forming | GroupPhase::Serving))
        .filter(|(id, _)| record.members(id).any(|(vm, _)| context.is_leaving(vm)))
        .map(|(id, _)| id.clone())
        .collect();
    for id in leaving {
        retire(record, &id);
    }
}

/// Evicts members that died while their group is being released, so that the group can be
/// dissolved without their reports.
fn evict_dead_members(record: &mut DomainRecord, context: &AdvanceContext<'_>, id: &GroupId) {
    let dead: Vec<VmId> = record
        .members(id)
        .filter(|(vm, _)| context.is_dead(vm))
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in dead {
        record.evict(&vm);
    }
}

/// Whether the group is complete and all members report that they are ready.
fn is_ready(record: &DomainRecord, context: &AdvanceContext<'_>, id: &GroupId) -> bool {
    let group = &record.groups[id];
    let is_member_ready = |vm: &VmId| {
        let report = context
            .views
            .get(vm)
            .and_then(|view| view.fresh_report(context.now, context.options));
        report.is_some_and(|report| {
            report.is_ready_in(id, group.epoch) && report.model.as_ref() == Some(&group.model)
        })
    };
    let checked_members = match is_on(Mutation::AcceptPartialGroup) {
        true => 1,
        false => usize::MAX,
    };
    let mut members = record.members(id).take(checked_members);
    record.is_full(id) && members.all(|(vm, _)| is_member_ready(vm))
}

/// Whether a draining group has no requests in flight, or has been draining for too long.
fn is_drained(record: &DomainRecord, context: &AdvanceContext<'_>, id: &GroupId) -> bool {
    let Some(progress) = context.drains.get(id) else {
        return false;
    };
    let elapsed = context.now.since(progress.recorded_at);
    if is_on(Mutation::ReleaseWithoutDrain) {
        return true;
    }
    if elapsed >= context.options.max_drain {
        return true;
    }
    let Some(leader_stopped_at) = progress.leader_stopped_at else {
        return false;
    };
    record.members(id).all(|(vm, _)| {
        let view = context.views.get(vm);
        let last_report = view.and_then(|view| view.last_report.as_ref());
        last_report.is_some_and(|(asked_at, report)| {
            // Before all entry VMs have stopped sending, a report without requests proves nothing.
            *asked_at >= leader_stopped_at + context.options.min_drain
                && report.running + report.queued == 0
        })
    })
}

/// Whether the group runs an old version that may be replaced now.
fn is_outdated(
    record: &DomainRecord,
    context: &AdvanceContext<'_>,
    id: &GroupId,
    wanted: &WantedModel,
) -> bool {
    let group = &record.groups[id];
    let is_old = group.model != wanted.model || group.size != wanted.size;
    is_old && context.may_replace
}

/// Returns the forming and serving groups of a model.
fn active_groups(record: &DomainRecord, name: &ModelName) -> Vec<GroupId> {
    record
        .groups
        .iter()
        .filter(|(_, group)| group.model.name == *name)
        .filter(|(_, group)| matches!(group.phase, GroupPhase::Forming | GroupPhase::Serving))
        .map(|(id, _)| id.clone())
        .collect()
}

/// Starts the removal of a group without aborting requests: a serving group drains first.
fn retire(record: &mut DomainRecord, id: &GroupId) {
    let group = &mut record.groups[id];
    group.phase = match group.phase {
        GroupPhase::Serving => GroupPhase::Draining,
        _ => GroupPhase::Releasing,
    };
}

/// Retires groups of models that are no longer wanted, and surplus groups of wanted models.
fn retire_surplus(record: &mut DomainRecord, context: &AdvanceContext<'_>, wanted: &[WantedModel]) {
    let names: Vec<ModelName> = record
        .groups
        .values()
        .map(|group| group.model.name.clone())
        .collect();
    let is_wanted = |name: &ModelName| wanted.iter().any(|want| want.model.name == *name);
    for name in names.iter().filter(|name| !is_wanted(name)) {
        for id in active_groups(record, name) {
            retire(record, &id);
        }
    }
    for want in wanted {
        let mut groups = active_groups(record, &want.model.name);
        let surplus = groups.len().saturating_sub(want.count as usize);
        let is_held = context
            .surplus_since
            .get(&want.model.name)
            .is_none_or(|since| context.now.since(*since) < context.options.surplus_hold);
        if surplus == 0 || is_held {
            continue;
        }
        // Retires groups that do not serve first, then outdated ones.
        groups.sort_by_key(|id| {
            let group = &record.groups[id];
            let is_current = !is_outdated(record, context, id, want);
            (group.phase == GroupPhase::Serving, is_current)
        });
        for id in groups.iter().take(surplus) {
            retire(record, id);
        }
    }
}

/// Forms groups of models that have fewer than wanted, as far as free VMs are not kept as spares.
fn form_missing(record: &mut DomainRecord, context: &AdvanceContext<'_>, wanted: &[WantedModel]) {
    let is_rebuild = context.options.policy == RepairPolicy::RebuildFirstFit;
    let most_urgent = wanted.iter().map(|want| want.priority).min().unwrap_or(0);
    for want in wanted {
        let spares = match is_rebuild || want.priority == most_urgent {
            true => 0,
            false => spare_target(
                context.options,
                record.vms.len() as u32,
                want.size,
                most_urgent,
                want.priority,
            ),
        };
        let existing = active_groups(record, &want.model.name).len() as u32;
        for _ in existing..want.count {
            let usable = context.usable_vms(record, Some(&want.model));
            if usable.len() < (want.size + spares) as usize {
                break;
            }
            form_group(record, context, want, &usable);
        }
    }
}

fn form_group(
    record: &mut DomainRecord,
    context: &AdvanceContext<'_>,
    want: &WantedModel,
    usable: &[VmId],
) {
    let group = GroupRecord {
        model: want.model.clone(),
        roll: context.roll,
        epoch: 1,
        size: want.size,
        priority: want.priority,
        phase: GroupPhase::Forming,
    };
    record.form(group, &usable[..want.size as usize]);
}

/// Replaces outdated groups one at a time. If there are enough free VMs, the new group forms before
/// the old one drains, otherwise after it.
fn replace_outdated(
    record: &mut DomainRecord,
    context: &AdvanceContext<'_>,
    wanted: &[WantedModel],
) {
    for want in wanted {
        let groups = active_groups(record, &want.model.name);
        for id in &groups {
            record.groups[id].priority = want.priority;
        }
        let (outdated, current): (Vec<GroupId>, Vec<GroupId>) = groups
            .into_iter()
            .partition(|id| is_outdated(record, context, id, want));
        let Some(oldest) = outdated.first() else {
            continue;
        };
        let is_busy = current
            .iter()
            .any(|id| record.groups[id].phase == GroupPhase::Forming)
            || record.groups.values().any(|group| {
                group.model.name == want.model.name
                    && matches!(group.phase, GroupPhase::Draining | GroupPhase::Releasing)
            });
        let is_serving = record.groups[oldest].phase == GroupPhase::Serving;
        if is_serving && is_busy {
            continue;
        }
        let has_overlap = outdated.len() + current.len() > want.count as usize;
        let usable = context.usable_vms(record, Some(&want.model));
        let has_room = usable.len() >= want.size as usize;
        if !has_overlap && has_room && is_serving && want.count > 0 {
            form_group(record, context, want, &usable);
        } else {
            retire(record, &oldest.clone());
        }
    }
}
