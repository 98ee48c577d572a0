//! What is known of a request until its answer has left, for the account of a stop.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use bergamot_types::prelude::*;

use super::answer::AnswerHold;
use super::head_timer::HeadGuard;
use crate::shared::SharedState;

/// Follows one request until its answer has left. While the process stops, a line says that a request was read, and
/// another one that it ended without a whole answer: after the process is gone nothing else tells of it.
pub struct RequestTrace {
    shared: Arc<SharedState>,
    arrived: Millis,
    id: OnceCell<RequestId>,
    upstream: RefCell<Option<UpstreamIncarnation>>,
    is_whole: Cell<bool>,
}

impl RequestTrace {
    /// Begins with the arrival of a request's head.
    pub fn begin(shared: &Arc<SharedState>) -> Self {
        Self {
            shared: Arc::clone(shared),
            arrived: shared.clock.now(),
            id: OnceCell::new(),
            upstream: RefCell::default(),
            is_whole: Cell::new(false),
        }
    }

    /// Notes the request's id.
    pub fn record_id(&self, id: &RequestId) {
        if self.id.set(id.clone()).is_err() {
            return;
        }
        if let Some(since) = self.shared.stop_age(self.arrived) {
            log::info!("event=taken_while_stopping request={id} since_stop={since}");
        }
    }

    /// Notes that it is about to be sent to an upstream.
    pub fn note_sent(&self, upstream: &UpstreamIncarnation) {
        *self.upstream.borrow_mut() = Some(upstream.clone());
    }

    /// Notes that its whole answer was handed to the caller's connection.
    pub fn note_whole(&self) {
        self.is_whole.set(true);
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let Some(since) = self.shared.stop_age(now) else {
            return;
        };
        if self.is_whole.get() {
            return;
        }
        log::warn!(
            "event=unanswered_while_stopping request={} upstream={} waited={} since_stop={since}",
            self.id.get().map_or("-", RequestId::as_str),
            self.upstream
                .borrow()
                .as_ref()
                .map_or("-", UpstreamIncarnation::as_str),
            now.since(self.arrived),
        );
    }
}

/// Holds what lasts as long as an answer.
pub struct TracedAnswer {
    trace: Rc<RequestTrace>,
    _arrived: HeadGuard,
}

impl TracedAnswer {
    /// Holds a request's trace, and the time of its head.
    pub fn new(trace: Rc<RequestTrace>, arrived: HeadGuard) -> Self {
        Self {
            trace,
            _arrived: arrived,
        }
    }
}

impl AnswerHold for TracedAnswer {
    fn note_whole(&mut self) {
        self.trace.note_whole();
    }
}
