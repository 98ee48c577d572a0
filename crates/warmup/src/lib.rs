//! Bounds the requests that all entry VMs together send to an upstream that is cold.
//!
//! An upstream states how much longer it is cold. While it is, each request to it needs a permit of
//! the one entry VM that owns its permits, a VM of the same failure domain. Without an answer of
//! the owner nothing is sent, and an owner whose list of entry VMs may be outdated grants nothing,
//! so the bound holds whatever the VMs know of each other.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`cold`] | until when an upstream is cold, from entries, answers and ended evacuations |
//! | [`supply`] | the permits of one upstream |
//! | [`silence`] | owners that did not answer |
//! | [`message`] | the messages between VMs |
//! | [`event`] | inputs of the state, and the actions that follow |
//! | [`state`] | the state of one VM, which combines the above |
//!
//! The crate only makes decisions: it uses no sockets and no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod cold;
pub mod event;
pub mod message;
pub mod silence;
pub mod state;
pub mod supply;

pub use cold::{ColdSource, ColdSpan, ColdTable, ColdTarget, EndedEvacuation, EntryStatement};
pub use event::{ColdClaim, ColdStep, WarmUpAction, WarmUpEvent};
pub use message::{ColdAnswer, ColdQuestion, ColdVerdict};
pub use state::{ANSWER_TIMEOUT, WarmUpState};
pub use supply::{PERMIT_VALIDITY, PermitPace, PermitSupply};
