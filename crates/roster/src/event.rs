//! Settings, inputs and outputs of [`RosterState`](crate::RosterState).

use bergamot_types::prelude::*;

use crate::heartbeat::Heartbeat;
use crate::record::{Member, RosterRecord};

/// Settings of heartbeats and of suspicion.
#[derive(Clone, Debug)]
pub struct RosterOptions {
    /// Time between two heartbeats.
    pub period: Millis,
    /// Number of peers of the same failure domain that receive each heartbeat.
    pub near_peers: usize,
    /// Number of peers of other failure domains that receive each heartbeat.
    pub far_peers: usize,
    /// Maximum number of facts in each heartbeat.
    pub facts_per_heartbeat: usize,
    /// Time without a newer heartbeat counter of a member after which the member is suspected. The
    /// effective time grows with the number of members.
    pub suspect_after: Millis,
    /// Number of newer heartbeat counters that end a suspicion. A gap longer than the time that
    /// raises suspicion restarts the count.
    pub updates_to_recover: u32,
    /// How long a member that the VM list has never contained may be missing from it.
    pub unlisted_grace: Millis,
}

impl Default for RosterOptions {
    fn default() -> Self {
        Self {
            period: Millis(500),
            near_peers: 2,
            far_peers: 1,
            facts_per_heartbeat: 60,
            suspect_after: Millis(3_000),
            updates_to_recover: 3,
            unlisted_grace: Millis(120_000),
        }
    }
}

/// An input of [`RosterState`](crate::RosterState).
#[derive(Clone, Debug)]
pub enum RosterEvent {
    /// Time has passed.
    Tick,
    /// A heartbeat arrived.
    Heartbeat(Heartbeat),
    /// The roster record was read.
    Record(RosterRecord),
    /// The VM list was read. Carries the VMs in it.
    Listed(Vec<VmId>),
    /// This VM has settled on an epoch.
    Settled(u64),
    /// This daemon is stopping.
    Stopping,
}

/// An output of [`RosterState`](crate::RosterState).
#[derive(Clone, PartialEq, Debug)]
pub enum RosterAction {
    /// Send a heartbeat to a member.
    Send(Member, Heartbeat),
    /// Write this record if the stored one is still the last one that was read.
    Propose(RosterRecord),
    /// A member is now suspected.
    Suspect(EntryId),
    /// A member is no longer suspected.
    Trust(EntryId),
    /// A newer epoch took effect.
    EpochChanged(u64),
    /// The process was paused for this long.
    Paused(Millis),
}
