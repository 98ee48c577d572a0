//! Derives the orders that bring engines into line with the record.

use bergamot_types::prelude::*;

use crate::advance::AdvanceContext;
use crate::record::{DomainRecord, GroupPhase, ModelRef, VmUse};
use crate::report::{EnginePhase, EngineReport, OrderKind, VmOrder};

/// Returns the orders that are due now, at most one per VM, those for the most urgent groups first.
pub fn due_orders(
    record: &DomainRecord,
    context: &AdvanceContext<'_>,
    term: u64,
) -> Vec<(VmId, VmOrder)> {
    let mut orders = Vec::new();
    for (vm, slot) in &record.vms {
        let report = context
            .views
            .get(vm)
            .and_then(|view| view.fresh_report(context.now, context.options));
        let Some(report) = report else {
            continue;
        };
        let order = match &slot.usage {
            VmUse::Member(group) if must_join_last(record, context, vm, group, report) => None,
            VmUse::Member(group) => member_order(record, group, report, term),
            VmUse::Evicted(_) | VmUse::Free => leave_order(report, term),
        };
        orders.extend(order.map(|order| (vm.clone(), order)));
    }
    limit_loads(record, context, &mut orders);
    if context.options.warm_spares {
        order_warm_up(record, context, term, &mut orders);
    }
    orders
}

/// Whether the VM is a leader that must not join before the other members are ready.
///
/// For as long as evidence is valid, requests for the VM's previous group may still arrive, and an
/// engine may accept them for the new group. A leader that holds the weights in memory would be
/// ready at once, before the other members, and therefore joins last. A leader that must load the
/// weights takes longer than any such request.
fn must_join_last(
    record: &DomainRecord,
    context: &AdvanceContext<'_>,
    vm: &VmId,
    id: &GroupId,
    report: &EngineReport,
) -> bool {
    let Some(group) = record.groups.get(id) else {
        return false;
    };
    let is_leader = record.leader(id).is_some_and(|(leader, _)| leader == vm);
    let is_warm = report.warm.contains(&group.model);
    let is_ready = |member: &VmId| {
        let view = context.views.get(member);
        let report = view.and_then(|view| view.fresh_report(context.now, context.options));
        report.is_some_and(|report| report.is_ready_in(id, group.epoch))
    };
    let mut others = record.members(id).filter(|(member, _)| *member != vm);
    let is_joining = group.phase == GroupPhase::Forming && !report.is_in(id, group.epoch);
    is_joining && is_leader && is_warm && !others.all(|(member, _)| is_ready(member))
}

/// Returns the order that a member of the group needs, if any.
fn member_order(
    record: &DomainRecord,
    id: &GroupId,
    report: &EngineReport,
    term: u64,
) -> Option<VmOrder> {
    let group = record.groups.get(id)?;
    let is_in_other_group = report.group.as_ref().is_some_and(|other| other != id);
    if is_in_other_group {
        return leave_order(report, term);
    }
    let has_joined = report.group.is_some();
    let kind = match group.phase {
        GroupPhase::Forming if record.is_full(id) && !report.is_in(id, group.epoch) => {
            OrderKind::Join {
                model: group.model.clone(),
                members: record.members(id).map(|(vm, _)| vm.clone()).collect(),
            }
        }
        GroupPhase::Draining if has_joined && report.phase != EnginePhase::Draining => {
            OrderKind::Drain
        }
        GroupPhase::Releasing if has_joined => OrderKind::Leave,
        _ => return None,
    };
    Some(VmOrder {
        group: Some(id.clone()),
        epoch: group.epoch,
        term,
        kind,
    })
}

/// Returns the order to leave the group that the engine reports, if it reports one.
fn leave_order(report: &EngineReport, term: u64) -> Option<VmOrder> {
    let group = report.group.clone()?;
    Some(VmOrder {
        group: Some(group),
        epoch: report.epoch,
        term,
        kind: OrderKind::Leave,
    })
}

