//! How many requests all entry VMs together send to an upstream that names a limit.
//!
//! | module | what it knows |
//! | --- | --- |
//! | [`limit`] | which limits upstreams name, and which of two words holds |
//!
//! Decisions only: no sockets and no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod limit;

pub use limit::{LimitChange, LimitSight, LimitTable};
