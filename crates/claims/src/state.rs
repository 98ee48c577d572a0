//! Claims of one entry VM: those in the slots it owns, and the copies it holds for other owners.

mod copies;
mod grants;

use bergamot_roster::{RosterRecord, SLOT_COUNT, SlotMap};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::event::{ClaimAction, ClaimEvent};
use crate::record::{ClaimKey, ClaimPhase, ClaimRecord, ClaimSerial, Claimant, Verdict};
use crate::takeover::{HolderHistory, SlotPhase, initial_phase};
use std::sync::Arc;

/// Time limits and capacity of the claims.
#[derive(Clone, Debug)]
pub struct ClaimOptions {
    /// How long an answer is retained for retries.
    pub retention: Millis,
    /// How long a holder may take to confirm a copy before the next one is tried.
    pub copy_timeout: Millis,
    /// Time between two attempts to collect claims from a holder that has not answered.
    pub collect_retry: Millis,
    /// Capacity for claims. Beyond it new claims are rejected; stored claims are never evicted.
    pub max_claims: usize,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            retention: Millis::from_secs(600),
            copy_timeout: Millis(500),
            collect_retry: Millis(1_000),
            max_claims: 200_000,
        }
    }
}

#[derive(Clone, Debug)]
struct StoredClaim {
    serial: ClaimSerial,
    fingerprint: u64,
    claimant: Claimant,
    phase: ClaimPhase,
    /// When the outcome of an unfinished grant counts as unknown.
    grant_ends_at: Millis,
    expires_at: Millis,
}

/// A grant whose verdict waits until a holder has a copy of the claim.
#[derive(Clone, Debug)]
struct PendingGrant {
    call_id: u64,
    key: ClaimKey,
    serial: ClaimSerial,
    untried_holders: Vec<EntryId>,
    tried_holders: Vec<EntryId>,
    copy_sent_at: Millis,
}

/// Claims of one entry VM.
#[derive(Clone, Debug)]
pub struct ClaimState {
    own_id: EntryId,
    options: ClaimOptions,
    roster: RosterRecord,
    slot_map: SlotMap,
    slot_phases: Vec<SlotPhase>,
    claims: IndexMap<ClaimKey, StoredClaim>,
    pending_grants: IndexMap<u64, PendingGrant>,
    next_op: u64,
    next_collect_at: Millis,
    next_expiry_at: Millis,
    /// The last epoch that was reported as settled.
    reported_epoch: u64,
}

/// Time between two passes that drop expired claims.
const EXPIRY_PERIOD: Millis = Millis(1_000);

impl ClaimState {
    /// Creates the state of a VM that has no roster yet.
    pub fn new(own_id: EntryId, options: ClaimOptions) -> Self {
        Self {
            own_id,
            options,
            roster: RosterRecord::default(),
            slot_map: SlotMap::default(),
            slot_phases: vec![SlotPhase::NotOwned; usize::from(SLOT_COUNT)],
            claims: IndexMap::new(),
            pending_grants: IndexMap::new(),
            next_op: 1,
            next_collect_at: Millis::ZERO,
            next_expiry_at: Millis::ZERO,
            reported_epoch: 0,
        }
    }

    /// Returns the owner of a key in the newest known epoch, with that epoch.
    pub fn owner(&self, key: ClaimKey) -> Option<(&EntryId, u64)> {
        let owner = self.slot_map.owner(key.slot())?;
        Some((owner, self.roster.epoch))
    }

    /// Returns the number of stored claims, including copies held for other owners.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the newest roster epoch known to this VM. It rejects messages of all others.
    pub fn epoch(&self) -> u64 {
        self.roster.epoch
    }

