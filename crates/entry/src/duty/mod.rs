//! The duties of the daemon. Each runs on its own thread.

pub mod admin;
pub mod claims;
pub mod control;
pub mod limits;
pub mod peer;
pub mod platform;
pub mod probe;
pub mod shared;

pub use shared::{
    ClaimNote, ClaimsInbox, ControlInbox, PeerTask, PlatformTask, ProbeTask, SharedState,
};
