//! Carries out the actions of the shutdown state machine.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_shutdown::{ShutdownAction, ShutdownEvent, ShutdownOptions, ShutdownState};
use bergamot_types::prelude::*;
use tokio::sync::{Notify, watch};

use crate::shared::SharedState;

/// Time between two checks of the clock during a stop. Timers pause while a VM is suspended, but
/// its grace period does not.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(50);

/// The shutdown state of this process, and the means to carry out its actions. Runs on the callers'
/// thread, so that no connection can be accepted between a decision and its effect.
pub struct StopControl {
    shared: Arc<SharedState>,
    state: RefCell<ShutdownState>,
    /// Whether the listener and idle connections are to be closed.
    closing: watch::Sender<bool>,
    has_ended: Cell<bool>,
    ended: Notify,
}

impl StopControl {
    /// Creates the control of a process that serves.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            state: RefCell::default(),
            closing: watch::channel(false).0,
            has_ended: Cell::new(false),
            ended: Notify::new(),
        }
    }

    /// Begins a stop. Later signals have no effect.
    pub fn signal(&self) {
        // `ShutdownAction::Announce` sets the flag, so it must be read before.
        let is_first = !self.shared.is_stopping();
        let options = ShutdownOptions::within(self.shared.bounds().stop_grace);
        self.handle(ShutdownEvent::Signalled(options));
        if !is_first {
            log::info!(
                "event=stop_repeated phase={:?}",
                self.state.borrow().phase()
            );
        }
    }

    /// Counts an accepted connection until the guard is dropped. Returns `None` if it arrived too
    /// late to be read.
    pub fn accept(self: &Rc<Self>) -> Option<ConnectionGuard> {
        let actions = self.handle(ShutdownEvent::Accepted);
        let is_rejected = actions.contains(&ShutdownAction::Reject);
        (!is_rejected).then(|| ConnectionGuard {
            stop: Rc::clone(self),
        })
    }

    /// Records that the listener is closed and all its accepted connections are counted.
    pub fn record_listener_closed(&self) {
        self.handle(ShutdownEvent::ListenerClosed);
    }

    /// Returns the time by which a request read now must be complete, or `None` while every request
    /// is accepted.
    pub fn answer_deadline(&self, now: Millis) -> Option<Millis> {
        self.state.borrow().answer_deadline(now)
    }

    /// Whether the exit is decided, so that no request may be sent to an upstream.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Returns a receiver that turns `true` when the listener and idle connections are to be
    /// closed.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Waits until the process is to exit.
    pub async fn wait_end(&self) {
        while !self.has_ended() {
            // A missed wake-up is covered by the next check.
            let _ = tokio::time::timeout(STOP_POLL_PERIOD, self.ended.notified()).await;
            self.handle(ShutdownEvent::TimePassed);
        }
    }

    fn handle(&self, event: ShutdownEvent) -> Vec<ShutdownAction> {
        let now = self.shared.clock.now();
        let actions = self.state.borrow_mut().handle(now, event);
        for action in &actions {
            self.act(now, *action);
        }
        let connections = self.state.borrow().connections();
        let connection_count = i64::try_from(connections).unwrap_or(i64::MAX);
        self.shared
            .metrics
            .set_state("caller_connections", connection_count);
        actions
    }

    fn act(&self, now: Millis, action: ShutdownAction) {
        match action {
            ShutdownAction::Announce => {
                self.shared.begin_stop();
                let connections = self.state.borrow().connections();
                log::info!("event=stopping connections={connections}");
            }
            ShutdownAction::CloseListener => {
                self.closing.send_replace(true);
            }
            ShutdownAction::Reject => log::debug!("event=caller_lost reason=stopping"),
            ShutdownAction::Exit { cut } => {
                let since_stop = self.shared.stop_age(now).unwrap_or_default();
                log::info!("event=stopped connections={cut} since_stop={since_stop}");
                self.has_ended.set(true);
                self.ended.notify_one();
            }
        }
    }
}

/// Keeps a caller's connection counted until dropped.
pub struct ConnectionGuard {
    stop: Rc<StopControl>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.stop.handle(ShutdownEvent::Released);
    }
}
