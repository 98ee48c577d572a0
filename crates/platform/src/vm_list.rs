//! Client for the platform's list of VMs. The list lags behind the actual state of the VMs.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::http::{Error, HttpClient};

/// The role of a VM.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// Runs the daemon of this system.
    Entry,
    /// Runs a model engine.
    Engine,
    /// Runs one instance of the plain service with this name.
    Service(ServiceName),
}

/// Whether a VM is scheduled for removal.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// No removal is scheduled.
    Live,
    /// The platform is going to remove the VM.
    Leaving,
}

/// One row of the list.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct VmFact {
    /// The id of the VM.
    pub vm: VmId,
    /// The role of the VM.
    pub kind: VmKind,
    /// Whether the VM is scheduled for removal.
    pub state: VmState,
    /// The failure domain, whose VMs can be cut off from the others together.
    pub failure_domain: FailureDomain,
    /// The fabric domain, whose VMs share an interconnect.
    pub fabric_domain: FabricDomain,
    /// The address on which its engine or service listens.
    pub addr: SocketAddr,
    /// Number of accelerators in the VM.
    #[serde(default)]
    pub accelerators: u32,
}

/// Client for the VM list.
#[derive(Clone)]
pub struct VmListClient {
    url: String,
    client: HttpClient,
    timeout: Duration,
}

impl VmListClient {
    /// Creates a client for the list at `base_url`.
    pub fn new(base_url: &str, timeout: Duration) -> Self {
        Self {
            url: format!("{}/vms", base_url.trim_end_matches('/')),
            client: HttpClient::new(timeout),
            timeout,
        }
    }

    /// Reads the whole list with a single call.
    ///
    /// # Errors
    /// See [`Error`].
    pub async fn list(&self) -> Result<Vec<VmFact>, Error> {
        self.client.get_json(&self.url, self.timeout).await
    }
}
