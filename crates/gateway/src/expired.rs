//! Entries that were removed around an outage of the store, and that their upstreams may write
//! again.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Time with a reachable store in which an entry that expired during an outage may be written again.
pub(crate) const EXPIRY_GRACE: Millis = Millis(2_000);

/// Removed entries that are still in use. Only time during which the store is reachable counts, as
/// upstreams can write their entries in no other; calls that fail one after the other do not keep
/// an entry in use for good.
#[derive(Debug, Default)]
pub(crate) struct ExpiredEntries {
    /// Reachable time that is left to each entry, as of `counted_at`.
    left: IndexMap<UpstreamId, Millis>,
    counted_at: Millis,
}

impl ExpiredEntries {
    /// Counts the time from the last call to `now`, in which the store was reachable or not.
    pub(crate) fn pass_time(&mut self, now: Millis, was_reachable: bool) {
        let elapsed = now.since(self.counted_at);
        self.counted_at = self.counted_at.max(now);
        if was_reachable {
            for left in self.left.values_mut() {
                *left = left.since(elapsed);
            }
        }
    }

    /// Adds an entry with this time left, unless it is known already. The time before must have been
    /// counted.
    pub(crate) fn insert(&mut self, id: &UpstreamId, left: Millis) {
        self.left.entry(id.clone()).or_insert(left);
    }

    /// Removes an entry that was written again.
    pub(crate) fn remove(&mut self, id: &UpstreamId) {
        self.left.shift_remove(id);
    }

    /// Begins the time of all entries anew, as the store was restored.
    pub(crate) fn begin_anew(&mut self) {
        for left in self.left.values_mut() {
            *left = EXPIRY_GRACE;
        }
    }

    /// Returns when the time of the next entry ends if the store stays reachable.
    pub(crate) fn next_end(&self) -> Option<Millis> {
        let shortest = self.left.values().min()?;
        Some(self.counted_at + *shortest)
    }

    /// Removes and returns the entries without time left.
    pub(crate) fn take_due(&mut self) -> Vec<UpstreamId> {
        let is_due = |left: &Millis| *left == Millis::ZERO;
        let due = self.left.iter().filter(|(_, left)| is_due(left));
        let due: Vec<UpstreamId> = due.map(|(id, _)| id.clone()).collect();
        self.left.retain(|_, left| !is_due(left));
        due
    }
}
