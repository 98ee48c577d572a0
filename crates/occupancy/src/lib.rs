//! Tracks how many requests all entry VMs together have in flight at each group leader.
//!
//! Each VM reports its requests in flight to one VM of its failure domain, the collector, which
//! replies with the sum over all other VMs. Collectors exchange the sums of their failure domains.
//! Whatever the fleet size, a VM sends and receives one datagram per period, and a collector one
//! per VM of its failure domain.
//!
//! Pure state machines: this crate opens no sockets and reads no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod counts;
mod domain;
pub mod relay;
pub mod state;

pub use counts::{LeaderCounts, LeaderLoad, leader_key};
pub use relay::RelayHop;
pub use state::{LOAD_REPORT_PERIOD, OccupancyAction, OccupancyEvent, OccupancyState};
