//! The state and the dispatch of events.

use bergamot_bundle::roll::ActiveBundle;
use bergamot_bundle::{BundleDigest, KeyRing, RollAdopter, RollRecord};
use bergamot_peer::DemandFact;
use bergamot_placement::{EngineReport, PlacementEvent, PlacementOptions, PlacementState};
use bergamot_platform::{VmFact, VmKind};
use bergamot_roster::{Member, RosterAction, RosterEvent, RosterOptions, RosterState};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

use super::event::{ControlAction, ControlEvent, ProbeTarget};
use super::keys::{GROUP_PREFIX, ROLL_KEY, ROSTER_KEY, group_key};
use super::sync::RosterSwap;

/// Settings of control.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Heartbeats and suspicion.
    pub roster: RosterOptions,
    /// Groups.
    pub placement: PlacementOptions,
    /// Time between probes of one engine.
    pub probe_period: Millis,
    /// Age up to which evidence allows dispatch.
    pub evidence_max_age: Millis,
    /// Time in which a group of a new roll must come up.
    pub gate_timeout: Millis,
    /// The operators that are trusted.
    pub operators: KeyRing,
}

/// What is known of one group from probes and from peers.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(super) struct GroupNews {
    pub(super) epoch: u32,
    pub(super) oldest: Millis,
    pub(super) load: u16,
    pub(super) is_own: bool,
}

/// Everything one entry VM decides besides single requests.
pub struct ControlState {
    pub(super) options: ControlOptions,
    pub(super) roster: RosterState,
    pub(super) roster_revision: i64,
    pub(super) roster_swap: Option<RosterSwap>,
    pub(super) roster_read: bool,
    pub(super) rolls: RollAdopter,
    pub(super) offered: Option<RollRecord>,
    pub(super) asked_bundle: Option<(BundleDigest, Millis)>,
    pub(super) asked_peer: IndexMap<&'static str, Millis>,
    pub(super) placements: IndexMap<FabricDomain, PlacementState>,
    pub(super) vms: IndexMap<VmId, VmFact>,
    pub(super) listed_at: Option<Millis>,
    pub(super) reports: IndexMap<VmId, (Millis, EngineReport)>,
    pub(super) news: IndexMap<GroupId, GroupNews>,
    pub(super) news_rotation: usize,
    pub(super) probed: IndexMap<VmId, Millis>,
    pub(super) slack: Vec<DemandFact>,
    pub(super) peer_slack: IndexMap<EntryId, (Millis, Vec<DemandFact>)>,
    pub(super) peer_rolls: IndexMap<EntryId, u64>,
    pub(super) forming_since: IndexMap<GroupId, Millis>,
    pub(super) gate: Option<String>,
    pub(super) view_version: u64,
    pub(super) next_view: Millis,
    pub(super) next_share: Millis,
    pub(super) next_lead: Millis,
    pub(super) next_probe: Millis,
    pub(super) next_placement: Millis,
    /// Groups that are this VM's to probe.
    pub(super) own_probes: IndexSet<GroupId>,
    pub(super) roster_view: Arc<bergamot_roster::RosterRecord>,
}

impl ControlState {
    /// A state that knows only itself.
    pub fn new(me: Member, options: ControlOptions) -> Self {
        Self {
            roster: RosterState::new(me, options.roster.clone()),
            rolls: RollAdopter::new(options.operators.clone()),
            options,
            roster_revision: 0,
            roster_swap: None,
            roster_read: false,
            offered: None,
            asked_bundle: None,
            asked_peer: IndexMap::new(),
            placements: IndexMap::new(),
            vms: IndexMap::new(),
            listed_at: None,
            reports: IndexMap::new(),
            news: IndexMap::new(),
            news_rotation: 0,
            probed: IndexMap::new(),
            slack: Vec::new(),
            peer_slack: IndexMap::new(),
            peer_rolls: IndexMap::new(),
            forming_since: IndexMap::new(),
            gate: None,
            view_version: 0,
            next_view: Millis::ZERO,
            next_share: Millis::ZERO,
            next_lead: Millis::ZERO,
            next_probe: Millis::ZERO,
            next_placement: Millis::ZERO,
            own_probes: IndexSet::new(),
            roster_view: Arc::default(),
        }
    }

    /// This daemon.
    pub fn me(&self) -> &Member {
        self.roster.own_member()
    }

