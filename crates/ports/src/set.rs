//! All ports of one platform.

use crate::call::CallerDialect;
use crate::catalog::StoreCatalog;
use crate::control::UpstreamControl;
use crate::store::StateStore;

/// Makes the ports of one platform. Each duty makes its own, on its thread.
pub trait PortSet: Clone + Send + 'static {
    /// The state store.
    type Store: StateStore + 'static;
    /// The reader of configuration and directory.
    type Catalog: StoreCatalog + 'static;
    /// The control side of upstreams.
    type Control: UpstreamControl + 'static;
    /// The callers' dialect.
    type Dialect: CallerDialect + 'static;

    /// A client of the store.
    fn store(&self) -> Self::Store;
    /// A reader of its entries.
    fn catalog(&self) -> Self::Catalog;
    /// A client of the upstreams' control side.
    fn control(&self) -> Self::Control;
    /// The dialect.
    fn dialect(&self) -> Self::Dialect;
}
