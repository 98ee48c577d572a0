//! Client protocol of entry VMs towards upstreams: engine reports, orders and callers' requests.
//!
//! Routing and retries are decided elsewhere.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod client;
pub mod headers;
pub mod sse;

pub use client::{EngineClient, Error, UpstreamReply, UpstreamRequest};
pub use sse::{SseEvent, SseParser};
