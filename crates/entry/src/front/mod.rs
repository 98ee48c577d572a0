//! The front: accepts callers' HTTP requests, takes them through admission, claims and attempts, and returns the
//! answers.

mod answer;
mod breaks;
mod call;
mod caller_activity;
mod claimed;
mod model;
mod probe;
mod request;
mod server;
mod service;
mod upstream;

use std::sync::Arc;

use bergamot_engine::EngineClient;
use bergamot_gateway::body::BodyBudget;

use crate::duty::SharedState;

pub use server::serve;

/// The context shared by all requests.
pub struct FrontContext {
    /// The state shared by the daemon's duties.
    pub shared: Arc<SharedState>,
    /// Bodies of requests.
    pub bodies: Arc<BodyBudget>,
    /// The HTTP client for upstreams.
    pub client: EngineClient,
}
