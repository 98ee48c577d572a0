//! Outcomes of swaps of the record.

use bergamot_types::prelude::*;

use super::{PendingSwap, PlacementState};
use crate::event::SwapOutcome;
use crate::record::DomainRecord;

impl PlacementState {
    /// Settles a swap of unknown outcome by a later read of the record.
    pub(super) fn settle_unknown_swap(
        &mut self,
        now: Millis,
        record: Option<&DomainRecord>,
        revision: i64,
        started_at: Millis,
    ) {
        let Some(pending) = self
            .pending_swap
            .take_if(|pending| pending.is_unknown && started_at > pending.sent_at)
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
            self.record_win(now, &pending);
        }
    }

    /// Whether this incarnation of this VM wrote the record's term.
    pub(super) fn holds_record(&self) -> bool {
        self.record.as_ref().is_some_and(|record| {
            record.coordinator == self.own_entry && record.incarnation == self.incarnation
        })
    }

    pub(super) fn record_win(&mut self, now: Millis, pending: &PendingSwap) {
        match pending.is_takeover {
            true => {
                // The previous holder of the term may still have an order in flight.
                let had_previous_holder = pending.record.term > 1;
                let handover = match had_previous_holder {
                    true => self.options.confirm_bound + self.options.order_timeout,
                    false => Millis::ZERO,
                };
                self.fence
                    .record_win(pending.record.term, pending.sent_at, now, handover);
            }
            false => self.fence.confirm(pending.sent_at),
        }
    }

    pub(super) fn apply_swap(&mut self, now: Millis, nonce: u64, outcome: &SwapOutcome) {
        let is_pending = |pending: &mut PendingSwap| pending.record.nonce == nonce;
        match outcome {
            SwapOutcome::Won(revision) => {
                let Some(pending) = self.pending_swap.take_if(is_pending) else {
                    return;
                };
                if *revision < self.revision {
                    return;
                }
                self.record_win(now, &pending);
                self.revision = *revision;
                self.record = Some(pending.record);
                self.track_phases(now);
            }
            SwapOutcome::Lost | SwapOutcome::NotSent => {
                self.pending_swap.take_if(is_pending);
                self.is_record_read = *outcome == SwapOutcome::NotSent && self.is_record_read;
            }
            SwapOutcome::Unknown => {
                if let Some(pending) = self.pending_swap.as_mut()
                    && pending.record.nonce == nonce
                {
                    pending.is_unknown = true;
                    // The read that settles the outcome must begin after the swap was given up.
                    pending.sent_at = now;
                    self.is_record_read = false;
                }
            }
        }
    }
}
