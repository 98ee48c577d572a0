//! What is read from and written to the key-value service, and what peers pass on of it.

use bergamot_bundle::{AdoptOutcome, RollRecord, SignedBundle};
use bergamot_peer::GroupsEntry;
use bergamot_placement::{DomainRecord, PlacementEvent, SwapOutcome};
use bergamot_platform::{KvEntry, VmKind};
use bergamot_roster::{RosterEvent, RosterRecord};
use bergamot_types::prelude::*;

use super::event::ControlAction;
use super::keys::{GROUP_PREFIX, ROLL_KEY, ROSTER_KEY, bundle_key};
use super::state::{ControlState, note};

/// A proposed roster that is on its way.
#[derive(Clone, Debug)]
pub(super) struct RosterSwap {
    nonce: u64,
    record: RosterRecord,
    sent: Millis,
}

/// Time after which a proposed roster that was not answered is given up.
const SWAP_TIMEOUT: Millis = Millis(5_000);
/// Time between two questions for the same thing.
const ASK_PERIOD: Millis = Millis(1_000);

impl ControlState {
    pub(super) fn read_roll(&mut self, entry: Option<KvEntry>, actions: &mut Vec<ControlAction>) {
        let Some(entry) = entry else {
            return;
        };
        match serde_json::from_slice::<RollRecord>(&entry.value) {
            Ok(record) if record.number > self.rolls.number() => self.offered = Some(record),
            Ok(_) => {}
            Err(error) => actions.push(note(format!(
                "event=roll_unreadable reason={:?}",
                error.to_string()
            ))),
        }
    }

    /// Fetches the bundle of an offered roll.
    pub(super) fn want_roll(&mut self, now: Millis, actions: &mut Vec<ControlAction>) {
        let Some(record) = &self.offered else {
            return;
        };
        if record.number <= self.rolls.number() {
            self.offered = None;
            return;
        }
        let is_asked = self
            .asked_bundle
            .is_some_and(|(digest, at)| digest == record.digest && now.since(at) < ASK_PERIOD);
        if !is_asked {
            self.asked_bundle = Some((record.digest, now));
            actions.push(ControlAction::Read(bundle_key(&record.digest)));
        }
    }

