//! Random runs of VMs that follow a store through each other while it is restored from older copies.
//! A VM must never take its state for current while it differs from the store's.

use std::collections::BTreeMap;

use bergamot_feed::UpdateTable;
use bergamot_ports::{StoreEvent, StoreGeneration, StoreItem, StoreRevision};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 200;
const STEPS: usize = 400;
const READERS: usize = 2;
const KEYS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// The store: contents, and the changes of its current generation.
#[derive(Clone, Default)]
struct Store {
    revision: StoreRevision,
    items: BTreeMap<String, StoreItem>,
    history: Vec<StoreEvent>,
}

impl Store {
    fn change(&mut self, key: &str, value: Option<u8>) {
        self.revision = self.revision.next();
        let event = match value {
            Some(value) => StoreEvent::Written(StoreItem {
                key: key.to_owned(),
                value: vec![value],
                revision: self.revision,
            }),
            None => StoreEvent::Removed {
                key: key.to_owned(),
                revision: self.revision,
            },
        };
        apply(&mut self.items, event.clone());
        self.history.push(event);
    }

    /// Goes back to a copy. Items and changes of the copy belong to the new generation, like
    /// everything that is read in it.
    fn restore(&mut self, copy: &Self) {
        let generation = StoreGeneration(self.revision.generation.0 + 1);
        let renew = |revision: StoreRevision| StoreRevision::new(generation, revision.number);
        let items = copy.items.values().cloned().map(|item| StoreItem {
            revision: renew(item.revision),
            ..item
        });
        self.items = items.map(|item| (item.key.clone(), item)).collect();
        self.history.clear();
        self.revision = renew(copy.revision);
    }
}

fn apply(items: &mut BTreeMap<String, StoreItem>, event: StoreEvent) {
    match event {
        StoreEvent::Written(item) => {
            items.insert(item.key.clone(), item);
        }
        StoreEvent::Removed { key, .. } => {
            items.remove(&key);
        }
    }
}

/// A VM that reads the store and serves its updates.
struct Reader {
    table: UpdateTable,
}

impl Reader {
    fn read(store: &Store) -> Self {
        let items = store.items.values().cloned();
        Self {
            table: UpdateTable::from_items(items, store.revision),
        }
    }

    /// Watches the store: a watch from an earlier generation ends in a read of everything.
    fn follow(&mut self, store: &Store) {
        let known = self.table.complete_revision();
        if known.generation < store.revision.generation {
            *self = Self::read(store);
            return;
        }
        let changes = store.history.iter();
        for change in changes.filter(|change| change.revision() > known) {
            self.table.record(change);
        }
        self.table.mark_complete(store.revision);
    }
}

/// A VM that gets the store's changes from readers.
#[derive(Default)]
struct Follower {
    known: StoreRevision,
    items: BTreeMap<String, StoreItem>,
}

impl Follower {
    /// Polls a reader. Returns the revision up to which it counts as complete.
    fn poll(&mut self, reader: &Reader) -> Option<StoreRevision> {
        if reader.table.complete_revision().generation < self.known.generation {
            return None;
        }
        let (mut after, mut unaffected_until) = (self.known, self.known);
        let batch = match reader.table.changes_since(after, unaffected_until) {
            Some(batch) => batch,
            None => {
                self.items.clear();
                (after, unaffected_until) = (StoreRevision::ZERO, StoreRevision::MAX);
                reader.table.changes_since(after, unaffected_until)?
            }
        };
        for change in batch.changes {
            apply(&mut self.items, change);
        }
        self.known = self.known.max(batch.revision);
        (batch.revision == self.known).then_some(self.known)
    }
}

fn run(seed: u64) -> Result<(), String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::default();
    let mut copies = vec![store.clone()];
    let mut readers: Vec<Reader> = (0..READERS).map(|_| Reader::read(&store)).collect();
    let mut follower = Follower::default();
    for step in 0..STEPS {
        match random.random_range(0..20) {
            0 => copies.push(store.clone()),
            1 => {
                // Any copy: also one that is older than the one of the last restore.
                let copy = copies.choose(&mut random).cloned().unwrap_or_default();
                store.restore(&copy);
            }
            2..=8 => {
                let key = KEYS.choose(&mut random).copied().unwrap_or(KEYS[0]);
                let value = random.random_bool(0.7).then(|| random.random());
                store.change(key, value);
            }
            9..14 => {
                let reader = random.random_range(0..READERS);
                readers[reader].follow(&store);
            }
            _ => {
                let reader = random.random_range(0..READERS);
                let complete = follower.poll(&readers[reader]);
                if complete == Some(store.revision) && follower.items != store.items {
                    return Err(format!("seed {seed} step {step}: {complete:?}"));
                }
            }
        }
    }
    readers[0].follow(&store);
    follower.poll(&readers[0]);
    match follower.items == store.items {
        true => Ok(()),
        false => Err(format!("seed {seed}: not up to date at the end")),
    }
}

#[test]
fn a_follower_is_never_current_with_a_state_from_before_a_restore() {
    let failures: Vec<String> = (0..SEEDS).filter_map(|seed| run(seed).err()).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}
