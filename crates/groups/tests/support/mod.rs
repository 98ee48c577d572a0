//! Shared by the tests of this crate.
pub mod world;
