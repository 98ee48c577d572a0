//! The control state and its event dispatch.

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

/// Settings of the control state machine.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Settings of heartbeats and failure detection.
    pub roster: RosterOptions,
    /// Settings of group placement.
    pub placement: PlacementOptions,
    /// Interval between probes of an engine.
    pub probe_period: Millis,
    /// Maximum age of evidence that allows dispatch to a group.
    pub evidence_max_age: Millis,
    /// How long a group of a new roll may take to start serving.
    pub gate_timeout: Millis,
    /// Keys of the trusted operators.
    pub operators: KeyRing,
}

/// Evidence that a group was healthy, from own probes or from peers.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(super) struct GroupEvidence {
    pub(super) epoch: u32,
    pub(super) oldest_at: Millis,
    pub(super) load: u16,
    pub(super) is_own: bool,
}

/// The state behind an entry VM's decisions that do not concern single requests.
pub struct ControlState {
    pub(super) options: ControlOptions,
    pub(super) roster: RosterState,
    pub(super) roster_revision: i64,
    pub(super) roster_swap: Option<RosterSwap>,
    pub(super) is_roster_known: bool,
    pub(super) rolls: RollAdopter,
    pub(super) offered_roll: Option<RollRecord>,
    pub(super) requested_bundle: Option<(BundleDigest, Millis)>,
    pub(super) queried_at: IndexMap<&'static str, Millis>,
    pub(super) placements: IndexMap<FabricDomain, PlacementState>,
    pub(super) vms: IndexMap<VmId, VmFact>,
    pub(super) listed_at: Option<Millis>,
    pub(super) reports: IndexMap<VmId, (Millis, EngineReport)>,
    pub(super) evidence_by_group: IndexMap<GroupId, GroupEvidence>,
    pub(super) evidence_rotation: usize,
    pub(super) probed_at: IndexMap<VmId, Millis>,
    pub(super) slack: Vec<DemandFact>,
    pub(super) peer_slack: IndexMap<EntryId, (Millis, Vec<DemandFact>)>,
    pub(super) peer_rolls: IndexMap<EntryId, u64>,
    pub(super) forming_since: IndexMap<GroupId, Millis>,
    pub(super) roll_stop_reason: Option<String>,
    pub(super) published_version: u64,
    pub(super) next_publication: Millis,
    pub(super) next_distribution: Millis,
    pub(super) next_coordinator_choice: Millis,
    pub(super) next_probe_check: Millis,
    pub(super) next_placement: Millis,
    /// Groups that this VM probes.
    pub(super) probed_groups: IndexSet<GroupId>,
    pub(super) published_roster: Arc<bergamot_roster::RosterRecord>,
}

impl ControlState {
    /// Creates a state that knows no peers and no groups.
    pub fn new(me: Member, options: ControlOptions) -> Self {
        Self {
            roster: RosterState::new(me, options.roster.clone()),
            rolls: RollAdopter::new(options.operators.clone()),
            options,
            roster_revision: 0,
            roster_swap: None,
            is_roster_known: false,
            offered_roll: None,
            requested_bundle: None,
            queried_at: IndexMap::new(),
            placements: IndexMap::new(),
            vms: IndexMap::new(),
            listed_at: None,
            reports: IndexMap::new(),
            evidence_by_group: IndexMap::new(),
            evidence_rotation: 0,
            probed_at: IndexMap::new(),
            slack: Vec::new(),
            peer_slack: IndexMap::new(),
            peer_rolls: IndexMap::new(),
            forming_since: IndexMap::new(),
            roll_stop_reason: None,
            published_version: 0,
            next_publication: Millis::ZERO,
            next_distribution: Millis::ZERO,
            next_coordinator_choice: Millis::ZERO,
            next_probe_check: Millis::ZERO,
            next_placement: Millis::ZERO,
            probed_groups: IndexSet::new(),
            published_roster: Arc::default(),
        }
    }

    /// Returns this entry VM as a roster member.
    pub fn me(&self) -> &Member {
        self.roster.own_member()
    }

    /// Returns the roster state.
    pub fn roster(&self) -> &RosterState {
        &self.roster
    }

    /// Returns the active bundle.
    pub fn active_bundle(&self) -> Option<&Arc<ActiveBundle>> {
        self.rolls.current()
    }

