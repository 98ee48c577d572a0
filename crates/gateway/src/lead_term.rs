//! A term as coordinator, and the period in which it allows orders.

use bergamot_ports::StoreLease;
use bergamot_types::prelude::*;

/// How long the coordinator's lease outlives its last renewal, and so how long the groups have no
/// coordinator after one is lost. The store grants leases of one second or longer.
pub(crate) const LEASE_TTL: Millis = Millis(1_500);
/// Subtracted from the lease's lifetime to allow for the transit of an order to its upstream.
const ORDER_TRANSIT_MARGIN: Millis = Millis(300);

/// One term of this VM as coordinator.
pub(crate) struct CoordinatorTerm {
    /// The lease that the coordinator key is attached to.
    pub lease: StoreLease,
    /// The fencing number of the term's orders.
    pub fence: u64,
    /// Whether no VM has coordinated before.
    pub is_first: bool,
    /// When the call started that last confirmed the lease.
    confirmed_at: Millis,
}

impl CoordinatorTerm {
    /// Creates a term whose lease was confirmed by a call that started at `confirmed_at`.
    pub fn new(lease: StoreLease, fence: u64, is_first: bool, confirmed_at: Millis) -> Self {
        Self {
            lease,
            fence,
            is_first,
            confirmed_at,
        }
    }

    /// Records that a call started at `at` confirmed the lease.
    pub fn record_confirmation(&mut self, at: Millis) {
        self.confirmed_at = at;
    }

    /// Returns the end of the period in which the confirmation of the lease allows orders.
    pub fn orders_until(&self) -> Millis {
        self.confirmed_at + LEASE_TTL.since(ORDER_TRANSIT_MARGIN)
    }

    /// Whether the confirmation of the lease is recent enough to send an order at `now`.
    pub fn allows_orders(&self, now: Millis) -> bool {
        now < self.orders_until()
    }
}
