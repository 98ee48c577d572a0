//! When a configuration was last confirmed to be the store's latest.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bergamot_types::mutate::{Mutation, is_on};
use bergamot_types::prelude::*;

/// The last confirmation of one configuration, which its copies share.
///
/// A view carries the confirmation of the configuration that it holds. A confirmation of a later
/// configuration reaches requests only with the view that holds that configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigConfirmation {
    /// When the latest call started that confirmed the configuration, in milliseconds. 0 means
    /// never.
    confirmed_at: Arc<AtomicU64>,
}

impl ConfigConfirmation {
    /// Returns the confirmation of the configuration that replaces this one.
    ///
    /// It begins at the last confirmation of this one: at that time the store held nothing that the
    /// later configuration lacks.
    #[must_use]
    pub fn successor(&self) -> Self {
        if is_on(Mutation::ConfirmBeforePublishing) {
            return self.clone();
        }
        let confirmed_at = AtomicU64::new(self.confirmed_at().0);
        Self {
            confirmed_at: Arc::new(confirmed_at),
        }
    }

    /// Records that a call started at `started_at` confirmed the configuration.
    pub fn record(&self, started_at: Millis) {
        self.confirmed_at.fetch_max(started_at.0, Ordering::SeqCst);
    }

    /// Returns when the latest call started that confirmed the configuration; zero if none did.
    pub fn confirmed_at(&self) -> Millis {
        Millis(self.confirmed_at.load(Ordering::SeqCst))
    }

    /// Returns the time since the last confirmation.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.confirmed_at())
    }
}
