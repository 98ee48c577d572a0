//! The wire protocol between entry VMs: postcard messages, framing and versions.
//!
//! Notices and periodic reports are sent over UDP, each in a datagram of bounded size. Requests and
//! their answers are sent over TCP in length-prefixed frames.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod datagram;
pub mod frame;
pub mod message;
pub mod notice;
pub mod updates;

pub use datagram::{Datagram, DemandFact, EvidenceFact, MAX_DATAGRAM_BYTES};
pub use frame::{Error, PeerMessage, decode, encode, read_frame, write_frame};
pub use message::{Answer, GroupsEntry, Question};
pub use notice::{
    CrashNotice, LeaderCount, LeaderStall, LeaderStallNotice, LimitNotice, LoadNotice, LoadScope,
    MAX_LEADER_COUNTS, PENDING_TOKENS_UNIT, PeerNotice, RelayScope, SuspicionNotice,
};
pub use updates::{EvacuationEnd, RetainedEvacuation, StoreUpdates, UpdateRequest, UpdateResponse};
