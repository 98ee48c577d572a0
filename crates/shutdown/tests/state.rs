//! The actions of a shutdown, step by step.

use bergamot_shutdown::ShutdownAction::{Announce, CloseListener, Exit, Reject};
use bergamot_shutdown::ShutdownEvent::{Accepted, ListenerClosed, Released, Signalled, TimePassed};
use bergamot_shutdown::{PhaseName, ShutdownAction, ShutdownEvent, ShutdownOptions, ShutdownState};
use bergamot_types::prelude::*;

/// The deadlines used by all cases.
const OPTIONS: ShutdownOptions = ShutdownOptions {
    notice_period: Millis(2_600),
    exit_deadline: Millis(7_500),
    answer_deadline: Millis(7_400),
};
const SIGNAL: ShutdownEvent = Signalled(OPTIONS);

struct ShutdownCase {
    name: &'static str,
    /// The time, event and expected actions of each step.
    steps: &'static [(u64, ShutdownEvent, &'static [ShutdownAction])],
    phase: PhaseName,
}

const CASES: [ShutdownCase; 10] = [
    ShutdownCase {
        name: "no connections: the listener closes before the process exits",
        steps: &[
            (0, SIGNAL, &[Announce]),
            (2_599, TimePassed, &[]),
            (2_600, TimePassed, &[CloseListener]),
            (2_601, ListenerClosed, &[Exit { cut: 0 }]),
        ],
        phase: PhaseName::Ended,
    },
    ShutdownCase {
        name: "a caller in the backlog of the closing listener is served",
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
    ShutdownCase {
        name: "a caller that connects as the last one disconnects is served",
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
    ShutdownCase {
        name: "the process keeps running until the listener is closed",
        steps: &[
            (0, SIGNAL, &[Announce]),
            (2_600, TimePassed, &[CloseListener]),
            (5_000, TimePassed, &[]),
        ],
        phase: PhaseName::Closing,
    },
    ShutdownCase {
        name: "the process exits at its deadline even if the listener is not closed",
        steps: &[
            (0, SIGNAL, &[Announce]),
            (2_600, TimePassed, &[CloseListener]),
            (2_650, Accepted, &[]),
            (7_500, TimePassed, &[Exit { cut: 1 }]),
        ],
        phase: PhaseName::Ended,
    },
    ShutdownCase {
        name: "repeated signals change nothing",
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
    ShutdownCase {
        name: "a process suspended past the grace period skips no phase",
        steps: &[
            (0, Accepted, &[]),
            (0, SIGNAL, &[Announce]),
            (60_000, TimePassed, &[CloseListener, Exit { cut: 1 }]),
        ],
        phase: PhaseName::Ended,
    },
    ShutdownCase {
        name: "a connection accepted after the listener closed is not read",
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
    ShutdownCase {
        name: "no shutdown: connections open and close",
        steps: &[
            (0, Accepted, &[]),
            (10, Released, &[]),
            (20, ListenerClosed, &[]),
            (99_000, TimePassed, &[]),
        ],
        phase: PhaseName::Serving,
    },
    ShutdownCase {
        name: "a connection opened before the signal is served",
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
fn a_shutdown_exits_after_its_listener_closed_and_within_the_grace_period() {
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
    expected: Option<u64>,
}

const ANSWER_CASES: [AnswerCase; 5] = [
    AnswerCase {
        name: "no shutdown",
        steps: &[],
        at: 9_000,
        expected: None,
    },
    AnswerCase {
        name: "within the notice period",
        steps: &[(1_000, SIGNAL)],
        at: 3_599,
        expected: None,
    },
    AnswerCase {
        name: "after the notice period",
        steps: &[(1_000, SIGNAL)],
        at: 3_600,
        expected: Some(8_400),
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
        expected: Some(8_400),
    },
    AnswerCase {
        name: "after the exit no request is accepted",
        steps: &[(1_000, Accepted), (1_000, SIGNAL), (8_500, TimePassed)],
        at: 8_500,
        expected: Some(0),
    },
];

#[test]
fn requests_read_after_the_notice_period_have_a_deadline() {
    for case in ANSWER_CASES {
        let mut state = ShutdownState::default();
        for (at, event) in case.steps {
            state.handle(Millis(*at), *event);
        }
        let deadline = state.answer_deadline(Millis(case.at));
        assert_eq!(deadline, case.expected.map(Millis), "{}", case.name);
    }
}

struct GraceCase {
    grace: u64,
    notice_period: u64,
    exit_deadline: u64,
}

#[test]
fn the_deadlines_fit_into_the_grace_period() {
    let cases = [
        GraceCase {
            grace: 8_000,
            notice_period: 2_600,
            exit_deadline: 7_500,
        },
        GraceCase {
            grace: 3_000,
            notice_period: 1_500,
            exit_deadline: 2_500,
        },
        GraceCase {
            grace: 300,
            notice_period: 150,
            exit_deadline: 250,
        },
    ];
    for case in cases {
        let options = ShutdownOptions::within(Millis(case.grace));
        assert_eq!(
            options.notice_period,
            Millis(case.notice_period),
            "{}",
            case.grace
        );
        assert_eq!(
            options.exit_deadline,
            Millis(case.exit_deadline),
            "{}",
            case.grace
        );
    }
}
