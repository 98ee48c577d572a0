//! The open connections of a listener, and which of them is closed for a new one.

use std::sync::Arc;
use std::time::Instant;

use bergamot_resources::prelude::*;
use parking_lot::Mutex;
use tokio::task::AbortHandle;

/// Fewest open connections before the ended ones among them are looked for.
const MIN_PRUNE_COUNT: usize = 16;

/// Tells what a connection is doing.
pub trait ConnectionUse {
    /// Returns what the connection is doing, and for how long.
    fn standing(&self) -> ConnectionStanding;
}

impl<Use> ConnectionUse for Arc<Use>
where
    Use: ConnectionUse,
{
    fn standing(&self) -> ConnectionStanding {
        (**self).standing()
    }
}

/// When a connection was last of use. It may be closed at any time.
#[derive(Clone, Debug)]
pub struct ActivityMark(Arc<Mutex<Instant>>);

impl Default for ActivityMark {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(Instant::now())))
    }
}

impl ActivityMark {
    /// Records that the connection is of use.
    pub fn touch(&self) {
        *self.0.lock() = Instant::now();
    }
}

impl ConnectionUse for ActivityMark {
    fn standing(&self) -> ConnectionStanding {
        ConnectionStanding {
            phase: ConnectionPhase::Idle,
            age: self.0.lock().elapsed(),
        }
    }
}

/// Whether a new connection may be served.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectionAdmission {
    /// There is room for it.
    Admitted,
    /// Another connection was closed for it.
    Replaces,
    /// All connections are serving requests.
    Refused,
}

struct OpenConnection<Use> {
    task: AbortHandle,
    connection_use: Use,
}

/// The tasks of the open connections of one listener.
pub struct ConnectionSet<Use> {
    open: Vec<OpenConnection<Use>>,
    /// Number of tasks at which the ended ones are removed.
    prune_count: usize,
}

impl<Use> Default for ConnectionSet<Use> {
    fn default() -> Self {
        Self {
            open: Vec::new(),
            prune_count: MIN_PRUNE_COUNT,
        }
    }
}

impl<Use> ConnectionSet<Use>
where
    Use: ConnectionUse,
{
    /// Makes room for a new connection, where `most` may be open. At that bound, one that waits for a request closes.
    pub fn admit(&mut self, most: usize) -> ConnectionAdmission {
        if self.open.len() >= self.prune_count.min(most) {
            self.open
                .retain(|connection| !connection.task.is_finished());
            self.prune_count = MIN_PRUNE_COUNT.max(2 * self.open.len());
        }
        let mut admission = ConnectionAdmission::Admitted;
        while self.open.len() >= most.max(1) {
            let standings = self.open.iter().enumerate();
            let standings = standings.map(|(index, open)| (index, open.connection_use.standing()));
            let Some(victim) = choose_victim(standings) else {
                return ConnectionAdmission::Refused;
            };
            self.open.swap_remove(victim).task.abort();
            admission = ConnectionAdmission::Replaces;
        }
        admission
    }

    /// Adds the task of a connection that was admitted.
    pub fn insert(&mut self, task: AbortHandle, connection_use: Use) {
        let connection = OpenConnection {
            task,
            connection_use,
        };
        self.open.push(connection);
    }
}
