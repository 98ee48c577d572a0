//! Location and parsing of the configuration and the upstream directory in the store.

use bergamot_types::prelude::*;

use crate::config::ServingConfig;
use crate::directory::UpstreamEntry;
use crate::store::StoreItem;

/// Maximum size of an upstream's entry in bytes: sixteen times what upstreams write. Entry VMs do
/// not send larger values to each other, as these come from another writer.
pub const MAX_ENTRY_BYTES: usize = 16 << 10;

/// An item that cannot be parsed.
#[derive(Clone, Debug, thiserror::Error)]
#[error("{key} cannot be read: {reason}")]
pub struct CatalogError {
    /// The key of the item.
    pub key: String,
    /// The reason why the value is invalid.
    pub reason: String,
}

/// Parses the items that operators and upstreams write to the store.
pub trait StoreCatalog {
    /// Returns the key of the configuration.
    fn config_key(&self) -> &str;

    /// Returns the key prefix of the upstreams' entries.
    fn upstream_prefix(&self) -> &str;

    /// Returns the id of the upstream whose entry has this key.
    fn upstream_id(&self, key: &str) -> Option<UpstreamId>;

    /// Returns the failure domain whose evacuation the key requests, if it is such a key. Its name may
    /// be empty. The value has no meaning.
    fn evacuated_domain(&self, key: &str) -> Option<FailureDomain>;

    /// Parses a configuration.
    ///
    /// # Errors
    /// Fails if the value is malformed.
    fn read_config(&self, item: &StoreItem) -> Result<ServingConfig, CatalogError>;

    /// Parses an upstream's entry.
    ///
    /// # Errors
    /// Fails if the value is malformed.
    fn read_upstream(&self, item: &StoreItem) -> Result<UpstreamEntry, CatalogError>;
}
