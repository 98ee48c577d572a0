//! Messages between entry VMs about permits to send to cold upstreams.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Asks the owner of a cold upstream's permits whether one request may be sent there.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ColdQuestion {
    /// The VM that asks.
    pub vm: String,
    /// Identifies the question among those of this VM.
    pub number: u64,
    /// The upstream.
    pub incarnation: UpstreamIncarnation,
}

/// The owner's answer to a [`ColdQuestion`].
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ColdAnswer {
    /// The number of the question.
    pub number: u64,
    /// The owner's decision.
    pub verdict: ColdVerdict,
}

/// Whether a request may be sent to a cold upstream.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ColdVerdict {
    /// One request may be sent now.
    Granted,
    /// No request may be sent now; ask again after this time.
    Later(Millis),
}
