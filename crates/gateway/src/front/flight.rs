//! Counts of requests at upstreams that end with the request.

use std::cell::RefCell;
use std::rc::Rc;

use bergamot_routing::UpstreamMonitor;
use bergamot_types::prelude::*;

/// Counts a connection to an upstream that is being set up until dropped.
#[derive(Debug)]
pub struct ConnectGuard<'a> {
    book: &'a RefCell<UpstreamMonitor>,
    incarnation: &'a UpstreamIncarnation,
}

impl<'a> ConnectGuard<'a> {
    /// Counts one that is about to be set up.
    pub fn enter(
        book: &'a RefCell<UpstreamMonitor>,
        incarnation: &'a UpstreamIncarnation,
        now: Millis,
    ) -> Self {
        book.borrow_mut().record_connecting(incarnation, now);
        Self { book, incarnation }
    }
}

impl Drop for ConnectGuard<'_> {
    fn drop(&mut self) {
        self.book
            .borrow_mut()
            .record_connect_finished(self.incarnation);
    }
}

/// Counts a request at an upstream until dropped.
#[derive(Debug)]
pub struct FlightGuard {
    book: Rc<RefCell<UpstreamMonitor>>,
    incarnation: UpstreamIncarnation,
    /// Tokens of its prompt.
    prompt: u32,
    has_begun: bool,
}

impl FlightGuard {
    /// Counts a request for a model with so many prompt tokens that is about to be sent.
    pub fn enter(
        book: &Rc<RefCell<UpstreamMonitor>>,
        incarnation: &UpstreamIncarnation,
        model: Option<&ModelName>,
        prompt: u32,
        now: Millis,
    ) -> Self {
        book.borrow_mut()
            .record_sent(incarnation, model, prompt, now);
        Self {
            book: Rc::clone(book),
            incarnation: incarnation.clone(),
            prompt,
            has_begun: false,
        }
    }

    /// Counts that the answer has begun.
    pub fn mark_begun(&mut self) {
        if !self.has_begun {
            self.has_begun = true;
            self.book
                .borrow_mut()
                .record_answer_begun(&self.incarnation, self.prompt);
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let mut book = self.book.borrow_mut();
        book.record_ended(&self.incarnation, self.has_begun, self.prompt);
    }
}
