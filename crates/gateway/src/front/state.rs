//! State of a request between its head and its answer.

use std::cell::Cell;
use std::rc::Rc;

use bergamot_ports::Route;
use bergamot_types::prelude::*;

use super::trace::RequestTrace;

/// State of a request between its head and its answer.
pub struct CallState {
    /// The route of the request.
    pub route: Route,
    /// The service that was drawn for the request.
    pub service: ServiceName,
    /// When the head of the request had arrived.
    pub arrived: Millis,
    /// When the final answer is due.
    pub deadline: Millis,
    /// The upstream of each send, in order.
    pub tried: Vec<UpstreamIncarnation>,
    /// How many sends reached an upstream, whether the request ran there or not.
    pub arrivals: usize,
    /// Of these, the upstreams at which the request may have run.
    pub possible_runs: Vec<UpstreamIncarnation>,
    /// Of these, the upstreams whose connection closed before the end of the answer.
    pub disconnected: Vec<UpstreamIncarnation>,
    /// Whether another entry VM forwarded the request to this one.
    pub is_forwarded: bool,
    /// The bound that was last logged for the request. A search for another upstream meets it again
    /// and again.
    pub logged_bound: Cell<Option<&'static str>>,
    /// When the retry now being sent was taken from the budget. `None` for the first send.
    pub retry_taken_at: Option<Millis>,
    /// Traces the request until its answer was sent.
    pub trace: Rc<RequestTrace>,
}

impl CallState {
    /// Whether the request may have run at an upstream.
    pub fn may_have_run(&self) -> bool {
        !self.possible_runs.is_empty()
    }

    /// Returns how many sends did not reach an upstream.
    pub fn unreached_sends(&self) -> usize {
        self.tried.len().saturating_sub(self.arrivals)
    }

    /// Returns how many times the request was sent.
    pub fn sends(&self) -> usize {
        self.tried.len()
    }

    /// Returns the upstream of the last send, or `-` before the first one.
    pub fn last_upstream(&self) -> &str {
        self.tried.last().map_or("-", UpstreamIncarnation::as_str)
    }
}
