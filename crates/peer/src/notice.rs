//! Notices between entry VMs, one datagram each. What is lost is made up for by what each VM sees
//! itself.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What entry VMs tell each other unasked.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum PeerNotice {
    /// Requests stand still at this leader.
    Quiet {
        /// The leader.
        leader: UpstreamId,
    },
}
