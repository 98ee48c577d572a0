//! Restores of the store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Counts how often the store was restored from an older copy of itself. A restore loses the latest
/// writes and leases, and the numbers of the revisions and leases after that copy are given out
/// again. 0 if the store does not report restores.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreGeneration(pub u64);

/// A lease of the store. Its id may be given out again after a restore, and then names another lease.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StoreLease {
    /// The generation in which the lease was opened.
    pub generation: StoreGeneration,
    /// The store's id of the lease.
    pub id: u64,
}

impl fmt::Display for StoreGeneration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
