//! Questions of callers, and the grants that wait for a copy.

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;

use super::{ClaimState, PendingGrant, StoredClaim, export, known_verdict};
use crate::event::{ClaimAction, ClaimRequest, CopyChange, FinishOutcome};
use crate::record::{ClaimKey, ClaimPhase, ClaimSerial, Claimant, Verdict};
use crate::takeover::{SlotPhase, co_holders};

impl ClaimState {
    pub(super) fn take_ask(&mut self, now: Millis, question: ClaimRequest) -> Vec<ClaimAction> {
        let ClaimRequest {
            call_id,
            key,
            fingerprint,
            claimant,
            epoch,
            grant,
        } = question;
        let verdict = |verdict| vec![ClaimAction::Verdict { call_id, verdict }];
        if epoch != self.roster.epoch || !self.roster.holds(&claimant.entry, claimant.incarnation) {
            return verdict(Verdict::Unavailable);
        }
        match &self.slots[usize::from(key.slot())] {
            SlotPhase::NotOwned | SlotPhase::Collecting(_) => {
                return verdict(Verdict::Unavailable);
            }
            SlotPhase::Replicating(_) | SlotPhase::Ready | SlotPhase::Forgetful(_) => {}
        }
        if let Some(claim) = self.claims.get(&key) {
            return verdict(known_verdict(claim, fingerprint, now));
        }
        if let SlotPhase::Forgetful(until) = &self.slots[usize::from(key.slot())]
            && *until > now
        {
            return verdict(Verdict::Forgotten);
        }
        if self.claims.len() >= self.options.max_claims {
            return verdict(Verdict::Unavailable);
        }
        let op = self.next_op;
        self.next_op += 1;
        let serial = ClaimSerial { epoch, count: op };
        let stored = StoredClaim {
            serial,
            fingerprint,
            claimant,
            phase: ClaimPhase::Granted,
            lost_at: now + grant,
            forget_at: now + grant + self.options.retention,
        };
        self.claims.insert(key, stored);
        let mut untried: Vec<EntryId> = co_holders(&self.map, &self.me, key.slot())
            .into_iter()
            .collect();
        if untried.is_empty() || is_on(Mutation::GrantWithoutReplica) {
            // A lone entry VM has nobody to copy to, and nobody to be replaced by either.
            return verdict(Verdict::Granted);
        }
        let first = untried.remove(0);
        let grant = PendingGrant {
            call_id,
            key,
            serial,
            untried,
            tried: vec![first.clone()],
            waiting_since: now,
        };
        self.pending.insert(op, grant);
        vec![self.copy_to(now, op, first, (key, serial))]
    }

    pub(super) fn copy_to(
        &self,
        now: Millis,
        op: u64,
        to: EntryId,
        (key, serial): (ClaimKey, ClaimSerial),
    ) -> ClaimAction {
        let held = self.claims.get(&key).filter(|claim| claim.serial == serial);
        let change = match held {
            Some(claim) => CopyChange::Hold(export(key, claim, now)),
            None => CopyChange::Drop(key, serial),
        };
        ClaimAction::SendCopy {
            op,
            to,
            epoch: self.roster.epoch,
            change,
        }
    }

    /// Drops one grant of a key, never a later one of the same key.
    pub(super) fn drop_grant(&mut self, key: ClaimKey, serial: ClaimSerial) {
        let is_same = self
            .claims
            .get(&key)
            .is_some_and(|claim| claim.serial == serial);
        if is_same {
            self.claims.swap_remove(&key);
        }
    }

    pub(super) fn refuse(&self, grant: &PendingGrant) -> Vec<ClaimAction> {
        let mut actions = vec![ClaimAction::Verdict {
            call_id: grant.call_id,
            verdict: Verdict::Unavailable,
        }];
        // A holder may have the copy although its answer was lost.
        for holder in &grant.tried {
            actions.push(ClaimAction::SendCopy {
                op: 0,
                to: holder.clone(),
                epoch: self.roster.epoch,
                change: CopyChange::Drop(grant.key, grant.serial),
            });
        }
        actions
    }

    pub(super) fn take_copied(
        &mut self,
        now: Millis,
        op: u64,
        holder: &EntryId,
        is_held: bool,
    ) -> Vec<ClaimAction> {
        let is_awaited = self
            .pending
            .get(&op)
            .is_some_and(|grant| grant.tried.contains(holder));
        if !is_awaited {
            return Vec::new();
        }
        if !is_held {
            return self.try_next_holder(now, op);
        }
        let Some(grant) = self.pending.swap_remove(&op) else {
            return Vec::new();
        };
        vec![ClaimAction::Verdict {
            call_id: grant.call_id,
            verdict: Verdict::Granted,
        }]
    }

    pub(super) fn try_next_holder(&mut self, now: Millis, op: u64) -> Vec<ClaimAction> {
        let Some(grant) = self.pending.get_mut(&op) else {
            return Vec::new();
        };
        if grant.untried.is_empty() {
            let Some(grant) = self.pending.swap_remove(&op) else {
                return Vec::new();
            };
            self.drop_grant(grant.key, grant.serial);
            return self.refuse(&grant);
        }
        let next = grant.untried.remove(0);
        grant.tried.push(next.clone());
        grant.waiting_since = now;
        let granted = (grant.key, grant.serial);
        vec![self.copy_to(now, op, next, granted)]
    }

    pub(super) fn take_finish(
        &mut self,
        now: Millis,
        key: ClaimKey,
        claimant: &Claimant,
        outcome: FinishOutcome,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.claims.get_mut(&key) else {
            return Vec::new();
        };
        let is_open = claim.claimant == *claimant && !matches!(claim.phase, ClaimPhase::Done(_));
        if !is_open {
            return Vec::new();
        }
        let granted = (key, claim.serial);
        match outcome {
            FinishOutcome::Answered(answer) => {
                claim.phase = ClaimPhase::Done(answer);
                claim.forget_at = now + self.options.retention;
            }
            FinishOutcome::Unknown => claim.phase = ClaimPhase::Lost,
            FinishOutcome::NotRun => {
                self.claims.swap_remove(&key);
            }
        }
        let mut actions = self.give_up_pending(granted.1);
        let copies = co_holders(&self.map, &self.me, key.slot()).into_iter();
        actions.extend(copies.map(|holder| self.copy_to(now, 0, holder, granted)));
        actions
    }

    /// A grant that still waits for its copy is of no use to an claimant that has given up.
    pub(super) fn give_up_pending(&mut self, serial: ClaimSerial) -> Vec<ClaimAction> {
        let mut waiting = self.pending.iter();
        let waiting = waiting.find(|(_, grant)| grant.serial == serial);
        let Some(op) = waiting.map(|(op, _)| *op) else {
            return Vec::new();
        };
        let given_up = self.pending.swap_remove(&op);
        let verdict = Verdict::Unavailable;
        given_up
            .map(|grant| ClaimAction::Verdict {
                call_id: grant.call_id,
                verdict,
            })
            .into_iter()
            .collect()
    }
}
