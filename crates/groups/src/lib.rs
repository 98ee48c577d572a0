//! Decides which upstreams form which replica group, from what they say of themselves.
//!
//! The upstreams' own directory entries are the only record of membership: a coordinator that
//! takes over reads them and goes on. Decisions only: no I/O, no clock, no random numbers. See
//! [`GroupPlanner::step`].
//!
//! What keeps the promises:
//! - a group is opened only when every member says that it joined the same group and epoch;
//! - a member is asked into another group only when the leader of its old one has left, has never
//!   opened, is broken or gone, or has stood still for longer than it takes to break;
//! - each order carries the number of orders its upstream has begun, so that one that is
//!   delivered late finds itself out of date.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod allocate;
mod assign;
pub mod demand;
mod forming;
mod give;
mod hear;
mod options;
pub mod planner;
mod step;
mod track;
mod view;

pub use demand::{DemandMeter, ModelDemand};
pub use options::GroupOptions;
pub use planner::{GroupAction, GroupPlanner, QueryOutcome};
