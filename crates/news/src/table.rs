//! The latest change of each key, to be told to peers.

use std::collections::BTreeMap;

use bergamot_ports::StoreEvent;
use indexmap::IndexMap;

/// Changes kept at most: several times what a fleet of 600 upstreams writes while a peer is away for
/// a second. Older ones are forgotten, and a peer that lacks them reads the store itself.
const MAX_CHANGES: usize = 4_096;

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

/// The latest change of each key since some revision.
#[derive(Clone, Debug, Default)]
pub struct NewsTable {
    /// By revision and key: one transaction writes several keys at one revision.
    changes: BTreeMap<(u64, String), StoreEvent>,
    latest: IndexMap<String, u64>,
    /// Changes up to this revision may be missing.
    floor: u64,
    revision: u64,
}

impl NewsTable {
    /// A table that begins after `revision`, at which everything was read.
    pub fn starting_at(revision: u64) -> Self {
        Self {
            floor: revision,
            revision,
            ..Self::default()
        }
    }

    /// Notes a change.
    pub fn note(&mut self, change: &StoreEvent) {
        let (key, revision) = (change.key().to_owned(), change.revision());
        if let Some(before) = self.latest.insert(key.clone(), revision) {
            self.changes.remove(&(before, key.clone()));
        }
        self.changes.insert((revision, key), change.clone());
        while self.changes.len() > MAX_CHANGES {
            let Some(((oldest, key), _)) = self.changes.pop_first() else {
                break;
            };
            self.latest.swap_remove(&key);
            self.floor = self.floor.max(oldest);
        }
    }

    /// Notes that every change up to `revision` was noted.
    pub fn reach(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// What a peer lacks that knows everything up to `after`. None when it lacks what is forgotten.
    pub fn since(&self, after: u64) -> Option<NewsSlice> {
        if after < self.floor {
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
