//! Heartbeats that entry VMs send each other every period. Their size is bounded.

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A member's latest heartbeat counter, passed on by another member.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LivenessFact {
    /// Hash of the member's name and incarnation.
    pub member: u32,
    /// The member's heartbeat counter.
    pub counter: u32,
}

impl LivenessFact {
    /// Returns the hash that identifies one incarnation of a daemon in heartbeats.
    pub fn member_hash(entry: &EntryId, incarnation: u64) -> u32 {
        rendezvous_score(incarnation, entry.as_str()) as u32
    }
}

/// A heartbeat.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: EntryId,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// The newest roster epoch that the sender knows.
    pub epoch: u64,
    /// The newest epoch that the sender has settled on.
    pub settled: u64,
    /// Heartbeat counter of the sender; increments each period.
    pub counter: u32,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Heartbeat counters of other members.
    pub facts: Vec<LivenessFact>,
    /// Epochs that other members have settled on, by [`LivenessFact::member_hash`].
    pub settled_facts: Vec<(u32, u64)>,
}
