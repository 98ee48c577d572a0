//! Everything one entry VM decides besides single requests: roster, roll, groups, evidence.
//!
//! One state, one event in, actions out. The duty thread, the tests and the golden sessions
//! drive this same code.

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
