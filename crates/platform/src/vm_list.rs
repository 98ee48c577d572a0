//! The platform's list of VMs. It lags behind reality.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::http::{Error, HttpCaller};

/// What a VM is for.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// Runs our daemon.
    Entry,
    /// Runs a model engine.
    Engine,
    /// Runs one instance of the plain service of this name.
    Service(ServiceName),
}

/// Whether a VM stays.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It stays for now.
    Live,
    /// It will be taken away.
    Leaving,
}

/// One line of the list.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct VmFact {
    /// The VM.
    pub vm: VmId,
    /// What it is for.
    pub kind: VmKind,
    /// Whether it stays.
    pub state: VmState,
    /// Where it can be cut off.
    pub failure_domain: FailureDomain,
    /// Which interconnect it is on.
    pub fabric_domain: FabricDomain,
    /// Where its engine or service listens.
    pub addr: SocketAddr,
    /// Accelerators in it.
    #[serde(default)]
    pub accelerators: u32,
}

/// A client of the list.
#[derive(Clone)]
pub struct VmListClient {
    url: String,
    caller: HttpCaller,
    timeout: Duration,
}

impl VmListClient {
    /// A client of the list at `base`.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            url: format!("{}/vms", base.trim_end_matches('/')),
            caller: HttpCaller::new(timeout),
            timeout,
        }
    }

    /// Reads the whole list.
    ///
    /// # Errors
    /// See [`Error`]; one call.
    pub async fn list(&self) -> Result<Vec<VmFact>, Error> {
        self.caller.get_json(&self.url, self.timeout).await
    }
}
