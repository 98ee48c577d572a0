//! The cases.

pub mod keys;
pub mod silence;
pub mod slots;
