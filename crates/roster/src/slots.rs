//! Which members hold the claims of a key: a fixed number of slots, each ranked by rendezvous
//! hashing, with holders in different failure domains where there are enough.

use bergamot_types::prelude::*;

use crate::record::{Member, RosterRecord};

/// Slots that keys fall into. Fixed, as every entry VM must agree on it.
pub const SLOT_COUNT: u16 = 1024;
/// Members that may hold the claims of one slot: the owner and two that may keep its copy.
pub const HOLDERS_PER_SLOT: usize = 3;

/// The slot of a hashed key.
pub fn slot_of(key: u128) -> u16 {
    (key % u128::from(SLOT_COUNT)) as u16
}

/// The holders of each slot in one epoch, the owner first.
#[derive(Clone, Debug, Default)]
pub struct SlotMap {
    holders: Vec<Vec<EntryId>>,
}

impl SlotMap {
    /// Ranks the members of `epoch` for every slot.
    ///
    /// Costs [`SLOT_COUNT`] hashes a member.
    pub fn at_epoch(record: &RosterRecord, epoch: u64) -> Self {
        let members = record.members_at(epoch);
        let holders = (0..SLOT_COUNT)
            .map(|slot| holders(slot, &members))
            .collect();
        Self { holders }
    }

    /// The holders of a slot, the owner first. Empty when there are no members.
    pub fn holders(&self, slot: u16) -> &[EntryId] {
        self.holders
            .get(usize::from(slot))
            .map_or(&[], Vec::as_slice)
    }

    /// The owner of a slot.
    pub fn owner(&self, slot: u16) -> Option<&EntryId> {
        self.holders(slot).first()
    }
}

fn holders(slot: u16, members: &[&Member]) -> Vec<EntryId> {
    let mut ranked: Vec<(u64, &Member)> = members
        .iter()
        .map(|member| {
            let score = rendezvous_score(u64::from(slot), member.entry.as_str());
            (score, *member)
        })
        .collect();
    ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.entry.cmp(&b.1.entry)));
    let mut chosen: Vec<&Member> = Vec::with_capacity(HOLDERS_PER_SLOT);
    for (_, member) in &ranked {
        let is_new_domain = chosen
            .iter()
            .all(|other| other.failure_domain != member.failure_domain);
        if chosen.len() < HOLDERS_PER_SLOT && is_new_domain {
            chosen.push(member);
        }
    }
    for (_, member) in &ranked {
        let is_chosen = chosen.iter().any(|other| other.entry == member.entry);
        if chosen.len() < HOLDERS_PER_SLOT && !is_chosen {
            chosen.push(member);
        }
    }
    chosen
        .into_iter()
        .map(|member| member.entry.clone())
        .collect()
}
