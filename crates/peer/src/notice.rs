//! Notices between entry VMs, one datagram each. What is lost is made up for by what each VM sees
//! itself.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What entry VMs tell each other unasked.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum PeerNotice {
    /// Nothing comes from a leader of a group.
    Quiet(QuietNotice),
}

/// That nothing comes from the leader of a group while requests run there.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct QuietNotice {
    /// The leader.
    pub leader: UpstreamId,
    /// Whether its requests stand still. Before that there is only doubt: an overloaded group is silent
    /// for a while too.
    pub is_certain: bool,
}
