//! Synchronizes rolls, the roster and group records with the key-value store and with peers.

use bergamot_bundle::{AdoptOutcome, RollRecord, SignedBundle};
use bergamot_peer::GroupsEntry;
use bergamot_placement::{DomainRecord, PlacementEvent, SwapOutcome};
use bergamot_platform::{KvEntry, VmKind};
use bergamot_roster::{RosterEvent, RosterRecord};
use bergamot_types::prelude::*;

use super::event::ControlAction;
use super::keys::{GROUP_PREFIX, ROLL_KEY, ROSTER_KEY, bundle_key};
use super::state::{ControlState, log_line};

/// A proposed roster whose compare-and-swap has not completed.
#[derive(Clone, Debug)]
pub(super) struct RosterSwap {
    nonce: u64,
    record: RosterRecord,
    sent_at: Millis,
}

/// How long to wait for the outcome of a roster swap before proposing again.
const SWAP_TIMEOUT: Millis = Millis(5_000);
/// Minimum interval between queries for the same data.
const QUERY_PERIOD: Millis = Millis(1_000);

impl ControlState {
    pub(super) fn handle_roll_read(
        &mut self,
        entry: Option<KvEntry>,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(entry) = entry else {
            return;
        };
        match serde_json::from_slice::<RollRecord>(&entry.value) {
            Ok(record) if record.number > self.rolls.number() => self.offered_roll = Some(record),
            Ok(_) => {}
            Err(error) => actions.push(log_line(format!(
                "event=roll_unreadable reason={:?}",
                error.to_string()
            ))),
        }
    }

    /// Reads the bundle of the offered roll from the store.
    pub(super) fn fetch_offered_bundle(&mut self, now: Millis, actions: &mut Vec<ControlAction>) {
        let Some(record) = &self.offered_roll else {
            return;
        };
        if record.number <= self.rolls.number() {
            self.offered_roll = None;
            return;
        }
        let was_queried_recently = self
            .requested_bundle
            .is_some_and(|(digest, at)| digest == record.digest && now.since(at) < QUERY_PERIOD);
        if !was_queried_recently {
            self.requested_bundle = Some((record.digest, now));
            actions.push(ControlAction::Read(bundle_key(&record.digest)));
        }
    }

    pub(super) fn handle_bundle_read(
        &mut self,
        entry: Option<KvEntry>,
        actions: &mut Vec<ControlAction>,
    ) {
        let (Some(entry), Some(record)) = (entry, self.offered_roll.clone()) else {
            return;
        };
        match serde_json::from_slice::<SignedBundle>(&entry.value) {
            Ok(signed) => self.adopt(&record, &signed, "kv", actions),
            Err(error) => actions.push(log_line(format!(
                "event=bundle_unreadable reason={:?}",
                error.to_string()
            ))),
        }
    }

    pub(super) fn adopt(
        &mut self,
        record: &RollRecord,
        signed: &SignedBundle,
        source: &str,
        actions: &mut Vec<ControlAction>,
    ) {
        let number = record.number;
        match self.rolls.adopt(record, signed) {
            Ok(AdoptOutcome::Adopted) => {
                self.roll_stop_reason = None;
                self.next_distribution = Millis::ZERO;
                self.next_publication = Millis::ZERO;
                actions.push(ControlAction::Adopted(number, record.digest));
                actions.push(log_line(format!(
                    "event=roll_adopted number={number} digest={:?} source={source}",
                    record.digest
                )));
            }
            Ok(AdoptOutcome::AlreadyNewer) => {}
            Ok(AdoptOutcome::Conflict) => {
                actions.push(log_line(format!(
                    "event=roll_conflict number={number} digest={:?} source={source}",
                    record.digest
                )));
            }
            Err(error) => {
                // Withdraws the offer, as an invalid roll would otherwise be fetched repeatedly.
                self.offered_roll = None;
                actions.push(log_line(format!(
                    "event=roll_refused number={number} source={source} reason={:?}",
                    error.to_string()
                )));
            }
        }
    }

    pub(super) fn handle_roster_read(
        &mut self,
        now: Millis,
        entry: Option<KvEntry>,
        actions: &mut Vec<ControlAction>,
    ) {
        self.is_roster_known = true;
        let Some(entry) = entry else {
            return;
        };
        let Ok(record) = serde_json::from_slice::<RosterRecord>(&entry.value) else {
            actions.push(log_line("event=roster_unreadable".to_owned()));
            return;
        };
        if entry.revision >= self.roster_revision {
            self.roster_revision = entry.revision;
            let is_settled = self
                .roster_swap
                .as_ref()
                .is_some_and(|swap| swap.nonce == record.nonce);
            if is_settled {
                self.roster_swap = None;
            }
        }
        self.roster_event(now, RosterEvent::Record(record), actions);
    }

    pub(super) fn propose_roster(
        &mut self,
        now: Millis,
        mut record: RosterRecord,
        actions: &mut Vec<ControlAction>,
    ) {
        let is_swap_pending = self
            .roster_swap
            .as_ref()
            .is_some_and(|swap| now.since(swap.sent_at) < SWAP_TIMEOUT);
        if !self.is_roster_known || is_swap_pending {
            return;
        }
        let me = self.roster.own_member();
        record.nonce = hash_bytes(
            format!("{}/{}/{}/{now}", me.entry, me.incarnation, record.epoch).as_bytes(),
        );
        let Ok(value) = serde_json::to_vec(&record) else {
            return;
        };
        self.roster_swap = Some(RosterSwap {
            nonce: record.nonce,
            record: record.clone(),
            sent_at: now,
        });
        actions.push(ControlAction::Swap {
            key: ROSTER_KEY.to_owned(),
            expected: self.roster_revision,
            value,
            nonce: record.nonce,
        });
    }

