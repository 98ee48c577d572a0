//! Notices between entry VMs, each in a datagram of its own. A VM makes up for a lost notice by its
//! own observations.

use bergamot_quarantine::QuarantineRecord;
use bergamot_quota::{LimitReport, PermitAnswer, PermitQuestion};
use bergamot_types::prelude::*;
use bergamot_warmup::{ColdAnswer, ColdQuestion};
use serde::{Deserialize, Serialize};

use crate::frame::PeerMessage;

impl PeerMessage for PeerNotice {}

/// Unsolicited notices and permit messages between entry VMs.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum PeerNotice {
    /// A group's leader sends nothing.
    Quiet(SuspicionNotice),
    /// Counts of requests in flight.
    Load(LoadNotice),
    /// Requests that were running at upstreams that crashed. A VM that does not support this kind
    /// ignores it.
    Crash(CrashNotice),
    /// Streams of a leader are stalled. A VM that does not support this kind ignores it.
    Silent(LeaderStallNotice),
    /// The limit that an upstream advertises. A VM that does not support this kind ignores it.
    Limit(LimitNotice),
    /// Asks for a permit to send a request. A VM that does not support this kind ignores it, so the
    /// request is not sent.
    PermitQuestion(PermitQuestion),
    /// Answers a [`PermitQuestion`].
    PermitAnswer(PermitAnswer),
    /// Asks for a permit to send a request to a cold upstream. A VM that does not support this kind
    /// ignores it, so the request is not sent.
    ColdQuestion(ColdQuestion),
    /// Answers a [`ColdQuestion`].
    ColdAnswer(ColdAnswer),
}

/// The limit that an upstream advertises, relayed to all other VMs.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The entry VM that relays the notice.
    pub vm: String,
    /// Which VMs the receiver forwards the notice to.
    pub scope: RelayScope,
    /// The advertised limit.
    pub report: LimitReport,
}

/// A stall of a leader's streams, relayed to all other VMs.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LeaderStallNotice {
    /// The entry VM that relays the notice.
    pub vm: String,
    /// Which VMs the receiver forwards the notice to.
    pub scope: RelayScope,
    /// The observed stall.
    pub stall: LeaderStall,
}

/// A leader whose streams are stalled.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LeaderStall {
    /// Hash of the leader's name.
    pub leader: u32,
    /// Hash of the name of the VM that observed the stall.
    pub witness: u32,
    /// Whether the streams appear to be stalled. A mere suspicion must not reach other VMs: they
    /// ignore a notice of one.
    pub is_stalled: bool,
}

/// A VM's record of requests at upstreams that crashed, relayed to all other VMs.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The entry VM that relays the notice.
    pub vm: String,
    /// Which VMs the receiver forwards the notice to.
    pub scope: RelayScope,
    /// The record. It is also written to the store, as a datagram may be lost.
    pub record: QuarantineRecord,
}

/// The hop that a notice takes on its way to all entry VMs.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RelayScope {
    /// From a VM to the collector of its failure domain, which forwards it to all VMs.
    Vm,
    /// From a collector to that of another failure domain, which forwards it to the VMs of its own.
    FailureDomain,
    /// From a collector to a VM of its failure domain.
    Member,
}

/// Upper bound of the number of leaders in a notice, so that it fits into a datagram.
pub const MAX_LEADER_COUNTS: usize = 100;

/// Unit in which a notice counts prompt tokens. 65,535 units are more than an engine reads in a
/// minute.
pub const PENDING_TOKENS_UNIT: u32 = 32;

/// Counts of requests in flight at leaders of groups.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LoadNotice {
    /// The entry VM that reports the counts.
    pub vm: String,
    /// The VM's failure domain.
    pub failure_domain: FailureDomain,
    /// Which VMs' requests are counted.
    pub scope: LoadScope,
    /// The leaders that have requests in flight. In a report of one VM also leaders without
    /// requests, for which the VM asks what the others have in flight there. In that of a failure
    /// domain also leaders that have none any more.
    pub counts: Vec<LeaderCount>,
}

/// Which VMs' requests a notice counts.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum LoadScope {
    /// Requests of the sender alone. Answered with [`Self::Others`].
    Vm,
    /// Requests of all VMs in the sender's failure domain.
    FailureDomain,
    /// Requests of all VMs except the receiver.
    Others,
}

/// Requests in flight at one leader.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LeaderCount {
    /// Hash of the leader's name.
    pub leader: u32,
    /// Number of requests that were sent and have not ended.
    pub requests: u16,
    /// Prompt tokens of the requests whose answers have not begun, in units of
    /// [`PENDING_TOKENS_UNIT`].
    pub pending_tokens: u16,
}

impl LeaderCount {
    /// Returns the count of a leader without requests.
    pub const fn idle(leader: u32) -> Self {
        Self {
            leader,
            requests: 0,
            pending_tokens: 0,
        }
    }
}

/// Reports that a group's leader sends nothing while requests run there.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct SuspicionNotice {
    /// The leader's incarnation.
    pub leader: UpstreamIncarnation,
    /// Whether the requests are stalled. Otherwise the leader is only suspected: an overloaded
    /// group may send nothing for a while too.
    pub is_certain: bool,
}
