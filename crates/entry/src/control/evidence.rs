//! Evidence that groups are healthy, from this VM's probes and from peers' datagrams.

use std::net::SocketAddr;

use bergamot_peer::{Datagram, EvidenceFact};
use bergamot_placement::{
    EnginePhase, EngineReport, GroupPhase, PlacementEvent, VmUse, group_evidence,
};
use bergamot_platform::VmKind;
use bergamot_roster::{Heartbeat, RosterEvent};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use super::event::ControlAction;
use super::state::{ControlState, GroupEvidence};

/// Number of entry VMs in a failure domain that probe each group.
const PROBERS_PER_GROUP: usize = 2;
/// Maximum number of evidence facts per datagram.
const MAX_EVIDENCE_PER_DATAGRAM: usize = 40;
/// Maximum number of demand facts per datagram.
const MAX_DEMAND_PER_DATAGRAM: usize = 20;

impl ControlState {
    pub(super) fn datagram(&mut self, now: Millis, beat: Heartbeat) -> Datagram {
        // Evidence from this VM's own probes precedes evidence relayed from peers. If not all of
        // it fits, successive datagrams start at rotating offsets.
        let is_fresh =
            |fact: &GroupEvidence| now.since(fact.oldest_at) < self.options.evidence_max_age;
        let (own_evidence, relayed_evidence): (Vec<_>, Vec<_>) = self
            .evidence_by_group
            .iter()
            .filter(|(_, evidence)| is_fresh(evidence))
            .partition(|(_, evidence)| evidence.is_own);
        let fact_count = own_evidence.len() + relayed_evidence.len();
        let ordered: Vec<_> = own_evidence.into_iter().chain(relayed_evidence).collect();
        self.evidence_rotation = self
            .evidence_rotation
            .wrapping_add(MAX_EVIDENCE_PER_DATAGRAM);
        let start = match fact_count > MAX_EVIDENCE_PER_DATAGRAM {
            true => self.evidence_rotation % fact_count,
            false => 0,
        };
        let evidence = (0..fact_count.min(MAX_EVIDENCE_PER_DATAGRAM))
            .map(|step| ordered[(start + step) % fact_count])
            .map(|(id, evidence)| EvidenceFact {
                group: EvidenceFact::group_hash(id),
                epoch: evidence.epoch,
                age: now.since(evidence.oldest_at).0.min(u64::from(u16::MAX)) as u16,
                load: evidence.load,
            })
            .collect();
        let demand = self.slack.iter().take(MAX_DEMAND_PER_DATAGRAM);
        Datagram {
            beat,
            roll: self.rolls.number(),
            evidence,
            demand: demand.copied().collect(),
        }
    }

    pub(super) fn handle_datagram(
        &mut self,
        now: Millis,
        datagram: &Datagram,
        from: SocketAddr,
        actions: &mut Vec<ControlAction>,
    ) {
        let beat = &datagram.beat;
        let record = self.roster.record();
        let sender = record.member(&beat.from);
        let is_known = sender.is_some_and(|m| m.peer_addr == from);
        if beat.epoch > record.epoch && self.try_start_query(now, "roster") {
            actions.push(ControlAction::QueryRoster(from));
        }
        if !is_known {
            return;
        }
        if datagram.roll > self.rolls.number() && self.try_start_query(now, "roll") {
            actions.push(ControlAction::QueryRoll(from, self.rolls.number()));
        }
        self.peer_rolls.insert(beat.from.clone(), datagram.roll);
        self.peer_slack
            .insert(beat.from.clone(), (now, datagram.demand.clone()));
        let has_unknown_group = self.handle_peer_evidence(now, &datagram.evidence);
        if has_unknown_group && self.try_start_query(now, "groups") {
            actions.push(ControlAction::QueryGroups(from));
        }
        self.roster_event(now, RosterEvent::Heartbeat(beat.clone()), actions);
    }

