//! How the new owner of a slot learns every claim that was ever granted in it.
//!
//! The owner and at least one more holder of the epoch know each grant. A new owner therefore asks
//! every holder of every epoch since the settled one. By answering, a holder also commits to the
//! new epoch: it accepts no more copies from owners of older epochs, so that an old owner that does
//! not know of the change can no longer grant claims. If one holder is lost, another knows each
//! claim. If two or more are lost, a claim may be lost with them, and the slot rejects new keys for
//! as long as claims are retained.
//!
//! The epoch counts as settled only after the owner has copied the collected claims to another
//! holder of the new epoch. Otherwise the loss of the owner would also lose the last copy.

use bergamot_roster::{RosterRecord, SlotMap};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

/// Number of a slot's holders that can be lost without losing a claim.
pub const TOLERATED_LOSSES: usize = 1;

/// Progress of a member in taking over a slot.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub enum SlotPhase {
    /// Another member owns the slot.
    NotOwned,
    /// Owned; these holders have yet to report their claims.
    Collecting(IndexSet<EntryId>),
    /// Owned, but claims may have been lost; unknown keys are rejected until this time.
    #[serde(rename = "Forgetful")]
    Incomplete(Millis),
    /// Owned, and every claim is known, but none of these holders of the epoch has copies yet.
    Replicating(IndexSet<EntryId>),
    /// Owned; every claim is known and has a copy.
    Ready,
}

/// The members that may know claims of each slot, over all open epochs.
#[derive(Clone, Debug, Default)]
pub struct HolderHistory {
    slot_maps: Vec<SlotMap>,
}

impl HolderHistory {
    /// Computes the holders of every open epoch of a roster.
    ///
    /// Calls [`SlotMap::at_epoch`] once for each distinct set of members.
    pub fn from_roster(roster: &RosterRecord) -> Self {
        let mut distinct_maps: IndexMap<Vec<(EntryId, u64)>, SlotMap> = IndexMap::new();
        for epoch in roster.open_epochs() {
            let members = roster
                .members_at(epoch)
                .into_iter()
                .map(|member| (member.entry.clone(), member.incarnation))
                .collect();
            distinct_maps
                .entry(members)
                .or_insert_with(|| SlotMap::at_epoch(roster, epoch));
        }
        let slot_maps = distinct_maps.into_values().collect();
        Self { slot_maps }
    }

    /// Returns every member that held the slot in an open epoch.
    pub fn holders(&self, slot: u16) -> IndexSet<EntryId> {
        self.slot_maps
            .iter()
            .flat_map(|slot_map| slot_map.holders(slot))
            .cloned()
            .collect()
    }
}

/// Returns the members to which a slot's owner copies its claims, in order of preference.
pub fn copy_holders(slot_map: &SlotMap, own_id: &EntryId, slot: u16) -> IndexSet<EntryId> {
    let holders = slot_map.holders(slot).iter();
    holders
        .filter(|holder| *holder != own_id)
        .cloned()
        .collect()
}

/// Returns the phase in which a new owner starts to take over a slot.
pub fn initial_phase(
    roster: &RosterRecord,
    history: &HolderHistory,
    own_id: &EntryId,
    slot: u16,
    incomplete_until: Millis,
) -> SlotPhase {
    let holders = history.holders(slot);
    let is_lost = |entry: &EntryId| {
        let departed = roster.departed.iter();
        departed
            .filter(|departed| departed.member.entry == *entry)
            .any(|departed| departed.left > roster.settled)
    };
    let lost_holders = holders.iter().filter(|entry| is_lost(entry)).count();
    if lost_holders > TOLERATED_LOSSES {
        return SlotPhase::Incomplete(incomplete_until);
    }
    let remaining_holders: IndexSet<EntryId> = holders
        .into_iter()
        .filter(|entry| entry != own_id && roster.member(entry).is_some())
        .collect();
    match remaining_holders.is_empty() {
        true => SlotPhase::Ready,
        false => SlotPhase::Collecting(remaining_holders),
    }
}
