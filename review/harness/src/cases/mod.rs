//! The cases.

pub mod keys;
