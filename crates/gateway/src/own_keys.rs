//! What entry VMs themselves keep in the store.

use std::net::SocketAddr;

use bergamot_ports::VmSite;
use bergamot_quarantine::RequestPrint;
use bergamot_types::prelude::*;
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

/// Below it each group whose members are held has a key with their ids.
pub const HOLD_PREFIX: &str = "bergamot/hold/";

/// Below it are records of requests under which upstreams ended. A VM that does not know them leaves them out.
pub const QUARANTINE_PREFIX: &str = "bergamot/quarantine/";

/// The key of a quarantine's record, the same whoever writes it.
pub fn quarantine_key(print: RequestPrint) -> String {
    format!("{QUARANTINE_PREFIX}held/{print}")
}

/// The key of a record that a process writes once: its VM, a number drawn at its start, and a count.
pub fn crash_key(vm: &VmId, start: u32, count: u64) -> String {
    format!("{QUARANTINE_PREFIX}seen/{vm}-{start:08x}-{count}")
}

/// Writes the ids of held members.
pub fn hold_to_bytes(members: &[UpstreamId]) -> Vec<u8> {
    postcard::to_stdvec(members).unwrap_or_else(|error| {
        log::error!("event=record_not_written reason={error:?}");
        Vec::new()
    })
}

/// Reads the ids of held members; none when they are of another format.
pub fn hold_from_bytes(bytes: &[u8]) -> Option<Vec<UpstreamId>> {
    postcard::from_bytes(bytes).ok()
}

/// The value of an entry VM's key, and of the coordinator's.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EntryRecord {
    /// The VM's name.
    pub vm: String,
    /// Where its peers send datagrams, and ask for news.
    pub peer_addr: SocketAddr,
    /// Where it can be cut off.
    pub failure_domain: FailureDomain,
    /// Thousandths of a core that it may use.
    pub millicores: u32,
}

impl EntryRecord {
    /// The record of the VM that runs at `site`.
    pub fn of(site: &VmSite) -> Self {
        Self {
            vm: site.vm.to_string(),
            peer_addr: site.peer_addr,
            failure_domain: site.failure_domain.clone(),
            millicores: site.millicores,
        }
    }

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
