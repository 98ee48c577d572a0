//! Confirms that no newer configuration was missed.

use bergamot_ports::{KeyCondition, StateStore, StoreCatalog, StoreError, StoreTxn, TxnOutcome};

use super::StoreSync;

/// Whether the store held the configuration that was confirmed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ConfigMatch {
    Kept,
    Replaced,
}

impl<Store, Catalog> StoreSync<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Confirms that the store holds the configuration in force, or applies a later one and confirms
    /// that.
    pub(super) async fn confirm(&mut self) -> Result<(), StoreError> {
        // An answer with a later configuration does not state the revision of the store.
        if self.confirm_once().await? == ConfigMatch::Replaced {
            self.confirm_once().await?;
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
                ConfigMatch::Replaced
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
            TxnOutcome::LeaseGone => ConfigMatch::Kept,
        };
        if self.known.is_config_stored() {
            self.known.confirmation.record(started_at);
        }
        Ok(config_match)
    }
}
