//! One entry VM's claims: those it owns, and the copies it holds for others.

mod copies;
mod grants;

use bergamot_roster::{RosterRecord, SLOT_COUNT, SlotMap};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::event::{ClaimAction, ClaimEvent};
use crate::record::{ClaimKey, ClaimPhase, ClaimRecord, ClaimSerial, Claimant, Verdict};
use crate::takeover::{HolderHistory, SlotPhase, begin};
use std::sync::Arc;

/// How long claims live, and how many are kept.
#[derive(Clone, Debug)]
pub struct ClaimOptions {
    /// How long an answer is kept for repeats.
    pub retention: Millis,
    /// How long the other holder has to answer.
    pub copy_timeout: Millis,
    /// Time between two questions to a holder that has not answered.
    pub collect_retry: Millis,
    /// Claims kept at most; a new one is refused beyond that, never an old one dropped.
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
    lost_at: Millis,
    forget_at: Millis,
}

#[derive(Clone, Debug)]
struct PendingGrant {
    call_id: u64,
    key: ClaimKey,
    serial: ClaimSerial,
    untried: Vec<EntryId>,
    tried: Vec<EntryId>,
    waiting_since: Millis,
}

/// The claims of one entry VM.
#[derive(Clone, Debug)]
pub struct ClaimState {
    me: EntryId,
    options: ClaimOptions,
    roster: RosterRecord,
    map: SlotMap,
    slots: Vec<SlotPhase>,
    claims: IndexMap<ClaimKey, StoredClaim>,
    pending: IndexMap<u64, PendingGrant>,
    next_op: u64,
    next_collect: Millis,
    next_expiry: Millis,
    reported: u64,
}

/// Time between two passes that drop what is no longer kept.
const EXPIRY_PERIOD: Millis = Millis(1_000);

impl ClaimState {
    /// The claims of a VM that knows no roster yet.
    pub fn new(me: EntryId, options: ClaimOptions) -> Self {
        Self {
            me,
            options,
            roster: RosterRecord::default(),
            map: SlotMap::default(),
            slots: vec![SlotPhase::NotOwned; usize::from(SLOT_COUNT)],
            claims: IndexMap::new(),
            pending: IndexMap::new(),
            next_op: 1,
            next_collect: Millis::ZERO,
            next_expiry: Millis::ZERO,
            reported: 0,
        }
    }

    /// The owner of a key in the newest known epoch, with that epoch.
    pub fn owner(&self, key: ClaimKey) -> Option<(&EntryId, u64)> {
        let owner = self.map.owner(key.slot())?;
        Some((owner, self.roster.epoch))
    }

    /// Claims held, owned or copied.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// The epoch this VM is bound to.
    pub fn epoch(&self) -> u64 {
        self.roster.epoch
    }

    /// Owned slots, and how many of them are not ready.
    pub fn slot_counts(&self) -> (usize, usize) {
        let owned = self.slots.iter().filter(|s| **s != SlotPhase::NotOwned);
        let ready = self.slots.iter().filter(|phase| is_served(phase));
        let owned = owned.count();
        (owned, owned - ready.count())
    }

