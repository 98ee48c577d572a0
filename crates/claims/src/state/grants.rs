//! Requests for claims, the grants that wait for a copy, and the outcomes of claimed requests.

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;

use super::{ClaimState, PendingGrant, StoredClaim, claim_record, stored_verdict};
use crate::event::{ClaimAction, ClaimRequest, CopyChange, FinishOutcome};
use crate::record::{ClaimKey, ClaimPhase, ClaimSerial, Claimant, Verdict};
use crate::takeover::{SlotPhase, copy_holders};

impl ClaimState {
    pub(super) fn handle_request(
        &mut self,
        now: Millis,
        request: ClaimRequest,
    ) -> Vec<ClaimAction> {
        let ClaimRequest {
            call_id,
            key,
            fingerprint,
            claimant,
            epoch,
            grant,
        } = request;
        let answer = |verdict| vec![ClaimAction::Verdict { call_id, verdict }];
        if epoch != self.roster.epoch || !self.roster.holds(&claimant.entry, claimant.incarnation) {
            return answer(Verdict::Unavailable);
        }
        match &self.slot_phases[usize::from(key.slot())] {
            SlotPhase::NotOwned | SlotPhase::Collecting(_) => {
                return answer(Verdict::Unavailable);
            }
            SlotPhase::Replicating(_) | SlotPhase::Ready | SlotPhase::Incomplete(_) => {}
        }
        if let Some(claim) = self.claims.get(&key) {
            return answer(stored_verdict(claim, fingerprint, now));
        }
        if let SlotPhase::Incomplete(until) = &self.slot_phases[usize::from(key.slot())]
            && *until > now
        {
            return answer(Verdict::Forgotten);
        }
        if self.claims.len() >= self.options.max_claims {
            return answer(Verdict::Unavailable);
        }
        let op = self.next_op;
        self.next_op += 1;
        let serial = ClaimSerial { epoch, count: op };
        let claim = StoredClaim {
            serial,
            fingerprint,
            claimant,
            phase: ClaimPhase::Granted,
            grant_ends_at: now + grant,
            expires_at: now + grant + self.options.retention,
        };
        self.claims.insert(key, claim);
        let mut untried_holders: Vec<EntryId> =
            copy_holders(&self.slot_map, &self.own_id, key.slot())
                .into_iter()
                .collect();
        if untried_holders.is_empty() || is_on(Mutation::GrantWithoutReplica) {
            // A single entry VM has no other holder to copy to, and none that could replace it.
            return answer(Verdict::Granted);
        }
        let first_holder = untried_holders.remove(0);
        let pending_grant = PendingGrant {
            call_id,
            key,
            serial,
            untried_holders,
            tried_holders: vec![first_holder.clone()],
            copy_sent_at: now,
        };
        self.pending_grants.insert(op, pending_grant);
        vec![self.send_copy(now, op, first_holder, (key, serial))]
    }

    /// Returns the action that sends a holder the current state of a grant: the claim, or that it
    /// was dropped.
    pub(super) fn send_copy(
        &self,
        now: Millis,
        op: u64,
        to: EntryId,
        (key, serial): (ClaimKey, ClaimSerial),
    ) -> ClaimAction {
        let stored_claim = self.claims.get(&key).filter(|claim| claim.serial == serial);
        let change = match stored_claim {
            Some(claim) => CopyChange::Hold(claim_record(key, claim, now)),
            None => CopyChange::Drop(key, serial),
        };
        ClaimAction::SendCopy {
            op,
            to,
            epoch: self.roster.epoch,
            change,
        }
    }

    /// Drops the grant of a key that has this serial. A later grant of the key is retained.
    pub(super) fn drop_grant(&mut self, key: ClaimKey, serial: ClaimSerial) {
        let is_same_grant = self
            .claims
            .get(&key)
            .is_some_and(|claim| claim.serial == serial);
        if is_same_grant {
            self.claims.swap_remove(&key);
        }
    }

