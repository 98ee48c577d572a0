//! Deadlines of a shutdown.

use bergamot_types::prelude::*;

/// How long the listener stays open after the stop signal. The balancer takes two failed health
/// checks a second apart to notice the stop, and until then callers that do not know of it keep
/// connecting. Most requests that arrive later could outlast the grace period, and a caller that
/// cannot connect goes elsewhere at once, whereas a rejected request costs it an attempt.
const NOTICE_PERIOD: Millis = Millis(2_600);
/// How long before the end of the grace period the process exits even if requests are in flight. It
/// is killed when the period ends.
const EXIT_MARGIN: Millis = Millis(500);
/// Divisor that limits the exit margin to a fraction of a short grace period, so that callers get
/// the rest.
const EXIT_MARGIN_DIVISOR: u64 = 6;
/// Time for an answer to reach the caller after the request's deadline.
const ANSWER_MARGIN: Millis = Millis(100);

/// Deadlines of one shutdown, relative to the stop signal.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ShutdownOptions {
    /// When callers have had time to notice the stop, and the listener closes.
    pub notice_period: Millis,
    /// When the remaining connections are cut.
    pub exit_deadline: Millis,
    /// Deadline of requests that are read after the notice period.
    pub answer_deadline: Millis,
}

impl ShutdownOptions {
    /// Returns the deadlines of a process that is killed when `grace` ends. The notice period is at
    /// most half of `grace`.
    pub fn within(grace: Millis) -> Self {
        let exit_deadline = grace.since(EXIT_MARGIN.min(Millis(grace.0 / EXIT_MARGIN_DIVISOR)));
        Self {
            notice_period: NOTICE_PERIOD.min(Millis(grace.0 / 2)).min(exit_deadline),
            exit_deadline,
            answer_deadline: exit_deadline.since(ANSWER_MARGIN),
        }
    }
}
