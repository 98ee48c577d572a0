//! Claims on idempotency keys: a non-idempotent request with a key runs at most once, also when
//! the caller repeats it at another entry VM.
//!
//! A key falls into a slot; the slot's owner grants the claim once another holder has its copy.
//! An owner is replaced only by a new roster epoch, and the new one serves a slot only after it
//! has heard from every holder that is left, see [`takeover`].
//!
//! Decisions only: no I/O, no clock, no random numbers.
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