    /// Returns the number of owned slots, and how many of them are not served yet.
    pub fn slot_counts(&self) -> (usize, usize) {
        let owned_slots = self
            .slot_phases
            .iter()
            .filter(|phase| **phase != SlotPhase::NotOwned);
        let served_slots = self.slot_phases.iter().filter(|phase| is_served(phase));
        let owned_count = owned_slots.count();
        (owned_count, owned_count - served_slots.count())
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Millis, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Tick => self.tick(now),
            ClaimEvent::Roster(roster) => self.set_roster(now, roster),
            ClaimEvent::Request(request) => self.handle_request(now, request),
            ClaimEvent::Finish {
                key,
                claimant,
                outcome,
            } => self.handle_finish(now, key, &claimant, outcome),
            ClaimEvent::Copy {
                call_id,
                epoch,
                owner,
                change,
            } => vec![ClaimAction::AnswerCopy {
                call_id,
                is_held: self.apply_copy(now, epoch, &owner, change),
            }],
            ClaimEvent::Copied {
                op,
                holder,
                is_held,
            } => self.handle_copied(now, op, &holder, is_held),
            ClaimEvent::Replica {
                call_id,
                epoch,
                records,
            } => vec![ClaimAction::AnswerReplica {
                call_id,
                is_held: self.store_replica(now, epoch, records),
            }],
            ClaimEvent::Replicated {
                holder,
                epoch,
                slots,
            } => self.handle_replicated(&holder, epoch, &slots),
            ClaimEvent::Collect {
                call_id,
                epoch,
                slots,
            } => {
                vec![ClaimAction::AnswerCollect {
                    call_id,
                    records: self.records_in(now, epoch, &slots),
                }]
            }
            ClaimEvent::Collected {
                holder,
                epoch,
                slots,
                records,
            } => self.handle_collected(now, &holder, epoch, &slots, records),
        }
    }

    fn set_roster(&mut self, now: Millis, roster: RosterRecord) -> Vec<ClaimAction> {
        if roster.epoch < self.roster.epoch {
            return Vec::new();
        }
        let is_new_epoch = roster.epoch > self.roster.epoch;
        let is_next_epoch = roster.epoch == self.roster.epoch + 1;
        self.roster = roster;
        if !is_new_epoch {
            return self.report_settled();
        }
        self.slot_map = SlotMap::at_epoch(&self.roster, self.roster.epoch);
        let history = HolderHistory::from_roster(&self.roster);
        for slot in 0..SLOT_COUNT {
            let old_phase = std::mem::replace(
                &mut self.slot_phases[usize::from(slot)],
                SlotPhase::NotOwned,
            );
            if self.slot_map.owner(slot) != Some(&self.own_id) {
                continue;
            }
            // A VM that owned the slot in the directly preceding epoch knows every claim in it.
            let knows_all_claims = is_next_epoch && is_served(&old_phase);
            let phase = match knows_all_claims {
                true => self.collected_phase(slot),
                false => self.takeover_phase(now, &history, slot, old_phase),
            };
            self.slot_phases[usize::from(slot)] = phase;
        }
        self.mark_orphans_unknown();
        let mut actions = self.reject_pending_grants();
        self.next_collect_at = now;
        actions.extend(self.tick(now));
        actions
    }

    fn takeover_phase(
        &self,
        now: Millis,
        history: &HolderHistory,
        slot: u16,
        old_phase: SlotPhase,
    ) -> SlotPhase {
        let incomplete_until = now + self.options.retention;
        match (
            old_phase,
            initial_phase(&self.roster, history, &self.own_id, slot, incomplete_until),
        ) {
            (_, SlotPhase::Incomplete(until)) => SlotPhase::Incomplete(until),
            (SlotPhase::Incomplete(until), _) if until > now => SlotPhase::Incomplete(until),
            (_, SlotPhase::Ready) => self.collected_phase(slot),
            (_, phase) => phase,
        }
    }

    /// Marks the outcome of each grant as unknown whose claimant is not in the roster, as no
    /// outcome will be reported for it.
    fn mark_orphans_unknown(&mut self) {
        let roster = &self.roster;
        for claim in self.claims.values_mut() {
            let is_member = roster.holds(&claim.claimant.entry, claim.claimant.incarnation);
            if claim.phase == ClaimPhase::Granted && !is_member {
                claim.phase = ClaimPhase::OutcomeUnknown;
            }
        }
    }

    /// Rejects the grants that wait for a copy in an old epoch. Their claimants have had no
    /// verdict yet.
    fn reject_pending_grants(&mut self) -> Vec<ClaimAction> {
        let pending_grants = std::mem::take(&mut self.pending_grants);
        let mut actions = Vec::new();
        for grant in pending_grants.into_values() {
            self.drop_grant(grant.key, grant.serial);
            actions.extend(self.reject_grant(&grant));
        }
        actions
    }

    fn tick(&mut self, now: Millis) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let timed_out_ops: Vec<u64> = self
            .pending_grants
            .iter()
            .filter(|(_, grant)| now.since(grant.copy_sent_at) > self.options.copy_timeout)
            .map(|(op, _)| *op)
            .collect();
        for op in timed_out_ops {
            actions.extend(self.try_next_holder(now, op));
        }
        if now >= self.next_expiry_at {
            self.next_expiry_at = now + EXPIRY_PERIOD;
            self.expire(now);
        }
        if now >= self.next_collect_at {
            self.next_collect_at = now + self.options.collect_retry;
            self.send_collects(&mut actions);
            self.send_replicas(now, &mut actions);
            actions.extend(self.report_settled());
        }
        actions
    }

    fn expire(&mut self, now: Millis) {
        self.claims.retain(|_, claim| claim.expires_at > now);
        for claim in self.claims.values_mut() {
            if claim.phase == ClaimPhase::Granted && claim.grant_ends_at <= now {
                claim.phase = ClaimPhase::OutcomeUnknown;
            }
        }
        for phase in &mut self.slot_phases {
            if matches!(phase, SlotPhase::Incomplete(until) if *until <= now) {
                *phase = SlotPhase::Ready;
            }
        }
    }

    fn send_collects(&self, actions: &mut Vec<ClaimAction>) {
        let mut slots_by_holder: IndexMap<&EntryId, Vec<u16>> = IndexMap::new();
        for (slot, phase) in self.slot_phases.iter().enumerate() {
            if let SlotPhase::Collecting(unanswered) = phase {
                for holder in unanswered {
                    slots_by_holder.entry(holder).or_default().push(slot as u16);
                }
            }
        }
        for (holder, slots) in slots_by_holder {
            actions.push(ClaimAction::SendCollect {
                to: holder.clone(),
                epoch: self.roster.epoch,
                slots,
            });
        }
    }

    fn send_replicas(&self, now: Millis, actions: &mut Vec<ClaimAction>) {
        let mut copies_by_holder: IndexMap<&EntryId, (Vec<u16>, Vec<ClaimRecord>)> =
            IndexMap::new();
        for (slot, phase) in self.slot_phases.iter().enumerate() {
            if let SlotPhase::Replicating(candidates) = phase {
                for holder in candidates {
                    copies_by_holder
                        .entry(holder)
                        .or_default()
                        .0
                        .push(slot as u16);
                }
            }
        }
        for (holder, (slots, mut records)) in copies_by_holder {
            let slot_set: IndexSet<u16> = slots.iter().copied().collect();
            let claims = self.claims.iter();
            let slot_claims = claims.filter(|(key, _)| slot_set.contains(&key.slot()));
            records.extend(slot_claims.map(|(key, claim)| claim_record(*key, claim, now)));
            actions.push(ClaimAction::SendReplica {
                to: holder.clone(),
                epoch: self.roster.epoch,
                slots,
                records,
            });
        }
    }

    fn report_settled(&mut self) -> Vec<ClaimAction> {
        // An incomplete slot does not count as settled: the roster would drop the departed members
        // behind it, and the slot's next owner would not know that claims were lost.
        let is_unsettled =
            |phase: &SlotPhase| !matches!(phase, SlotPhase::NotOwned | SlotPhase::Ready);
        let is_settled = !self.slot_phases.iter().any(is_unsettled);
        if !is_settled || self.reported_epoch >= self.roster.epoch {
            return Vec::new();
        }
        self.reported_epoch = self.roster.epoch;
        vec![ClaimAction::Settled(self.roster.epoch)]
    }
}

