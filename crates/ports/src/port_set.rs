//! The complete set of ports of a platform.

use crate::call::CallerDialect;
use crate::catalog::StoreCatalog;
use crate::control::UpstreamControl;
use crate::store::StateStore;

/// Creates the ports of a platform. Each duty creates its own set on its own thread.
pub trait PortSet: Clone + Send + 'static {
    /// The state store client.
    type Store: StateStore + 'static;
    /// The reader of the configuration and the directory.
    type Catalog: StoreCatalog + 'static;
    /// The client for the control interface of upstreams.
    type Control: UpstreamControl + 'static;
    /// The translator of caller requests.
    type Dialect: CallerDialect + 'static;

    /// Creates a store client.
    fn store(&self) -> Self::Store;
    /// Creates a reader of store entries.
    fn catalog(&self) -> Self::Catalog;
    /// Creates a client for the control interface of upstreams.
    fn control(&self) -> Self::Control;
    /// Creates a translator of caller requests.
    fn dialect(&self) -> Self::Dialect;
}
