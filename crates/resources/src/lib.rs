//! What callers may make an entry VM hold: the bytes of request bodies, the bytes of answers, and connections.
//!
//! The crate does no I/O and reads no clock.
//!
//! | module | contents |
//! | --- | --- |
//! | [`shares`] | how a VM's memory and descriptors are divided |
//! | [`ledger`] | the bytes of request bodies, and which body is evicted when they are used up |
//! | [`connection`] | which connection is closed for a new one |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod connection;
pub mod ledger;
pub mod prelude;
pub mod shares;
