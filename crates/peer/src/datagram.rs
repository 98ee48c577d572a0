//! Datagrams that entry VMs send each other periodically.

use bergamot_roster::Heartbeat;
use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::frame::PeerMessage;

impl PeerMessage for Datagram {}

/// Upper bound of a sent datagram's size. Three datagrams of this size per period stay within the
/// budget for control traffic.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A prober's observation of a group, as passed on to other VMs.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EvidenceFact {
    /// Hash of the group's id.
    pub group: u32,
    /// The epoch that all members of the group reported.
    pub epoch: u32,
    /// Age of the oldest member report when the datagram was sent, in milliseconds.
    pub age: u16,
    /// Number of requests running and queued at the leader.
    pub load: u16,
}

impl EvidenceFact {
    /// Returns the hash that stands for a group in datagrams.
    pub fn group_hash(group: &GroupId) -> u32 {
        hash_bytes(group.as_str().as_bytes()) as u32
    }
}

/// The part of an account's limit that a roster member could lend.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct DemandFact {
    /// Hash of the account's name.
    pub account: u32,
    /// Unused share of the limit, in thousandths.
    pub slack: u16,
}

impl DemandFact {
    /// Returns the hash that stands for an account in datagrams.
    pub fn account_hash(account: &ClientAccount) -> u32 {
        hash_bytes(account.as_str().as_bytes()) as u32
    }
}

/// The contents of a periodic datagram.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Datagram {
    /// Heartbeat of the roster protocol.
    pub beat: Heartbeat,
    /// Number of the roll in force at the sender.
    pub roll: u64,
    /// Observations of groups.
    pub evidence: Vec<EvidenceFact>,
    /// Unused parts of account limits.
    pub demand: Vec<DemandFact>,
}
