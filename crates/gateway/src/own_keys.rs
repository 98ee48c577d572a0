//! Keys and values that entry VMs write to the store.

use std::net::SocketAddr;

use bergamot_ports::VmSite;
use bergamot_quarantine::RequestPrint;
use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Prefix of all keys that entry VMs write.
pub const OWN_PREFIX: &str = "bergamot/";
/// Key of the VM that coordinates the groups. Removed with the coordinator's lease.
pub const COORDINATOR_KEY: &str = "bergamot/coordinator";
/// Key that each new coordinator writes and that is never removed. Its revision is the fencing
/// number.
pub const TERM_KEY: &str = "bergamot/term";
/// Prefix of the keys of entry VMs. Each is removed with its VM's lease.
pub const ENTRY_PREFIX: &str = "bergamot/entry/";

/// Prefix of the keys of groups whose members are held. The value lists the members' ids.
pub const HOLD_PREFIX: &str = "bergamot/hold/";

/// Prefix of the records of requests that were running when upstreams crashed. Versions that do not
/// know these records ignore them.
pub const QUARANTINE_PREFIX: &str = "bergamot/quarantine/";

/// Returns the key of a quarantine's record, which is the same for every writer.
pub fn quarantine_key(fingerprint: RequestPrint) -> String {
    format!("{QUARANTINE_PREFIX}held/{fingerprint}")
}

/// Returns the key of a record that a process writes once. Consists of its VM, a random number
/// drawn at the start of the process, and a sequence number.
pub fn crash_key(vm: &VmId, process_tag: u32, sequence: u64) -> String {
    format!("{QUARANTINE_PREFIX}seen/{vm}-{process_tag:08x}-{sequence}")
}

/// Encodes the ids of held members.
pub fn hold_to_bytes(members: &[UpstreamId]) -> Vec<u8> {
    postcard::to_stdvec(members).unwrap_or_else(|error| {
        log::error!("event=record_not_written reason={error:?}");
        Vec::new()
    })
}

/// Decodes the ids of held members. Returns `None` if the bytes have another format.
pub fn hold_from_bytes(bytes: &[u8]) -> Option<Vec<UpstreamId>> {
    postcard::from_bytes(bytes).ok()
}

/// The value of an entry VM's key, and of the coordinator's.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EntryRecord {
    /// The VM's name.
    pub vm: String,
    /// Address to which peers send datagrams and requests for store updates.
    pub peer_addr: SocketAddr,
    /// The failure domain in which the VM runs.
    pub failure_domain: FailureDomain,
    /// CPU share of the VM, in thousandths of a core.
    pub millicores: u32,
    /// Where the VM accepts requests that other VMs forward; none if it accepts none. Follows the
    /// other fields in the encoding: versions that do not know it ignore it.
    #[serde(skip)]
    pub forwarding: Option<ForwardEndpoint>,
}

/// Where a VM accepts requests that other VMs forward.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ForwardEndpoint {
    /// The address.
    pub addr: SocketAddr,
    /// What each forwarded request must carry. Drawn at the start of the VM's process; only VMs can
    /// read it.
    pub secret: u64,
}

impl EntryRecord {
    /// Creates the record of the VM described by `site`.
    pub fn of(site: &VmSite) -> Self {
        Self {
            vm: site.vm.to_string(),
            peer_addr: site.peer_addr,
            failure_domain: site.failure_domain.clone(),
            millicores: site.millicores,
            forwarding: None,
        }
    }

    /// Adds the endpoint for forwarded requests.
    #[must_use]
    pub fn with_forwarding(self, forwarding: Option<ForwardEndpoint>) -> Self {
        Self { forwarding, ..self }
    }

    /// Encodes the record as it is stored.
    pub fn to_bytes(&self) -> Vec<u8> {
        let encoded = postcard::to_stdvec(self).and_then(|bytes| match &self.forwarding {
            Some(endpoint) => postcard::to_extend(endpoint, bytes),
            None => Ok(bytes),
        });
        encoded.unwrap_or_else(|error| {
            log::error!("event=record_not_written reason={error:?}");
            Vec::new()
        })
    }

    /// Decodes a record. Returns `None` if the bytes have another format.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (record, rest): (Self, _) = postcard::take_from_bytes(bytes).ok()?;
        Some(record.with_forwarding(postcard::from_bytes(rest).ok()))
    }
}
