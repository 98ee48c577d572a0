//! The clock as the decision crates see it.

pub use bergamot_gateway::clock::BootClock;
