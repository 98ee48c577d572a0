//! Update feed through which entry VMs pass store updates to each other.
//!
//! One VM in each failure domain reads the store. The others query it, and read the store
//! themselves when it has no current updates. This crate does no I/O and reads no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod confirmation;
mod freshness;
mod source;
mod table;

pub use confirmation::ConfigConfirmation;
pub use freshness::Freshness;
pub use source::{PeerDescriptor, PeerRanking, UpdateSource};
pub use table::{UpdateBatch, UpdateTable};
