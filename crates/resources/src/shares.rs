//! How a VM's memory and descriptors are divided.

use bergamot_ports::VmLimits;

/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;
/// Memory that a connection takes without a body: its task, its buffers and what waits unread in its socket.
const CONNECTION_BYTES: usize = 48 << 10;
/// Fewest connections of each kind, whatever the limits are.
const MIN_CONNECTIONS: usize = 16;

/// What callers and other entry VMs may make this VM hold.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ResourceShares {
    /// Bytes of all request bodies together: a quarter of the memory.
    pub body_bytes: usize,
    /// Bytes of all answers together that are held or wait for their callers: an eighth of the memory.
    pub answer_bytes: usize,
    /// Connections of callers: three eighths of the sockets, as each request needs a second one for its upstream, and
    /// at most a third of the memory.
    pub caller_connections: usize,
    /// Connections of other entry VMs that forward requests: a sixteenth of the sockets.
    pub forward_connections: usize,
    /// Connections of other entry VMs that follow the updates of the store: a sixteenth of the sockets.
    pub feed_connections: usize,
}

impl ResourceShares {
    /// Divides the limits of a VM.
    pub fn of(limits: VmLimits) -> Self {
        let memory_bytes = usize::try_from(limits.memory_bytes).unwrap_or(usize::MAX);
        let sockets = limits.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let affordable = memory_bytes / 3 / CONNECTION_BYTES;
        Self {
            body_bytes: memory_bytes / 4,
            answer_bytes: memory_bytes / 8,
            caller_connections: (sockets * 3 / 8).min(affordable).max(MIN_CONNECTIONS),
            forward_connections: (sockets / 16).max(MIN_CONNECTIONS),
            feed_connections: (sockets / 16).max(MIN_CONNECTIONS),
        }
    }
}
