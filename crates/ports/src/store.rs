//! The platform's key-value store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::generation::{StoreGeneration, StoreLease};
use crate::revision::StoreRevision;

/// A key with its value.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store revision of the last write.
    pub revision: StoreRevision,
}

/// A change that a watch reports.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum StoreEvent {
    /// The key was written.
    Written(StoreItem),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// The store revision of the removal.
        revision: StoreRevision,
    },
}

impl StoreEvent {
    /// Returns the key.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Returns the store revision of the change.
    pub fn revision(&self) -> StoreRevision {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }

    /// Returns the change with an empty value, for a value that is too large to send to peers.
    #[must_use]
    pub fn without_value(self) -> Self {
        match self {
            Self::Written(item) => Self::Written(StoreItem {
                value: Vec::new(),
                ..item
            }),
            removed @ Self::Removed { .. } => removed,
        }
    }

    /// Returns the size of the value in bytes; 0 for a removal.
    pub fn value_len(&self) -> usize {
        match self {
            Self::Written(item) => item.value.len(),
            Self::Removed { .. } => 0,
        }
    }
}

/// All items under a key prefix.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct StoreRange {
    /// The items in key order.
    pub items: Vec<StoreItem>,
    /// The revision to start a watch from: the lowest one at which a page was read.
    pub revision: StoreRevision,
}

/// Outcome of a watch.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum WatchOutcome {
    /// Changes in order of revision; empty if the wait timed out.
    Changes {
        /// The changes.
        events: Vec<StoreEvent>,
        /// The revision to continue from.
        revision: StoreRevision,
    },
    /// The store no longer has the changes since that revision, or never had them since it was
    /// restored: read the range again.
    Compacted,
}

/// A condition of a transaction: the key was last written at this revision.
/// [`StoreRevision::ZERO`] requires that the key does not exist.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KeyCondition {
    /// The key.
    pub key: String,
    /// The required revision.
    pub revision: StoreRevision,
}

/// A write in a transaction.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KeyWrite {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that the key expires with, if any.
    pub lease: Option<StoreLease>,
}

/// A transaction, which takes effect as a whole or not at all.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct StoreTxn {
    /// Conditions that must all hold.
    pub conditions: Vec<KeyCondition>,
    /// Keys to write.
    pub writes: Vec<KeyWrite>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

impl StoreTxn {
    /// Returns the generation of the revisions in the conditions and of the leases, the earliest one
    /// if they differ. `None` if the transaction holds in any generation.
    pub fn generation(&self) -> Option<StoreGeneration> {
        let conditions = self.conditions.iter();
        let revisions = conditions.map(|condition| condition.revision);
        let revisions = revisions.filter(|revision| *revision != StoreRevision::ZERO);
        let leases = self.writes.iter().filter_map(|write| write.lease);
        let generations = revisions.map(|revision| revision.generation);
        generations
            .chain(leases.map(|lease| lease.generation))
            .min()
    }
}

/// Outcome of a transaction.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum TxnOutcome {
    /// The transaction was committed at this revision.
    Done(StoreRevision),
    /// A condition failed. Holds the current items of those condition keys that exist.
    Conflict(Vec<StoreItem>),
    /// The lease of a write has expired or was lost in a restore.
    LeaseGone,
}

/// Reasons why a store call failed. They differ in what the caller may do next.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The store rejected the call with this HTTP status; nothing was done.
    #[error("the store refused the call: status {0}")]
    Refused(u16),
    /// No connection could be opened, so nothing was done.
    #[error("no connection to the store: {0}")]
    NotSent(String),
    /// No answer: the call may have been executed, or may still be.
    #[error("no answer from the store: {0}")]
    Unknown(String),
    /// The store was restored since the revisions or leases in the call were given out, and may have
    /// given them out again, so that the answer means nothing.
    #[error("the store was restored since the revisions or leases in the call were given out")]
    Restored,
    /// The answer cannot be parsed.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}

/// Client for the store. Each method makes its calls without retries.
#[allow(async_fn_in_trait)]
pub trait StateStore {
    /// Reads a key.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn get(&self, key: &str) -> Result<Option<StoreItem>, StoreError>;

    /// Reads all keys under a prefix, page by page.
    ///
    /// # Errors
    /// See [`StoreError`]; the first page that fails aborts the read.
    async fn range(&self, prefix: &str) -> Result<StoreRange, StoreError>;

    /// Waits for changes under a prefix after a revision.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchOutcome, StoreError>;

    /// Commits a transaction.
    ///
    /// # Errors
    /// After [`StoreError::Unknown`] the transaction may still be committed later: read the keys
    /// before deciding.
    async fn commit(&self, txn: &StoreTxn) -> Result<TxnOutcome, StoreError>;

    /// Opens a lease.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn open_lease(&self, ttl: Duration) -> Result<StoreLease, StoreError>;

    /// Renews a lease. Returns false if it has expired, or if the store was restored since it was
    /// opened, whatever has become of it.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn renew_lease(&self, lease: StoreLease) -> Result<bool, StoreError>;

    /// Revokes a lease, which removes its keys. Does nothing if the store was restored since it was
    /// opened.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn revoke_lease(&self, lease: StoreLease) -> Result<(), StoreError>;

    /// Returns the latest generation that any answer reported.
    fn generation(&self) -> StoreGeneration;

    /// Closes pooled connections after a call that was not answered.
    fn reset(&self);
}
