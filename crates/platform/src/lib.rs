//! Narrow clients for what the platform gives: the key-value service, the VM list, the weight
//! store. The key-value service is spoken to in the JSON form of etcd v3's API.
//!
//! Nothing here retries or decides: callers get one attempt with a deadline, counted in a budget.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod backoff;
pub mod budget;
pub mod http;
pub mod kv;
pub mod vm_list;
mod watch;
pub mod weight_store;
mod wire;

pub use backoff::RetryBackoff;
pub use budget::{CallBudget, CallKind};
pub use http::{Error, HttpCaller, HttpReply};
pub use kv::{CasOutcome, KvClient, KvEntry};
pub use vm_list::{VmFact, VmKind, VmListClient, VmState};
pub use watch::WatchStream;
pub use weight_store::{WeightStoreClient, WeightStoreState};