    /// Returns the placement states by fabric domain.
    pub fn placements(&self) -> &IndexMap<FabricDomain, PlacementState> {
        &self.placements
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Millis, event: ControlEvent) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        match event {
            ControlEvent::Tick => self.tick(now, &mut actions),
            ControlEvent::Read {
                key,
                entry,
                started,
            } => self.handle_read(now, &key, entry, started, &mut actions),
            ControlEvent::ReadFailed { key } => self.handle_read_failure(&key),
            ControlEvent::Swapped {
                key,
                nonce,
                outcome,
            } => self.handle_swap_outcome(now, &key, nonce, outcome, &mut actions),
            ControlEvent::Listed(vms) => self.handle_vm_list(now, vms, &mut actions),
            ControlEvent::Datagram(datagram, from) => {
                self.handle_datagram(now, &datagram, from, &mut actions);
            }
            ControlEvent::PeerRoll(roll) => {
                self.adopt(&roll.0, &roll.1, "peer", &mut actions);
            }
            ControlEvent::PeerRoster(record) => {
                self.roster_event(now, RosterEvent::Record(record), &mut actions);
            }
            ControlEvent::PeerGroups(entries) => {
                for entry in entries {
                    self.handle_peer_groups(now, entry, &mut actions);
                }
            }
            ControlEvent::Report { vm, asked, report } => {
                self.handle_report(now, vm, asked, report);
            }
            ControlEvent::Ordered { vm } => {
                // Only the next report shows the effect of the order, so the engine is probed at
                // once.
                self.probed_at.swap_remove(&vm);
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
        self.fetch_offered_bundle(now, actions);
        self.query_peers_as_non_member(now, actions);
        if now >= self.next_distribution {
            self.next_distribution = now + DISTRIBUTION_PERIOD;
            self.distribute_wanted(now);
        }
        if now >= self.next_coordinator_choice {
            self.next_coordinator_choice = now + COORDINATOR_CHOICE_PERIOD;
            self.choose_coordinators(now);
            self.choose_probed_groups();
        }
        if now >= self.next_placement {
            self.next_placement = now + PLACEMENT_PERIOD;
            self.tick_placements(now, actions);
        }
        if now >= self.next_probe_check {
            self.next_probe_check = now + PROBE_CHECK_PERIOD;
            self.probe_due_engines(now, actions);
        }
        if now >= self.next_publication {
            self.next_publication = now + PUBLISH_PERIOD;
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
                    actions.push(log_line(format!("event=peer_suspected entry={entry}")));
                }
                RosterAction::Trust(entry) => {
                    actions.push(log_line(format!("event=peer_trusted entry={entry}")));
                }
                RosterAction::EpochChanged(epoch) => {
                    let record = self.roster.record().clone();
                    self.published_roster = Arc::new(record.clone());
                    self.next_coordinator_choice = Millis::ZERO;
                    let members = record.members.len();
                    actions.push(log_line(format!(
                        "event=roster_changed epoch={epoch} members={members}"
                    )));
                    actions.push(ControlAction::Roster(record));
                }
                RosterAction::Paused(gap) => {
                    actions.push(log_line(format!("event=process_paused gap_ms={gap}")));
                }
            }
        }
    }

    fn handle_vm_list(&mut self, now: Millis, vms: Vec<VmFact>, actions: &mut Vec<ControlAction>) {
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
        self.forward_vm_list(now);
        let vms = &self.vms;
        self.reports.retain(|vm, _| vms.contains_key(vm));
        self.probed_at.retain(|vm, _| vms.contains_key(vm));
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

    fn handle_read(
        &mut self,
        now: Millis,
        key: &str,
        entry: Option<bergamot_platform::KvEntry>,
        started: Millis,
        actions: &mut Vec<ControlAction>,
    ) {
        match key {
            ROLL_KEY => self.handle_roll_read(entry, actions),
            ROSTER_KEY => self.handle_roster_read(now, entry, actions),
            key if key.starts_with(GROUP_PREFIX) => {
                self.handle_groups_read(now, key, entry, started, actions);
            }
            _ => self.handle_bundle_read(entry, actions),
        }
    }

    /// Returns the key of a fabric domain's group record.
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

    /// Returns the state as JSON for the admin dump.
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
                "record": self.active_bundle().map(|active_bundle| &active_bundle.record),
                "version": self.active_bundle().map(|active_bundle| &active_bundle.document.version),
                "seen_by_peers": self.peer_rolls,
                "gate": self.roll_stop_reason,
            },
            "fabric_domains": groups,
            "vms": self.vms.values().collect::<Vec<_>>(),
            "vm_list_age_ms": self.listed_at.map(|at| now.since(at).0),
        })
    }
}

/// Interval between route snapshots.
const PUBLISH_PERIOD: Millis = Millis(250);
/// Interval between distributions of the wanted replicas.
const DISTRIBUTION_PERIOD: Millis = Millis(1_000);
/// Interval between selections of coordinators and probers.
const COORDINATOR_CHOICE_PERIOD: Millis = Millis(500);
/// Interval between ticks of the placement states.
const PLACEMENT_PERIOD: Millis = Millis(100);
/// Interval between checks for engines whose probe is due.
const PROBE_CHECK_PERIOD: Millis = Millis(100);

pub(super) fn log_line(line: String) -> ControlAction {
    ControlAction::Note(line)
}
