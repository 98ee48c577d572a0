//! The key-value service as the randomised runs see it.

use bergamot_types::Millis;
use indexmap::IndexMap;

/// Keys with values and revisions.
#[derive(Default)]
pub struct Store {
    pub keys: IndexMap<String, (i64, Vec<u8>)>,
    pub revision: i64,
    pub down_until: Millis,
    pub writes: u64,
}

impl Store {
    pub fn is_up(&self, now: Millis) -> bool {
        self.down_until <= now
    }

    /// Writes if the key is at `expected`; the revision if it was written.
    pub fn cas(&mut self, key: &str, expected: i64, value: Vec<u8>) -> Option<i64> {
        let current = self.keys.get(key).map_or(0, |(revision, _)| *revision);
        if current != expected {
            return None;
        }
        self.revision += 1;
        self.writes += 1;
        self.keys.insert(key.to_owned(), (self.revision, value));
        Some(self.revision)
    }
}
