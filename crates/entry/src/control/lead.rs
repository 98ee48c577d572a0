//! Selects coordinators of fabric domains and distributes the wanted replicas.

use bergamot_bundle::stage::StageHealth;
use bergamot_bundle::{GateOutcome, StageGate};
use bergamot_placement::quota::model_ref;
use bergamot_placement::{
    DomainCapacity, GroupPhase, PlacementAction, PlacementEvent, PlacementState, VmListing,
    WantedModel, distribute_replicas,
};
use bergamot_platform::{VmKind, VmState};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use super::event::ControlAction;
use super::keys::group_key;
use super::state::{ControlState, log_line};

impl ControlState {
    pub(super) fn forward_vm_list(&mut self, now: Millis) {
        for (fabric, placement) in &mut self.placements {
            let listings = self
                .vms
                .values()
                .filter(|fact| fact.kind == VmKind::Engine && fact.fabric_domain == *fabric)
                .map(|fact| VmListing {
                    vm: fact.vm.clone(),
                    is_leaving: fact.state == VmState::Leaving,
                    addr: fact.addr,
                    accelerators: fact.accelerators,
                })
                .collect();
            placement.handle(now, PlacementEvent::Listed(listings));
        }
    }

    /// Decides which fabric domains this VM coordinates. The trusted member of the failure domain
    /// that rendezvous hashing ranks first coordinates a fabric domain.
    pub(super) fn choose_coordinators(&mut self, now: Millis) {
        let trusted_members: Vec<String> = self
            .roster
            .trusted_in_domain()
            .map(|member| member.entry.to_string())
            .collect();
        let me = self.me().clone();
        let is_member = self.roster.is_member();
        let home_fabrics: Vec<FabricDomain> = self
            .vms
            .values()
            .filter(|fact| fact.failure_domain == me.failure_domain)
            .map(|fact| fact.fabric_domain.clone())
            .collect();
        for (fabric, placement) in &mut self.placements {
            let key = hash_bytes(fabric.as_str().as_bytes());
            let is_home = home_fabrics.contains(fabric);
            let coordinator = rendezvous_rank(key, &trusted_members).into_iter().next();
            let is_coordinator =
                is_home && is_member && coordinator.is_some_and(|entry| entry == me.entry.as_str());
            placement.handle(now, PlacementEvent::Lead(is_coordinator));
        }
    }

    /// Distributes the wanted replicas over the fabric domains and passes each its share.
    pub(super) fn distribute_wanted(&mut self, now: Millis) {
        let Some(active_bundle) = self.active_bundle().cloned() else {
            return;
        };
        let capacities = self.capacities(now);
        let shares = distribute_replicas(&active_bundle.document.models, &capacities);
        self.track_forming_groups(now);
        let health = self.stage_health(now, &shares);
        let gate = StageGate::default();
        let mut stop_reason = None;
        for (fabric, models) in shares {
            let Some(placement) = self.placements.get_mut(&fabric) else {
                continue;
            };
            let domain = placement_domain(placement);
            let outcome = domain.map(|domain| gate.outcome(&domain, &health));
            if let Some(GateOutcome::Stopped(by)) = &outcome {
                stop_reason = Some(format!("stopped by {by}"));
            }
            let event = PlacementEvent::Wanted {
                roll: active_bundle.record.number,
                models,
                may_replace: matches!(outcome, None | Some(GateOutcome::Open)),
            };
            placement.handle(now, event);
        }
        if stop_reason.is_some() && stop_reason != self.roll_stop_reason {
            log::warn!(
                "event=roll_stopped number={} gate={:?}",
                active_bundle.record.number,
                stop_reason
            );
        }
        self.roll_stop_reason = stop_reason;
    }

    fn capacities(&self, now: Millis) -> IndexMap<FabricDomain, DomainCapacity> {
        let mut capacities: IndexMap<FabricDomain, DomainCapacity> = IndexMap::new();
        for fact in self.vms.values() {
            if fact.kind == VmKind::Engine && fact.state == VmState::Live {
                let capacity = capacities.entry(fact.fabric_domain.clone()).or_default();
                capacity.vms += 1;
            }
        }
        for (fabric, capacity) in &mut capacities {
            let Some(placement) = self.placements.get(fabric) else {
                continue;
            };
            capacity.is_lost = placement.is_storm(now);
            let Some(record) = placement.record() else {
                continue;
            };
            for group in record.groups.values() {
                if matches!(group.phase, GroupPhase::Forming | GroupPhase::Serving) {
                    *capacity.groups.entry(group.model.name.clone()).or_default() += 1;
                }
            }
        }
        capacities.sort_keys();
        capacities
    }

