//! Guards that count connects and requests in flight at upstreams until they are dropped.

use std::cell::RefCell;
use std::rc::Rc;

use bergamot_routing::UpstreamMonitor;
use bergamot_types::prelude::*;

/// Counts a connection that is being established to an upstream, until dropped.
#[derive(Debug)]
pub struct ConnectGuard<'a> {
    monitor: &'a RefCell<UpstreamMonitor>,
    incarnation: &'a UpstreamIncarnation,
}

impl<'a> ConnectGuard<'a> {
    /// Counts a connection that is about to be established.
    pub fn enter(
        monitor: &'a RefCell<UpstreamMonitor>,
        incarnation: &'a UpstreamIncarnation,
        now: Millis,
    ) -> Self {
        monitor.borrow_mut().record_connecting(incarnation, now);
        Self {
            monitor,
            incarnation,
        }
    }
}

impl Drop for ConnectGuard<'_> {
    fn drop(&mut self) {
        self.monitor
            .borrow_mut()
            .record_connect_finished(self.incarnation);
    }
}

/// Counts a request in flight at an upstream, until dropped.
#[derive(Debug)]
pub struct FlightGuard {
    monitor: Rc<RefCell<UpstreamMonitor>>,
    incarnation: UpstreamIncarnation,
    /// Number of prompt tokens.
    prompt_tokens: u32,
    has_begun: bool,
}

impl FlightGuard {
    /// Counts a request that is about to be sent.
    pub fn enter(
        monitor: &Rc<RefCell<UpstreamMonitor>>,
        incarnation: &UpstreamIncarnation,
        model: Option<&ModelName>,
        prompt_tokens: u32,
        now: Millis,
    ) -> Self {
        monitor
            .borrow_mut()
            .record_sent(incarnation, model, prompt_tokens, now);
        Self {
            monitor: Rc::clone(monitor),
            incarnation: incarnation.clone(),
            prompt_tokens,
            has_begun: false,
        }
    }

    /// Records that the answer has begun. Later calls have no effect.
    pub fn mark_begun(&mut self) {
        if !self.has_begun {
            self.has_begun = true;
            self.monitor
                .borrow_mut()
                .record_answer_begun(&self.incarnation, self.prompt_tokens);
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let mut monitor = self.monitor.borrow_mut();
        monitor.record_ended(&self.incarnation, self.has_begun, self.prompt_tokens);
    }
}
