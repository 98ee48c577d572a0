//! Requests that a VM which reaches no upstream forwards to another entry VM.
//!
//! A request takes one hop at most, and runs at most once for each hop: the VM that its caller
//! connected to decides whether it is repeated, and counts its runs. The VM that sends it to an
//! upstream applies all limits and the retry budget.
//!
//! | module | contents |
//! | --- | --- |
//! | [`context`] | what a forwarded request carries in addition to the caller's |
//! | [`send`] | the VM that forwards |
//! | [`serve`] | the VM that serves a forwarded request |

mod choose;
pub mod context;
pub mod send;
pub mod serve;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bergamot_routing::{ForwardPeers, has_forward_place};
use bergamot_types::prelude::*;
use prometheus::IntCounter;

use super::pool::ConnectionPool;
use crate::clock::BootClock;

/// Interval at which a VM that serves a forwarded request is probed. Its answer may take seconds, and
/// it may vanish meanwhile.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Requests that this VM forwards to others, and those that others forward to it.
pub struct ForwardFront {
    /// Connections to other VMs.
    pub pool: Rc<ConnectionPool<VmId>>,
    /// Requests in flight at other VMs, and which of them declined some.
    peers: Rc<RefCell<ForwardPeers>>,
    /// Number of requests of other VMs that this VM serves.
    served: Rc<Cell<usize>>,
}

impl ForwardFront {
    /// Creates the state of a VM without forwarded requests. `endless` counts answers without end.
    pub fn new(clock: BootClock, endless: IntCounter) -> Self {
        Self {
            pool: Rc::new(ConnectionPool::new(clock, endless).with_keep_alive(KEEP_ALIVE_INTERVAL)),
            peers: Rc::default(),
            served: Rc::default(),
        }
    }

    /// Closes expired connections and drops the state of VMs that are no longer listed.
    pub fn retain<IsListed>(&self, is_listed: IsListed)
    where
        IsListed: Fn(&str) -> bool,
    {
        self.pool.retain(|vm| is_listed(vm.as_str()));
        self.peers.borrow_mut().retain(is_listed);
    }

    /// Takes a place for a request of another VM. Returns `None` if none is left for this priority.
    fn enter(&self, priority: u8) -> Option<ServedPlace> {
        let served = self.served.get();
        if !has_forward_place(served, priority) {
            return None;
        }
        self.served.set(served + 1);
        Some(ServedPlace {
            served: Rc::clone(&self.served),
        })
    }
}

/// Counts a request of another VM until its answer was sent.
pub struct ServedPlace {
    served: Rc<Cell<usize>>,
}

impl Drop for ServedPlace {
    fn drop(&mut self) {
        self.served.set(self.served.get().saturating_sub(1));
    }
}

/// Counts a request in flight at another VM.
pub struct PeerFlight {
    peers: Rc<RefCell<ForwardPeers>>,
    vm: VmId,
}

impl PeerFlight {
    fn enter(peers: &Rc<RefCell<ForwardPeers>>, vm: &VmId) -> Self {
        peers.borrow_mut().record_sent(vm.as_str());
        Self {
            peers: Rc::clone(peers),
            vm: vm.clone(),
        }
    }
}

impl Drop for PeerFlight {
    fn drop(&mut self) {
        self.peers.borrow_mut().record_ended(self.vm.as_str());
    }
}
