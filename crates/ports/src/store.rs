//! The platform's key-value store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A key with its value.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision of the last write.
    pub revision: u64,
}

/// One change that a watch reports.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum StoreEvent {
    /// The key was written.
    Written(StoreItem),
    /// The key was removed, at this revision.
    Removed {
        /// The key.
        key: String,
        /// The store's revision of the removal.
        revision: u64,
    },
}

impl StoreEvent {
    /// The key.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// The store's revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }

    /// The same change without its value, for one that is too long to pass on.
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

    /// Bytes of the value; a removal has none.
    pub fn value_len(&self) -> usize {
        match self {
            Self::Written(item) => item.value.len(),
            Self::Removed { .. } => 0,
        }
    }
}

/// All items below a prefix.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct StoreRange {
    /// The items, in the order of their keys.
    pub items: Vec<StoreItem>,
    /// The revision to watch from: the lowest one that any page was read at.
    pub revision: u64,
}

/// What a watch came to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum WatchOutcome {
    /// Changes in order, none when the wait ran out.
    Changes {
        /// The changes.
        events: Vec<StoreEvent>,
        /// The revision to go on from.
        revision: u64,
    },
    /// The store no longer has the changes since then: read the range again.
    HistoryGone,
}

/// A condition of a transaction: the key's last write is still this one; 0 means no such key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KeyCondition {
    /// The key.
    pub key: String,
    /// Its revision.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KeyWrite {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease it ends with; 0 for none.
    pub lease: u64,
}

/// A transaction: all or nothing.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct StoreTxn {
    /// What must hold.
    pub conditions: Vec<KeyCondition>,
    /// What is written.
    pub writes: Vec<KeyWrite>,
    /// Keys that are removed.
    pub removes: Vec<String>,
}

/// What a transaction came to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum TxnOutcome {
    /// Done, at this revision.
    Done(u64),
    /// A condition failed: the keys of the conditions that exist, as they are now.
    Conflict(Vec<StoreItem>),
    /// A lease of a write has ended.
    LeaseGone,
}

/// Why a call to the store gave no result. The kinds differ in what may be done next.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store refused the call: status {0}")]
    Refused(u16),
    /// No connection, so nothing was done.
    #[error("no connection to the store: {0}")]
    NotSent(String),
    /// The call may have been done, or may yet be.
    #[error("no answer from the store: {0}")]
    Unknown(String),
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}

/// A client of the store. One call each, no retries.
#[allow(async_fn_in_trait)]
pub trait StateStore {
    /// Reads one key.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn get(&self, key: &str) -> Result<Option<StoreItem>, StoreError>;

    /// Reads every key below a prefix, page by page.
    ///
    /// # Errors
    /// See [`StoreError`]; the first page that fails ends it.
    async fn range(&self, prefix: &str) -> Result<StoreRange, StoreError>;

    /// Waits for changes below a prefix after a revision.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, StoreError>;

    /// Makes a transaction.
    ///
    /// # Errors
    /// After [`StoreError::Unknown`] it may be done later: read before deciding.
    async fn commit(&self, txn: &StoreTxn) -> Result<TxnOutcome, StoreError>;

    /// Opens a lease.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn open_lease(&self, ttl: Duration) -> Result<u64, StoreError>;

    /// Renews a lease; false when it has ended.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError>;

    /// Ends a lease and with it its keys.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn end_lease(&self, lease: u64) -> Result<(), StoreError>;

    /// Drops the connections that are kept, after a call that was not answered.
    fn reset(&self);
}
