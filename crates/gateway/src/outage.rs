//! Outages of the store as one VM sees them, in which it cannot tell whether the store was away or
//! only its own link.

use bergamot_ports::ServingBounds;
use bergamot_types::prelude::*;

use crate::expired::EXPIRY_GRACE;

/// Time to apply the end of an entry's grace to new requests.
const APPLY_TIME: Millis = Millis(250);

/// An outage that has not ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct StoreOutage {
    /// The latest time before it at which the known state of the store was current.
    pub(crate) current_at: Millis,
    /// When the latest call began that failed.
    pub(crate) failed_at: Millis,
}

impl StoreOutage {
    /// Returns when the store is taken to have returned, if a call succeeded at `now`.
    ///
    /// The store may have been away until `now`, or the VM's link may have come back just after the
    /// last failed call began. So the time is late enough for upstreams to write their entries again
    /// after an outage, and early enough for a VM whose link was interrupted to drop the entries of
    /// upstreams that left before the bounds hold for it again.
    pub(crate) fn returned_at(&self, now: Millis, bounds: &ServingBounds) -> Option<Millis> {
        let latest_delay = bounds.contact_time.since(EXPIRY_GRACE + APPLY_TIME);
        let returned_at = now.min(self.failed_at + latest_delay);
        can_have_expired(self.current_at, returned_at, bounds).then_some(returned_at)
    }
}

/// Whether entries can have expired while the store was away from `current_at` to `returned_at`.
///
/// An entry expires after three heartbeats without a write, and is written once per heartbeat, so
/// that the store must have been away for two.
pub(crate) fn can_have_expired(
    current_at: Millis,
    returned_at: Millis,
    bounds: &ServingBounds,
) -> bool {
    let shortest_outage = Millis(bounds.entry_lapse.0 * 2 / 3);
    returned_at.since(current_at) >= shortest_outage
}

#[cfg(test)]
mod tests;
