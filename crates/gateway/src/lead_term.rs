//! A term as coordinator, and until when it allows orders.

use std::cell::Cell;
use std::rc::Rc;

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
    /// Until when the lease was confirmed recently enough for an order that is sent.
    orders_until: Rc<Cell<Millis>>,
}

impl LeadTerm {
    /// A term whose lease was confirmed by a call that began at `confirmed_at`.
    pub fn new(lease: u64, fence: u64, is_first: bool, confirmed_at: Millis) -> Self {
        let term = Self {
            lease,
            fence,
            is_first,
            orders_until: Rc::default(),
        };
        term.note_confirmed(confirmed_at);
        term
    }

    /// Notes that the lease was confirmed by a call that began at `at`.
    pub fn note_confirmed(&self, at: Millis) {
        self.orders_until.set(at + LEASE_TTL.since(LEASE_MARGIN));
    }

    /// Until when orders may be sent, as the lease was last confirmed.
    pub fn orders_until(&self) -> Millis {
        self.orders_until.get()
    }

    /// The same, as it goes on to be confirmed.
    pub fn confirmed_window(&self) -> Rc<Cell<Millis>> {
        Rc::clone(&self.orders_until)
    }

    /// Whether the lease was confirmed recently enough for an order that is given now.
    pub fn allows_orders(&self, now: Millis) -> bool {
        now < self.orders_until()
    }
}
