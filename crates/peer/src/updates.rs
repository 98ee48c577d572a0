//! Requests for store updates between entry VMs, and their answers.

use bergamot_ports::{StoreEvent, StoreItem, StoreRevision};
use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::frame::PeerMessage;

/// Version of the feed's messages, which carry retained evacuations and ends of evacuations since
/// version 4, and the requester since version 5.
const FEED_VERSION: u8 = 5;

/// Largest request in bytes. Its fields take less than a hundred.
const MAX_REQUEST_BYTES: usize = 1 << 10;

impl PeerMessage for UpdateRequest {
    const VERSION: u8 = FEED_VERSION;
    const MAX_BYTES: usize = MAX_REQUEST_BYTES;
}

impl PeerMessage for UpdateResponse {
    const VERSION: u8 = FEED_VERSION;
}

/// Asks a peer for store updates.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// Hash of the name of the VM that asks.
    pub requester: u64,
    /// The requester has all changes up to this revision.
    pub after: StoreRevision,
    /// The requester knows no key that was removed up to this revision. This equals `after`, but is
    /// larger if the requester has only begun to read the store.
    pub unaffected_until: StoreRevision,
    /// The version of the requester's configuration, if it failed to read a newer one from the
    /// store itself. 0 if it has none.
    pub lacks_config_after: Option<u64>,
}

/// The answer to an [`UpdateRequest`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum UpdateResponse {
    /// The changes that the requester lacks.
    Changes(Box<StoreUpdates>),
    /// The requester lacks changes that the peer no longer has.
    Forgotten,
    /// The peer has not read the store yet.
    NotReady,
}

/// A batch of store updates and the age of the peer's view of the store. Ages are computed when the
/// peer answers, so the requester may safely count them from the time of its request.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StoreUpdates {
    /// The latest change of each key, in order of revision; a large configuration is omitted.
    pub changes: Vec<StoreEvent>,
    /// The revision up to which the requester is complete with these changes.
    pub revision: StoreRevision,
    /// Whether more changes follow.
    pub has_more: bool,
    /// The revision up to which the peer is complete.
    pub reached: StoreRevision,
    /// Whether the peer got the changes from another peer.
    pub is_relayed: bool,
    /// Time since the start of the last store call that showed nothing newer.
    pub age: Millis,
    /// The version of the configuration; 0 if there is none.
    pub config_version: u64,
    /// The configuration, if the requester lacks it.
    pub config: Option<StoreItem>,
    /// Time since the start of the last store call that showed this configuration as the newest.
    pub config_age: Millis,
    /// Time since the store returned from an outage, if there was one.
    pub since_return: Option<Millis>,
    /// Time since the peer noticed that the store was restored, if it was.
    pub since_restore: Option<Millis>,
    /// Evacuations that the restored store lacks and that the peer keeps in force.
    pub retained_evacuations: Vec<RetainedEvacuation>,
    /// Evacuations that ended recently, for requesters that missed the removal of the key.
    pub evacuation_ends: Vec<EvacuationEnd>,
}

/// The end of the evacuation of a failure domain.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EvacuationEnd {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The revision of the key's removal, or the first known one at which the key was missing.
    pub revision: StoreRevision,
    /// Time since the peer learned of the end.
    pub age: Millis,
}

/// The evacuation of a failure domain that stays in force for some time after a restore of the store
/// has lost its key.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct RetainedEvacuation {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The revision at which the key was last written.
    pub revision: StoreRevision,
    /// Time since the peer began to keep the evacuation in force without its key.
    pub age: Millis,
}
