//! Bounds on what arrives on a connection, around the stream that the HTTP library reads from.
//!
//! The library bounds the size of a head, but not what it skips: heads of informational answers, the
//! digits of a chunk's size, trailers. It also reads on for as long as bytes are there, so that a
//! fast sender holds the thread.
//!
//! | module | contents |
//! | --- | --- |
//! | [`meter`] | what arrived since the last progress |
//! | [`stream`] | a stream that fails once a bound is exceeded, and gives the thread back |
//! | [`body`] | a body whose data counts as progress |
//! | [`connector`] | a connector of such streams for pooled clients |
//! | [`status`] | which statuses end an exchange |
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod body;
pub mod connector;
pub mod meter;
pub mod status;
pub mod stream;

pub use body::BoundedBody;
pub use connector::BoundedConnector;
pub use meter::{ByteMeter, EndlessAnswer, IntakeBounds, TrickleBound};
pub use stream::BoundedStream;