    /// Records evidence from a peer. Returns whether the peer reported a group that is missing from
    /// the local records.
    fn handle_peer_evidence(&mut self, now: Millis, facts: &[EvidenceFact]) -> bool {
        if facts.is_empty() {
            return false;
        }
        let mut has_unknown_group = false;
        let by_hash: IndexMap<u32, GroupId> = self
            .placements
            .values()
            .filter_map(|placement| placement.record())
            .flat_map(|record| record.groups.keys())
            .map(|id| (EvidenceFact::group_hash(id), id.clone()))
            .collect();
        for fact in facts {
            let Some(id) = by_hash.get(&fact.group) else {
                has_unknown_group = true;
                continue;
            };
            let evidence = GroupEvidence {
                epoch: fact.epoch,
                oldest_at: now - Millis(u64::from(fact.age)),
                load: fact.load,
                is_own: false,
            };
            self.record_evidence(now, id, evidence);
        }
        has_unknown_group
    }

    /// Records evidence of a group unless newer evidence is known. If this VM coordinates the
    /// group, evidence from a peer also counts as a report of every member.
    fn record_evidence(&mut self, now: Millis, id: &GroupId, evidence: GroupEvidence) {
        let is_older = self
            .evidence_by_group
            .get(id)
            .is_some_and(|old| (old.epoch, old.oldest_at) >= (evidence.epoch, evidence.oldest_at));
        if is_older {
            return;
        }
        self.evidence_by_group.insert(id.clone(), evidence);
        if evidence.is_own {
            return;
        }
        let coordinated = self.placements.values_mut().filter(|p| p.is_coordinator());
        for placement in coordinated {
            let Some(record) = placement.record() else {
                continue;
            };
            let Some(group) = record.groups.get(id).filter(|g| g.epoch == evidence.epoch) else {
                continue;
            };
            let report = EngineReport {
                group: Some(id.clone()),
                epoch: group.epoch,
                term: record.term,
                model: Some(group.model.clone()),
                phase: EnginePhase::Ready,
                running: u32::from(evidence.load),
                queued: 0,
                warm: vec![group.model.clone()],
            };
            let members: Vec<VmId> = record.members(id).map(|(vm, _)| vm.clone()).collect();
            for vm in members {
                let event = PlacementEvent::Report {
                    vm,
                    asked: evidence.oldest_at,
                    report: report.clone(),
                };
                placement.handle(now, event);
            }
        }
    }

    pub(super) fn handle_report(
        &mut self,
        now: Millis,
        vm: VmId,
        asked: Millis,
        report: Option<EngineReport>,
    ) {
        let Some(report) = report else {
            self.reports.swap_remove(&vm);
            self.discard_group_evidence(&vm);
            if let Some(placement) = self.placement_of(&vm) {
                placement.handle(now, PlacementEvent::Unanswered { vm, asked });
            }
            return;
        };
        self.reports.insert(vm.clone(), (asked, report.clone()));
        let Some(placement) = self.placement_of(&vm) else {
            return;
        };
        let event = PlacementEvent::Report {
            vm: vm.clone(),
            asked,
            report,
        };
        placement.handle(now, event);
        self.refresh_group_evidence(now, &vm);
    }

    /// Discards the evidence of a group after a member did not answer, so that dispatch requires
    /// new evidence.
    fn discard_group_evidence(&mut self, vm: &VmId) {
        let fabric = self.vms.get(vm).map(|fact| fact.fabric_domain.clone());
        let placement = fabric.and_then(|fabric| self.placements.get(&fabric));
        let record = placement.and_then(|placement| placement.record());
        let usage = record.and_then(|record| record.vms.get(vm));
        if let Some(VmUse::Member(id)) = usage.map(|slot| &slot.usage) {
            self.evidence_by_group.swap_remove(&id.clone());
        }
    }

