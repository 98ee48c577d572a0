//! Decides when a coordinator may send orders.
//!
//! Some engines ignore the fencing token. A coordinator therefore sends orders only for a limited
//! time after the start of a read that showed its own term, and its successor first waits for that
//! time plus the order timeout. The remaining risk is an order that the network delays for longer
//! than the order timeout; later reports reveal the effect of such an order, and the coordinator
//! reverts it.

use bergamot_types::Millis;

/// The term that a coordinator holds, and when the term was last confirmed.
#[derive(Clone, Debug, Default)]
pub struct TermFence {
    term: Option<u64>,
    confirmed_at: Millis,
    handover_until: Millis,
}

impl TermFence {
    /// Records that this process won `term`. `handover` is how long after the reply orders of an
    /// earlier coordinator may arrive.
    pub fn record_win(
        &mut self,
        term: u64,
        sent_at: Millis,
        answered_at: Millis,
        handover: Millis,
    ) {
        self.term = Some(term);
        self.confirmed_at = sent_at;
        self.handover_until = answered_at + handover;
    }

    /// Records that a read or a won swap that began at `started_at` confirmed the term.
    pub fn confirm(&mut self, started_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(started_at);
    }

    /// Records that another process holds the term.
    pub fn lose(&mut self) {
        self.term = None;
    }

    /// Returns until when orders of an earlier coordinator may be in flight.
    pub fn handover_until(&self) -> Millis {
        self.handover_until
    }

    /// Returns the term that this process holds, whether recently confirmed or not.
    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// Returns the term if orders may be sent under it now. `bound` is how long a confirmation is
    /// valid.
    pub fn active_term(&self, now: Millis, bound: Millis) -> Option<u64> {
        let is_confirmed = now.since(self.confirmed_at) <= bound;
        self.term
            .filter(|_| is_confirmed && now >= self.handover_until)
    }

    /// Whether the term should be confirmed again, as half of `bound` has passed.
    pub fn needs_confirmation(&self, now: Millis, bound: Millis) -> bool {
        self.term.is_some() && now.since(self.confirmed_at).0 * 2 > bound.0
    }
}
