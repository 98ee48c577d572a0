//! Stand-ins for what bergamotstep meets outside: the key-value service, the VM list, the weight
//! store, model engines and plain services. Faults are switched on over HTTP.
//!
//! They are for tests and the first look. Nothing here is part of the system.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod batch;
pub mod clock;
pub mod engine;
pub mod fabric;
pub mod fault;
pub mod generate;
pub mod kv;
pub mod kv_store;
pub mod run_log;
pub mod serve;
pub mod service;
pub mod vm_list;
pub mod weights;

pub use engine::{EngineOptions, EngineStandin};
pub use fabric::FabricRegistry;
pub use fault::FaultSwitch;
pub use kv::{KvOptions, KvStandin};
pub use run_log::{RunItem, RunLog};
pub use serve::{Abort, Answer, Question, StandinServer, serve_abortable, serve_on};
pub use service::ServiceStandin;
pub use vm_list::VmListStandin;
pub use weights::{WeightOptions, WeightStandin};
