//! The links of each process to all upstreams. Processes connect to the same proxies, so a connection
//! is told by the process that owns its socket.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};

use procfs::process::{FDTarget, Process};
use tokio::sync::watch;

use crate::plan::LinkState;

/// The links of all processes of a run.
#[derive(Debug)]
pub struct UpstreamLinks {
    /// Whether a plan changes these links; the owners of connections are not looked up otherwise.
    is_watched: AtomicBool,
    processes: Vec<ProcessLink>,
}

#[derive(Debug)]
struct ProcessLink {
    /// The id of the running process; 0 for none.
    id: AtomicI32,
    state: watch::Sender<LinkState>,
}

impl UpstreamLinks {
    /// Whole links of so many processes.
    pub fn new(count: usize) -> Self {
        let processes = (0..count).map(|_| ProcessLink {
            id: AtomicI32::new(0),
            state: watch::channel(LinkState::Whole).0,
        });
        Self {
            is_watched: AtomicBool::new(false),
            processes: processes.collect(),
        }
    }

    /// Looks up the owners of connections from now on.
    pub fn watch(&self) {
        self.is_watched.store(true, Ordering::Relaxed);
    }

    /// Notes the id of a process that was started.
    pub fn note_started(&self, number: usize, id: i32) {
        self.processes[number].id.store(id, Ordering::Relaxed);
    }

    /// Puts a state in force for a process's links to all upstreams, for connections that are open too.
    pub fn set(&self, number: usize, state: LinkState) {
        self.processes[number].state.send_replace(state);
    }

    /// The link that a connection from `near` to the listener goes over.
    pub(crate) fn link_of(
        &self,
        near: SocketAddr,
        listener: SocketAddr,
    ) -> Option<watch::Receiver<LinkState>> {
        if !self.is_watched.load(Ordering::Relaxed) {
            return None;
        }
        let sockets = procfs::net::tcp().ok()?;
        let mut sockets = sockets.into_iter();
        let is_its_end = |entry: &procfs::net::TcpNetEntry| {
            entry.local_address == near && entry.remote_address == listener
        };
        let inode = sockets.find(is_its_end)?.inode;
        let mut processes = self.processes.iter();
        let owner = processes.find(|process| owns(process.id.load(Ordering::Relaxed), inode))?;
        Some(owner.state.subscribe())
    }
}

fn owns(id: i32, inode: u64) -> bool {
    let process = Process::new(id).and_then(|process| process.fd());
    let Ok(descriptors) = process else {
        return false;
    };
    let mut targets = descriptors.flatten().map(|descriptor| descriptor.target);
    targets.any(|target| matches!(target, FDTarget::Socket(it) if it == inode))
}
