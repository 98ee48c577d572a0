//! Copies of claims: those that others hold for this VM, and those it holds for them.

use bergamot_types::prelude::*;
use indexmap::IndexSet;

use super::{ClaimState, StoredClaim, export, rank};
use crate::event::{ClaimAction, CopyChange};
use crate::record::ClaimRecord;
use crate::takeover::{SlotPhase, co_holders};

impl ClaimState {
    pub(super) fn hold_copy(
        &mut self,
        now: Millis,
        epoch: u64,
        owner: &EntryId,
        change: CopyChange,
    ) -> bool {
        // An owner of another epoch must not grant: a newer owner may have asked us already.
        let slot = change.key().slot();
        if epoch != self.roster.epoch || self.map.owner(slot) != Some(owner) {
            return false;
        }
        match change {
            CopyChange::Hold(record) => self.import(now, record),
            CopyChange::Drop(key, serial) => self.drop_grant(key, serial),
        }
        true
    }

    pub(super) fn hold_replica(
        &mut self,
        now: Millis,
        epoch: u64,
        records: Vec<ClaimRecord>,
    ) -> bool {
        if epoch != self.roster.epoch {
            return false;
        }
        for record in records {
            self.import(now, record);
        }
        true
    }

    pub(super) fn take_replicated(
        &mut self,
        holder: &EntryId,
        epoch: u64,
        slots: &[u16],
    ) -> Vec<ClaimAction> {
        if epoch != self.roster.epoch {
            return Vec::new();
        }
        for slot in slots {
            let Some(phase) = self.slots.get_mut(usize::from(*slot)) else {
                continue;
            };
            if matches!(phase, SlotPhase::Replicating(waiting) if waiting.contains(holder)) {
                *phase = SlotPhase::Ready;
            }
        }
        self.report_settled()
    }

    /// The phase of a slot whose claims are all known here: do they need copies elsewhere?
    pub(super) fn known_phase(&self, slot: u16) -> SlotPhase {
        let has_claims = self.claims.keys().any(|key| key.slot() == slot);
        let others = co_holders(&self.map, &self.me, slot);
        match has_claims && !others.is_empty() {
            true => SlotPhase::Replicating(others),
            false => SlotPhase::Ready,
        }
    }

    pub(super) fn tell(
        &mut self,
        now: Millis,
        epoch: u64,
        slots: &[u16],
    ) -> Option<Vec<ClaimRecord>> {
        if epoch != self.roster.epoch {
            return None;
        }
        let asked: IndexSet<u16> = slots.iter().copied().collect();
        let told = self
            .claims
            .iter()
            .filter(|(key, _)| asked.contains(&key.slot()))
            .map(|(key, claim)| export(*key, claim, now));
        Some(told.collect())
    }

    pub(super) fn take_collected(
        &mut self,
        now: Millis,
        holder: &EntryId,
        epoch: u64,
        slots: &[u16],
        records: Vec<ClaimRecord>,
    ) -> Vec<ClaimAction> {
        if epoch != self.roster.epoch {
            return Vec::new();
        }
        for record in records {
            self.import(now, record);
        }
        self.lose_orphans();
        let mut known = Vec::new();
        for slot in slots {
            let Some(phase) = self.slots.get_mut(usize::from(*slot)) else {
                continue;
            };
            let SlotPhase::Collecting(waiting) = phase else {
                continue;
            };
            waiting.swap_remove(holder);
            if waiting.is_empty() {
                known.push(*slot);
            }
        }
        for slot in known {
            self.slots[usize::from(slot)] = self.known_phase(slot);
        }
        let mut actions = Vec::new();
        self.send_replicas(now, &mut actions);
        actions.extend(self.report_settled());
        actions
    }

    /// Takes over a claim told by another holder; a later grant or phase wins.
    pub(super) fn import(&mut self, now: Millis, record: ClaimRecord) {
        let stored = StoredClaim {
            serial: record.serial,
            fingerprint: record.fingerprint,
            claimant: record.claimant,
            phase: record.phase,
            lost_at: now + record.grant_left,
            forget_at: now + record.retention_left,
        };
        match self.claims.entry(record.key) {
            indexmap::map::Entry::Vacant(vacant) => {
                vacant.insert(stored);
            }
            indexmap::map::Entry::Occupied(mut occupied) => {
                let held = occupied.get();
                let order = |claim: &StoredClaim| (claim.serial, rank(&claim.phase));
                if order(&stored) > order(held) {
                    occupied.insert(stored);
                }
            }
        }
    }
}
