//! What callers' connections are doing, which decides which of them is closed for a new one.

use std::sync::Arc;
use std::time::Instant;

use bergamot_gateway::connection_set::ConnectionUse;
use bergamot_resources::prelude::*;
use parking_lot::Mutex;

/// What a connection is doing. An HTTP/2 connection carries several requests.
#[derive(Debug)]
pub struct CallerActivity(Mutex<ActivityState>);

#[derive(Debug)]
struct ActivityState {
    has_served: bool,
    /// Requests whose body is arriving.
    receiving: usize,
    /// Requests whose answer is not known yet.
    answering: usize,
    /// When this last changed.
    changed_at: Instant,
}

impl Default for CallerActivity {
    fn default() -> Self {
        Self(Mutex::new(ActivityState {
            has_served: false,
            receiving: 0,
            answering: 0,
            changed_at: Instant::now(),
        }))
    }
}

impl ConnectionUse for CallerActivity {
    fn standing(&self) -> ConnectionStanding {
        let state = self.0.lock();
        let phase = match *state {
            ActivityState { answering: 1.., .. } => ConnectionPhase::Answering,
            ActivityState { receiving: 1.., .. } => ConnectionPhase::Receiving,
            ActivityState {
                has_served: true, ..
            } => ConnectionPhase::Idle,
            _ => ConnectionPhase::Unused,
        };
        ConnectionStanding {
            phase,
            age: state.changed_at.elapsed(),
        }
    }
}

/// A request on a connection, until dropped.
#[derive(Debug)]
pub struct ActivityGuard {
    activity: Arc<CallerActivity>,
    is_received: bool,
}

impl ActivityGuard {
    /// Records that the head of a request has arrived.
    pub fn begin(activity: &Arc<CallerActivity>) -> Self {
        let mut state = activity.0.lock();
        state.has_served = true;
        state.receiving += 1;
        state.changed_at = Instant::now();
        Self {
            activity: Arc::clone(activity),
            is_received: false,
        }
    }

    /// Records that the body of the request has arrived.
    pub fn record_received(&mut self) {
        let mut state = self.activity.0.lock();
        state.receiving -= 1;
        state.answering += 1;
        state.changed_at = Instant::now();
        self.is_received = true;
    }
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        let mut state = self.activity.0.lock();
        match self.is_received {
            true => state.answering -= 1,
            false => state.receiving -= 1,
        }
        state.changed_at = Instant::now();
    }
}
