//! Where configuration and directory lie in the store, and how to read them.

use bergamot_types::prelude::*;

use crate::config::ServingConfig;
use crate::directory::UpstreamEntry;
use crate::store::StoreItem;

/// The largest value that may be an upstream's entry, in bytes: sixteen times what they write. A longer one is
/// another writer's, and is not passed on between entry VMs.
pub const MAX_ENTRY_BYTES: usize = 16 << 10;

/// An item that cannot be read.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{key} cannot be read: {reason}")]
pub struct CatalogError {
    /// The item's key.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Reads what operators and upstreams keep in the store.
pub trait StoreCatalog {
    /// The key of the configuration.
    fn config_key(&self) -> &str;

    /// The prefix of the upstreams' entries.
    fn upstream_prefix(&self) -> &str;

    /// The id of the upstream whose entry has this key.
    fn upstream_id(&self, key: &str) -> Option<UpstreamId>;

    /// Reads a configuration.
    ///
    /// # Errors
    /// When it is malformed.
    fn read_config(&self, item: &StoreItem) -> Result<ServingConfig, CatalogError>;

    /// Reads an upstream's entry.
    ///
    /// # Errors
    /// When it is malformed.
    fn read_upstream(&self, item: &StoreItem) -> Result<UpstreamEntry, CatalogError>;
}
