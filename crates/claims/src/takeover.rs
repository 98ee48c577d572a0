//! How a slot's owner comes to know every claim that was ever granted in it.
//!
//! A grant is known to the owner and to at least one more holder of the epoch it was made in. So
//! a new owner asks every holder of every epoch since the settled one. Each answer also binds the
//! answering holder to the new epoch: it takes no more copies from owners of older ones, so an
//! old owner that does not know yet cannot grant any more. If one holder is gone, another still
//! knows each claim; if two or more are gone, a claim may be forgotten, and the slot refuses keys
//! for as long as they are kept.
//!
//! Before the epoch counts as settled, the owner has given what it collected to another holder of
//! the new epoch. Otherwise its own loss would take the last copy with it.

use bergamot_roster::{RosterRecord, SlotMap};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

/// Holders of a slot that may be gone without a claim being forgotten.
pub const TOLERATED_LOSSES: usize = 1;

/// Where a slot's owner is in taking it over.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub enum SlotPhase {
    /// Some other member owns it.
    NotOwned,
    /// Owned; these holders have not told what they know yet.
    Collecting(IndexSet<EntryId>),
    /// Owned, but claims may have been forgotten; keys are refused until then.
    Forgetful(Millis),
    /// Owned, and every claim is known, but none of these holders of the epoch has copies yet.
    Replicating(IndexSet<EntryId>),
    /// Owned, every claim is known and has a copy.
    Ready,
}

/// The members that may know claims of each slot, over all open epochs.
#[derive(Clone, Debug, Default)]
pub struct HolderHistory {
    maps: Vec<SlotMap>,
}

impl HolderHistory {
    /// Works out the holders of every open epoch of a record.
    ///
    /// Costs one [`SlotMap::at_epoch`] for each distinct set of members.
    pub fn of(record: &RosterRecord) -> Self {
        let mut seen: IndexMap<Vec<(EntryId, u64)>, SlotMap> = IndexMap::new();
        for epoch in record.open_epochs() {
            let members = record
                .members_at(epoch)
                .into_iter()
                .map(|member| (member.entry.clone(), member.incarnation))
                .collect();
            seen.entry(members)
                .or_insert_with(|| SlotMap::at_epoch(record, epoch));
        }
        let maps = seen.into_values().collect();
        Self { maps }
    }

    /// Everyone who held the slot in an open epoch.
    pub fn holders(&self, slot: u16) -> IndexSet<EntryId> {
        self.maps
            .iter()
            .flat_map(|map| map.holders(slot))
            .cloned()
            .collect()
    }
}

/// The members that a slot's owner copies its claims to, in order.
pub fn co_holders(map: &SlotMap, me: &EntryId, slot: u16) -> IndexSet<EntryId> {
    let holders = map.holders(slot).iter();
    holders.filter(|holder| *holder != me).cloned().collect()
}

/// What a new owner has to do for a slot at the start of an epoch.
pub fn begin(
    record: &RosterRecord,
    history: &HolderHistory,
    me: &EntryId,
    slot: u16,
    forget_until: Millis,
) -> SlotPhase {
    let holders = history.holders(slot);
    let is_gone = |entry: &EntryId| {
        let departed = record.departed.iter();
        departed
            .filter(|departed| departed.member.entry == *entry)
            .any(|departed| departed.left > record.settled)
    };
    let gone = holders.iter().filter(|entry| is_gone(entry)).count();
    if gone > TOLERATED_LOSSES {
        return SlotPhase::Forgetful(forget_until);
    }
    let ask: IndexSet<EntryId> = holders
        .into_iter()
        .filter(|entry| entry != me && record.member(entry).is_some())
        .collect();
    match ask.is_empty() {
        true => SlotPhase::Ready,
        false => SlotPhase::Collecting(ask),
    }
}