    fn track_forming_groups(&mut self, now: Millis) {
        let forming: Vec<GroupId> = self
            .placements
            .values()
            .filter_map(|placement| placement.record())
            .flat_map(|record| &record.groups)
            .filter(|(_, group)| group.phase == GroupPhase::Forming)
            .map(|(id, _)| id.clone())
            .collect();
        self.forming_since.retain(|id, _| forming.contains(id));
        for id in forming {
            self.forming_since.entry(id).or_insert(now);
        }
    }

    fn stage_health(
        &self,
        now: Millis,
        shares: &IndexMap<FabricDomain, Vec<WantedModel>>,
    ) -> IndexMap<FailureDomain, StageHealth> {
        let mut health: IndexMap<FailureDomain, StageHealth> = IndexMap::new();
        let Some(active_bundle) = self.active_bundle() else {
            return health;
        };
        let is_current = |model: &bergamot_placement::ModelRef| {
            let models = active_bundle.document.models.iter();
            models.map(model_ref).any(|current| current == *model)
        };
        for (fabric, models) in shares {
            let Some(record) = self.placements.get(fabric).and_then(|p| p.record()) else {
                continue;
            };
            let stage = health.entry(record.failure_domain.clone()).or_default();
            stage.wanted += models.iter().map(|want| want.count).sum::<u32>();
            for (id, group) in &record.groups {
                if !is_current(&group.model) {
                    continue;
                }
                let is_late = self
                    .forming_since
                    .get(id)
                    .is_some_and(|since| now.since(*since) > self.options.gate_timeout);
                stage.serving_new += u32::from(group.phase == GroupPhase::Serving);
                stage.failed_new += u32::from(is_late && record.is_full(id));
            }
        }
        health.sort_keys();
        health
    }

    pub(super) fn tick_placements(&mut self, now: Millis, actions: &mut Vec<ControlAction>) {
        let mut wanted = Vec::new();
        for (fabric, placement) in &mut self.placements {
            for action in placement.handle(now, PlacementEvent::Tick) {
                wanted.push((fabric.clone(), action));
            }
        }
        for (fabric, action) in wanted {
            self.apply_placement_action(&fabric, action, actions);
        }
    }

    fn apply_placement_action(
        &self,
        fabric: &FabricDomain,
        action: PlacementAction,
        actions: &mut Vec<ControlAction>,
    ) {
        match action {
            PlacementAction::Read => {
                actions.extend(self.key_of(fabric).map(ControlAction::Read));
            }
            PlacementAction::Swap { record, expected } => {
                let Ok(value) = serde_json::to_vec(&record) else {
                    return;
                };
                actions.push(ControlAction::Swap {
                    key: group_key(&record.failure_domain, fabric),
                    expected,
                    value,
                    nonce: record.nonce,
                });
            }
            PlacementAction::Order { vm, order } => {
                let Some(target) = self.target(&vm) else {
                    return;
                };
                actions.push(log_line(format!(
                    "event=order_sent vm={vm} group={} epoch={} term={} kind={}",
                    order.group.as_ref().map_or("-", |id| id.as_str()),
                    order.epoch,
                    order.term,
                    order_name(&order.kind),
                )));
                actions.push(ControlAction::Order { target, order });
            }
        }
    }
}

fn order_name(kind: &bergamot_placement::OrderKind) -> &'static str {
    use bergamot_placement::OrderKind;
    match kind {
        OrderKind::Join { .. } => "join",
        OrderKind::Drain => "drain",
        OrderKind::Leave => "leave",
        OrderKind::Warm { .. } => "warm",
    }
}

fn placement_domain(placement: &PlacementState) -> Option<FailureDomain> {
    placement
        .record()
        .map(|record| record.failure_domain.clone())
}
