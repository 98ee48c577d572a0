//! What entry VMs tell each other each period, of bounded size.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// News of one member's liveness, passed on.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LivenessFact {
    /// Hash of the member's name and incarnation.
    pub member: u32,
    /// The member's own heartbeat counter.
    pub counter: u32,
}

impl LivenessFact {
    /// The short name of one run of one daemon.
    pub fn member_hash(entry: &EntryId, incarnation: u64) -> u32 {
        rendezvous_score(incarnation, entry.as_str()) as u32
    }
}

/// One heartbeat.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends it.
    pub from: EntryId,
    /// Which run of the sender.
    pub incarnation: u64,
    /// The newest roster epoch the sender knows.
    pub epoch: u64,
    /// The newest epoch the sender has settled on.
    pub settled: u64,
    /// Grows by one each period.
    pub counter: u32,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// News of others.
    pub facts: Vec<LivenessFact>,
    /// Epochs others have settled on, by [`LivenessFact::member_hash`].
    pub settled_facts: Vec<(u32, u64)>,
}
