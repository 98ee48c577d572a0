//! Decisions of an entry VM that do not concern single requests: roster, roll, groups, evidence.
//!
//! A pure state machine that takes events and returns actions. The duty thread, the tests and the
//! golden sessions all drive this code.

mod event;
mod evidence;
mod keys;
mod lead;
mod route;
mod state;
mod sync;

pub use event::{ControlAction, ControlEvent, ProbeTarget};
pub use keys::{
    BUNDLE_PREFIX, GROUP_PREFIX, ROLL_KEY, ROSTER_KEY, bundle_key, group_key, home_prefix,
};
pub use state::{ControlOptions, ControlState};
