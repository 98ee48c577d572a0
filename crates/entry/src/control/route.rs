//! Publishes the route snapshot for callers' requests and dumps groups for operators.

use std::sync::Arc;

use bergamot_peer::DemandFact;
use bergamot_placement::{DomainRecord, GroupPhase, GroupRecord, PlacementState};
use bergamot_platform::{VmKind, VmState};
use bergamot_routing::UpstreamFact;
use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use super::event::ControlAction;
use super::state::ControlState;
use crate::route_view::{GroupRoute, RouteView};

/// Maximum age of a peer's offer to lend part of a limit.
const LOAN_OFFER_MAX_AGE: Millis = Millis(5_000);

impl ControlState {
    pub(super) fn publish(&mut self, now: Millis, actions: &mut Vec<ControlAction>) {
        self.published_version += 1;
        if self.published_roster.settled != self.roster.record().settled {
            self.published_roster = Arc::new(self.roster.record().clone());
        }
        let mut view = RouteView {
            version: self.published_version,
            active_bundle: self.active_bundle().cloned(),
            roster: Arc::clone(&self.published_roster),
            trusted: self
                .roster
                .record()
                .members
                .iter()
                .map(|member| member.entry.clone())
                .filter(|entry| self.roster.is_trusted(entry))
                .collect(),
            lenders: self.lenders(now),
            ..RouteView::default()
        };
        for placement in self.placements.values() {
            let Some(record) = placement.record() else {
                continue;
            };
            for (id, group) in &record.groups {
                if self.is_routable(record, id, group) {
                    self.add_route(record, id, group, &mut view);
                }
            }
        }
        self.add_services(now, &mut view);
        actions.push(ControlAction::Publish(Arc::new(view)));
    }

    /// Whether the record and the VM list allow routing to a group. Evidence is checked at
    /// dispatch.
    fn is_routable(&self, record: &DomainRecord, id: &GroupId, group: &GroupRecord) -> bool {
        let is_staying = |vm: &VmId| {
            let fact = self.vms.get(vm);
            fact.is_none_or(|fact| fact.state == VmState::Live) || is_on(Mutation::KeepLeavingGroup)
        };
        group.phase == GroupPhase::Serving
            && record.is_full(id)
            && record.members(id).all(|(vm, _)| is_staying(vm))
    }

    fn add_route(
        &self,
        record: &DomainRecord,
        id: &GroupId,
        group: &GroupRecord,
        view: &mut RouteView,
    ) {
        let members: Vec<_> = record
            .members(id)
            .map(|(vm, slot)| (vm.clone(), slot.addr))
            .collect();
        let Some((_, leader)) = members.first() else {
            return;
        };
        let evidence = self
            .evidence_by_group
            .get(id)
            .filter(|evidence| evidence.epoch == group.epoch);
        let upstream = UpstreamId::new(id.as_str());
        let fact = UpstreamFact {
            id: upstream.clone(),
            addr: *leader,
            epoch: group.epoch,
            failure_domain: record.failure_domain.clone(),
            evidence_at: evidence.map_or(Millis::ZERO, |evidence| evidence.oldest_at),
            reported: evidence.map_or(0, |evidence| u32::from(evidence.load)),
            reported_at: evidence.map_or(Millis::ZERO, |evidence| evidence.oldest_at),
        };
        view.models
            .entry(group.model.name.clone())
            .or_default()
            .push(fact);
        let route = GroupRoute {
            id: id.clone(),
            group: group.clone(),
            members,
        };
        view.groups.insert(upstream, route);
    }

    fn add_services(&self, now: Millis, view: &mut RouteView) {
        for fact in self.vms.values() {
            let VmKind::Service(name) = &fact.kind else {
                continue;
            };
            if fact.state != VmState::Live {
                continue;
            }
            // A service VM belongs to no group and is not probed here, so its listing counts as
            // evidence.
            let instance = UpstreamFact {
                id: UpstreamId::new(fact.vm.as_str()),
                addr: fact.addr,
                epoch: 0,
                failure_domain: fact.failure_domain.clone(),
                evidence_at: now,
                reported: 0,
                reported_at: Millis::ZERO,
            };
            view.services
                .entry(name.clone())
                .or_default()
                .push(instance);
        }
    }

    fn lenders(&self, now: Millis) -> IndexMap<u32, Vec<(EntryId, u16)>> {
        let mut lenders: IndexMap<u32, Vec<(EntryId, u16)>> = IndexMap::new();
        for (entry, (at, facts)) in &self.peer_slack {
            if now.since(*at) > LOAN_OFFER_MAX_AGE || !self.roster.is_trusted(entry) {
                continue;
            }
            for DemandFact { account, slack } in facts {
                let offers = lenders.entry(*account).or_default();
                offers.push((entry.clone(), *slack));
            }
        }
        for offers in lenders.values_mut() {
            offers.sort_by_key(|(_, slack)| std::cmp::Reverse(*slack));
        }
        lenders
    }

    pub(super) fn dump_fabric(
        &self,
        now: Millis,
        fabric: &FabricDomain,
        placement: &PlacementState,
    ) -> serde_json::Value {
        let record = placement.record();
        let groups: Vec<serde_json::Value> = record
            .iter()
            .flat_map(|record| record.groups.iter().map(move |entry| (*record, entry)))
            .map(|(record, (id, group))| {
                let evidence = self.evidence_by_group.get(id);
                serde_json::json!({
                    "group": id,
                    "record": group,
                    "members": record.members(id).map(|(vm, _)| vm).collect::<Vec<_>>(),
                    "evidence_age_ms": evidence.map(|evidence| now.since(evidence.oldest_at).0),
                    "evidence_epoch": evidence.map(|evidence| evidence.epoch),
                    "load": evidence.map(|evidence| evidence.load),
                })
            })
            .collect();
        let usage: IndexMap<&VmId, &bergamot_placement::VmUse> = record
            .iter()
            .flat_map(|record| &record.vms)
            .map(|(vm, slot)| (vm, &slot.usage))
            .collect();
        serde_json::json!({
            "fabric_domain": fabric,
            "revision": placement.revision(),
            "term": record.map(|record| record.term),
            "coordinator": record.map(|record| record.coordinator.clone()),
            "coordinated_here": placement.is_coordinator(),
            "is_storm": placement.is_storm(now),
            "groups": groups,
            "vms": usage,
        })
    }
}
