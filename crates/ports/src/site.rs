//! Location of this process and the service bounds that apply there.

use std::net::SocketAddr;

use bergamot_types::prelude::*;

use crate::region::RegionMap;

/// How far the requests to a cold upstream may exceed the rate that it tolerates.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct WarmUpBounds {
    /// Factor on the tolerated rate.
    pub excess: f64,
    /// Requests allowed in any second in addition.
    pub slack: f64,
}

impl Default for WarmUpBounds {
    /// Allows nothing beyond the tolerated rate.
    fn default() -> Self {
        Self {
            excess: 1.0,
            slack: 0.0,
        }
    }
}

/// Times and ratios that the platform's operators guarantee to callers.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ServingBounds {
    /// Time after which a leaving upstream gets no new requests.
    pub drain_time: Millis,
    /// Time after an interruption of a VM's links from which on the times here bind it again.
    pub contact_time: Millis,
    /// Time between the stop signal and the kill.
    pub stop_grace: Millis,
    /// Time after which a revoked key must not be served. If none, the rule binds only VMs that can
    /// reach the platform.
    pub revoke_time: Option<Millis>,
    /// Time after which a change of the configuration is in force, if operators state one.
    pub config_apply_time: Option<Millis>,
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
    /// Bounds on the requests to a cold upstream.
    pub warm_up: WarmUpBounds,
    /// Time after which an evacuated failure domain gets no new requests, if operators evacuate
    /// failure domains.
    pub evacuation_time: Option<Millis>,
}

/// What the platform lets a process take. It ends a process that takes more memory.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct VmLimits {
    /// Memory in bytes, with the bytes that wait unread in sockets.
    pub memory_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl Default for VmLimits {
    /// The limits of the smallest VM.
    fn default() -> Self {
        Self {
            memory_bytes: 160_000_000,
            descriptors: 4_100,
        }
    }
}

/// Identity, addresses and bounds of this process.
#[derive(Clone, PartialEq, Debug)]
pub struct VmSite {
    /// The name of the VM.
    pub vm: VmId,
    /// The failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// The region of the VM, if known.
    pub region: Option<Region>,
    /// The region of each failure domain.
    pub regions: RegionMap,
    /// The address for callers.
    pub caller_addr: SocketAddr,
    /// The address of the readiness check by the load balancer.
    pub ready_addr: SocketAddr,
    /// The address that serves metrics.
    pub metrics_addr: SocketAddr,
    /// The CPU limit of this VM in thousandths of a core.
    pub millicores: u32,
    /// The memory and the descriptors of this VM.
    pub limits: VmLimits,
    /// The address for datagrams from peers, and for their connections to the update feed.
    pub peer_addr: SocketAddr,
    /// The address for requests that other VMs forward; none if this VM accepts none.
    pub forward_addr: Option<SocketAddr>,
    /// The bounds in force.
    pub bounds: ServingBounds,
}