    pub(super) fn reject_grant(&self, grant: &PendingGrant) -> Vec<ClaimAction> {
        let mut actions = vec![ClaimAction::Verdict {
            call_id: grant.call_id,
            verdict: Verdict::Unavailable,
        }];
        // A holder may have stored the copy even if its answer was lost.
        for holder in &grant.tried_holders {
            actions.push(ClaimAction::SendCopy {
                op: 0,
                to: holder.clone(),
                epoch: self.roster.epoch,
                change: CopyChange::Drop(grant.key, grant.serial),
            });
        }
        actions
    }

    pub(super) fn handle_copied(
        &mut self,
        now: Millis,
        op: u64,
        holder: &EntryId,
        is_held: bool,
    ) -> Vec<ClaimAction> {
        let is_expected = self
            .pending_grants
            .get(&op)
            .is_some_and(|grant| grant.tried_holders.contains(holder));
        if !is_expected {
            return Vec::new();
        }
        if !is_held {
            return self.try_next_holder(now, op);
        }
        let Some(grant) = self.pending_grants.swap_remove(&op) else {
            return Vec::new();
        };
        vec![ClaimAction::Verdict {
            call_id: grant.call_id,
            verdict: Verdict::Granted,
        }]
    }

    pub(super) fn try_next_holder(&mut self, now: Millis, op: u64) -> Vec<ClaimAction> {
        let Some(grant) = self.pending_grants.get_mut(&op) else {
            return Vec::new();
        };
        if grant.untried_holders.is_empty() {
            let Some(grant) = self.pending_grants.swap_remove(&op) else {
                return Vec::new();
            };
            self.drop_grant(grant.key, grant.serial);
            return self.reject_grant(&grant);
        }
        let next_holder = grant.untried_holders.remove(0);
        grant.tried_holders.push(next_holder.clone());
        grant.copy_sent_at = now;
        let grant_id = (grant.key, grant.serial);
        vec![self.send_copy(now, op, next_holder, grant_id)]
    }

    pub(super) fn handle_finish(
        &mut self,
        now: Millis,
        key: ClaimKey,
        claimant: &Claimant,
        outcome: FinishOutcome,
    ) -> Vec<ClaimAction> {
        let Some(claim) = self.claims.get_mut(&key) else {
            return Vec::new();
        };
        let is_unfinished =
            claim.claimant == *claimant && !matches!(claim.phase, ClaimPhase::Done(_));
        if !is_unfinished {
            return Vec::new();
        }
        let grant_id = (key, claim.serial);
        match outcome {
            FinishOutcome::Answered(answer) => {
                claim.phase = ClaimPhase::Done(answer);
                claim.expires_at = now + self.options.retention;
            }
            FinishOutcome::Unknown => claim.phase = ClaimPhase::OutcomeUnknown,
            FinishOutcome::NotRun => {
                self.claims.swap_remove(&key);
            }
        }
        let mut actions = self.cancel_pending_grant(grant_id.1);
        let holders = copy_holders(&self.slot_map, &self.own_id, key.slot()).into_iter();
        actions.extend(holders.map(|holder| self.send_copy(now, 0, holder, grant_id)));
        actions
    }

    /// Cancels a grant that still waits for its copy, as its claimant has given up.
    pub(super) fn cancel_pending_grant(&mut self, serial: ClaimSerial) -> Vec<ClaimAction> {
        let mut pending_grants = self.pending_grants.iter();
        let pending_grant = pending_grants.find(|(_, grant)| grant.serial == serial);
        let Some(op) = pending_grant.map(|(op, _)| *op) else {
            return Vec::new();
        };
        let cancelled_grant = self.pending_grants.swap_remove(&op);
        let verdict = Verdict::Unavailable;
        cancelled_grant
            .map(|grant| ClaimAction::Verdict {
                call_id: grant.call_id,
                verdict,
            })
            .into_iter()
            .collect()
    }
}