/// Removes join orders that would let more VMs load weights at once than the weight store can
/// serve. Sorts the orders by the priority of their groups.
fn limit_loads(
    record: &DomainRecord,
    context: &AdvanceContext<'_>,
    orders: &mut Vec<(VmId, VmOrder)>,
) {
    let is_loading = |vm: &VmId| {
        let view = context.views.get(vm);
        let report = view.and_then(|view| view.last_report.as_ref());
        report.is_some_and(|(_, report)| report.phase == EnginePhase::Loading)
    };
    let loading = record.vms.keys().filter(|vm| is_loading(vm)).count();
    let mut free_loads = context.options.parallel_loads.saturating_sub(loading);
    let priority = |order: &VmOrder| {
        let group = order.group.as_ref().and_then(|id| record.groups.get(id));
        group.map_or(0, |group| group.priority)
    };
    orders.sort_by_key(|(_, order)| priority(order));
    let mut started_groups: Vec<GroupId> = Vec::new();
    orders.retain(|(vm, order)| {
        let OrderKind::Join { model, .. } = &order.kind else {
            return true;
        };
        let view = context.views.get(vm);
        let report = view.and_then(|view| view.last_report.as_ref());
        let is_warm = report.is_some_and(|(_, report)| report.warm.contains(model));
        if is_warm {
            return true;
        }
        // Once one member of a group may load, all may. Otherwise the loaded members would idle.
        let group = order.group.clone().unwrap_or_default();
        let may_load = free_loads > 0 || started_groups.contains(&group);
        if may_load {
            free_loads = free_loads.saturating_sub(1);
            started_groups.push(group);
        }
        may_load
    });
}

/// Orders an idle VM to load the weights that the next repair most likely needs.
fn order_warm_up(
    record: &DomainRecord,
    context: &AdvanceContext<'_>,
    term: u64,
    orders: &mut Vec<(VmId, VmOrder)>,
) {
    let is_forming = record
        .groups
        .values()
        .any(|group| group.phase == GroupPhase::Forming);
    let models = models_by_vm_count(record);
    if is_forming || models.is_empty() {
        return;
    }
    let free_vms = context.usable_vms(record, None);
    for (index, vm) in free_vms.iter().enumerate() {
        let Some(model) = next_warm_model(context, vm, index, &models) else {
            continue;
        };
        let order = VmOrder {
            group: None,
            epoch: 0,
            term,
            kind: OrderKind::Warm {
                model: model.clone(),
            },
        };
        orders.push((vm.clone(), order));
        // Only one spare loads at a time, so that repairs never wait for spares.
        return;
    }
}

/// Returns the first model that the spare at `index` should hold but does not. Each spare starts at
/// a different model, so that together they cover as many models as possible.
fn next_warm_model<'a>(
    context: &AdvanceContext<'_>,
    vm: &VmId,
    index: usize,
    models: &'a [ModelRef],
) -> Option<&'a ModelRef> {
    let (_, report) = context.views.get(vm)?.last_report.as_ref()?;
    if report.phase != EnginePhase::Idle {
        return None;
    }
    let models_per_spare = context.options.models_per_spare.min(models.len());
    (0..models_per_spare)
        .map(|step| &models[(index * models_per_spare + step) % models.len()])
        .find(|model| !report.warm.contains(model))
}

/// Returns the models of serving groups, those that run on the most VMs first.
fn models_by_vm_count(record: &DomainRecord) -> Vec<ModelRef> {
    let mut vm_counts: Vec<(u32, ModelRef)> = Vec::new();
    for group in record.groups.values() {
        if group.phase != GroupPhase::Serving {
            continue;
        }
        match vm_counts
            .iter_mut()
            .find(|(_, model)| *model == group.model)
        {
            Some((vms, _)) => *vms += group.size,
            None => vm_counts.push((group.size, group.model.clone())),
        }
    }
    vm_counts.sort_by_key(|(vms, _)| std::cmp::Reverse(*vms));
    vm_counts.into_iter().map(|(_, model)| model).collect()
}
