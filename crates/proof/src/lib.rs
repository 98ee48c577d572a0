//! Randomised runs of the real decisions that check the invariants of the system.
//!
//! The library is empty; everything is in `tests/`. The tests have a crate of their own so that
//! only they are built with the deliberate faults of `bergamot_types::mutate`.
#![deny(missing_docs)]
#![forbid(unsafe_code)]
