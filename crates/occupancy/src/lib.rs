//! How many requests all entry VMs together have in flight at each leader of a group.
//!
//! Each VM tells one VM of its failure domain, the collector, what it has in flight, and is told what the
//! others have. Collectors tell each other the sums of their failure domains. A VM sends and gets one
//! datagram a period, whatever the size of the fleet; a collector one for each VM of its failure domain.
//!
//! Decisions only: no sockets and no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod counts;
pub mod relay;
pub mod state;

pub use counts::{LeaderCounts, LeaderLoad, leader_key};
pub use relay::RelayHop;
pub use state::{OccupancyAction, OccupancyEvent, OccupancyState, TELL_PERIOD};
