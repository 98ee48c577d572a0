//! The times of a stop.

use bergamot_types::prelude::*;

/// Time after the signal to stop in which the balancer learns of it, by two missed questions a second apart, and
/// callers still come who have not heard of it. The listener is closed then: most of what comes later could outlast the
/// grace, and a caller who cannot connect goes elsewhere at once, where one that is refused has lost a try.
const NOTICE_TIME: Millis = Millis(2_600);
/// Time before the end of the grace in which the process ends whatever is in flight: it is killed at that end.
const END_MARGIN: Millis = Millis(500);
/// The same is at most one part in so many of a short grace, so that callers have the rest.
const END_MARGIN_PART: u64 = 6;
/// Time for an answer to leave once its request's deadline has passed.
const ANSWER_MARGIN: Millis = Millis(100);

/// The times of one stop, counted from its signal.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ShutdownOptions {
    /// When callers have had time to hear of it, and the listener is closed.
    pub notice: Millis,
    /// When whatever is in flight is cut.
    pub end: Millis,
    /// When requests must be over that are taken after the notice.
    pub answer_end: Millis,
}

impl ShutdownOptions {
    /// The times of a stop after which the process is killed when `grace` is over. Where that is short, the notice takes a
    /// half of it at most.
    pub fn within(grace: Millis) -> Self {
        let end = grace.since(END_MARGIN.min(Millis(grace.0 / END_MARGIN_PART)));
        Self {
            notice: NOTICE_TIME.min(Millis(grace.0 / 2)).min(end),
            end,
            answer_end: end.since(ANSWER_MARGIN),
        }
    }
}
