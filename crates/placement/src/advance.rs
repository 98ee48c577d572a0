//! The next record, given what is known: one pure step from record to record.

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::cost::spare_target;
use crate::options::{PlacementOptions, RepairPolicy};
use crate::quota::WantedModel;
use crate::record::{DomainRecord, GroupPhase, GroupRecord, ModelRef, VmSlot, VmUse};
use crate::repair::{evict_dead, repair_groups};
use crate::views::{ListedState, VmView};

/// Everything the step looks at besides the record.
#[derive(Clone, Copy)]
pub struct AdvanceContext<'a> {
    /// The time.
    pub now: Millis,
    /// The settings.
    pub options: &'a PlacementOptions,
    /// What is known of each VM.
    pub views: &'a IndexMap<VmId, VmView>,
    /// What should run here; none before a bundle is in force.
    pub wanted: Option<&'a [WantedModel]>,
    /// The roll that wants it.
    pub roll: u64,
    /// Whether groups may be replaced by ones of a newer version here.
    pub may_replace: bool,
    /// Since when each draining group drains.
    pub draining_since: &'a IndexMap<GroupId, DrainTimes>,
    /// Since when there have been more groups of a model than wanted.
    pub surplus_since: &'a IndexMap<ModelName, Millis>,
    /// Until when orders of an earlier coordinator may still be on their way.
    pub quiet_until: Millis,
    /// Whether so much is silent at once that the fabric domain, or our link to it, is gone.
    pub is_storm: bool,
}

/// How far a drain has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DrainTimes {
    /// Since when the record says so.
    pub recorded: Millis,
    /// Since when the leader's own reports say so. Until then senders that lag behind the record
    /// may still take it for ready.
    pub obeyed: Option<Millis>,
}

impl AdvanceContext<'_> {
    /// Whether a VM counts as dead. In a storm only the platform's word counts.
    pub(crate) fn is_dead(&self, vm: &VmId) -> bool {
        match self.views.get(vm) {
            Some(view) if self.is_storm => view.listed == ListedState::Gone,
            Some(view) => view.is_dead(self.now, self.options),
            None => false,
        }
    }

    /// Whether a member's engine says that it is not in the group, as after a restart.
    pub(crate) fn has_dropped(&self, vm: &VmId, group: &GroupId) -> bool {
        let view = self.views.get(vm);
        let report =
            view.and_then(|view| view.settled_report(self.now, self.quiet_until, self.options));
        report.is_some_and(|report| report.group.as_ref() != Some(group))
    }

    fn is_leaving(&self, vm: &VmId) -> bool {
        if is_on(Mutation::KeepLeavingGroup) {
            return false;
        }
        self.views
            .get(vm)
            .is_some_and(|view| view.listed == ListedState::Leaving)
    }

    /// Free VMs that may enter a group now, those that hold `model` first.
    pub(crate) fn usable_vms(&self, record: &DomainRecord, model: Option<&ModelRef>) -> Vec<VmId> {
        let holds = |view: &VmView| {
            let report = view.report.as_ref().map(|(_, report)| report);
            let warm = report.zip(model);
            warm.is_some_and(|(report, model)| report.warm.contains(model))
        };
        let mut usable: Vec<(bool, &VmId)> = record
            .vms
            .iter()
            .filter(|(_, slot)| slot.usage == VmUse::Free)
            .filter_map(|(vm, _)| self.views.get(vm).map(|view| (vm, view)))
            .filter(|(_, view)| view.is_usable(self.now, self.quiet_until, self.options))
            .map(|(vm, view)| (!holds(view), vm))
            .collect();
        usable.sort_by_key(|(is_cold, _)| *is_cold);
        usable.into_iter().map(|(_, vm)| vm.clone()).collect()
    }
}

/// The record as it should be next. Equal to `record` when nothing is to be done.
///
/// Costs a few passes over the VMs and groups of one fabric domain.
pub fn advance(record: &DomainRecord, context: &AdvanceContext<'_>) -> DomainRecord {
    let mut next = record.clone();
    follow_list(&mut next, context);
    free_evicted(&mut next, context);
    evict_dead(&mut next, context);
    move_phases(&mut next, context);
    drain_leaving(&mut next, context);
    repair_groups(&mut next, context);
    if let Some(wanted) = context.wanted {
        release_unwanted(&mut next, context, wanted);
        form_missing(&mut next, context, wanted);
        replace_old(&mut next, context, wanted);
    }
    next
}

fn follow_list(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
    record.vms.retain(|vm, _| {
        let view = context.views.get(vm);
        view.is_none_or(|view| view.listed != ListedState::Gone)
    });
    for (vm, view) in context.views {
        if view.listed != ListedState::Live || record.vms.contains_key(vm) {
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

fn free_evicted(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
    for (vm, slot) in &mut record.vms {
        let VmUse::Evicted(group) = &slot.usage else {
            continue;
        };
        if context.has_dropped(vm, group) || is_on(Mutation::FreeUnconfirmedVm) {
            slot.usage = VmUse::Free;
        }
    }
}

fn move_phases(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
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
                let is_out = |vm: &VmId| context.has_dropped(vm, &id);
                let all_out = record.members(&id).all(|(vm, _)| is_out(vm));
                if all_out {
                    record.dissolve(&id);
                } else {
                    evict_silent(record, context, &id);
                }
            }
            _ => {}
        }
    }
}

