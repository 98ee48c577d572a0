//! Load, experiments and measurements.
//!
//! `load` sends requests to entry VMs and checks the answers; `experiment` drives the placement
//! and routing decisions in virtual time over seeded event tables; `capacity` measures what each
//! role costs as the fleet grows.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod capacity;
pub mod datapath;
pub mod experiment;
pub mod rolls;
pub mod traffic;
