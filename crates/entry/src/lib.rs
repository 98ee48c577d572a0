//! The daemon of an entry VM: callers' HTTP, routing, limits, claims, peers, and this VM's share
//! of coordinating groups.
//!
//! A thread for each duty, joined by bounded rings. The decisions are in the crates `roster`,
//! `placement`, `claims` and `routing`; here they are fed with events and their actions carried
//! out.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod clock;
pub mod control;
pub mod daemon;
pub mod duty;
pub mod front;
pub mod metrics;
pub mod ring;
pub mod route_view;
pub mod routing_state;
pub mod settings;
pub mod tls;

pub use daemon::{EntryDaemon, StopOutcome};
pub use settings::EntrySettings;
