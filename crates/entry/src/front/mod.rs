//! The callers' side: HTTP in, requests through admission, claims and attempts, answers out.

mod answer;
mod breaks;
mod call;
mod claimed;
mod model;
mod probe;
mod request;
mod server;
mod service;
mod upstream;

use std::sync::Arc;

use bergamot_engine::EngineClient;

use crate::duty::SharedState;

pub use server::serve;

/// What every request needs.
pub struct FrontContext {
    /// What the duties share.
    pub shared: Arc<SharedState>,
    /// The client of upstreams.
    pub client: EngineClient,
}