    pub(super) fn handle_swap_outcome(
        &mut self,
        now: Millis,
        key: &str,
        nonce: u64,
        outcome: SwapOutcome,
        actions: &mut Vec<ControlAction>,
    ) {
        if key != ROSTER_KEY {
            if outcome != SwapOutcome::NotSent {
                actions.push(log_line(format!(
                    "event=groups_swapped key={key} nonce={nonce} outcome={outcome:?}"
                )));
            }
            let fabric = FabricDomain::from(key.rsplit('/').next().unwrap_or_default());
            if let Some(placement) = self.placements.get_mut(&fabric) {
                placement.handle(now, PlacementEvent::Swapped { nonce, outcome });
                self.next_publication = Millis::ZERO;
            }
            return;
        }
        let Some(swap) = self.roster_swap.take_if(|swap| swap.nonce == nonce) else {
            return;
        };
        match outcome {
            SwapOutcome::Won(revision) => {
                self.roster_revision = self.roster_revision.max(revision);
                self.roster_event(now, RosterEvent::Record(swap.record), actions);
            }
            // The stored roster is unknown until the next read, so nothing is proposed before it.
            SwapOutcome::Lost | SwapOutcome::Unknown => {
                self.is_roster_known = false;
                actions.push(ControlAction::Read(ROSTER_KEY.to_owned()));
            }
            SwapOutcome::NotSent => {}
        }
    }

    pub(super) fn handle_read_failure(&mut self, key: &str) {
        if key != ROLL_KEY && !key.starts_with(GROUP_PREFIX) && key != ROSTER_KEY {
            self.requested_bundle = None;
        }
    }

    pub(super) fn handle_groups_read(
        &mut self,
        now: Millis,
        key: &str,
        entry: Option<KvEntry>,
        started: Millis,
        actions: &mut Vec<ControlAction>,
    ) {
        let mut parts = key.trim_start_matches(GROUP_PREFIX).split('/');
        let (Some(failure_domain), Some(fabric)) = (parts.next(), parts.next()) else {
            return;
        };
        let (failure_domain, fabric) = (
            FailureDomain::from(failure_domain),
            FabricDomain::from(fabric),
        );
        let revision = entry.as_ref().map_or(0, |entry| entry.revision);
        let record = entry.map(|entry| serde_json::from_slice::<DomainRecord>(&entry.value));
        let record = match record.transpose() {
            Ok(record) => record,
            Err(error) => {
                actions.push(log_line(format!(
                    "event=groups_unreadable fabric={fabric} reason={:?}",
                    error.to_string()
                )));
                return;
            }
        };
        let placement = self.placement_entry(&fabric, &failure_domain);
        let is_newer = placement.revision() < revision;
        let event = PlacementEvent::Record {
            record,
            revision,
            started,
        };
        placement.handle(now, event);
        if is_newer {
            self.next_publication = Millis::ZERO;
        }
    }

    pub(super) fn handle_peer_groups(
        &mut self,
        now: Millis,
        peer_entry: GroupsEntry,
        actions: &mut Vec<ControlAction>,
    ) {
        let fabric = FabricDomain::from(peer_entry.key.rsplit('/').next().unwrap_or_default());
        let known_revision = self.placements.get(&fabric).map_or(0, |p| p.revision());
        if peer_entry.revision <= known_revision || !peer_entry.key.starts_with(GROUP_PREFIX) {
            return;
        }
        let key = peer_entry.key.clone();
        let entry = KvEntry {
            key: peer_entry.key,
            value: peer_entry.value,
            revision: peer_entry.revision,
        };
        // A record from a peer may be newer than the local one but never confirms a coordinator's
        // own term, hence the start time of zero.
        self.handle_groups_read(now, &key, Some(entry), Millis::ZERO, actions);
    }

    /// Returns the group records to send to a peer.
    pub fn group_entries(&self) -> Vec<GroupsEntry> {
        let records = self.placements.values();
        records
            .filter_map(|placement| Some((placement.revision(), placement.record()?)))
            .map(|(revision, record)| GroupsEntry {
                key: super::keys::group_key(&record.failure_domain, &record.fabric),
                revision,
                value: serde_json::to_vec(record).unwrap_or_default(),
            })
            .collect()
    }

    /// Queries the listed entry VMs while this VM is not in the roster. Such a VM, for example one
    /// that started during an outage of the key-value store, receives no heartbeats.
    pub(super) fn query_peers_as_non_member(
        &mut self,
        now: Millis,
        actions: &mut Vec<ControlAction>,
    ) {
        if self.roster.is_member() || !self.try_start_query(now, "outsider") {
            return;
        }
        let me = self.me().clone();
        let entry_addrs: Vec<std::net::SocketAddr> = self
            .vms
            .values()
            .filter(|fact| fact.kind == VmKind::Entry && fact.vm != me.vm)
            .map(|fact| fact.addr)
            .collect();
        if entry_addrs.is_empty() {
            return;
        }
        let index = (now.0 / QUERY_PERIOD.0) as usize % entry_addrs.len();
        let peer = entry_addrs[index];
        actions.push(ControlAction::QueryRoster(peer));
        actions.push(ControlAction::QueryRoll(peer, self.rolls.number()));
        actions.push(ControlAction::QueryGroups(peer));
    }

    /// Records a query to a peer and returns `true`, unless one on this topic was made within
    /// [`QUERY_PERIOD`].
    pub(super) fn try_start_query(&mut self, now: Millis, topic: &'static str) -> bool {
        let was_queried_recently = self
            .queried_at
            .get(topic)
            .is_some_and(|at| now.since(*at) < QUERY_PERIOD);
        if !was_queried_recently {
            self.queried_at.insert(topic, now);
        }
        !was_queried_recently
    }
}
