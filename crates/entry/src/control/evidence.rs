//! Probes, reports and what peers tell of groups.

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
use super::state::{ControlState, GroupNews};

/// Entry VMs that probe each group.
const PROBERS: usize = 2;
/// Facts about groups in each datagram.
const EVIDENCE_PER_DATAGRAM: usize = 40;
/// Facts about accounts in each datagram.
const DEMAND_PER_DATAGRAM: usize = 20;

impl ControlState {
    pub(super) fn datagram(&mut self, now: Millis, beat: Heartbeat) -> Datagram {
        // What this VM probed itself goes first; what it was told goes round.
        let fresh = |news: &GroupNews| now.since(news.oldest) < self.options.evidence_max_age;
        let (own, told): (Vec<_>, Vec<_>) = self
            .news
            .iter()
            .filter(|(_, news)| fresh(news))
            .partition(|(_, news)| news.is_own);
        let size = own.len() + told.len();
        let all: Vec<_> = own.into_iter().chain(told).collect();
        self.news_rotation = self.news_rotation.wrapping_add(EVIDENCE_PER_DATAGRAM);
        let start = match size > EVIDENCE_PER_DATAGRAM {
            true => self.news_rotation % size,
            false => 0,
        };
        let evidence = (0..size.min(EVIDENCE_PER_DATAGRAM))
            .map(|step| all[(start + step) % size])
            .map(|(id, news)| EvidenceFact {
                group: EvidenceFact::group_hash(id),
                epoch: news.epoch,
                age: now.since(news.oldest).0.min(u64::from(u16::MAX)) as u16,
                load: news.load,
            })
            .collect();
        let demand = self.slack.iter().take(DEMAND_PER_DATAGRAM);
        Datagram {
            beat,
            roll: self.rolls.number(),
            evidence,
            demand: demand.copied().collect(),
        }
    }

    pub(super) fn take_datagram(
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
        if beat.epoch > record.epoch && self.may_ask(now, "roster") {
            actions.push(ControlAction::AskRoster(from));
        }
        if !is_known {
            return;
        }
        if datagram.roll > self.rolls.number() && self.may_ask(now, "roll") {
            actions.push(ControlAction::AskRoll(from, self.rolls.number()));
        }
        self.peer_rolls.insert(beat.from.clone(), datagram.roll);
        self.peer_slack
            .insert(beat.from.clone(), (now, datagram.demand.clone()));
        let has_unknown = self.take_evidence(now, &datagram.evidence);
        if has_unknown && self.may_ask(now, "groups") {
            actions.push(ControlAction::AskGroups(from));
        }
        self.roster_event(now, RosterEvent::Heartbeat(beat.clone()), actions);
    }

    /// Notes what a peer saw; true if it saw a group that the records here do not have.
    fn take_evidence(&mut self, now: Millis, facts: &[EvidenceFact]) -> bool {
        if facts.is_empty() {
            return false;
        }
        let mut has_unknown = false;
        let by_hash: IndexMap<u32, GroupId> = self
            .placements
            .values()
            .filter_map(|placement| placement.record())
            .flat_map(|record| record.groups.keys())
            .map(|id| (EvidenceFact::group_hash(id), id.clone()))
            .collect();
        for fact in facts {
            let Some(id) = by_hash.get(&fact.group) else {
                has_unknown = true;
                continue;
            };
            let news = GroupNews {
                epoch: fact.epoch,
                oldest: now - Millis(u64::from(fact.age)),
                load: fact.load,
                is_own: false,
            };
            self.take_news(now, id, news);
        }
        has_unknown
    }

    /// Notes newer evidence of a group, and lets its coordinator know of its members by it.
    fn take_news(&mut self, now: Millis, id: &GroupId, news: GroupNews) {
        let is_older = self
            .news
            .get(id)
            .is_some_and(|old| (old.epoch, old.oldest) >= (news.epoch, news.oldest));
        if is_older {
            return;
        }
        self.news.insert(id.clone(), news);
        if news.is_own {
            return;
        }
        let coordinated = self.placements.values_mut().filter(|p| p.is_coordinator());
        for placement in coordinated {
            let Some(record) = placement.record() else {
                continue;
            };
            let Some(group) = record.groups.get(id).filter(|g| g.epoch == news.epoch) else {
                continue;
            };
            let report = EngineReport {
                group: Some(id.clone()),
                epoch: group.epoch,
                term: record.term,
                model: Some(group.model.clone()),
                phase: EnginePhase::Ready,
                running: u32::from(news.load),
                queued: 0,
                warm: vec![group.model.clone()],
            };
            let members: Vec<VmId> = record.members(id).map(|(vm, _)| vm.clone()).collect();
            for vm in members {
                let event = PlacementEvent::Report {
                    vm,
                    asked: news.oldest,
                    report: report.clone(),
                };
                placement.handle(now, event);
            }
        }
    }