/// A group with a member that the platform takes away gets no new work, replacement or not.
fn drain_leaving(record: &mut DomainRecord, context: &AdvanceContext<'_>) {
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

/// A member that died while its group was released must not hold the others back.
fn evict_silent(record: &mut DomainRecord, context: &AdvanceContext<'_>, id: &GroupId) {
    let silent: Vec<VmId> = record
        .members(id)
        .filter(|(vm, _)| context.is_dead(vm))
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in silent {
        record.evict(&vm);
    }
}

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
    let asked_members = match is_on(Mutation::AcceptPartialGroup) {
        true => 1,
        false => usize::MAX,
    };
    let mut members = record.members(id).take(asked_members);
    record.is_full(id) && members.all(|(vm, _)| is_member_ready(vm))
}

fn is_drained(record: &DomainRecord, context: &AdvanceContext<'_>, id: &GroupId) -> bool {
    let Some(since) = context.draining_since.get(id) else {
        return false;
    };
    let waited = context.now.since(since.recorded);
    if is_on(Mutation::ReleaseWithoutDrain) {
        return true;
    }
    if waited >= context.options.max_drain {
        return true;
    }
    let Some(obeyed) = since.obeyed else {
        return false;
    };
    record.members(id).all(|(vm, _)| {
        let view = context.views.get(vm);
        let report = view.and_then(|view| view.report.as_ref());
        report.is_some_and(|(asked, report)| {
            // Only a report asked for after everyone stopped sending says anything.
            *asked >= obeyed + context.options.min_drain && report.running + report.queued == 0
        })
    })
}

/// Whether a group should make way for one of a newer version.
fn is_condemned(
    record: &DomainRecord,
    context: &AdvanceContext<'_>,
    id: &GroupId,
    wanted: &WantedModel,
) -> bool {
    let group = &record.groups[id];
    let is_old = group.model != wanted.model || group.size != wanted.size;
    is_old && context.may_replace
}

fn groups_of(record: &DomainRecord, name: &ModelName) -> Vec<GroupId> {
    record
        .groups
        .iter()
        .filter(|(_, group)| group.model.name == *name)
        .filter(|(_, group)| matches!(group.phase, GroupPhase::Forming | GroupPhase::Serving))
        .map(|(id, _)| id.clone())
        .collect()
}

/// Ends a group in the way that cuts nothing: serving ones drain first.
fn retire(record: &mut DomainRecord, id: &GroupId) {
    let group = &mut record.groups[id];
    group.phase = match group.phase {
        GroupPhase::Serving => GroupPhase::Draining,
        _ => GroupPhase::Releasing,
    };
}

fn release_unwanted(
    record: &mut DomainRecord,
    context: &AdvanceContext<'_>,
    wanted: &[WantedModel],
) {
    let names: Vec<ModelName> = record
        .groups
        .values()
        .map(|group| group.model.name.clone())
        .collect();
    let is_wanted = |name: &ModelName| wanted.iter().any(|want| want.model.name == *name);
    for name in names.iter().filter(|name| !is_wanted(name)) {
        for id in groups_of(record, name) {
            retire(record, &id);
        }
    }
    for want in wanted {
        let mut groups = groups_of(record, &want.model.name);
        let surplus = groups.len().saturating_sub(want.count as usize);
        let is_held = context
            .surplus_since
            .get(&want.model.name)
            .is_none_or(|since| context.now.since(*since) < context.options.surplus_hold);
        if surplus == 0 || is_held {
            continue;
        }
        // Groups that do not serve go first, then condemned ones, then the newest.
        groups.sort_by_key(|id| {
            let group = &record.groups[id];
            let is_kept = !is_condemned(record, context, id, want);
            (group.phase == GroupPhase::Serving, is_kept)
        });
        for id in groups.iter().take(surplus) {
            retire(record, id);
        }
    }
}

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
        let have = groups_of(record, &want.model.name).len() as u32;
        for _ in have..want.count {
            let usable = context.usable_vms(record, Some(&want.model));
            if usable.len() < (want.size + spares) as usize {
                break;
            }
            form(record, context, want, &usable);
        }
    }
}

fn form(
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

/// Replaces condemned groups one at a time: beside the old one where there is room, else after it.
fn replace_old(record: &mut DomainRecord, context: &AdvanceContext<'_>, wanted: &[WantedModel]) {
    for want in wanted {
        let groups = groups_of(record, &want.model.name);
        for id in &groups {
            record.groups[id].priority = want.priority;
        }
        let (condemned, good): (Vec<GroupId>, Vec<GroupId>) = groups
            .into_iter()
            .partition(|id| is_condemned(record, context, id, want));
        let Some(oldest) = condemned.first() else {
            continue;
        };
        let is_busy = good
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
        let has_overlap = condemned.len() + good.len() > want.count as usize;
        let usable = context.usable_vms(record, Some(&want.model));
        let has_room = usable.len() >= want.size as usize;
        if !has_overlap && has_room && is_serving && want.count > 0 {
            form(record, context, want, &usable);
        } else {
            retire(record, &oldest.clone());
        }
    }
}
