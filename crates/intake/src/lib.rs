//! How many new connections an entry VM accepts, given how busy the thread that serves them is.
//!
//! The crate does no I/O and reads no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod period;
pub mod state;

pub use period::ThreadPeriod;
pub use state::{IntakeChange, IntakeDecision, IntakeState};
