//! What entry VMs themselves keep in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Everything of ours lies below it.
pub const OWN_PREFIX: &str = "bergamot/";
/// Who coordinates the groups; ends with the coordinator's lease.
pub const COORDINATOR_KEY: &str = "bergamot/coordinator";
/// Written with each change of the coordinator and never removed. Its revision is the fencing
/// number.
pub const TERM_KEY: &str = "bergamot/term";
/// Below it each entry VM has a key, which ends with the VM's lease.
pub const ENTRY_PREFIX: &str = "bergamot/entry/";

/// The value of an entry VM's key, and of the coordinator's.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EntryRecord {
    /// The VM's name.
    pub vm: String,
    /// Where its peers send datagrams.
    pub peer_addr: SocketAddr,
}

impl EntryRecord {
    /// The record as it is kept.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_else(|error| {
            log::error!("event=record_not_written reason={error:?}");
            Vec::new()
        })
    }

    /// Reads a record; none when it is of another format.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
