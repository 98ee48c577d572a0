//! How entry VMs speak to upstreams: reports and orders of engines, and callers' requests.
//!
//! Nothing here decides what is sent where or whether it is tried again.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod client;
pub mod headers;
pub mod sse;

pub use client::{EngineClient, Error, UpstreamReply, UpstreamRequest};
pub use sse::{SseEvent, SseParser};
