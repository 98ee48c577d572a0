//! Location of this process and the service bounds that apply there.

use std::net::SocketAddr;

use bergamot_types::prelude::*;

/// Times and ratios that the platform's operators guarantee to callers.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ServingBounds {
    /// Time after which a leaving upstream gets no new requests.
    pub drain_time: Millis,
    /// Time between the stop signal and the kill.
    pub stop_grace: Millis,
    /// Time after which a revoked key must not be served. If none, the rule binds only VMs that can
    /// reach the platform.
    pub revoke_time: Option<Millis>,
    /// Maximum number of retries of all entry VMs together, as a fraction of the requests.
    pub retry_ratio: f64,
    /// The window over which the fraction is measured.
    pub retry_window: Millis,
    /// Retries allowed per window in addition to the fraction.
    pub retry_reserve: f64,
    /// Time after which the entry of an upstream that has ended is removed from the directory.
    pub entry_lapse: Millis,
    /// How long a group that lost a member stalls before it breaks.
    pub stall_time: Millis,
}

/// Identity, addresses and bounds of this process.
#[derive(Clone, PartialEq, Debug)]
pub struct VmSite {
    /// The name of the VM.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The address for callers.
    pub caller_addr: SocketAddr,
    /// The address of the readiness check by the load balancer.
    pub ready_addr: SocketAddr,
    /// The address that serves metrics.
    pub metrics_addr: SocketAddr,
    /// The CPU limit of this VM in thousandths of a core.
    pub millicores: u32,
    /// The address for datagrams from peers, and for their connections to the update feed.
    pub peer_addr: SocketAddr,
    /// The bounds in force.
    pub bounds: ServingBounds,
}
