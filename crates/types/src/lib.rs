//! Ids, units, error kinds and invariants shared by all crates of bergamotstep.
//!
//! This crate does no I/O, reads no clock and owns no random number generator.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod hash;
pub mod id;
pub mod incarnation;
pub mod invariant;
pub mod kind;
pub mod mutate;
pub mod prelude;
pub mod rate;
pub mod time;
pub mod units;

pub use hash::{hash_bytes, rendezvous_rank, rendezvous_score};
pub use id::{
    AccountToken, ClientAccount, EntryId, FabricDomain, FailureDomain, GroupId, ModelName,
    RequestId, ServiceName, UpstreamId, VmId,
};
pub use incarnation::{UnixMillis, UpstreamIncarnation};
pub use invariant::Invariant;
pub use kind::{ErrorKind, RanState};
pub use rate::{RateError, SendRate};
pub use time::{Millis, SpanError};
