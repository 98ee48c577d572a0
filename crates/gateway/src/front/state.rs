//! Where a request stands.

use std::rc::Rc;

use bergamot_ports::Route;
use bergamot_types::prelude::*;

use super::trace::RequestTrace;

/// Where a request stands.
pub struct CallState {
    /// Its route.
    pub route: Route,
    /// The service that was drawn for it.
    pub service: ServiceName,
    /// When its head had arrived.
    pub arrived: Millis,
    /// When it must have its final answer.
    pub deadline: Millis,
    /// Runs of upstreams that it was sent to.
    pub tried: Vec<UpstreamIncarnation>,
    /// How often it reached one, run or not.
    pub arrivals: usize,
    /// Of these, where it may have run.
    pub possible_runs: Vec<UpstreamIncarnation>,
    /// Of these, where the connection ended before the answer did.
    pub disconnected: Vec<UpstreamIncarnation>,
    /// When the repeat that is being sent was taken from the budget; none for the first send.
    pub retry_taken_at: Option<Millis>,
    /// Follows it to the end of its answer.
    pub trace: Rc<RequestTrace>,
}

impl CallState {
    /// Whether it may have run.
    pub fn may_have_run(&self) -> bool {
        !self.possible_runs.is_empty()
    }

    /// How often it was sent without reaching an upstream.
    pub fn vain_sends(&self) -> usize {
        self.tried.len() - self.arrivals
    }

    /// Upstreams that it was sent to.
    pub fn sends(&self) -> usize {
        self.tried.len()
    }

    /// The upstream that it was last sent to.
    pub fn last_upstream(&self) -> &str {
        self.tried.last().map_or("-", UpstreamIncarnation::as_str)
    }
}