    /// Takes one event and says what to do.
    pub fn handle(&mut self, now: Millis, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Tick => self.tick(now),
            ClaimEvent::Roster(record) => self.take_roster(now, record),
            ClaimEvent::Request(question) => self.take_ask(now, question),
            ClaimEvent::Finish {
                key,
                claimant,
                outcome,
            } => self.take_finish(now, key, &claimant, outcome),
            ClaimEvent::Copy {
                call_id,
                epoch,
                owner,
                change,
            } => vec![ClaimAction::AnswerCopy {
                call_id,
                is_held: self.hold_copy(now, epoch, &owner, change),
            }],
            ClaimEvent::Copied {
                op,
                holder,
                is_held,
            } => self.take_copied(now, op, &holder, is_held),
            ClaimEvent::Replica {
                call_id,
                epoch,
                records,
            } => vec![ClaimAction::AnswerReplica {
                call_id,
                is_held: self.hold_replica(now, epoch, records),
            }],
            ClaimEvent::Replicated {
                holder,
                epoch,
                slots,
            } => self.take_replicated(&holder, epoch, &slots),
            ClaimEvent::Collect {
                call_id,
                epoch,
                slots,
            } => {
                vec![ClaimAction::AnswerCollect {
                    call_id,
                    records: self.tell(now, epoch, &slots),
                }]
            }
            ClaimEvent::Collected {
                holder,
                epoch,
                slots,
                records,
            } => self.take_collected(now, &holder, epoch, &slots, records),
        }
    }

    fn take_roster(&mut self, now: Millis, record: RosterRecord) -> Vec<ClaimAction> {
        if record.epoch < self.roster.epoch {
            return Vec::new();
        }
        let is_new_epoch = record.epoch > self.roster.epoch;
        let is_next_epoch = record.epoch == self.roster.epoch + 1;
        self.roster = record;
        if !is_new_epoch {
            return self.report_settled();
        }
        self.map = SlotMap::at_epoch(&self.roster, self.roster.epoch);
        let history = HolderHistory::of(&self.roster);
        for slot in 0..SLOT_COUNT {
            let old = std::mem::replace(&mut self.slots[usize::from(slot)], SlotPhase::NotOwned);
            if self.map.owner(slot) != Some(&self.me) {
                continue;
            }
            // Whoever owned the slot up to now, with no other epoch between, knows it all.
            let is_known = is_next_epoch && is_served(&old);
            let phase = match is_known {
                true => self.known_phase(slot),
                false => self.begin_slot(now, &history, slot, old),
            };
            self.slots[usize::from(slot)] = phase;
        }
        self.lose_orphans();
        let mut actions = self.withdraw_all();
        self.next_collect = now;
        actions.extend(self.tick(now));
        actions
    }

    fn begin_slot(
        &self,
        now: Millis,
        history: &HolderHistory,
        slot: u16,
        old: SlotPhase,
    ) -> SlotPhase {
        let forget_until = now + self.options.retention;
        match (
            old,
            begin(&self.roster, history, &self.me, slot, forget_until),
        ) {
            (_, SlotPhase::Forgetful(until)) => SlotPhase::Forgetful(until),
            (SlotPhase::Forgetful(until), _) if until > now => SlotPhase::Forgetful(until),
            (_, SlotPhase::Ready) => self.known_phase(slot),
            (_, begun) => begun,
        }
    }

    /// A claim whose claimant is gone can no longer be answered.
    fn lose_orphans(&mut self) {
        let roster = &self.roster;
        for claim in self.claims.values_mut() {
            let is_there = roster.holds(&claim.claimant.entry, claim.claimant.incarnation);
            if claim.phase == ClaimPhase::Granted && !is_there {
                claim.phase = ClaimPhase::Lost;
            }
        }
    }

    /// Grants that wait for a copy in an old epoch are refused; they were never told.
    fn withdraw_all(&mut self) -> Vec<ClaimAction> {
        let pending = std::mem::take(&mut self.pending);
        let mut actions = Vec::new();
        for grant in pending.into_values() {
            self.drop_grant(grant.key, grant.serial);
            actions.extend(self.refuse(&grant));
        }
        actions
    }

    fn tick(&mut self, now: Millis) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, grant)| now.since(grant.waiting_since) > self.options.copy_timeout)
            .map(|(op, _)| *op)
            .collect();
        for op in late {
            actions.extend(self.try_next_holder(now, op));
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_PERIOD;
            self.expire(now);
        }
        if now >= self.next_collect {
            self.next_collect = now + self.options.collect_retry;
            self.ask_holders(&mut actions);
            self.send_replicas(now, &mut actions);
            actions.extend(self.report_settled());
        }
        actions
    }

    fn expire(&mut self, now: Millis) {
        self.claims.retain(|_, claim| claim.forget_at > now);
        for claim in self.claims.values_mut() {
            if claim.phase == ClaimPhase::Granted && claim.lost_at <= now {
                claim.phase = ClaimPhase::Lost;
            }
        }
        for phase in &mut self.slots {
            if matches!(phase, SlotPhase::Forgetful(until) if *until <= now) {
                *phase = SlotPhase::Ready;
            }
        }
    }

    fn ask_holders(&self, actions: &mut Vec<ClaimAction>) {
        let mut questions: IndexMap<&EntryId, Vec<u16>> = IndexMap::new();
        for (slot, phase) in self.slots.iter().enumerate() {
            if let SlotPhase::Collecting(waiting) = phase {
                for holder in waiting {
                    questions.entry(holder).or_default().push(slot as u16);
                }
            }
        }
        for (holder, slots) in questions {
            actions.push(ClaimAction::SendCollect {
                to: holder.clone(),
                epoch: self.roster.epoch,
                slots,
            });
        }
    }

    fn send_replicas(&self, now: Millis, actions: &mut Vec<ClaimAction>) {
        let mut copies: IndexMap<&EntryId, (Vec<u16>, Vec<ClaimRecord>)> = IndexMap::new();
        for (slot, phase) in self.slots.iter().enumerate() {
            if let SlotPhase::Replicating(waiting) = phase {
                for holder in waiting {
                    copies.entry(holder).or_default().0.push(slot as u16);
                }
            }
        }
        for (holder, (slots, mut records)) in copies {
            let chosen: IndexSet<u16> = slots.iter().copied().collect();
            let claims = self.claims.iter();
            let claims = claims.filter(|(key, _)| chosen.contains(&key.slot()));
            records.extend(claims.map(|(key, claim)| export(*key, claim, now)));
            actions.push(ClaimAction::SendReplica {
                to: holder.clone(),
                epoch: self.roster.epoch,
                slots,
                records,
            });
        }
    }

    fn report_settled(&mut self) -> Vec<ClaimAction> {
        // A forgetful slot is not settled either: were the losses behind it forgotten by the
        // roster, the slot's next owner would not know that claims were lost.
        let is_open = |phase: &SlotPhase| !matches!(phase, SlotPhase::NotOwned | SlotPhase::Ready);
        let is_settled = !self.slots.iter().any(is_open);
        if !is_settled || self.reported >= self.roster.epoch {
            return Vec::new();
        }
        self.reported = self.roster.epoch;
        vec![ClaimAction::Settled(self.roster.epoch)]
    }
}

fn is_served(phase: &SlotPhase) -> bool {
    matches!(phase, SlotPhase::Ready | SlotPhase::Replicating(_))
}

fn known_verdict(claim: &StoredClaim, fingerprint: u64, now: Millis) -> Verdict {
    if claim.fingerprint != fingerprint {
        return Verdict::KeyReused;
    }
    match &claim.phase {
        ClaimPhase::Done(answer) => Verdict::Replay(Arc::clone(answer)),
        ClaimPhase::Granted if claim.lost_at > now => Verdict::InProgress,
        ClaimPhase::Granted | ClaimPhase::Lost => Verdict::OutcomeUnknown,
    }
}

fn export(key: ClaimKey, claim: &StoredClaim, now: Millis) -> ClaimRecord {
    ClaimRecord {
        key,
        serial: claim.serial,
        fingerprint: claim.fingerprint,
        claimant: claim.claimant.clone(),
        phase: claim.phase.clone(),
        grant_left: claim.lost_at.since(now),
        retention_left: claim.forget_at.since(now),
    }
}

fn rank(phase: &ClaimPhase) -> u8 {
    match phase {
        ClaimPhase::Granted => 0,
        ClaimPhase::Lost => 1,
        ClaimPhase::Done(_) => 2,
    }
}
