//! Types that nearly every module uses.

pub use crate::hash::{hash_bytes, rendezvous_rank, rendezvous_score};
pub use crate::id::{
    ClientAccount, EntryId, FabricDomain, FailureDomain, GroupId, ModelName, PromptPartId, Region,
    RequestId, ServiceName, UpstreamId, VmId,
};
pub use crate::incarnation::{UnixMillis, UpstreamIncarnation};
pub use crate::invariant::Invariant;
pub use crate::kind::{ErrorKind, RanState};
pub use crate::rate::{RateError, SendRate};
pub use crate::time::{Millis, SpanError};
