//! A term as coordinator, and until when it allows orders.

use bergamot_types::prelude::*;

/// How long the coordinator's lease outlives its last renewal. The time without a coordinator
/// after a loss; the store takes one second and more.
pub(crate) const LEASE_TTL: Millis = Millis(1_500);
/// Taken off the lease's time, for the way of an order to its upstream.
const LEASE_MARGIN: Millis = Millis(300);

/// A term as coordinator.
pub(crate) struct LeadTerm {
    /// The lease by which the place is held.
    pub lease: u64,
    /// The fencing number of its orders.
    pub fence: u64,
    /// Whether nobody coordinated before.
    pub is_first: bool,
    /// When the call began by which the lease was last confirmed.
    confirmed_at: Millis,
}

impl LeadTerm {
    /// A term whose lease was confirmed by a call that began at `confirmed_at`.
    pub fn new(lease: u64, fence: u64, is_first: bool, confirmed_at: Millis) -> Self {
        Self {
            lease,
            fence,
            is_first,
            confirmed_at,
        }
    }

    /// Notes that the lease was confirmed by a call that began at `at`.
    pub fn record_confirmation(&mut self, at: Millis) {
        self.confirmed_at = at;
    }

    /// Until when the lease was confirmed recently enough for an order that is sent.
    pub fn orders_until(&self) -> Millis {
        self.confirmed_at + LEASE_TTL.since(LEASE_MARGIN)
    }

    /// Whether the lease was confirmed recently enough for an order that is given now.
    pub fn allows_orders(&self, now: Millis) -> bool {
        now < self.orders_until()
    }
}
