//! The configuration in the store, and the one in force.

use std::sync::Arc;

use bergamot_ports::{StoreCatalog, StoreItem, StoreRevision};

use crate::known::KnownState;

/// The configuration that the store was last seen to hold, in force here or not.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub(crate) struct StoredConfig {
    /// The revision of its last write. Zero if the store held none.
    pub(crate) revision: StoreRevision,
    /// Its version. `None` if there was none or it cannot be read.
    version: Option<u64>,
}

impl StoredConfig {
    /// Whether the store holds a configuration that cannot be read.
    pub(crate) fn is_unreadable(self) -> bool {
        self.revision > StoreRevision::ZERO && self.version.is_none()
    }
}

impl KnownState {
    /// Applies the configuration in the store, unless a later write of it is known. One that cannot
    /// be read may have taken keys away, so that the one in force is confirmed no more.
    pub(crate) fn apply_stored_config<Catalog>(&mut self, catalog: &Catalog, item: &StoreItem)
    where
        Catalog: StoreCatalog,
    {
        let known = self.stored_config.revision;
        if item.revision <= known {
            if item.revision < known {
                log::info!(
                    "event=config_outdated revision={} known={known}",
                    item.revision
                );
            }
            return;
        }
        self.stored_config = StoredConfig {
            revision: item.revision,
            version: self.apply_config(catalog, item),
        };
    }

    /// Puts a configuration from the store or from a peer in force if its version is later than the
    /// one in force. Returns its version, or `None` if it cannot be read.
    pub(crate) fn apply_config<Catalog>(
        &mut self,
        catalog: &Catalog,
        item: &StoreItem,
    ) -> Option<u64>
    where
        Catalog: StoreCatalog,
    {
        let config = match catalog.read_config(item) {
            Ok(config) => config,
            Err(error) => {
                log::error!("event=config_unreadable reason={error:?}");
                return None;
            }
        };
        let (version, known) = (config.version, self.config_version());
        if version < known {
            log::warn!("event=config_ignored version={version} known={known}");
        } else if version > known || self.config.is_none() {
            log::info!(
                "event=config_in_force version={version} revision={}",
                item.revision
            );
            self.config = Some(Arc::new(config));
            self.confirmation = self.confirmation.successor();
            self.config_item = Some(item.clone());
        }
        Some(version)
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Whether the store, when last seen, held the configuration in force. It does not while it was
    /// restored to an older one, and may then lack even later ones than this VM knows.
    pub(crate) fn is_config_stored(&self) -> bool {
        self.config.is_some() && self.stored_config.version == Some(self.config_version())
    }
}
