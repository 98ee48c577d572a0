//! The upstreams there are, as they register themselves.

use std::net::SocketAddr;

use bergamot_types::prelude::*;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// How far a member is in its group.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MemberState {
    /// It joins: it may be loading weights.
    Joining,
    /// It has joined.
    Ready,
    /// It leads the group and takes requests.
    Open,
    /// It leads the group and ends what is in flight.
    Closing,
    /// It led the group, which lost a member.
    Broken,
}

/// The group an upstream says it belongs to.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct GroupMembership {
    /// The group.
    pub group: GroupId,
    /// Which list of members it joined under.
    pub epoch: u64,
    /// Its place in that list; 0 leads.
    pub rank: usize,
    /// How far it is.
    pub state: MemberState,
}

/// One upstream's own entry in the directory.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct UpstreamEntry {
    /// Which run of the upstream wrote it.
    pub incarnation: UpstreamIncarnation,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it can be cut off.
    pub failure_domain: FailureDomain,
    /// Where replicas of a model can be formed; none for a plain service.
    pub fabric: Option<FabricDomain>,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Requests it runs at once.
    pub slots: u32,
    /// Models whose weights are on its host.
    pub staged: Vec<ModelName>,
    /// Models it can run now.
    pub models: Vec<ModelName>,
    /// The group it belongs to.
    pub membership: Option<GroupMembership>,
}
