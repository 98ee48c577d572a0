//! Randomised runs of the real decisions against the promises of the system.
//!
//! The library is empty: everything is in `tests/`. The crate is one of its own so that the wrong
//! decisions of `bergamot_types::mutate` can be switched on here and nowhere else.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
