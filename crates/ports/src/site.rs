//! Where this process runs and which bounds hold there.

use std::net::SocketAddr;

use bergamot_types::prelude::*;

/// Times and ratios that the platform's operators promise their callers.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ServingBounds {
    /// Time after which an upstream that leaves gets no new work.
    pub drain_time: Millis,
    /// Time between the signal to stop and the kill.
    pub stop_grace: Millis,
    /// Time after which a key that was taken away must not be served; none where only VMs in
    /// touch with the platform are bound.
    pub revoke_time: Option<Millis>,
    /// Repeats that all entry VMs together may send, as a part of the requests.
    pub retry_ratio: f64,
    /// The window of that part.
    pub retry_window: Millis,
    /// Repeats allowed in a window besides.
    pub retry_reserve: f64,
    /// Time for which a group that lost a member stands still before it breaks.
    pub stall_time: Millis,
}

/// This process's place.
#[derive(Clone, PartialEq, Debug)]
pub struct VmSite {
    /// The VM's name.
    pub vm: VmId,
    /// Where it can be cut off.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where the balancer asks whether to send callers here.
    pub ready_addr: SocketAddr,
    /// Where metrics are served.
    pub metrics_addr: SocketAddr,
    /// Thousandths of a core that this VM may use.
    pub millicores: u32,
    /// Where peers send datagrams, and ask for news by connections.
    pub peer_addr: SocketAddr,
    /// The bounds in force.
    pub bounds: ServingBounds,
}
