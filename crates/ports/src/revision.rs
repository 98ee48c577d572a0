//! Positions in the store's history.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::generation::StoreGeneration;

/// Bits of [`StoreRevision::to_ordinal`] that hold the number of the change. Together with the
/// generation they fit into the 53 bits that a JSON reader may keep of a number. The store gives out
/// 2^40 numbers in ten years at 3,200 writes a second.
const NUMBER_BITS: u32 = 40;
/// Largest generation and largest number that an ordinal tells from later ones.
const MAX_ORDINAL_GENERATION: u64 = (1 << (53 - NUMBER_BITS)) - 1;
const MAX_ORDINAL_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

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

    /// Returns a number that rises with the revision also across restores, for fencing numbers and
    /// epochs, which upstreams compare as numbers. In the first generation it equals the number of
    /// the change.
    pub fn to_ordinal(self) -> u64 {
        let generation = self.generation.0.min(MAX_ORDINAL_GENERATION);
        generation << NUMBER_BITS | self.number.min(MAX_ORDINAL_NUMBER)
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
