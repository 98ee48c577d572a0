//! State of the roster on one entry VM.

mod heartbeats;

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use crate::event::{RosterAction, RosterEvent, RosterOptions};
use crate::heartbeat::{Heartbeat, LivenessFact};
use crate::pause::PauseDetector;
use crate::record::{Member, RosterRecord};

/// What is known about the liveness of one other member.
#[derive(Clone, Debug, Serialize)]
pub struct PeerLiveness {
    /// The newest known heartbeat counter of the member.
    pub counter: u32,
    /// When the newest counter arrived.
    pub heard_at: Millis,
    /// Whether the member is suspected.
    pub is_suspect: bool,
    /// Whether the member announced that it is stopping.
    pub is_stopping: bool,
    /// The newest epoch that the member has settled on.
    pub settled: u64,
    /// Number of newer counters that arrived since the member was last overdue.
    recovery: u32,
}

/// The roster and the liveness of its members, as one entry VM knows them.
#[derive(Clone, Debug)]
pub struct RosterState {
    own: Member,
    options: RosterOptions,
    record: RosterRecord,
    peers: IndexMap<EntryId, PeerLiveness>,
    /// The other members by [`LivenessFact::member_hash`].
    peers_by_hash: IndexMap<u32, EntryId>,
    pause_detector: PauseDetector,
    /// Heartbeat counter of this daemon.
    counter: u32,
    /// The newest epoch that this daemon has settled on.
    settled: u64,
    next_heartbeat_at: Millis,
    next_proposal_at: Millis,
    /// Number of heartbeat rounds; seeds the choice of receivers and facts.
    round: usize,
    /// VMs of members that the VM list contained at least once.
    listed_before: IndexSet<VmId>,
    /// VMs of members that the VM list lacks: number of consecutive reads, and time of the first.
    missing_vms: IndexMap<VmId, (u32, Millis)>,
    is_stopping: bool,
}

/// Number of consecutive reads of the VM list that must lack a VM before it counts as delisted.
const DELIST_AFTER_READS: u32 = 2;
/// Heartbeat periods per member by which a heartbeat counter takes longer to reach all others.
const SPREAD_PERIODS_PER_MEMBER: f64 = 0.2;
/// Minimum time between two proposals of one member.
const PROPOSAL_PERIOD: Millis = Millis(1_000);
/// Gap between two events, in heartbeat periods, beyond which the process counts as paused.
const PAUSE_PERIODS: u64 = 4;

impl RosterState {
    /// Creates the state of a daemon that knows no other members.
    pub fn new(own: Member, options: RosterOptions) -> Self {
        let max_gap = Millis(options.period.0 * PAUSE_PERIODS);
        Self {
            own,
            options,
            record: RosterRecord::default(),
            peers: IndexMap::new(),
            peers_by_hash: IndexMap::new(),
            pause_detector: PauseDetector::new(max_gap),
            counter: 0,
            settled: 0,
            next_heartbeat_at: Millis::ZERO,
            next_proposal_at: Millis::ZERO,
            round: 0,
            listed_before: IndexSet::new(),
            missing_vms: IndexMap::new(),
            is_stopping: false,
        }
    }

    /// Returns this daemon as a member.
    pub fn own_member(&self) -> &Member {
        &self.own
    }

    /// Returns the newest known record.
    pub fn record(&self) -> &RosterRecord {
        &self.record
    }

    /// Returns what is known about the liveness of the other members.
    pub fn peers(&self) -> &IndexMap<EntryId, PeerLiveness> {
        &self.peers
    }

    /// Whether this incarnation of the daemon is in the roster.
    pub fn is_member(&self) -> bool {
        self.record.holds(&self.own.entry, self.own.incarnation)
    }

    /// Whether a member is neither suspected nor stopping. This daemon never suspects itself.
    pub fn is_trusted(&self, entry: &EntryId) -> bool {
        if *entry == self.own.entry {
            return !self.is_stopping;
        }
        self.peers
            .get(entry)
            .is_some_and(|peer| !peer.is_suspect && !peer.is_stopping)
    }

