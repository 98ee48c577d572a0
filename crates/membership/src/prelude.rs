//! Types that users of this crate nearly always need.

pub use crate::lease::{FeedRole, LeaseTerm};
pub use crate::presence::{PresenceAction, PresenceEvent, PresenceState};
