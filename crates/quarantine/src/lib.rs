//! Requests under which upstreams end.
//!
//! | module | what it knows |
//! | --- | --- |
//! | [`print`] | which requests are the same one |
//! | [`ends`] | which upstreams ended under which requests, and by what evidence |
//!
//! Decisions only: no sockets and no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod ends;
pub mod print;

pub use ends::{BreakCause, BreakOutcome, EndEvidence, EndWatch};
pub use print::RequestPrint;