    /// Returns the trusted members in this failure domain, including this daemon if it is trusted.
    pub fn trusted_in_domain(&self) -> impl Iterator<Item = &Member> {
        self.record
            .members
            .iter()
            .filter(|member| member.failure_domain == self.own.failure_domain)
            .filter(|member| self.is_trusted(&member.entry))
    }

    /// Handles an event and returns the actions to take.
    pub fn handle(&mut self, now: Millis, event: RosterEvent) -> Vec<RosterAction> {
        match event {
            RosterEvent::Tick => self.tick(now),
            RosterEvent::Heartbeat(heartbeat) => self.receive_heartbeat(now, &heartbeat),
            RosterEvent::Record(record) => self.apply_record(now, record),
            RosterEvent::Listed(vms) => self.apply_vm_list(now, vms),
            RosterEvent::Settled(epoch) => {
                self.settled = self.settled.max(epoch);
                Vec::new()
            }
            RosterEvent::Stopping => {
                self.is_stopping = true;
                self.next_heartbeat_at = now;
                self.tick(now)
            }
        }
    }

    fn tick(&mut self, now: Millis) -> Vec<RosterAction> {
        let mut actions = Vec::new();
        if let Some(gap) = self.pause_detector.observe(now) {
            // Heartbeats are missing because this process did not receive any, so the suspicion
            // timeouts start over.
            for peer in self.peers.values_mut() {
                peer.heard_at = now;
            }
            actions.push(RosterAction::Paused(gap));
        }
        self.raise_suspicions(now, &mut actions);
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.options.period;
            self.counter = self.counter.wrapping_add(1);
            self.send_heartbeats(&mut actions);
        }
        if now >= self.next_proposal_at {
            self.next_proposal_at = now + PROPOSAL_PERIOD;
            actions.extend(self.proposal(now).map(RosterAction::Propose));
        }
        actions
    }

    fn raise_suspicions(&mut self, now: Millis, actions: &mut Vec<RosterAction>) {
        // Heartbeats are bounded in size, so a counter takes longer to reach all members the more
        // members there are, and longest from another failure domain.
        let is_near = |entry: &EntryId| {
            let member = self.record.member(entry);
            member.is_some_and(|m| m.failure_domain == self.own.failure_domain)
        };
        let near_peers = self.peers.keys().filter(|entry| is_near(entry)).count() as u64;
        let base = self.options.suspect_after;
        let spread_time = |members: u64| {
            let periods = members as f64 * SPREAD_PERIODS_PER_MEMBER;
            Millis((periods * self.options.period.0 as f64) as u64)
        };
        let near_timeout = base + spread_time(near_peers);
        let all_peers = self.peers.len() as u64;
        let far_timeout = base + base + spread_time(all_peers);
        let record = &self.record;
        let own_domain = &self.own.failure_domain;
        for (entry, peer) in &mut self.peers {
            let member = record.member(entry);
            let timeout = match member.is_some_and(|m| m.failure_domain == *own_domain) {
                true => near_timeout,
                false => far_timeout,
            };
            let is_overdue = now.since(peer.heard_at) > timeout;
            if is_overdue && !peer.is_suspect {
                peer.is_suspect = true;
                peer.recovery = 0;
                actions.push(RosterAction::Suspect(entry.clone()));
            } else if is_overdue {
                peer.recovery = 0;
            }
        }
    }

    fn receive_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) -> Vec<RosterAction> {
        let mut actions = Vec::new();
        if !self.record.holds(&heartbeat.from, heartbeat.incarnation) {
            return actions;
        }
        let from = heartbeat.from.clone();
        self.record_counter(now, &from, heartbeat.counter, &mut actions);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.is_stopping = heartbeat.stopping;
            peer.settled = peer.settled.max(heartbeat.settled);
        }
        for fact in &heartbeat.facts {
            if let Some(entry) = self.peers_by_hash.get(&fact.member).cloned() {
                self.record_counter(now, &entry, fact.counter, &mut actions);
            }
        }
        for (hash, settled) in &heartbeat.settled_facts {
            let entry = self.peers_by_hash.get(hash).cloned();
            if let Some(peer) = entry.and_then(|entry| self.peers.get_mut(&entry)) {
                peer.settled = peer.settled.max(*settled);
            }
        }
        actions
    }

    /// Records a member's heartbeat counter if it is newer than the known one.
    fn record_counter(
        &mut self,
        now: Millis,
        entry: &EntryId,
        counter: u32,
        actions: &mut Vec<RosterAction>,
    ) {
        let Some(peer) = self.peers.get_mut(entry) else {
            return;
        };
        let is_newer = counter.wrapping_sub(peer.counter) as i32 > 0;
        if !is_newer {
            return;
        }
        peer.counter = counter;
        peer.heard_at = now;
        if peer.is_suspect {
            peer.recovery += 1;
            if peer.recovery >= self.options.updates_to_recover {
                peer.is_suspect = false;
                actions.push(RosterAction::Trust(entry.clone()));
            }
        }
    }

    fn apply_record(&mut self, now: Millis, record: RosterRecord) -> Vec<RosterAction> {
        let is_newer = (record.epoch, record.settled) > (self.record.epoch, self.record.settled);
        if !is_newer || !record.is_valid() {
            return Vec::new();
        }
        let has_new_epoch = record.epoch != self.record.epoch;
        let previous = std::mem::replace(&mut self.record, record);
        self.peers_by_hash.clear();
        let mut peers = IndexMap::new();
        for member in &self.record.members {
            if member.entry == self.own.entry {
                continue;
            }
            let hash = LivenessFact::member_hash(&member.entry, member.incarnation);
            self.peers_by_hash.insert(hash, member.entry.clone());
            let known = self
                .peers
                .swap_remove(&member.entry)
                .filter(|_| previous.holds(&member.entry, member.incarnation));
            let initial = PeerLiveness {
                counter: 0,
                heard_at: now,
                is_suspect: false,
                is_stopping: false,
                settled: 0,
                recovery: 0,
            };
            peers.insert(member.entry.clone(), known.unwrap_or(initial));
        }
        self.peers = peers;
        match has_new_epoch {
            true => vec![RosterAction::EpochChanged(self.record.epoch)],
            false => Vec::new(),
        }
    }

    fn apply_vm_list(&mut self, now: Millis, vms: Vec<VmId>) -> Vec<RosterAction> {
        let listed: IndexSet<VmId> = vms.into_iter().collect();
        self.missing_vms.retain(|vm, _| !listed.contains(vm));
        for member in &self.record.members {
            if listed.contains(&member.vm) {
                self.listed_before.insert(member.vm.clone());
                continue;
            }
            let missing = self
                .missing_vms
                .entry(member.vm.clone())
                .or_insert((0, now));
            missing.0 += 1;
        }
        Vec::new()
    }

    /// Whether the VM list no longer contains the member's VM, or did not contain it in time.
    fn is_delisted(&self, now: Millis, member: &Member) -> bool {
        let Some((missed_reads, missing_since)) = self.missing_vms.get(&member.vm) else {
            return false;
        };
        let was_listed = self.listed_before.contains(&member.vm);
        let is_grace_over = now.since(*missing_since) > self.options.unlisted_grace;
        member.entry != self.own.entry
            && *missed_reads >= DELIST_AFTER_READS
            && (was_listed || is_grace_over)
    }

    /// Returns the change to propose now, if there is one and this daemon is the one to propose it:
    /// its own addition, or any other change as the first trusted member.
    fn proposal(&self, now: Millis) -> Option<RosterRecord> {
        if !self.is_member() {
            if self.is_stopping {
                return None;
            }
            return Some(self.record.with_member(self.own.clone()));
        }
        let mut proposers = self
            .record
            .members
            .iter()
            .filter(|member| self.is_trusted(&member.entry) && !self.is_delisted(now, member));
        if proposers.next().map(|member| &member.entry) != Some(&self.own.entry) {
            return None;
        }
        let next = self.record.without(|member| self.is_delisted(now, member));
        if next != self.record {
            return Some(next);
        }
        let settled = self.settled_by_all();
        (settled > self.record.settled).then(|| self.record.settled_at(settled))
    }

    /// Returns the newest epoch that all members have settled on.
    fn settled_by_all(&self) -> u64 {
        let others = self.peers.values().map(|peer| peer.settled);
        others.chain([self.settled]).min().unwrap_or(0)
    }
}
