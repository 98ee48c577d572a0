//! The keys, revisions and leases of the key-value stand-in.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use tokio::sync::broadcast;

/// A key's value with its revisions.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StoredValue {
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the write that created the key.
    pub created: i64,
    /// Revision of the last write.
    pub modified: i64,
    /// Writes since it was created.
    pub version: i64,
    /// The lease it ends with, zero for none.
    pub lease: i64,
}

/// One write or deletion, for watches.
#[derive(Clone, Debug)]
pub struct StoreChange {
    /// The key.
    pub key: Vec<u8>,
    /// The value; none if the key was deleted.
    pub value: Option<StoredValue>,
    /// The revision.
    pub revision: i64,
}

/// Changes kept for watches that start in the past.
const MAX_HISTORY: usize = 10_000;
/// Changes a slow watch may lag behind.
const WATCH_BACKLOG: usize = 4_096;

/// The store.
pub struct KvStore {
    keys: BTreeMap<Vec<u8>, StoredValue>,
    revision: i64,
    history: VecDeque<StoreChange>,
    leases: BTreeMap<i64, (Duration, Instant)>,
    next_lease: i64,
    changes: broadcast::Sender<StoreChange>,
}

impl Default for KvStore {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            revision: 1,
            history: VecDeque::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            changes: broadcast::channel(WATCH_BACKLOG).0,
        }
    }
}

impl KvStore {
    /// The revision of the newest change.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The keys from `key` to `end`; just `key` if `end` is empty.
    pub fn range(&self, key: &[u8], end: &[u8]) -> Vec<(Vec<u8>, StoredValue)> {
        let entries = self.keys.range(key.to_vec()..);
        entries
            .take_while(|(found, _)| is_within(found, key, end))
            .map(|(found, value)| (found.clone(), value.clone()))
            .collect()
    }

    /// The revision that last wrote a key, zero if it is absent.
    pub fn modified(&self, key: &[u8]) -> i64 {
        self.keys.get(key).map_or(0, |value| value.modified)
    }

    /// Writes a key.
    pub fn put(&mut self, key: &[u8], value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let old = self.keys.get(key);
        let stored = StoredValue {
            value,
            created: old.map_or(self.revision, |old| old.created),
            modified: self.revision,
            version: old.map_or(1, |old| old.version + 1),
            lease,
        };
        self.keys.insert(key.to_vec(), stored.clone());
        self.note(key.to_vec(), Some(stored));
    }

    /// Deletes a key, if it is there.
    pub fn delete(&mut self, key: &[u8]) -> bool {
        if self.keys.remove(key).is_none() {
            return false;
        }
        self.revision += 1;
        self.note(key.to_vec(), None);
        true
    }

    fn note(&mut self, key: Vec<u8>, value: Option<StoredValue>) {
        let change = StoreChange {
            key,
            value,
            revision: self.revision,
        };
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(change.clone());
        let _ = self.changes.send(change);
    }

    /// Changes from a revision on, and those to come.
    pub fn subscribe(&self, from: i64) -> (Vec<StoreChange>, broadcast::Receiver<StoreChange>) {
        let is_past = |change: &&StoreChange| from > 0 && change.revision >= from;
        let past = self.history.iter().filter(is_past).cloned().collect();
        (past, self.changes.subscribe())
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration) -> i64 {
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(id, (ttl, Instant::now() + ttl));
        id
    }

    /// Renews a lease; none if it has lapsed.
    pub fn keep_alive(&mut self, id: i64) -> Option<Duration> {
        let (ttl, end) = self.leases.get_mut(&id)?;
        *end = Instant::now() + *ttl;
        Some(*ttl)
    }

    /// Ends a lease and deletes its keys.
    pub fn revoke(&mut self, id: i64) {
        self.leases.remove(&id);
        let held: Vec<Vec<u8>> = self
            .keys
            .iter()
            .filter(|(_, value)| value.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in held {
            self.delete(&key);
        }
    }

    /// Ends the leases that have lapsed.
    pub fn expire(&mut self) {
        let now = Instant::now();
        let lapsed: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.revoke(id);
        }
    }
}

/// Whether a key is in the range from `key` to `end`.
pub fn is_within(found: &[u8], key: &[u8], end: &[u8]) -> bool {
    match end {
        [] => found == key,
        [0] => found >= key,
        end => found >= key && found < end,
    }
}
