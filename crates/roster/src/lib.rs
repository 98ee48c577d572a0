//! Tracks which entry VMs exist, by an agreed roster, heartbeats and local suspicion.
//!
//! The roster is one record in the key-value store. It changes only by compare-and-swap, and each
//! change of members increments its epoch. Missing heartbeats only cause local suspicion. A member
//! is removed from the roster only when the platform's VM list lacks its VM.
//!
//! This crate does no I/O, reads no clock and draws no random numbers.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod event;
pub mod heartbeat;
pub mod pause;
pub mod record;
pub mod slots;
pub mod state;

pub use event::{RosterAction, RosterEvent, RosterOptions};
pub use heartbeat::{Heartbeat, LivenessFact};
pub use pause::PauseDetector;
pub use record::{Departed, Member, RosterRecord};
pub use slots::{SLOT_COUNT, SlotMap, slot_of};
pub use state::RosterState;
