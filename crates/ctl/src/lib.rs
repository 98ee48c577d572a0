//! The operators' command line: publish, roll and retire bundles, and see what became of them.
//!
//! Every command is a function from borrowed options to a typed outcome; the binary only parses
//! and prints.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod account;
pub mod cli;
pub mod domains;
pub mod explain;
pub mod files;
pub mod log_line;
pub mod outcome;
pub mod publish;
pub mod quarantine;
pub mod roll;
pub mod status;
pub mod story;

pub use publish::{PublishOutcome, publish};
pub use roll::{RollContext, RollOutcome, roll};
