//! Decides which upstreams form which replica group, based on what they advertise.
//!
//! The upstreams' directory entries are the only record of membership: a coordinator that takes
//! over reads them and continues from there. The crate makes decisions only: it does no I/O, reads
//! no clock and draws no random numbers. See [`GroupPlanner::step`].
//!
//! These rules uphold the guarantees:
//! - A group is opened only when every member advertises that it joined the same group and epoch.
//! - A member is ordered into another group only if the leader of its old group has left, never
//!   opened, is broken, has exited, or has been stalled for longer than it takes to break.
//! - Each order carries the number of orders that its upstream has begun, so that the upstream
//!   rejects an order that is delivered late.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod allocate;
mod assign;
pub mod demand;
mod evacuated;
mod forming;
mod issue;
mod membership_log;
mod observe;
mod options;
pub mod planner;
mod residency;
mod spares;
mod step;
mod upstream;
mod view;

pub use demand::{DemandMeter, ModelDemand};
pub use membership_log::MembershipLog;
pub use options::GroupOptions;
pub use planner::{GroupAction, GroupPlanner, QueryOutcome};
