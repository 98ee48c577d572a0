//! The periodic news, in one datagram.

use bergamot_roster::Heartbeat;
use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The largest datagram that is sent, in bytes; three a period stay within the control budget.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// What one prober saw of one group, passed on.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EvidenceFact {
    /// Hash of the group's id.
    pub group: u32,
    /// The epoch all its members reported.
    pub epoch: u32,
    /// Age of the oldest report when the datagram was sent, in milliseconds.
    pub age: u16,
    /// Requests running and queued at the leader.
    pub load: u16,
}

impl EvidenceFact {
    /// The short name of a group.
    pub fn group_hash(group: &GroupId) -> u32 {
        hash_bytes(group.as_str().as_bytes()) as u32
    }
}

/// How much of one account's limit a member could lend.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct DemandFact {
    /// Hash of the account.
    pub account: u32,
    /// Spare share of the limit, in thousandths.
    pub slack: u16,
}

impl DemandFact {
    /// The short name of an account.
    pub fn account_hash(account: &ClientAccount) -> u32 {
        hash_bytes(account.as_str().as_bytes()) as u32
    }
}

/// One datagram.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Datagram {
    /// The roster's part.
    pub beat: Heartbeat,
    /// The roll in force at the sender.
    pub roll: u64,
    /// What was seen of groups.
    pub evidence: Vec<EvidenceFact>,
    /// What could be lent.
    pub demand: Vec<DemandFact>,
}
