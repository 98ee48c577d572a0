//! The times of a stop.

use bergamot_types::prelude::*;

/// Time after the signal to stop in which the balancer learns of it, by two missed questions a second apart, and
/// callers still come who have not heard of it.
const NOTICE_TIME: Millis = Millis(2_600);
/// Time before the end of the grace in which the process ends whatever is in flight: it is killed at that end.
const END_MARGIN: Millis = Millis(500);
/// Time between the last moment for the listener to be closed and that end: callers who were accepted last are refused
/// in it, as their requests could take longer.
const LISTEN_MARGIN: Millis = Millis(500);
/// Time for an answer to leave once its request's deadline has passed.
const ANSWER_MARGIN: Millis = Millis(100);

/// When the listener is closed, once callers have had the time to hear of the stop.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CloseRule {
    /// At once.
    AtNotice,
    /// Once no connection is open and none has come for this long.
    WhenIdle(Millis),
    /// At the last moment that leaves time for those accepted last.
    AtGrace,
}

/// The times of one stop, counted from its signal.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ShutdownOptions {
    /// When callers have had time to hear of it.
    pub notice: Millis,
    /// When the listener is closed at the latest.
    pub listen_end: Millis,
    /// When whatever is in flight is cut.
    pub end: Millis,
    /// When requests must be over that are taken after the notice.
    pub answer_end: Millis,
    /// When the listener is closed.
    pub rule: CloseRule,
}

impl ShutdownOptions {
    /// The times of a stop after which the process is killed when `grace` is over. Where that is short, the notice takes a
    /// half of it at most.
    pub fn within(grace: Millis) -> Self {
        let end = grace.since(END_MARGIN);
        let listen_end = end.since(LISTEN_MARGIN);
        Self {
            notice: NOTICE_TIME.min(Millis(grace.0 / 2)).min(listen_end),
            listen_end,
            end,
            answer_end: end.since(ANSWER_MARGIN),
            rule: CloseRule::WhenIdle(Millis::ZERO),
        }
    }
}
