//! The snapshot for the callers' side, and the dump of groups.

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

/// Age up to which a peer's offer to lend counts.
const SLACK_MAX_AGE: Millis = Millis(5_000);

impl ControlState {
    pub(super) fn publish(&mut self, now: Millis, actions: &mut Vec<ControlAction>) {
        self.view_version += 1;
        if self.roster_view.settled != self.roster.record().settled {
            self.roster_view = Arc::new(self.roster.record().clone());
        }
        let mut view = RouteView {
            version: self.view_version,
            force: self.force().cloned(),
            roster: Arc::clone(&self.roster_view),
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

    /// Whether the record and the VM list let a group serve; evidence is checked at dispatch.
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
        let news = self.news.get(id).filter(|news| news.epoch == group.epoch);
        let upstream = UpstreamId::new(id.as_str());
        let fact = UpstreamFact {
            id: upstream.clone(),
            addr: *leader,
            epoch: group.epoch,
            failure_domain: record.failure_domain.clone(),
            evidence_at: news.map_or(Millis::ZERO, |news| news.oldest),
            reported: news.map_or(0, |news| u32::from(news.load)),
            reported_at: news.map_or(Millis::ZERO, |news| news.oldest),
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
            // A service has no group to be part of: being listed is all there is to know.
            let runner = UpstreamFact {
                id: UpstreamId::new(fact.vm.as_str()),
                addr: fact.addr,
                epoch: 0,
                failure_domain: fact.failure_domain.clone(),
                evidence_at: now,
                reported: 0,
                reported_at: Millis::ZERO,
            };
            view.services.entry(name.clone()).or_default().push(runner);
        }
    }

    fn lenders(&self, now: Millis) -> IndexMap<u32, Vec<(EntryId, u16)>> {
        let mut lenders: IndexMap<u32, Vec<(EntryId, u16)>> = IndexMap::new();
        for (entry, (at, facts)) in &self.peer_slack {
            if now.since(*at) > SLACK_MAX_AGE || !self.roster.is_trusted(entry) {
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
                let news = self.news.get(id);
                serde_json::json!({
                    "group": id,
                    "record": group,
                    "members": record.members(id).map(|(vm, _)| vm).collect::<Vec<_>>(),
                    "evidence_age_ms": news.map(|news| now.since(news.oldest).0),
                    "evidence_epoch": news.map(|news| news.epoch),
                    "load": news.map(|news| news.load),
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
