//! Policies compared on the same seeded events, in virtual time.
//!
//! This is no cluster simulator: there is no network and there are no processes. Engines, the
//! platform and the callers are the least that the decisions need to have something to decide.

pub mod events;
pub mod fabric;
pub mod limits;
pub mod placement;
pub mod routing;
pub mod runner_model;
pub mod serving;
pub mod tables;

pub use limits::{FleetPlan, FleetTally, LimitPolicy, LimitedFleet};
pub use placement::{PlacementCase, PlacementResult, run_placement};
pub use routing::{RoutingCase, RoutingResult, run_routing};
pub use serving::{ServingCase, ServingResult, run_serving};
