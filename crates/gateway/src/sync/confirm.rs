//! Confirms that no newer configuration was missed.

use bergamot_ports::{
    KeyCondition, StateStore, StoreCatalog, StoreError, StoreItem, StoreTxn, TxnOutcome,
};

use super::StoreSync;

/// Whether the store held the configuration that was confirmed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ConfigMatch {
    Kept,
    Replaced,
    /// The answer does not show which configuration the store holds.
    Unknown,
}

impl<Store, Catalog> StoreSync<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Confirms that the store holds the configuration in force, or applies a later one and confirms
    /// that.
    pub(super) async fn confirm(&mut self) -> Result<(), StoreError> {
        let mut config_match = self.confirm_once().await?;
        // An answer with a later configuration does not state the revision of the store.
        if config_match == ConfigMatch::Replaced {
            config_match = self.confirm_once().await?;
        }
        if config_match == ConfigMatch::Unknown {
            log::warn!(
                "event=config_not_confirmed reason=\"the store holds another configuration and did not return it\""
            );
        }
        Ok(())
    }

    async fn confirm_once(&mut self) -> Result<ConfigMatch, StoreError> {
        let started_at = self.shared.clock.now();
        let txn = StoreTxn {
            conditions: vec![KeyCondition {
                key: self.catalog.config_key().to_owned(),
                revision: self.known.stored_config.revision,
            }],
            ..StoreTxn::default()
        };
        let outcome = self.store.commit(&txn).await;
        self.count_store_call("confirm", outcome.as_ref().err());
        if let Err(StoreError::Restored) = outcome {
            self.known.revision = None;
            return Ok(ConfigMatch::Kept);
        }
        let outcome = outcome?;
        self.schedule_confirm();
        self.record_success();
        let config_match = match outcome {
            TxnOutcome::Conflict(items) => {
                let now = self.shared.clock.now();
                for item in &items {
                    self.known.apply_item(&self.catalog, item, now);
                }
                self.publish();
                match self.shows_stored_config(&items) {
                    true => ConfigMatch::Replaced,
                    false => ConfigMatch::Unknown,
                }
            }
            // A transaction without writes returns the store's current revision.
            TxnOutcome::Done(revision) => {
                let known = self.known.revision.unwrap_or_default();
                let mut feed_state = self.feed_state.borrow_mut();
                feed_state
                    .freshness
                    .observe_store(revision, known, started_at);
                ConfigMatch::Kept
            }
            TxnOutcome::LeaseGone => ConfigMatch::Unknown,
        };
        if config_match != ConfigMatch::Unknown && self.known.is_config_stored() {
            self.known.confirmation.record(started_at);
        }
        Ok(config_match)
    }

    /// Whether the items of an answer include the latest known write of the configuration.
    fn shows_stored_config(&self, items: &[StoreItem]) -> bool {
        let mut items = items.iter();
        items.any(|item| {
            let is_latest = item.revision == self.known.stored_config.revision;
            item.key == self.catalog.config_key() && is_latest
        })
    }
}
