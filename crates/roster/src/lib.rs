//! Which entry VMs there are: the agreed roster, heartbeats, and local suspicion.
//!
//! The roster is one record in the key-value service, changed by compare-and-swap, with an epoch
//! that grows by one with each change. Heartbeats only raise local suspicion, which never removes
//! a member: only the platform's VM list does.
//!
//! Decisions only: no I/O, no clock, no random numbers.
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
pub use pause::PauseWatch;
pub use record::{Departed, Member, RosterRecord};
pub use slots::{SLOT_COUNT, SlotMap, slot_of};
pub use state::RosterState;
