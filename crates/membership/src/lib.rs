//! Keeps the list of entry VMs in the store current, at a rate of store calls that does not grow
//! with the number of VMs.
//!
//! Every entry VM has a key in the store under a lease. If each VM renewed a short lease, a thousand
//! VMs would make 300 calls a second to state that nothing changed. So only readers, the VMs that
//! read the store for others, hold short leases. Their followers hold long ones, and a reader removes
//! the key of a follower that neither requests updates nor answers probes.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`lease`] | how long a VM's key lasts without renewal, and how often it is renewed |
//! | [`presence`] | which followers a reader probes, and whose keys it removes |
//!
//! The crate only makes decisions: it uses no sockets and no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod lease;
pub mod prelude;
pub mod presence;

pub use lease::{FeedRole, LeaseTerm};
pub use presence::{PresenceAction, PresenceEvent, PresenceState};
