//! Enforces the limits that upstreams advertise on the requests that all entry VMs send together.
//!
//! Rendezvous hashing assigns each such upstream an owner among the entry VMs. Before a VM sends a
//! request to the upstream, it asks the owner for a permit; without an answer it sends nothing. So
//! a single VM enforces the total, whatever the others know, and a VM that cannot reach the owner
//! sends nothing.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`limit`] | the limits that upstreams advertise, and which of two observations is in force |
//! | [`message`] | the messages between VMs |
//! | [`fleet`] | which VM owns which quota, and from when on it may grant permits |
//! | [`allowance`] | the permits of one upstream, and the order in which requests get them |
//! | [`state`] | the state of one VM, which combines the above |
//! | [`bucket`] | a token bucket |
//!
//! The crate only makes decisions: it uses no sockets and no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod allowance;
pub mod bucket;
pub mod fleet;
pub mod limit;
pub mod message;
pub mod state;

pub use allowance::SendAllowance;
pub use bucket::TokenBucket;
pub use fleet::{QuotaFleet, STALE_LIST_TIMEOUT};
pub use limit::{LimitChange, LimitObservation, LimitTable};
pub use message::{LimitReport, PermitAnswer, PermitClaim, PermitQuestion, PermitVerdict};
pub use state::{PermitStep, QuotaAction, QuotaEvent, QuotaState, QuotaTarget};
