//! Swaps of the record: what became of one that was sent.

use bergamot_types::prelude::*;

use super::{PendingSwap, PlacementState};
use crate::event::SwapOutcome;
use crate::record::DomainRecord;

impl PlacementState {
    /// Learns from a later read what became of a swap whose answer was lost.
    pub(super) fn settle_unknown(
        &mut self,
        now: Millis,
        record: Option<&DomainRecord>,
        revision: i64,
        started: Millis,
    ) {
        let Some(pending) = self
            .pending
            .take_if(|pending| pending.is_unknown && started > pending.sent)
        else {
            return;
        };
        let is_written = record.is_some_and(|record| record.nonce == pending.record.nonce);
        if is_written {
            log::info!(
                "event=swap_settled fabric={} nonce={} revision={revision} outcome=won",
                self.fabric,
                pending.record.nonce
            );
            self.win(now, &pending);
        }
    }

    pub(super) fn holds_record(&self) -> bool {
        self.record.as_ref().is_some_and(|record| {
            record.coordinator == self.me && record.incarnation == self.incarnation
        })
    }

    pub(super) fn win(&mut self, now: Millis, pending: &PendingSwap) {
        match pending.is_takeover {
            true => {
                // Whoever held the term before may still have an order on its way.
                let had_other = pending.record.term > 1;
                let quiet = match had_other {
                    true => self.options.confirm_bound + self.options.order_timeout,
                    false => Millis::ZERO,
                };
                self.fence
                    .won(pending.record.term, pending.sent, now, quiet);
            }
            false => self.fence.confirm(pending.sent),
        }
    }

    pub(super) fn take_swap(&mut self, now: Millis, nonce: u64, outcome: &SwapOutcome) {
        let is_pending = |pending: &mut PendingSwap| pending.record.nonce == nonce;
        match outcome {
            SwapOutcome::Won(revision) => {
                let Some(pending) = self.pending.take_if(is_pending) else {
                    return;
                };
                if *revision < self.revision {
                    return;
                }
                self.win(now, &pending);
                self.revision = *revision;
                self.record = Some(pending.record);
                self.note_phases(now);
            }
            SwapOutcome::Lost | SwapOutcome::NotSent => {
                self.pending.take_if(is_pending);
                self.is_read = *outcome == SwapOutcome::NotSent && self.is_read;
            }
            SwapOutcome::Unknown => {
                if let Some(pending) = self.pending.as_mut()
                    && pending.record.nonce == nonce
                {
                    pending.is_unknown = true;
                    // The settling read has to begin after the swap was given up.
                    pending.sent = now;
                    self.is_read = false;
                }
            }
        }
    }
}
