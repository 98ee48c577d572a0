//! One run of an upstream's process.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::UpstreamId;

/// Wall-clock time in milliseconds since the Unix epoch. Values come from other processes and are
/// only compared with each other; no decision reads the wall clock.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

/// One run of an upstream's process. An upstream may restart under the same id: the new incarnation
/// holds only the weights on its host, belongs to no group, and has seen no order and no fence.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct UpstreamIncarnation {
    /// The upstream's id.
    pub id: UpstreamId,
    /// When this incarnation started, by its own clock. None if upstreams do not advertise it; they
    /// get a new id with each start then.
    #[serde(rename = "born")]
    pub started_at: Option<UnixMillis>,
}

impl UpstreamIncarnation {
    /// The incarnation of `id` that started at `started_at`, if the start is known.
    pub const fn new(id: UpstreamId, started_at: Option<UnixMillis>) -> Self {
        Self { id, started_at }
    }

    /// Whether this is a later incarnation of the same upstream than `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.id == other.id && self.started_at > other.started_at
    }

    /// The upstream's id as text.
    pub fn as_str(&self) -> &str {
        self.id.as_str()
    }
}

impl fmt::Display for UpstreamIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.id)
    }
}

impl fmt::Debug for UpstreamIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started_at {
            Some(started_at) => write!(f, "{}@{}", self.id, started_at.0),
            None => write!(f, "{}", self.id),
        }
    }
}
