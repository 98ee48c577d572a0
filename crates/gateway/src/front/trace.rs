//! Traces requests until their answers were sent, to log those that a shutdown leaves unanswered.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use bergamot_types::prelude::*;

use super::answer::AnswerGuard;
use super::forward::ServedPlace;
use super::head_timer::{HeadGuard, HeadTimer};
use crate::shared::SharedState;

/// Traces one request until its answer was sent. While the process stops, it logs that the request
/// was read, and that it ended without a complete answer. Once the process has exited, there is no
/// other record of such a request.
pub struct RequestTrace {
    shared: Arc<SharedState>,
    arrived: Millis,
    id: OnceCell<RequestId>,
    upstream: RefCell<Option<UpstreamIncarnation>>,
    is_forwarded: Cell<bool>,
    is_complete: Cell<bool>,
    /// The timer of the connection.
    timer: HeadTimer,
}

impl RequestTrace {
    /// Begins a trace when the head of a request has arrived on the connection of `timer`.
    pub fn begin(shared: &Arc<SharedState>, timer: HeadTimer) -> Self {
        Self {
            timer,
            shared: Arc::clone(shared),
            arrived: shared.clock.now(),
            id: OnceCell::new(),
            upstream: RefCell::default(),
            is_forwarded: Cell::new(false),
            is_complete: Cell::new(false),
        }
    }

    /// Records the id of the request.
    pub fn record_id(&self, id: &RequestId) {
        if self.id.set(id.clone()).is_err() {
            return;
        }
        if let Some(stop_age) = self.shared.stop_age(self.arrived) {
            log::info!("event=taken_while_stopping request={id} since_stop={stop_age}");
        }
    }

    /// Records that the whole body has arrived.
    pub fn record_received(&self) {
        self.timer.record_received();
    }

    /// Records the upstream that the request is about to be sent to.
    pub fn record_upstream(&self, upstream: &UpstreamIncarnation) {
        *self.upstream.borrow_mut() = Some(upstream.clone());
    }

    /// Records that another entry VM is about to be offered the request.
    pub fn record_forwarded(&self) {
        self.is_forwarded.set(true);
    }

    /// Returns the id of the request, if it was read.
    pub fn id(&self) -> Option<&RequestId> {
        self.id.get()
    }

    /// Whether the request may have been sent.
    pub fn may_have_run(&self) -> bool {
        self.is_forwarded.get() || self.upstream.borrow().is_some()
    }

    /// Records that the complete answer was passed to the caller's connection.
    pub fn record_complete(&self) {
        self.is_complete.set(true);
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let Some(stop_age) = self.shared.stop_age(now) else {
            return;
        };
        if self.is_complete.get() {
            return;
        }
        log::warn!(
            "event=unanswered_while_stopping request={} upstream={} waited={} since_stop={stop_age}",
            self.id.get().map_or("-", RequestId::as_str),
            self.upstream
                .borrow()
                .as_ref()
                .map_or("-", UpstreamIncarnation::as_str),
            now.since(self.arrived),
        );
    }
}

/// Values that live as long as the answer to a request.
pub struct TracedAnswer {
    trace: Rc<RequestTrace>,
    _head_guard: HeadGuard,
    _place: Option<ServedPlace>,
}

impl TracedAnswer {
    /// Takes the trace of a request, the guard of its head, and its place if another VM forwarded
    /// it.
    pub fn new(trace: Rc<RequestTrace>, head_guard: HeadGuard, place: Option<ServedPlace>) -> Self {
        Self {
            trace,
            _head_guard: head_guard,
            _place: place,
        }
    }
}

impl AnswerGuard for TracedAnswer {
    fn mark_sent(&mut self) {
        self.trace.record_complete();
    }
}
