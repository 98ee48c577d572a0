//! An upstream as requests are routed to it.

use std::net::SocketAddr;

use bergamot_ports::EngineSpeed;
use bergamot_types::prelude::*;

/// An upstream that requests may be sent to.
#[derive(Clone, PartialEq, Debug)]
pub struct RouteUpstream {
    /// Which run of it.
    pub life: UpstreamLife,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it can be cut off.
    pub failure_domain: FailureDomain,
    /// Requests it runs at once.
    pub slots: u32,
    /// The group it leads, where it does.
    pub group: Option<GroupId>,
    /// How fast that group is, where it is known.
    pub speed: Option<EngineSpeed>,
}
