//! What entry VMs ask each other about changes of the store.

use bergamot_ports::{StoreEvent, StoreItem};
use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A question for changes.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// The asker knows everything up to this revision.
    pub after: u64,
    /// The asker knows no key that was removed up to this revision: what it knows everything up to,
    /// but more where it has only begun to read.
    pub unaffected_until: u64,
    /// The revision of the configuration that the asker has, if it could not read a newer one from
    /// the store itself.
    pub lacks_config_after: Option<u64>,
}

/// The answer to a [`UpdateRequest`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum UpdateResponse {
    /// The changes that the asker lacks.
    Changes(StoreUpdates),
    /// The asker lacks changes that are forgotten here.
    Forgotten,
    /// The answerer has not read the store yet.
    NotReady,
}

/// Changes, and how recent the answerer's knowledge is. Ages are taken when it answers, so the
/// asker may count them from the moment it asked.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct StoreUpdates {
    /// The latest change of each key, in order; a large configuration is left out.
    pub changes: Vec<StoreEvent>,
    /// The revision that the asker knows everything up to with them.
    pub revision: u64,
    /// Whether there are more.
    pub has_more: bool,
    /// The revision that the answerer knows everything up to.
    pub reached: u64,
    /// Whether the answerer has them from another peer.
    pub is_relayed: bool,
    /// How long ago a call to the store began that showed nothing newer.
    pub age: Millis,
    /// The revision of the configuration.
    pub config_revision: u64,
    /// The configuration, for an asker that lacks it.
    pub config: Option<StoreItem>,
    /// How long ago a call to the store began that showed this configuration as the newest.
    pub config_age: Millis,
    /// How long ago the store came back from an outage, if it was away.
    pub since_return: Option<Millis>,
}
