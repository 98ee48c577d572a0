//! What the callers' side needs to know, as one snapshot that control replaces.

use std::net::SocketAddr;
use std::sync::Arc;

use bergamot_bundle::roll::ActiveBundle;
use bergamot_placement::GroupRecord;
use bergamot_roster::RosterRecord;
use bergamot_routing::UpstreamFact;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// A serving group with what is needed to ask its members.
#[derive(Clone, Debug)]
pub struct GroupRoute {
    /// The group's id.
    pub id: GroupId,
    /// The group as recorded.
    pub group: GroupRecord,
    /// Its members, the leader first.
    pub members: Vec<(VmId, SocketAddr)>,
}

/// The snapshot.
#[derive(Clone, Debug, Default)]
pub struct RouteView {
    /// Grows with each snapshot.
    pub version: u64,
    /// The bundle in force.
    pub force: Option<Arc<ActiveBundle>>,
    /// Serving groups by model.
    pub models: IndexMap<ModelName, Vec<UpstreamFact>>,
    /// How to ask the members of each serving group.
    pub groups: IndexMap<UpstreamId, GroupRoute>,
    /// Instances of plain services.
    pub services: IndexMap<ServiceName, Vec<UpstreamFact>>,
    /// The roster.
    pub roster: Arc<RosterRecord>,
    /// Members that are not suspected, this VM among them.
    pub trusted: Vec<EntryId>,
    /// Peers that could lend of an account's limit, by account hash.
    pub lenders: IndexMap<u32, Vec<(EntryId, u16)>>,
}