fn is_served(phase: &SlotPhase) -> bool {
    matches!(phase, SlotPhase::Ready | SlotPhase::Replicating(_))
}

fn stored_verdict(claim: &StoredClaim, fingerprint: u64, now: Millis) -> Verdict {
    if claim.fingerprint != fingerprint {
        return Verdict::KeyReused;
    }
    match &claim.phase {
        ClaimPhase::Done(answer) => Verdict::Replay(Arc::clone(answer)),
        ClaimPhase::Granted if claim.grant_ends_at > now => Verdict::InProgress,
        ClaimPhase::Granted | ClaimPhase::OutcomeUnknown => Verdict::OutcomeUnknown,
    }
}

fn claim_record(key: ClaimKey, claim: &StoredClaim, now: Millis) -> ClaimRecord {
    ClaimRecord {
        key,
        serial: claim.serial,
        fingerprint: claim.fingerprint,
        claimant: claim.claimant.clone(),
        phase: claim.phase.clone(),
        grant_left: claim.grant_ends_at.since(now),
        retention_left: claim.expires_at.since(now),
    }
}

/// Orders the phases of one grant. Records of a higher rank replace those of a lower one.
fn phase_rank(phase: &ClaimPhase) -> u8 {
    match phase {
        ClaimPhase::Granted => 0,
        ClaimPhase::OutcomeUnknown => 1,
        ClaimPhase::Done(_) => 2,
    }
}
