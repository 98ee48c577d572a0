//! The daemon of an entry VM. It serves callers over HTTP, routes their requests, enforces limits,
//! manages claims, talks to peers and coordinates its share of the replica groups.
//!
//! Each duty runs on its own thread, and bounded rings connect them. The crates `roster`,
//! `placement`, `claims` and `routing` make the decisions; this crate passes them events and
//! carries out the resulting actions.
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
mod shares;
pub mod tls;

pub use daemon::{EntryDaemon, StopOutcome};
pub use settings::EntrySettings;
