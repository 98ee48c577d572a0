//! The life cycle of a process that accepts callers, from its start to the end of a planned
//! shutdown.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`phase`] | the phases and the transitions between them |
//! | [`options`] | the deadlines of a shutdown |
//! | [`state`] | the state machine that moves a process from one phase to the next |
//!
//! No decision relies on a snapshot that a new connection could invalidate: connections are counted
//! when they are accepted, and the process exits early only after its listener is closed.
//!
//! The crate only makes decisions: it uses no sockets and no clock.
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
