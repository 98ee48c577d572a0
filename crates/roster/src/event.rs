//! Settings of the roster, what it hears, and what it wants done.

use bergamot_types::prelude::*;

use crate::heartbeat::Heartbeat;
use crate::record::{Member, RosterRecord};

/// How often and to whom heartbeats go, and when silence becomes suspicion.
#[derive(Clone, Debug)]
pub struct RosterOptions {
    /// Time between heartbeats.
    pub period: Millis,
    /// Peers of the same failure domain that get each heartbeat.
    pub near_peers: usize,
    /// Peers of other failure domains that get each heartbeat.
    pub far_peers: usize,
    /// Facts passed on in each heartbeat.
    pub facts_per_beat: usize,
    /// Silence that raises suspicion.
    pub suspect_after: Millis,
    /// Pieces of news within `suspect_after` that end a suspicion.
    pub recover_beats: u32,
    /// How long a member may be missing from the VM list before it was ever seen there.
    pub unlisted_grace: Millis,
}

impl Default for RosterOptions {
    fn default() -> Self {
        Self {
            period: Millis(500),
            near_peers: 2,
            far_peers: 1,
            facts_per_beat: 60,
            suspect_after: Millis(3_000),
            recover_beats: 3,
            unlisted_grace: Millis(120_000),
        }
    }
}

/// Something the roster has to know of.
#[derive(Clone, Debug)]
pub enum RosterEvent {
    /// Time passed.
    Tick,
    /// A heartbeat came in.
    Heartbeat(Heartbeat),
    /// The record was read, with whatever is in force now.
    Record(RosterRecord),
    /// The VM list was read: the VMs in it.
    Listed(Vec<VmId>),
    /// This VM has settled on an epoch.
    Settled(u64),
    /// This daemon is stopping.
    Stopping,
}

/// Something the roster wants done.
#[derive(Clone, PartialEq, Debug)]
pub enum RosterAction {
    /// Send a heartbeat to a member.
    Send(Member, Heartbeat),
    /// Write this record if the one in force is still the one last heard.
    Propose(RosterRecord),
    /// A member went silent.
    Suspect(EntryId),
    /// A member is heard again.
    Trust(EntryId),
    /// A newer epoch is in force.
    EpochChanged(u64),
    /// The process stood still for this long.
    Paused(Millis),
}
