//! A heavy load on the leaders of one model, and what its callers get.
//!
//! The decisions are the real ones: each entry VM has its own [`UpstreamMonitor`](bergamot_routing::UpstreamMonitor) and
//! hears of the others late. Leaders keep to the published timing of engines; nothing else is modelled, no
//! losses, no processor time.

pub mod case;
pub mod engine;
pub mod run;

pub use case::{KindResult, RequestKind, ServingCase, ServingResult};
pub use run::run_serving;
