//! Store updates that this VM serves to its peers.

use bergamot_feed::{Freshness, UpdateTable};
use bergamot_peer::{StoreUpdates, UpdateRequest, UpdateResponse};
use bergamot_ports::{MAX_ENTRY_BYTES, StoreItem};
use bergamot_types::prelude::*;

use crate::evacuations::EvacuationState;

/// Largest configuration that is served to peers, in bytes. They read a larger one from the store.
/// Less than one batch of updates (64 KiB), so that it fits in with other changes.
const MAX_SERVED_CONFIG_BYTES: usize = 48 << 10;

/// Returns the largest value that is served to peers in full, in bytes.
pub(super) const fn max_served_bytes(is_config: bool) -> usize {
    match is_config {
        true => MAX_SERVED_CONFIG_BYTES,
        false => MAX_ENTRY_BYTES,
    }
}

/// Store updates to serve, and their age.
#[derive(Debug, Default)]
pub(crate) struct FeedState {
    /// The updates. `None` until the store has been read.
    pub(crate) table: Option<UpdateTable>,
    /// How recent the known state of the store is.
    pub(crate) freshness: Freshness,
    /// The configuration as stored. `None` until one has been read.
    pub(crate) config: Option<StoreItem>,
    /// The version of the configuration; 0 until one has been read.
    pub(crate) config_version: u64,
    /// Whether the updates were received from a peer.
    pub(crate) is_relayed: bool,
    /// When the store last came back from an outage.
    pub(crate) returned_at: Option<Millis>,
    /// When the store was last restored.
    pub(crate) restored_at: Option<Millis>,
    /// The known evacuations.
    pub(crate) evacuations: EvacuationState,
}

impl FeedState {
    /// Returns the response to a peer's request at `now`. The configuration was confirmed
    /// `config_age` ago.
    pub(crate) fn respond(
        &self,
        request: &UpdateRequest,
        now: Millis,
        config_age: Millis,
    ) -> UpdateResponse {
        let Some(table) = &self.table else {
            return UpdateResponse::NotReady;
        };
        let Some(batch) = table.changes_since(request.after, request.unaffected_until) else {
            return UpdateResponse::Forgotten;
        };
        let lacks_config = request
            .lacks_config_after
            .is_some_and(|version| version < self.config_version);
        let (known, peer_generation) = (table.complete_revision(), request.after.generation);
        let retained_evacuations = self.evacuations.retained(known, peer_generation, now);
        UpdateResponse::Changes(Box::new(StoreUpdates {
            changes: batch.changes,
            revision: batch.revision,
            has_more: batch.has_more,
            reached: table.complete_revision(),
            is_relayed: self.is_relayed,
            age: self.freshness.age(now),
            config_version: self.config_version,
            config: self.config.clone().filter(|_| lacks_config),
            config_age,
            since_return: self.returned_at.map(|at| now.since(at)),
            since_restore: self.restored_at.map(|at| now.since(at)),
            retained_evacuations,
            evacuation_ends: self.evacuations.recent_ends(now),
        }))
    }
}

#[cfg(test)]
mod tests;