    pub(super) fn take_report(
        &mut self,
        now: Millis,
        vm: VmId,
        asked: Millis,
        report: Option<EngineReport>,
    ) {
        let Some(report) = report else {
            self.reports.swap_remove(&vm);
            self.drop_news_of(&vm);
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
        self.judge_group_of(now, &vm);
    }

    /// What was known of a group is void once a member did not answer; dispatch asks anew.
    fn drop_news_of(&mut self, vm: &VmId) {
        let fabric = self.vms.get(vm).map(|fact| fact.fabric_domain.clone());
        let placement = fabric.and_then(|fabric| self.placements.get(&fabric));
        let record = placement.and_then(|placement| placement.record());
        let usage = record.and_then(|record| record.vms.get(vm));
        if let Some(VmUse::Member(id)) = usage.map(|slot| &slot.usage) {
            self.news.swap_remove(&id.clone());
        }
    }

    /// Works out anew whether the group of a VM is whole.
    fn judge_group_of(&mut self, now: Millis, vm: &VmId) {
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
        let Some(evidence) = group_evidence(record, &id, &self.reports) else {
            let is_complete = record
                .members(&id)
                .all(|(vm, _)| self.reports.contains_key(vm));
            if is_complete {
                self.news.swap_remove(&id);
            }
            return;
        };
        let news = GroupNews {
            epoch,
            oldest: evidence.oldest_at,
            load: (evidence.running + evidence.queued).min(u32::from(u16::MAX)) as u16,
            is_own: true,
        };
        self.take_news(now, &id, news);
    }

    /// Asks the engines that are this VM's to ask now.
    pub(super) fn probe_due(&mut self, now: Millis, actions: &mut Vec<ControlAction>) {
        let mut due: Vec<VmId> = Vec::new();
        for placement in self.placements.values() {
            let leads = placement.is_coordinator();
            let Some(record) = placement.record() else {
                // Before the first record a coordinator has to see who is there.
                continue;
            };
            for (vm, slot) in &record.vms {
                let group = match &slot.usage {
                    VmUse::Member(id) => record.groups.get(id).map(|group| (id, group)),
                    VmUse::Free | VmUse::Evicted(_) => None,
                };
                let is_mine = match group {
                    Some((id, group)) if group.phase == GroupPhase::Serving => {
                        self.own_probes.contains(id)
                            || (leads && self.is_unsure(now, id, group.epoch))
                    }
                    _ => leads,
                };
                if is_mine {
                    due.push(vm.clone());
                }
            }
        }
        for vm in due {
            let is_asked = self
                .probed
                .get(&vm)
                .is_some_and(|at| now.since(*at) < self.options.probe_period);
            let is_engine = self
                .vms
                .get(&vm)
                .is_some_and(|fact| fact.kind == VmKind::Engine);
            if is_asked || !is_engine {
                continue;
            }
            if let Some(target) = self.target(&vm) {
                self.probed.insert(vm, now);
                actions.push(ControlAction::Probe(target));
            }
        }
    }

    /// Works out which serving groups of this failure domain are this VM's to probe.
    pub(super) fn choose_probes(&mut self) {
        let me = self.me().entry.clone();
        let near: Vec<EntryId> = self
            .roster
            .trusted_in_domain()
            .map(|member| member.entry.clone())
            .collect();
        let domain = &self.me().failure_domain;
        let records = self.placements.values().filter_map(|p| p.record());
        let groups = records
            .filter(|record| record.failure_domain == *domain)
            .flat_map(|record| record.groups.keys());
        let own = groups.filter(|id| is_prober(id, &me, &near));
        self.own_probes = own.cloned().collect();
    }

    /// Whether there is too little news of a group for its coordinator to be at ease.
    fn is_unsure(&self, now: Millis, id: &GroupId, epoch: u32) -> bool {
        let Some(news) = self.news.get(id) else {
            return true;
        };
        news.epoch != epoch || now.since(news.oldest).0 * 2 > self.options.evidence_max_age.0
    }
}

/// Whether fewer than [`PROBERS`] others come before `me` for a group.
fn is_prober(id: &GroupId, me: &EntryId, near: &[EntryId]) -> bool {
    let key = hash_bytes(id.as_str().as_bytes());
    let rank = |entry: &EntryId| (rendezvous_score(key, entry.as_str()), entry.clone());
    let mine = rank(me);
    let before = near.iter().filter(|entry| rank(entry) > mine);
    before.take(PROBERS).count() < PROBERS
}
