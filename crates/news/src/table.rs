//! The latest change of each key, to be told to peers.

use std::collections::{BTreeMap, BTreeSet};

use bergamot_ports::{StoreEvent, StoreItem};
use indexmap::IndexMap;

/// Removals kept at most: several times what a fleet of 600 upstreams writes while a peer is away for
/// a second. Older ones are forgotten, and a peer that lacks them asks for everything anew.
const MAX_REMOVALS: usize = 4_096;

/// Bytes of keys and values told at once, so that a burst holds neither a narrow link nor the thread
/// up: 64 KiB are 26 ms at 20 Mbit/s. The rest is asked for next.
const MAX_SLICE_BYTES: usize = 64 << 10;

/// What is told to a peer.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct NewsSlice {
    /// The changes, in order of their revisions.
    pub changes: Vec<StoreEvent>,
    /// The revision that the peer knows of with them.
    pub revision: u64,
    /// Whether there are more.
    pub has_more: bool,
}

/// What is in the store, and the removals since some revision.
#[derive(Clone, Debug)]
pub struct NewsTable {
    /// By revision and key: one transaction writes several keys at one revision.
    changes: BTreeMap<(u64, String), StoreEvent>,
    latest: IndexMap<String, u64>,
    /// The removals among the changes.
    removals: BTreeSet<(u64, String)>,
    /// Removals up to this revision may be missing.
    floor: u64,
    revision: u64,
}

impl NewsTable {
    /// A table of these items, which were read at `revision`.
    pub fn of<Items>(items: Items, revision: u64) -> Self
    where
        Items: IntoIterator<Item = StoreItem>,
    {
        let mut table = Self {
            changes: BTreeMap::new(),
            latest: IndexMap::new(),
            removals: BTreeSet::new(),
            floor: revision,
            revision,
        };
        for item in items {
            table.note(&StoreEvent::Written(item));
        }
        table
    }

    /// Notes a change.
    pub fn note(&mut self, change: &StoreEvent) {
        let (key, revision) = (change.key().to_owned(), change.revision());
        self.forget(&key);
        self.latest.insert(key.clone(), revision);
        if matches!(change, StoreEvent::Removed { .. }) {
            self.removals.insert((revision, key.clone()));
        }
        self.changes.insert((revision, key), change.clone());
        while self.removals.len() > MAX_REMOVALS {
            let Some((oldest, key)) = self.removals.first().cloned() else {
                break;
            };
            self.forget(&key);
            self.floor = self.floor.max(oldest);
        }
    }

    /// Drops what is known of a key. Peers that ask are not told of it.
    pub fn forget(&mut self, key: &str) {
        let Some(revision) = self.latest.swap_remove(key) else {
            return;
        };
        let place = (revision, key.to_owned());
        self.changes.remove(&place);
        self.removals.remove(&place);
    }

    /// Every change up to this revision was noted.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that every change up to `revision` was noted.
    pub fn reach(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// What a peer lacks that knows everything up to `after`, and no key that was removed up to
    /// `unaffected_until`. None when a later removal is forgotten here.
    pub fn since(&self, after: u64, unaffected_until: u64) -> Option<NewsSlice> {
        if unaffected_until < self.floor {
            return None;
        }
        let mut slice = NewsSlice {
            revision: self.revision,
            ..NewsSlice::default()
        };
        let mut bytes = 0;
        let mut last = after;
        for ((revision, key), change) in self.changes.range((after + 1, String::new())..) {
            // The changes of one revision belong together.
            if bytes >= MAX_SLICE_BYTES && *revision != last {
                slice.revision = last;
                slice.has_more = true;
                break;
            }
            bytes += key.len() + change.value_len();
            last = *revision;
            slice.changes.push(change.clone());
        }
        Some(slice)
    }
}
