//! Notices between entry VMs, one datagram each. What is lost is made up for by what each VM sees
//! itself.

use bergamot_quarantine::QuarantineRecord;
use bergamot_quota::{LimitReport, PermitAnswer, PermitQuestion};
use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What entry VMs tell each other unasked.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum PeerNotice {
    /// Nothing comes from a leader of a group.
    Quiet(SuspicionNotice),
    /// Requests in flight.
    Load(LoadNotice),
    /// Requests under which upstreams ended. A VM that does not know this kind leaves it out.
    Crash(CrashNotice),
    /// Streams of a leader stand still. A VM that does not know this kind leaves it out.
    Silent(LeaderStallNotice),
    /// What an upstream says of its limit. A VM that does not know this kind leaves it out.
    Limit(LimitNotice),
    /// Asks for a permit to send. A VM that does not know this kind leaves it out, and nothing is sent.
    PermitQuestion(PermitQuestion),
    /// The answer.
    PermitAnswer(PermitAnswer),
}

/// What an upstream says of its limit, on its way to all other VMs.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The entry VM that passes it on.
    pub vm: String,
    /// Whom the receiver passes it on to.
    pub scope: RelayScope,
    /// What was heard.
    pub report: LimitReport,
}

/// That streams of a leader stand still by all appearances, on its way to all other VMs.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LeaderStallNotice {
    /// The entry VM that passes it on.
    pub vm: String,
    /// Whom the receiver passes it on to.
    pub scope: RelayScope,
    /// What was seen.
    pub stall: LeaderStall,
}

/// A leader whose streams stand still.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LeaderStall {
    /// The leader's short name.
    pub leader: u32,
    /// The short name of the VM that saw it.
    pub witness: u32,
    /// Whether its streams stand still by all appearances. Where it is only suspected to, others are not to know: a notice
    /// of that is left out.
    pub is_stalled: bool,
}

/// What one VM saw of requests under which upstreams ended, on its way to all others.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The entry VM that passes it on.
    pub vm: String,
    /// Whom the receiver passes it on to.
    pub scope: RelayScope,
    /// What was seen. The store keeps it too: a datagram may be lost.
    pub record: QuarantineRecord,
}

/// How far a notice has come on its way to all entry VMs.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum RelayScope {
    /// From a VM to the collector of its failure domain, which tells everybody.
    Vm,
    /// From a collector to that of another failure domain, which tells its own.
    FailureDomain,
    /// From a collector to a VM of its failure domain.
    Member,
}

/// Leaders that one notice names at most: more would not fit into a datagram.
pub const MAX_LEADER_COUNTS: usize = 100;

/// Prompt tokens that count as one in a notice: 65,535 of them are more than an engine reads in a minute.
pub const PENDING_TOKENS_UNIT: u32 = 32;

/// Requests in flight at leaders of groups.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LoadNotice {
    /// The entry VM that tells it.
    pub vm: String,
    /// The VM's failure domain.
    pub failure_domain: FailureDomain,
    /// Whose requests they are.
    pub scope: LoadScope,
    /// The leaders that have any.
    pub counts: Vec<LeaderCount>,
}

/// Whose requests a notice counts.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum LoadScope {
    /// The sender's own. Answered with [`Self::Others`].
    Vm,
    /// Those of all VMs in the sender's failure domain.
    FailureDomain,
    /// Those of all VMs but the receiver.
    Others,
}

/// Requests in flight at one leader.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LeaderCount {
    /// The leader's short name.
    pub leader: u32,
    /// Requests sent and not ended.
    pub requests: u16,
    /// Prompt tokens of those whose answers have not begun, in units of [`PENDING_TOKENS_UNIT`].
    pub pending_tokens: u16,
}

/// That nothing comes from the leader of a group while requests run there.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct SuspicionNotice {
    /// The leader.
    pub leader: UpstreamIncarnation,
    /// Whether its requests stand still. Before that there is only doubt: an overloaded group is silent
    /// for a while too.
    pub is_certain: bool,
}
