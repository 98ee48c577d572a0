//! What a stop does, step by step.

use bergamot_shutdown::ShutdownAction::{Announce, CloseListener, Exit, Reject};
use bergamot_shutdown::ShutdownEvent::{Accepted, ListenerClosed, Released, Signalled, TimePassed};
use bergamot_shutdown::{PhaseName, ShutdownAction, ShutdownEvent, ShutdownOptions, ShutdownState};
use bergamot_types::prelude::*;

/// The times of all cases.
const OPTIONS: ShutdownOptions = ShutdownOptions {
    notice: Millis(2_600),
    end: Millis(7_500),
    answer_end: Millis(7_400),
};
const SIGNAL: ShutdownEvent = Signalled(OPTIONS);

struct StopCase {
    name: &'static str,
    /// When something happens, what, and what has to be done then.
    steps: &'static [(u64, ShutdownEvent, &'static [ShutdownAction])],
    phase: PhaseName,
}

const CASES: [StopCase; 10] = [
    StopCase {
        name: "nobody is there: the listener is closed before the process ends",
        steps: &[
            (0, SIGNAL, &[Announce]),
            (2_599, TimePassed, &[]),
            (2_600, TimePassed, &[CloseListener]),
            (2_601, ListenerClosed, &[Exit { cut: 0 }]),
        ],
        phase: PhaseName::Ended,
    },
    StopCase {
        name: "a caller who waits to be accepted while the listener is closed is served",
        steps: &[
            (0, SIGNAL, &[Announce]),
            (2_600, TimePassed, &[CloseListener]),
            (2_600, Accepted, &[]),
            (2_601, ListenerClosed, &[]),
            (2_700, TimePassed, &[]),
            (2_750, Released, &[Exit { cut: 0 }]),
        ],
        phase: PhaseName::Ended,
    },
    StopCase {
        name: "a caller who comes as the last one leaves is waited for",
        steps: &[
            (0, SIGNAL, &[Announce]),
            (10, Accepted, &[]),
            (2_600, TimePassed, &[CloseListener]),
            (2_600, Released, &[]),
            (2_600, Accepted, &[]),
            (2_601, ListenerClosed, &[]),
            (2_650, TimePassed, &[]),
            (2_660, Released, &[Exit { cut: 0 }]),
        ],
        phase: PhaseName::Ended,
    },
    StopCase {
        name: "without a word from the listener the process goes on",
        steps: &[
            (0, SIGNAL, &[Announce]),
            (2_600, TimePassed, &[CloseListener]),
            (5_000, TimePassed, &[]),
        ],
        phase: PhaseName::Closing,
    },
    StopCase {
        name: "but not past its grace",
        steps: &[
            (0, SIGNAL, &[Announce]),
            (2_600, TimePassed, &[CloseListener]),
            (2_650, Accepted, &[]),
            (7_500, TimePassed, &[Exit { cut: 1 }]),
        ],
        phase: PhaseName::Ended,
    },
    StopCase {
        name: "a second signal changes nothing",
        steps: &[
            (0, Accepted, &[]),
            (0, SIGNAL, &[Announce]),
            (2_000, SIGNAL, &[]),
            (2_600, SIGNAL, &[CloseListener]),
            (2_601, ListenerClosed, &[]),
            (7_000, SIGNAL, &[]),
            (7_500, SIGNAL, &[Exit { cut: 1 }]),
        ],
        phase: PhaseName::Ended,
    },
    StopCase {
        name: "suspended past the end of the grace, the process misses no phase",
        steps: &[
            (0, Accepted, &[]),
            (0, SIGNAL, &[Announce]),
            (60_000, TimePassed, &[CloseListener, Exit { cut: 1 }]),
        ],
        phase: PhaseName::Ended,
    },
    StopCase {
        name: "a connection that comes after the listener is closed is not read",
        steps: &[
            (0, SIGNAL, &[Announce]),
            (0, Accepted, &[]),
            (2_600, TimePassed, &[CloseListener]),
            (2_601, ListenerClosed, &[]),
            (2_602, Accepted, &[Reject]),
            (2_610, Released, &[Exit { cut: 0 }]),
            (2_611, Accepted, &[Reject]),
        ],
        phase: PhaseName::Ended,
    },
    StopCase {
        name: "no stop: connections come and go",
        steps: &[
            (0, Accepted, &[]),
            (10, Released, &[]),
            (20, ListenerClosed, &[]),
            (99_000, TimePassed, &[]),
        ],
        phase: PhaseName::Serving,
    },
    StopCase {
        name: "a connection that is open since before the signal is waited for",
        steps: &[
            (0, Accepted, &[]),
            (100, SIGNAL, &[Announce]),
            (2_700, TimePassed, &[CloseListener]),
            (2_701, ListenerClosed, &[]),
            (5_000, TimePassed, &[]),
            (5_100, Released, &[Exit { cut: 0 }]),
        ],
        phase: PhaseName::Ended,
    },
];

#[test]
fn a_stop_ends_after_its_listener_and_within_its_grace() {
    for case in CASES {
        let mut state = ShutdownState::default();
        for (at, event, expected) in case.steps {
            let actions = state.handle(Millis(*at), *event);
            assert_eq!(actions, *expected, "{}: {event:?} at {at}", case.name);
        }
        assert_eq!(state.phase(), case.phase, "{}", case.name);
    }
}

struct AnswerCase {
    name: &'static str,
    steps: &'static [(u64, ShutdownEvent)],
    at: u64,
    end: Option<u64>,
}

const ANSWER_CASES: [AnswerCase; 5] = [
    AnswerCase {
        name: "no stop",
        steps: &[],
        at: 9_000,
        end: None,
    },
    AnswerCase {
        name: "callers have not heard of it",
        steps: &[(1_000, SIGNAL)],
        at: 3_599,
        end: None,
    },
    AnswerCase {
        name: "callers have heard of it",
        steps: &[(1_000, SIGNAL)],
        at: 3_600,
        end: Some(8_400),
    },
    AnswerCase {
        name: "the listener is closed",
        steps: &[
            (1_000, Accepted),
            (1_000, SIGNAL),
            (3_600, TimePassed),
            (3_601, ListenerClosed),
        ],
        at: 8_010,
        end: Some(8_400),
    },
    AnswerCase {
        name: "the process ends: nothing is taken",
        steps: &[(1_000, Accepted), (1_000, SIGNAL), (8_500, TimePassed)],
        at: 8_500,
        end: Some(0),
    },
];

#[test]
fn a_request_is_taken_that_is_over_in_time() {
    for case in ANSWER_CASES {
        let mut state = ShutdownState::default();
        for (at, event) in case.steps {
            state.handle(Millis(*at), *event);
        }
        let end = state.answer_deadline(Millis(case.at));
        assert_eq!(end, case.end.map(Millis), "{}", case.name);
    }
}

struct GraceCase {
    grace: u64,
    notice: u64,
    end: u64,
}

#[test]
fn the_times_of_a_stop_fit_into_its_grace() {
    let cases = [
        GraceCase {
            grace: 8_000,
            notice: 2_600,
            end: 7_500,
        },
        GraceCase {
            grace: 3_000,
            notice: 1_500,
            end: 2_500,
        },
        GraceCase {
            grace: 300,
            notice: 150,
            end: 250,
        },
    ];
    for case in cases {
        let options = ShutdownOptions::within(Millis(case.grace));
        assert_eq!(options.notice, Millis(case.notice), "{}", case.grace);
        assert_eq!(options.end, Millis(case.end), "{}", case.grace);
    }
}
