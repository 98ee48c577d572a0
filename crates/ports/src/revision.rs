//! Positions in the store's history.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::generation::StoreGeneration;

/// A position in the store's history. The store gives out numbers again after a restore, so a
/// revision of a later generation is later whatever its number, and equal numbers of different
/// generations mean different things.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug, Serialize, Deserialize,
)]
pub struct StoreRevision {
    /// How often the store had been restored.
    pub generation: StoreGeneration,
    /// The store's number of the change. 0 before the first one.
    pub number: u64,
}

impl StoreRevision {
    /// Before the first change. As the revision of a key: the key does not exist.
    pub const ZERO: Self = Self::new(StoreGeneration(0), 0);
    /// After every change.
    pub const MAX: Self = Self::new(StoreGeneration(u64::MAX), u64::MAX);

    /// The position of change `number` in a generation.
    pub const fn new(generation: StoreGeneration, number: u64) -> Self {
        Self { generation, number }
    }

    /// Returns the position after this one, in the same generation.
    pub const fn next(self) -> Self {
        Self::new(self.generation, self.number.saturating_add(1))
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.generation.0 {
            0 => write!(f, "{}", self.number),
            generation => write!(f, "{generation}/{}", self.number),
        }
    }
}
