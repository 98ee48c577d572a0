//! Carries out what the life cycle of the process asks for.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_shutdown::{ShutdownAction, ShutdownEvent, ShutdownOptions, ShutdownState};
use bergamot_types::prelude::*;
use tokio::sync::{Notify, watch};

use crate::shared::SharedState;

/// Time between two looks at the clock during a stop. Timers stand still while a VM is suspended, its grace does not.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// The life cycle of this process, with the means to carry it out. Lives on the callers' thread, so that nothing can be
/// accepted between a decision and what it does.
pub struct StopControl {
    shared: Arc<SharedState>,
    state: RefCell<ShutdownState>,
    /// Whether the listener and idle connections are to be closed.
    closing: watch::Sender<bool>,
    has_ended: Cell<bool>,
    ended: Notify,
}

impl StopControl {
    /// A process that serves.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            state: RefCell::default(),
            closing: watch::channel(false).0,
            has_ended: Cell::new(false),
            ended: Notify::new(),
        }
    }

    /// Begins a stop. Later signals change nothing.
    pub fn signal(&self) {
        // Announcing the stop sets it.
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

    /// Counts a connection that was accepted, until the guard is dropped. None where it came too late to be read.
    pub fn accept(self: &Rc<Self>) -> Option<ConnectionGuard> {
        let actions = self.handle(ShutdownEvent::Accepted);
        let is_rejected = actions.contains(&ShutdownAction::Reject);
        (!is_rejected).then(|| ConnectionGuard {
            stop: Rc::clone(self),
        })
    }

    /// Notes that the listener is closed, and that all it had accepted is counted.
    pub fn record_listener_closed(&self) {
        self.handle(ShutdownEvent::ListenerClosed);
    }

    /// When a request that is read now must be over. None while every request is taken.
    pub fn answer_deadline(&self, now: Millis) -> Option<Millis> {
        self.state.borrow().answer_deadline(now)
    }

    /// Whether the end is decided, so that nothing may be sent on any more.
    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Tells when the listener and idle connections are to be closed.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Returns when the process is to end.
    pub async fn wait_end(&self) {
        while !self.has_ended() {
            // A wake-up that is missed is made up for by the next look.
            let _ = tokio::time::timeout(STOP_LOOK, self.ended.notified()).await;
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
        let gauge = i64::try_from(connections).unwrap_or(i64::MAX);
        self.shared.metrics.set_state("caller_connections", gauge);
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
                let since = self.shared.stop_age(now).unwrap_or_default();
                log::info!("event=stopped connections={cut} since_stop={since}");
                self.has_ended.set(true);
                self.ended.notify_one();
            }
        }
    }
}

/// Counts a connection of a caller until dropped.
pub struct ConnectionGuard {
    stop: Rc<StopControl>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.stop.handle(ShutdownEvent::Released);
    }
}
