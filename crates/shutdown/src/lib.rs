//! The life cycle of a process that takes callers in, from its start to the end of a planned stop.
//!
//! | module | what it knows |
//! | --- | --- |
//! | [`phase`] | the phases, and which may follow which |
//! | [`options`] | the times of a stop |
//! | [`state`] | what moves a process from one phase to the next |
//!
//! Nothing is decided from a sample that an arrival could make false: connections are counted when they are accepted,
//! and the process ends only after its listener is closed.
//!
//! Decisions only: no sockets and no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod options;
pub mod phase;
pub mod state;

pub use options::ShutdownOptions;
pub use phase::{
    ClosingPhase, CountedPhase, DrainingPhase, EndedPhase, NotifiedPhase, PhaseName, ServingPhase,
};
pub use state::{ShutdownAction, ShutdownEvent, ShutdownState};
