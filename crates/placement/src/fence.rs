//! When a coordinator may send orders.
//!
//! Some engines ignore the fencing number. For them an order goes out only within a bound after
//! the start of a read that showed the sender's own term, and a successor waits out that bound
//! and the order timeout first. What is left is an order that the network holds longer than the
//! order timeout; the read-back finds and mends what it did.

use bergamot_types::Millis;

/// The term a coordinator holds and when that was last confirmed.
#[derive(Clone, Debug, Default)]
pub struct TermFence {
    term: Option<u64>,
    confirmed_at: Millis,
    quiet_until: Millis,
}

impl TermFence {
    /// Notes that this process won `term` by a swap sent at `sent`, after another coordinator.
    pub fn won(&mut self, term: u64, sent: Millis, answered: Millis, quiet: Millis) {
        self.term = Some(term);
        self.confirmed_at = sent;
        self.quiet_until = answered + quiet;
    }

    /// Notes that a read or a won swap begun at `started` showed this process's own term.
    pub fn confirm(&mut self, started: Millis) {
        self.confirmed_at = self.confirmed_at.max(started);
    }

    /// Notes that another process holds the record.
    pub fn lose(&mut self) {
        self.term = None;
    }

    /// Until when orders of an earlier coordinator may still be on their way.
    pub fn quiet_until(&self) -> Millis {
        self.quiet_until
    }

    /// The term held, confirmed or not.
    pub fn term(&self) -> Option<u64> {
        self.term
    }

    /// The term, if orders may go out under it now.
    pub fn may_order(&self, now: Millis, bound: Millis) -> Option<u64> {
        let is_confirmed = now.since(self.confirmed_at) <= bound;
        self.term
            .filter(|_| is_confirmed && now >= self.quiet_until)
    }

    /// Whether the term should be confirmed again soon.
    pub fn wants_confirmation(&self, now: Millis, bound: Millis) -> bool {
        self.term.is_some() && now.since(self.confirmed_at).0 * 2 > bound.0
    }
}
