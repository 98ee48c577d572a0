//! The clock whose times the decision crates receive.

pub use bergamot_gateway::clock::BootClock;
