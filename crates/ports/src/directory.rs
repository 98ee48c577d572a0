//! The directory in which upstreams register themselves.

use std::net::SocketAddr;

use bergamot_types::prelude::*;

/// Longest time for which an upstream may state that it stays cold. Longer times are cut to it.
pub const MAX_COLD_TIME: Millis = Millis::from_secs(600);

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UpstreamState {
    /// It accepts new requests.
    Ready,
    /// It is leaving and accepts no new requests.
    Draining,
}

/// State of a member in its group.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MemberState {
    /// It is joining and may be loading weights.
    Joining,
    /// It has joined.
    Ready,
    /// It leads the group and accepts requests.
    Open,
    /// It leads the group and finishes its requests in flight.
    Closing,
    /// It led the group until the group lost a member.
    Broken,
}

/// The group membership that an upstream advertises.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct GroupMembership {
    /// The group.
    pub group: GroupId,
    /// The version of the member list under which it joined.
    pub epoch: u64,
    /// Its position in that list; 0 is the leader.
    pub rank: usize,
    /// Its state in the group.
    pub state: MemberState,
}

/// The directory entry that an upstream writes for itself.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct UpstreamEntry {
    /// The incarnation that wrote the entry.
    pub incarnation: UpstreamIncarnation,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address it listens on.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its fabric domain, within which replicas of a model are formed; none for a plain service.
    pub fabric: Option<FabricDomain>,
    /// Whether it accepts new requests.
    pub state: UpstreamState,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// How much longer it stays cold, as of the writing of the entry. At most [`MAX_COLD_TIME`].
    pub cold_left: Millis,
    /// Models whose weights are staged on its host.
    pub staged: Vec<ModelName>,
    /// Models it can run now.
    pub models: Vec<ModelName>,
    /// The group it is a member of.
    pub membership: Option<GroupMembership>,
}

impl UpstreamEntry {
    /// Whether two entries differ in more than the cold time, which each heartbeat lowers.
    pub fn differs_beyond_cold_time(&self, other: &Self) -> bool {
        let Self {
            incarnation,
            service,
            addr,
            failure_domain,
            fabric,
            state,
            slots,
            cold_left: _,
            staged,
            models,
            membership,
        } = self;
        *incarnation != other.incarnation
            || *service != other.service
            || *addr != other.addr
            || *failure_domain != other.failure_domain
            || *fabric != other.fabric
            || *state != other.state
            || *slots != other.slots
            || *staged != other.staged
            || *models != other.models
            || *membership != other.membership
    }
}
