//! Copies of claims: those that other members hold for this VM, and those it holds for them.

use bergamot_types::prelude::*;
use indexmap::IndexSet;

use super::{ClaimState, StoredClaim, claim_record, phase_rank};
use crate::event::{ClaimAction, CopyChange};
use crate::record::ClaimRecord;
use crate::takeover::{SlotPhase, copy_holders};

impl ClaimState {
    pub(super) fn apply_copy(
        &mut self,
        now: Millis,
        epoch: u64,
        owner: &EntryId,
        change: CopyChange,
    ) -> bool {
        // An owner of another epoch must not grant claims, as a newer owner may already have
        // collected the claims of this VM.
        let slot = change.key().slot();
        if epoch != self.roster.epoch || self.slot_map.owner(slot) != Some(owner) {
            return false;
        }
        match change {
            CopyChange::Hold(record) => self.merge_record(now, record),
            CopyChange::Drop(key, serial) => self.drop_grant(key, serial),
        }
        true
    }

    pub(super) fn store_replica(
        &mut self,
        now: Millis,
        epoch: u64,
        records: Vec<ClaimRecord>,
    ) -> bool {
        if epoch != self.roster.epoch {
            return false;
        }
        for record in records {
            self.merge_record(now, record);
        }
        true
    }

    pub(super) fn handle_replicated(
        &mut self,
        holder: &EntryId,
        epoch: u64,
        slots: &[u16],
    ) -> Vec<ClaimAction> {
        if epoch != self.roster.epoch {
            return Vec::new();
        }
        for slot in slots {
            let Some(phase) = self.slot_phases.get_mut(usize::from(*slot)) else {
                continue;
            };
            if matches!(phase, SlotPhase::Replicating(candidates) if candidates.contains(holder)) {
                *phase = SlotPhase::Ready;
            }
        }
        self.report_settled()
    }

    /// Returns the phase of a slot whose claims are all known: `Replicating` if it has claims that
    /// another holder can store, `Ready` otherwise.
    pub(super) fn collected_phase(&self, slot: u16) -> SlotPhase {
        let has_claims = self.claims.keys().any(|key| key.slot() == slot);
        let candidates = copy_holders(&self.slot_map, &self.own_id, slot);
        match has_claims && !candidates.is_empty() {
            true => SlotPhase::Replicating(candidates),
            false => SlotPhase::Ready,
        }
    }

    /// Returns the claims in some slots, or `None` if this VM is in another epoch.
    pub(super) fn records_in(
        &mut self,
        now: Millis,
        epoch: u64,
        slots: &[u16],
    ) -> Option<Vec<ClaimRecord>> {
        if epoch != self.roster.epoch {
            return None;
        }
        let slot_set: IndexSet<u16> = slots.iter().copied().collect();
        let records = self
            .claims
            .iter()
            .filter(|(key, _)| slot_set.contains(&key.slot()))
            .map(|(key, claim)| claim_record(*key, claim, now));
        Some(records.collect())
    }

    pub(super) fn handle_collected(
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
            self.merge_record(now, record);
        }
        self.mark_orphans_unknown();
        let mut collected_slots = Vec::new();
        for slot in slots {
            let Some(phase) = self.slot_phases.get_mut(usize::from(*slot)) else {
                continue;
            };
            let SlotPhase::Collecting(unanswered) = phase else {
                continue;
            };
            unanswered.swap_remove(holder);
            if unanswered.is_empty() {
                collected_slots.push(*slot);
            }
        }
        for slot in collected_slots {
            self.slot_phases[usize::from(slot)] = self.collected_phase(slot);
        }
        let mut actions = Vec::new();
        self.send_replicas(now, &mut actions);
        actions.extend(self.report_settled());
        actions
    }

    /// Stores a claim that another holder sent, unless the stored one has a later grant, or the
    /// same grant in at least as late a phase.
    pub(super) fn merge_record(&mut self, now: Millis, record: ClaimRecord) {
        let received_claim = StoredClaim {
            serial: record.serial,
            fingerprint: record.fingerprint,
            claimant: record.claimant,
            phase: record.phase,
            grant_ends_at: now + record.grant_left,
            expires_at: now + record.retention_left,
        };
        match self.claims.entry(record.key) {
            indexmap::map::Entry::Vacant(vacant) => {
                vacant.insert(received_claim);
            }
            indexmap::map::Entry::Occupied(mut occupied) => {
                let stored_claim = occupied.get();
                let order = |claim: &StoredClaim| (claim.serial, phase_rank(&claim.phase));
                if order(&received_claim) > order(stored_claim) {
                    occupied.insert(received_claim);
                }
            }
        }
    }
}