    /// The roster.
    pub fn roster(&self) -> &RosterState {
        &self.roster
    }

    /// The bundle in force here.
    pub fn force(&self) -> Option<&Arc<ActiveBundle>> {
        self.rolls.current()
    }

    /// The groups by fabric domain.
    pub fn placements(&self) -> &IndexMap<FabricDomain, PlacementState> {
        &self.placements
    }

    /// Takes one event and says what to do.
    pub fn handle(&mut self, now: Millis, event: ControlEvent) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        match event {
            ControlEvent::Tick => self.tick(now, &mut actions),
            ControlEvent::Read {
                key,
                entry,
                started,
            } => self.take_read(now, &key, entry, started, &mut actions),
            ControlEvent::ReadFailed { key } => self.take_read_failure(&key),
            ControlEvent::Swapped {
                key,
                nonce,
                outcome,
            } => self.take_swapped(now, &key, nonce, outcome, &mut actions),
            ControlEvent::Listed(vms) => self.take_list(now, vms, &mut actions),
            ControlEvent::Datagram(datagram, from) => {
                self.take_datagram(now, &datagram, from, &mut actions);
            }
            ControlEvent::PeerRoll(roll) => {
                self.adopt(&roll.0, &roll.1, "peer", &mut actions);
            }
            ControlEvent::PeerRoster(record) => {
                self.roster_event(now, RosterEvent::Record(record), &mut actions);
            }
            ControlEvent::PeerGroups(entries) => {
                for entry in entries {
                    self.take_peer_groups(now, entry, &mut actions);
                }
            }
            ControlEvent::Report { vm, asked, report } => {
                self.take_report(now, vm, asked, report);
            }
            ControlEvent::Ordered { vm } => {
                // What the order did shows in the next report; ask at once.
                self.probed.swap_remove(&vm);
                if let Some(placement) = self.placement_of(&vm) {
                    placement.handle(now, PlacementEvent::Ordered { vm });
                }
            }
            ControlEvent::ClaimsSettled(epoch) => {
                self.roster_event(now, RosterEvent::Settled(epoch), &mut actions);
            }
            ControlEvent::Slack(slack) => self.slack = slack,
            ControlEvent::Stopping => {
                self.roster_event(now, RosterEvent::Stopping, &mut actions);
            }
        }
        actions
    }

    pub(super) fn placement_of(&mut self, vm: &VmId) -> Option<&mut PlacementState> {
        let fabric = &self.vms.get(vm)?.fabric_domain;
        self.placements.get_mut(fabric)
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<ControlAction>) {
        self.roster_event(now, RosterEvent::Tick, actions);
        self.want_roll(now, actions);
        self.ask_peers_as_outsider(now, actions);
        if now >= self.next_share {
            self.next_share = now + SHARE_PERIOD;
            self.share_wanted(now);
        }
        if now >= self.next_lead {
            self.next_lead = now + LEAD_PERIOD;
            self.choose_leads(now);
            self.choose_probes();
        }
        if now >= self.next_placement {
            self.next_placement = now + PLACEMENT_PERIOD;
            self.tick_placements(now, actions);
        }
        if now >= self.next_probe {
            self.next_probe = now + PROBE_LOOK;
            self.probe_due(now, actions);
        }
        if now >= self.next_view {
            self.next_view = now + VIEW_PERIOD;
            self.publish(now, actions);
        }
    }

    pub(super) fn roster_event(
        &mut self,
        now: Millis,
        event: RosterEvent,
        actions: &mut Vec<ControlAction>,
    ) {
        for action in self.roster.handle(now, event) {
            match action {
                RosterAction::Send(to, beat) => {
                    let datagram = self.datagram(now, beat);
                    actions.push(ControlAction::Send(to.peer_addr, Box::new(datagram)));
                }
                RosterAction::Propose(record) => self.propose_roster(now, record, actions),
                RosterAction::Suspect(entry) => {
                    actions.push(note(format!("event=peer_suspected entry={entry}")));
                }
                RosterAction::Trust(entry) => {
                    actions.push(note(format!("event=peer_trusted entry={entry}")));
                }
                RosterAction::EpochChanged(epoch) => {
                    let record = self.roster.record().clone();
                    self.roster_view = Arc::new(record.clone());
                    self.next_lead = Millis::ZERO;
                    let members = record.members.len();
                    actions.push(note(format!(
                        "event=roster_changed epoch={epoch} members={members}"
                    )));
                    actions.push(ControlAction::Roster(record));
                }
                RosterAction::Paused(gap) => {
                    actions.push(note(format!("event=process_paused gap_ms={gap}")));
                }
            }
        }
    }

    fn take_list(&mut self, now: Millis, vms: Vec<VmFact>, actions: &mut Vec<ControlAction>) {
        let ids = vms.iter().map(|fact| fact.vm.clone()).collect();
        self.roster_event(now, RosterEvent::Listed(ids), actions);
        self.listed_at = Some(now);
        self.vms = vms
            .into_iter()
            .map(|fact| (fact.vm.clone(), fact))
            .collect();
        let fabrics: IndexSet<(FabricDomain, FailureDomain)> = self
            .vms
            .values()
            .filter(|fact| fact.kind == VmKind::Engine)
            .map(|fact| (fact.fabric_domain.clone(), fact.failure_domain.clone()))
            .collect();
        for (fabric, failure_domain) in fabrics {
            self.placement_entry(&fabric, &failure_domain);
        }
        self.list_to_placements(now);
        let vms = &self.vms;
        self.reports.retain(|vm, _| vms.contains_key(vm));
        self.probed.retain(|vm, _| vms.contains_key(vm));
    }

    pub(super) fn placement_entry(
        &mut self,
        fabric: &FabricDomain,
        failure_domain: &FailureDomain,
    ) -> &mut PlacementState {
        let me = self.roster.own_member();
        let (entry, incarnation) = (me.entry.clone(), me.incarnation);
        let options = &self.options.placement;
        self.placements.entry(fabric.clone()).or_insert_with(|| {
            PlacementState::new(
                entry,
                incarnation,
                fabric.clone(),
                failure_domain.clone(),
                options.clone(),
            )
        })
    }

    fn take_read(
        &mut self,
        now: Millis,
        key: &str,
        entry: Option<bergamot_platform::KvEntry>,
        started: Millis,
        actions: &mut Vec<ControlAction>,
    ) {
        match key {
            ROLL_KEY => self.read_roll(entry, actions),
            ROSTER_KEY => self.read_roster(now, entry, actions),
            key if key.starts_with(GROUP_PREFIX) => {
                self.read_groups(now, key, entry, started, actions);
            }
            _ => self.read_bundle(entry, actions),
        }
    }

    /// The key of a fabric domain's record.
    pub(super) fn key_of(&self, fabric: &FabricDomain) -> Option<String> {
        let fact = self
            .vms
            .values()
            .find(|fact| fact.fabric_domain == *fabric)?;
        Some(group_key(&fact.failure_domain, fabric))
    }

    pub(super) fn target(&self, vm: &VmId) -> Option<ProbeTarget> {
        let fact = self.vms.get(vm)?;
        Some(ProbeTarget {
            vm: vm.clone(),
            addr: fact.addr,
        })
    }

    /// The state as JSON, for the dump.
    pub fn dump(&self, now: Millis) -> serde_json::Value {
        let groups: Vec<serde_json::Value> = self
            .placements
            .iter()
            .map(|(fabric, placement)| self.dump_fabric(now, fabric, placement))
            .collect();
        serde_json::json!({
            "entry": self.me(),
            "roster": {
                "record": self.roster.record(),
                "news": self.roster.peers(),
                "is_member": self.roster.is_member(),
            },
            "roll": {
                "number": self.rolls.number(),
                "record": self.force().map(|force| &force.record),
                "version": self.force().map(|force| &force.document.version),
                "seen_by_peers": self.peer_rolls,
                "gate": self.gate,
            },
            "fabric_domains": groups,
            "vms": self.vms.values().collect::<Vec<_>>(),
            "vm_list_age_ms": self.listed_at.map(|at| now.since(at).0),
        })
    }
}

/// Time between two snapshots for the callers' side.
const VIEW_PERIOD: Millis = Millis(250);
/// Time between two sharings of the wanted replicas.
const SHARE_PERIOD: Millis = Millis(1_000);
/// Time between two choices of who coordinates and who probes.
const LEAD_PERIOD: Millis = Millis(500);
/// Time between two looks at the groups coordinated here.
const PLACEMENT_PERIOD: Millis = Millis(100);
/// Time between two looks for engines that are due to be asked.
const PROBE_LOOK: Millis = Millis(100);

pub(super) fn note(line: String) -> ControlAction {
    ControlAction::Note(line)
}
