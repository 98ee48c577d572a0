//! The whole system in one process: stand-ins, entry VMs and a sample bundle.
//!
//! The newcomer's first command, and the base of tests over real sockets.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod ask;
pub mod fleet;
pub mod options;
pub mod ready;
pub mod sample;
pub mod site;

pub use fleet::LocalFleet;
pub use options::LocalOptions;
pub use ready::ReadyFile;
pub use site::SiteFleet;