    pub(super) fn read_bundle(&mut self, entry: Option<KvEntry>, actions: &mut Vec<ControlAction>) {
        let (Some(entry), Some(record)) = (entry, self.offered.clone()) else {
            return;
        };
        match serde_json::from_slice::<SignedBundle>(&entry.value) {
            Ok(signed) => self.adopt(&record, &signed, "kv", actions),
            Err(error) => actions.push(note(format!(
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
                self.gate = None;
                self.next_share = Millis::ZERO;
                self.next_view = Millis::ZERO;
                actions.push(ControlAction::Adopted(number, record.digest));
                actions.push(note(format!(
                    "event=roll_adopted number={number} digest={:?} source={source}",
                    record.digest
                )));
            }
            Ok(AdoptOutcome::AlreadyNewer) => {}
            Ok(AdoptOutcome::Conflict) => {
                actions.push(note(format!(
                    "event=roll_conflict number={number} digest={:?} source={source}",
                    record.digest
                )));
            }
            Err(error) => {
                // An unfit roll must not be asked for again and again.
                self.offered = None;
                actions.push(note(format!(
                    "event=roll_refused number={number} source={source} reason={:?}",
                    error.to_string()
                )));
            }
        }
    }

    pub(super) fn read_roster(
        &mut self,
        now: Millis,
        entry: Option<KvEntry>,
        actions: &mut Vec<ControlAction>,
    ) {
        self.roster_read = true;
        let Some(entry) = entry else {
            return;
        };
        let Ok(record) = serde_json::from_slice::<RosterRecord>(&entry.value) else {
            actions.push(note("event=roster_unreadable".to_owned()));
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
        let is_waiting = self
            .roster_swap
            .as_ref()
            .is_some_and(|swap| now.since(swap.sent) < SWAP_TIMEOUT);
        if !self.roster_read || is_waiting {
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
            sent: now,
        });
        actions.push(ControlAction::Swap {
            key: ROSTER_KEY.to_owned(),
            expected: self.roster_revision,
            value,
            nonce: record.nonce,
        });
    }

    pub(super) fn take_swapped(
        &mut self,
        now: Millis,
        key: &str,
        nonce: u64,
        outcome: SwapOutcome,
        actions: &mut Vec<ControlAction>,
    ) {
        if key != ROSTER_KEY {
            if outcome != SwapOutcome::NotSent {
                actions.push(note(format!(
                    "event=groups_swapped key={key} nonce={nonce} outcome={outcome:?}"
                )));
            }
            let fabric = FabricDomain::from(key.rsplit('/').next().unwrap_or_default());
            if let Some(placement) = self.placements.get_mut(&fabric) {
                placement.handle(now, PlacementEvent::Swapped { nonce, outcome });
                self.next_view = Millis::ZERO;
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
            // Whatever is in force now shows in the next read; until then nothing is proposed.
            SwapOutcome::Lost | SwapOutcome::Unknown => {
                self.roster_read = false;
                actions.push(ControlAction::Read(ROSTER_KEY.to_owned()));
            }
            SwapOutcome::NotSent => {}
        }
    }

    pub(super) fn take_read_failure(&mut self, key: &str) {
        if key != ROLL_KEY && !key.starts_with(GROUP_PREFIX) && key != ROSTER_KEY {
            self.asked_bundle = None;
        }
    }

    pub(super) fn read_groups(
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
                actions.push(note(format!(
                    "event=groups_unreadable fabric={fabric} reason={:?}",
                    error.to_string()
                )));
                return;
            }
        };
        let placement = self.placement_entry(&fabric, &failure_domain);
        let is_news = placement.revision() < revision;
        let event = PlacementEvent::Record {
            record,
            revision,
            started,
        };
        placement.handle(now, event);
        if is_news {
            self.next_view = Millis::ZERO;
        }
    }

    pub(super) fn take_peer_groups(
        &mut self,
        now: Millis,
        given: GroupsEntry,
        actions: &mut Vec<ControlAction>,
    ) {
        let fabric = FabricDomain::from(given.key.rsplit('/').next().unwrap_or_default());
        let known = self.placements.get(&fabric).map_or(0, |p| p.revision());
        if given.revision <= known || !given.key.starts_with(GROUP_PREFIX) {
            return;
        }
        let key = given.key.clone();
        let entry = KvEntry {
            key: given.key,
            value: given.value,
            revision: given.revision,
        };
        // A record told by a peer is news, but never confirms a coordinator's own term.
        self.read_groups(now, &key, Some(entry), Millis::ZERO, actions);
    }

    /// The records of groups for a peer.
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

    /// A VM that is not in the roster, as when it started while the service was out, gets no
    /// heartbeats; it asks the entry VMs of the list.
    pub(super) fn ask_peers_as_outsider(&mut self, now: Millis, actions: &mut Vec<ControlAction>) {
        if self.roster.is_member() || !self.may_ask(now, "outsider") {
            return;
        }
        let me = self.me().clone();
        let others: Vec<std::net::SocketAddr> = self
            .vms
            .values()
            .filter(|fact| fact.kind == VmKind::Entry && fact.vm != me.vm)
            .map(|fact| fact.addr)
            .collect();
        if others.is_empty() {
            return;
        }
        let turn = (now.0 / ASK_PERIOD.0) as usize % others.len();
        let peer = others[turn];
        actions.push(ControlAction::AskRoster(peer));
        actions.push(ControlAction::AskRoll(peer, self.rolls.number()));
        actions.push(ControlAction::AskGroups(peer));
    }

    /// Asks a peer for something, unless it was asked for just now.
    pub(super) fn may_ask(&mut self, now: Millis, what: &'static str) -> bool {
        let is_asked = self
            .asked_peer
            .get(what)
            .is_some_and(|at| now.since(*at) < ASK_PERIOD);
        if !is_asked {
            self.asked_peer.insert(what, now);
        }
        !is_asked
    }
}
