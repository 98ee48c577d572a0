//! How entry VMs pass changes of the store on to each other.
//!
//! One VM of each failure domain reads the store; the others ask it, and read the store themselves
//! when it has nothing fresh to tell. Nothing here does I/O or reads a clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod freshness;
mod source;
mod table;

pub use freshness::Freshness;
pub use source::{NewsSource, PeerPlace, PeerRanking};
pub use table::{NewsSlice, NewsTable};
