//! A store whose contents do not change, and a catalog that knows only configurations.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use bergamot_ports::{
    CatalogError, ServingConfig, StateStore, StoreCatalog, StoreError, StoreEvent, StoreGeneration,
    StoreItem, StoreLease, StoreRange, StoreRevision, StoreTxn, TxnOutcome, UpstreamEntry,
    WatchOutcome,
};
use bergamot_types::prelude::*;

/// The key of the configuration.
pub const CONFIG_KEY: &str = "config";

/// The position of a change of a store that was never restored.
pub const fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreGeneration(0), number)
}

/// Returns an item that was written at revision `number`.
pub fn item(key: &str, value: Vec<u8>, number: u64) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value,
        revision: revision(number),
    }
}

/// Time after which a watch reports the next part of the changes.
const PART_DELAY: Duration = Duration::from_millis(300);

/// A store that was read at revision 5. Its watches report nothing, unless it has changes.
pub struct FixedStore {
    items: Vec<StoreItem>,
    /// The revision that confirmations report.
    current: StoreRevision,
    /// An item that was written after the items were read.
    replacement: Option<StoreItem>,
    /// What each commit conflicts with, if any does.
    conflict: Option<Vec<StoreItem>>,
    /// Items that were written after the items were read, of which each watch reports the next.
    parts: RefCell<VecDeque<StoreItem>>,
}

impl FixedStore {
    /// Creates a store whose confirmations report `current`.
    pub fn with_items(items: Vec<StoreItem>, current: StoreRevision) -> Self {
        Self {
            items,
            current,
            replacement: None,
            conflict: None,
            parts: RefCell::default(),
        }
    }

    /// Answers each commit with a conflict and these items.
    #[must_use]
    pub fn conflicting_with(self, items: Vec<StoreItem>) -> Self {
        let conflict = Some(items);
        Self { conflict, ..self }
    }

    /// Writes these items after all were read. Each watch reports the next of them.
    #[must_use]
    pub fn followed_by(self, parts: Vec<StoreItem>) -> Self {
        let parts = RefCell::new(parts.into());
        Self { parts, ..self }
    }

    /// Replaces one of the items after all were read.
    #[must_use]
    pub fn replaced_by(self, replacement: StoreItem) -> Self {
        let replacement = Some(replacement);
        Self {
            replacement,
            ..self
        }
    }
}

impl StateStore for FixedStore {
    async fn get(&self, _key: &str) -> Result<Option<StoreItem>, StoreError> {
        Ok(None)
    }

    async fn range(&self, prefix: &str) -> Result<StoreRange, StoreError> {
        let items = self.items.iter();
        let items = items.filter(|item| item.key.starts_with(prefix));
        Ok(StoreRange {
            items: items.cloned().collect(),
            revision: revision(5),
        })
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: StoreRevision,
        _wait: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        let part = self.parts.borrow_mut().pop_front();
        let Some(part) = part else {
            return std::future::pending().await;
        };
        tokio::time::sleep(PART_DELAY).await;
        Ok(WatchOutcome::Changes {
            revision: part.revision,
            events: vec![StoreEvent::Written(part)],
        })
    }

    async fn commit(&self, txn: &StoreTxn) -> Result<TxnOutcome, StoreError> {
        if let Some(items) = &self.conflict {
            return Ok(TxnOutcome::Conflict(items.clone()));
        }
        let conflict = self.replacement.iter().find(|item| {
            let mut conditions = txn.conditions.iter();
            conditions.any(|known| known.key == item.key && known.revision != item.revision)
        });
        Ok(match conflict {
            Some(item) => TxnOutcome::Conflict(vec![item.clone()]),
            None => TxnOutcome::Done(self.current),
        })
    }

    async fn open_lease(&self, _ttl: Duration) -> Result<StoreLease, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn renew_lease(&self, _lease: StoreLease) -> Result<bool, StoreError> {
        Ok(true)
    }

    async fn revoke_lease(&self, _lease: StoreLease) -> Result<(), StoreError> {
        Ok(())
    }

    fn generation(&self) -> StoreGeneration {
        StoreGeneration::default()
    }

    fn reset(&self) {}
}

/// A catalog in which the first byte of a value is the version of a configuration without contents.
pub struct ConfigCatalog;

impl StoreCatalog for ConfigCatalog {
    fn config_key(&self) -> &str {
        CONFIG_KEY
    }

    fn upstream_prefix(&self) -> &str {
        "upstreams/"
    }

    fn upstream_id(&self, _key: &str) -> Option<UpstreamId> {
        None
    }

    fn evacuated_domain(&self, _key: &str) -> Option<FailureDomain> {
        None
    }

    fn read_config(&self, item: &StoreItem) -> Result<ServingConfig, CatalogError> {
        let version = item.value.first().ok_or_else(|| CatalogError {
            key: item.key.clone(),
            reason: "there is no version".to_owned(),
        })?;
        Ok(ServingConfig {
            version: u64::from(*version),
            ..ServingConfig::default()
        })
    }

    fn read_upstream(&self, item: &StoreItem) -> Result<UpstreamEntry, CatalogError> {
        Err(CatalogError {
            key: item.key.clone(),
            reason: "there are no upstreams".to_owned(),
        })
    }
}
