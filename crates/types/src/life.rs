//! One run of an upstream.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::UpstreamId;

/// A moment of the time of day, in milliseconds since 1970. Told by others and only compared: no
/// decision here reads that clock.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// One run of an upstream. It may start again under its id: the younger run holds no weights that
/// were not on its host, is in no group, and has seen no order and no fence.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct UpstreamLife {
    /// Which upstream.
    pub id: UpstreamId,
    /// When this run of it started, by its own clock. None where upstreams do not say it: they get a new id
    /// with each start.
    pub born: Option<UnixMillis>,
}

impl UpstreamLife {
    /// The run of `id` that started at `born`, if that is known.
    pub const fn new(id: UpstreamId, born: Option<UnixMillis>) -> Self {
        Self { id, born }
    }

    /// Whether it is a later run of the same upstream.
    pub fn is_younger_than(&self, other: &Self) -> bool {
        self.id == other.id && self.born > other.born
    }

    /// The upstream's id as text.
    pub fn as_str(&self) -> &str {
        self.id.as_str()
    }
}

impl fmt::Display for UpstreamLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.id)
    }
}

impl fmt::Debug for UpstreamLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born {
            Some(born) => write!(f, "{}@{}", self.id, born.0),
            None => write!(f, "{}", self.id),
        }
    }
}
