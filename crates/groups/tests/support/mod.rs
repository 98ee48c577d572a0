//! Helpers for the tests of this crate.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod fleet;
pub mod shorthand;
pub mod world;