    /// Recomputes the evidence of a VM's group from the members' reports.
    fn refresh_group_evidence(&mut self, now: Millis, vm: &VmId) {
        let Some(fact) = self.vms.get(vm) else {
            return;
        };
        let placement = self.placements.get(&fact.fabric_domain);
        let Some(record) = placement.and_then(|placement| placement.record()) else {
            return;
        };
        let Some(VmUse::Member(id)) = record.vms.get(vm).map(|slot| &slot.usage) else {
            return;
        };
        let id = id.clone();
        let epoch = record.groups.get(&id).map_or(0, |group| group.epoch);
        let Some(reported) = group_evidence(record, &id, &self.reports) else {
            let is_complete = record
                .members(&id)
                .all(|(vm, _)| self.reports.contains_key(vm));
            if is_complete {
                self.evidence_by_group.swap_remove(&id);
            }
            return;
        };
        let evidence = GroupEvidence {
            epoch,
            oldest_at: reported.oldest_at,
            load: (reported.running + reported.queued).min(u32::from(u16::MAX)) as u16,
            is_own: true,
        };
        self.record_evidence(now, &id, evidence);
    }

    /// Probes the engines that this VM is responsible for and whose probe is due.
    pub(super) fn probe_due_engines(&mut self, now: Millis, actions: &mut Vec<ControlAction>) {
        let mut due: Vec<VmId> = Vec::new();
        for placement in self.placements.values() {
            let is_coordinator = placement.is_coordinator();
            let Some(record) = placement.record() else {
                // Without a record it is not known which VMs the domain has.
                continue;
            };
            for (vm, slot) in &record.vms {
                let group = match &slot.usage {
                    VmUse::Member(id) => record.groups.get(id).map(|group| (id, group)),
                    VmUse::Free | VmUse::Evicted(_) => None,
                };
                let is_probed_here = match group {
                    Some((id, group)) if group.phase == GroupPhase::Serving => {
                        self.probed_groups.contains(id)
                            || (is_coordinator
                                && self.needs_coordinator_probe(now, id, group.epoch))
                    }
                    _ => is_coordinator,
                };
                if is_probed_here {
                    due.push(vm.clone());
                }
            }
        }
        for vm in due {
            let was_queried_recently = self
                .probed_at
                .get(&vm)
                .is_some_and(|at| now.since(*at) < self.options.probe_period);
            let is_engine = self
                .vms
                .get(&vm)
                .is_some_and(|fact| fact.kind == VmKind::Engine);
            if was_queried_recently || !is_engine {
                continue;
            }
            if let Some(target) = self.target(&vm) {
                self.probed_at.insert(vm, now);
                actions.push(ControlAction::Probe(target));
            }
        }
    }

    /// Selects the groups of this failure domain that this VM probes.
    pub(super) fn choose_probed_groups(&mut self) {
        let me = self.me().entry.clone();
        let trusted_members: Vec<EntryId> = self
            .roster
            .trusted_in_domain()
            .map(|member| member.entry.clone())
            .collect();
        let domain = &self.me().failure_domain;
        let records = self.placements.values().filter_map(|p| p.record());
        let groups = records
            .filter(|record| record.failure_domain == *domain)
            .flat_map(|record| record.groups.keys());
        let own = groups.filter(|id| is_prober(id, &me, &trusted_members));
        self.probed_groups = own.cloned().collect();
    }

    /// Whether the coordinator has to probe a group itself because evidence of the current epoch is
    /// missing or older than half the maximum age.
    fn needs_coordinator_probe(&self, now: Millis, id: &GroupId, epoch: u32) -> bool {
        let Some(evidence) = self.evidence_by_group.get(id) else {
            return true;
        };
        evidence.epoch != epoch
            || now.since(evidence.oldest_at).0 * 2 > self.options.evidence_max_age.0
    }
}

/// Whether `me` is among the [`PROBERS_PER_GROUP`] highest-ranked probers of a group.
fn is_prober(id: &GroupId, me: &EntryId, trusted_members: &[EntryId]) -> bool {
    let key = hash_bytes(id.as_str().as_bytes());
    let rank = |entry: &EntryId| (rendezvous_score(key, entry.as_str()), entry.clone());
    let own_rank = rank(me);
    let higher_ranked = trusted_members
        .iter()
        .filter(|entry| rank(entry) > own_rank);
    higher_ranked.take(PROBERS_PER_GROUP).count() < PROBERS_PER_GROUP
}
