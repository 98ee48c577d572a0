//! The route snapshot that control publishes for the handling of callers' requests.

use std::net::SocketAddr;
use std::sync::Arc;

use bergamot_bundle::roll::ActiveBundle;
use bergamot_placement::GroupRecord;
use bergamot_roster::RosterRecord;
use bergamot_routing::UpstreamFact;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// A serving group and the addresses of its members.
#[derive(Clone, Debug)]
pub struct GroupRoute {
    /// The group's id.
    pub id: GroupId,
    /// The group's record.
    pub group: GroupRecord,
    /// The group's members with their addresses, leader first.
    pub members: Vec<(VmId, SocketAddr)>,
}

/// A snapshot of everything that requests are routed by.
#[derive(Clone, Debug, Default)]
pub struct RouteView {
    /// The snapshot's number, which increases by one with each snapshot.
    pub version: u64,
    /// The active bundle, if there is one.
    pub active_bundle: Option<Arc<ActiveBundle>>,
    /// Serving groups by model.
    pub models: IndexMap<ModelName, Vec<UpstreamFact>>,
    /// Records and member addresses of the serving groups.
    pub groups: IndexMap<UpstreamId, GroupRoute>,
    /// Instances of plain services.
    pub services: IndexMap<ServiceName, Vec<UpstreamFact>>,
    /// The roster.
    pub roster: Arc<RosterRecord>,
    /// Members that are not suspected, including this VM.
    pub trusted: Vec<EntryId>,
    /// Peers that could lend part of an account's limit, with the part in thousandths, by account
    /// hash.
    pub lenders: IndexMap<u32, Vec<(EntryId, u16)>>,
}
