//! The serving path of an entry VM: admits requests, chooses upstreams, sends attempts, relays
//! responses and resumes interrupted streams.
//!
//! Reaches the platform only through the ports of `bergamot-ports`. Runs one thread each for
//! callers, the store, the groups, metrics and the log writer.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod body;
pub mod clock;
pub mod cold;
pub mod connection_set;
pub mod daemon;
mod departures;
pub mod discard;
pub mod duty;
pub mod evacuations;
mod expired;
mod front;
pub mod group_actions;
pub mod groups;
mod known;
mod lead_term;
pub mod listen;
pub mod logs;
pub mod metrics;
mod outage;
mod outgoing;
pub mod own_keys;
mod panics;
mod planner_input;
pub mod shared;
pub mod signals;
mod stop;
mod stored_config;
mod sync;
#[cfg(test)]
#[path = "../tests/support/mod.rs"]
mod test_support;
mod usage;
pub mod view;

pub use daemon::GatewayDaemon;
pub use front::forward::context::{ContextError, ForwardContext};
pub use front::permits::{PermitDenial, PermitGrant};
pub use front::{FrontContext, addresses, budget, deadline, flight, warmup};
pub use sync::StoreSync;
