//! Minimal clients for the services of the platform: the key-value service, the VM list and the
//! weight store. The client of the key-value service speaks the JSON form of the etcd v3 API.
//!
//! The clients neither retry nor make decisions. Each call is a single attempt with a timeout;
//! calls to the key-value service also count against a budget.
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
pub use http::{Error, HttpClient, HttpReply};
pub use kv::{CasOutcome, KvClient, KvEntry};
pub use vm_list::{VmFact, VmKind, VmListClient, VmState};
pub use watch::WatchStream;
pub use weight_store::{WeightStoreClient, WeightStoreState};
