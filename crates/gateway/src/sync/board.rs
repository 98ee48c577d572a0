//! What this VM can tell its peers about the store.

use bergamot_feed::{Freshness, UpdateTable};
use bergamot_peer::{StoreUpdates, UpdateRequest, UpdateResponse};
use bergamot_ports::StoreItem;
use bergamot_types::prelude::*;

/// Changes to pass on, and how recent they are.
#[derive(Debug, Default)]
pub(crate) struct NewsBoard {
    /// The changes; none before the store was read.
    pub(crate) table: Option<UpdateTable>,
    /// How recent what is known is.
    pub(crate) freshness: Freshness,
    /// The configuration as it stands in the store; none before the first.
    pub(crate) config: Option<StoreItem>,
    /// Whether the changes come from a peer.
    pub(crate) is_relayed: bool,
    /// When the store last came back from an outage.
    pub(crate) returned_at: Option<Millis>,
}

impl NewsBoard {
    /// Answers a peer at `now`, when the configuration was confirmed `config_age` ago.
    pub(crate) fn answer(
        &self,
        question: &UpdateRequest,
        now: Millis,
        config_age: Millis,
    ) -> UpdateResponse {
        let Some(table) = &self.table else {
            return UpdateResponse::NotReady;
        };
        let Some(slice) = table.changes_since(question.after, question.unaffected_until) else {
            return UpdateResponse::Forgotten;
        };
        let config = self.config.as_ref();
        let lacked = question.lacks_config_after;
        let lacked = config.filter(|config| lacked.is_some_and(|after| after < config.revision));
        UpdateResponse::Changes(StoreUpdates {
            changes: slice.changes,
            revision: slice.revision,
            has_more: slice.has_more,
            reached: table.complete_revision(),
            is_relayed: self.is_relayed,
            age: self.freshness.age(now),
            config_revision: config.map_or(0, |config| config.revision),
            config: lacked.cloned(),
            config_age,
            since_return: self.returned_at.map(|at| now.since(at)),
        })
    }
}
