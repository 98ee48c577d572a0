//! Ids, units, error kinds and invariants shared by every crate of bergamotstep.
//!
//! Nothing here does I/O, reads a clock or owns a source of random numbers.
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
