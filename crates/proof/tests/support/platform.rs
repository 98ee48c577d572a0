//! The platform's key-value store in the randomised runs.

use bergamot_types::Millis;
use indexmap::IndexMap;

/// Values and their revisions by key.
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

    /// Writes a value if the key is at revision `expected`, and returns the new revision, or `None`
    /// if nothing was written.
    pub fn cas(&mut self, key: &str, expected: i64, value: Vec<u8>) -> Option<i64> {
        let current_revision = self.keys.get(key).map_or(0, |(revision, _)| *revision);
        if current_revision != expected {
            return None;
        }
        self.revision += 1;
        self.writes += 1;
        self.keys.insert(key.to_owned(), (self.revision, value));
        Some(self.revision)
    }
}
