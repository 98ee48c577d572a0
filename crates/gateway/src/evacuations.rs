//! Failure domains that operators evacuate, as far as this VM knows.

use bergamot_ports::StoreRevision;
use bergamot_types::prelude::*;

/// How long the end of an evacuation stays in the view. Longer than any upstream is cold after it.
pub const ENDED_RETENTION: Millis = Millis::from_secs(30);

/// The evacuation of one failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DomainEvacuation {
    /// The revision at which the key was last written. Zero if only peers know of the key.
    pub revision: StoreRevision,
    /// When this VM learned of the evacuation.
    pub known_since: Millis,
    /// When the hold began under which the evacuation stays in force without its key; none while
    /// the store holds the key.
    pub held_since: Option<Millis>,
}

/// The end of the evacuation of one failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EndedEvacuation {
    /// The revision of the key's removal, or the first known one at which the key was missing.
    /// Entries written later are written after the removal.
    pub revision: StoreRevision,
    /// When this VM learned of the end.
    pub known_at: Millis,
}
