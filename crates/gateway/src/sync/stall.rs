//! Detects a watch that no longer delivers changes although the store answers other calls.

use std::time::Duration;

use bergamot_ports::{StateStore, StoreCatalog};
use bergamot_types::prelude::*;

use super::StoreSync;

/// How long a watch may lack a change that a confirmation has shown. The store answers watches at
/// once; a retransmission on the watch's connection takes up to a second.
const WATCH_STALL_TIMEOUT: Millis = Millis::from_secs(2);
/// Time for an answer that arrived while the confirmation was awaited to be read.
pub(super) const LATE_ANSWER_TIME: Duration = Duration::from_millis(20);

impl<Store, Catalog> StoreSync<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Whether a watch that began at `started_at` lacks a change that was known to exist for
    /// [`WATCH_STALL_TIMEOUT`] of its time.
    pub(super) fn is_watch_stalled(&self, started_at: Millis) -> bool {
        let Some(pending_since) = self.feed_state.borrow().freshness.pending_since() else {
            return false;
        };
        let lacking_since = pending_since.max(started_at);
        self.shared.clock.now().since(lacking_since) >= WATCH_STALL_TIMEOUT
    }
}
