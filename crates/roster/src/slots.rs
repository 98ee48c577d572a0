//! Assigns the claims of a key to members.
//!
//! Keys hash to a fixed number of slots. Rendezvous hashing ranks the members of each slot, and a
//! slot's holders are in different failure domains if there are enough of them.

use bergamot_types::prelude::*;

use crate::record::{Member, RosterRecord};

/// Number of slots that keys hash to. Fixed, as all entry VMs must agree on it.
pub const SLOT_COUNT: u16 = 1024;
/// Maximum number of members that hold the claims of a slot: the owner, and two that may keep a
/// copy.
pub const HOLDERS_PER_SLOT: usize = 3;

/// Returns the slot of a hashed key.
pub fn slot_of(key: u128) -> u16 {
    (key % u128::from(SLOT_COUNT)) as u16
}

/// The holders of each slot in one epoch, the owner first.
#[derive(Clone, Debug, Default)]
pub struct SlotMap {
    holders: Vec<Vec<EntryId>>,
}

impl SlotMap {
    /// Selects the holders of every slot among the members of `epoch`.
    ///
    /// Computes [`SLOT_COUNT`] hashes per member.
    pub fn at_epoch(record: &RosterRecord, epoch: u64) -> Self {
        let members = record.members_at(epoch);
        let holders = (0..SLOT_COUNT)
            .map(|slot| holders(slot, &members))
            .collect();
        Self { holders }
    }

    /// Returns the holders of a slot, the owner first. Empty if there are no members.
    pub fn holders(&self, slot: u16) -> &[EntryId] {
        self.holders
            .get(usize::from(slot))
            .map_or(&[], Vec::as_slice)
    }

    /// Returns the owner of a slot.
    pub fn owner(&self, slot: u16) -> Option<&EntryId> {
        self.holders(slot).first()
    }
}

/// Selects the highest-ranked member of each failure domain, then fills up with the highest-ranked
/// of the others.
fn holders(slot: u16, members: &[&Member]) -> Vec<EntryId> {
    let mut ranked: Vec<(u64, &Member)> = members
        .iter()
        .map(|member| {
            let score = rendezvous_score(u64::from(slot), member.entry.as_str());
            (score, *member)
        })
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.entry.cmp(&b.1.entry)));
    let mut selected: Vec<&Member> = Vec::with_capacity(HOLDERS_PER_SLOT);
    for (_, member) in &ranked {
        let is_new_domain = selected
            .iter()
            .all(|other| other.failure_domain != member.failure_domain);
        if selected.len() < HOLDERS_PER_SLOT && is_new_domain {
            selected.push(member);
        }
    }
    for (_, member) in &ranked {
        let is_selected = selected.iter().any(|other| other.entry == member.entry);
        if selected.len() < HOLDERS_PER_SLOT && !is_selected {
            selected.push(member);
        }
    }
    selected
        .into_iter()
        .map(|member| member.entry.clone())
        .collect()
}
