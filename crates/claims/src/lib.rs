//! Claims on idempotency keys: a non-idempotent request with a key runs at most once, even if the
//! caller retries it through another entry VM.
//!
//! Each key maps to a slot. The owner of the slot grants a claim once another holder has a copy of
//! it. Only a new roster epoch replaces an owner, and the new owner serves a slot only after every
//! remaining holder has reported its claims, see [`takeover`].
//!
//! This crate only makes decisions: it performs no I/O and reads no clock or random numbers.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod event;
pub mod record;
pub mod state;
pub mod takeover;

pub use event::{ClaimAction, ClaimEvent, ClaimRequest, CopyChange, FinishOutcome};
pub use record::{ClaimKey, ClaimPhase, ClaimRecord, ClaimSerial, Claimant, StoredAnswer, Verdict};
pub use state::{ClaimOptions, ClaimState};
pub use takeover::SlotPhase;
