//! Guards against a connection that is closed although its request may run, or before one of less use.

use std::time::Duration;

use bergamot_resources::prelude::*;

struct VictimCase {
    name: &'static str,
    /// What each connection is doing, and for how many milliseconds.
    open: &'static [(ConnectionPhase, u64)],
    victim: Option<usize>,
}

const CASES: [VictimCase; 6] = [
    VictimCase {
        name: "an answer that is not read, before an idle connection",
        open: &[
            (ConnectionPhase::Idle, 9_000),
            (ConnectionPhase::Unread, 1_000),
            (ConnectionPhase::Unread, 999),
        ],
        victim: Some(1),
    },
    VictimCase {
        name: "of those without a request, the oldest",
        open: &[
            (ConnectionPhase::Idle, 9_000),
            (ConnectionPhase::Unused, 10),
            (ConnectionPhase::Unused, 20),
        ],
        victim: Some(2),
    },
    VictimCase {
        name: "a body that takes long, before an idle connection",
        open: &[
            (ConnectionPhase::Idle, 9_000),
            (ConnectionPhase::Receiving, 1_000),
        ],
        victim: Some(1),
    },
    VictimCase {
        name: "not a body that has just begun",
        open: &[
            (ConnectionPhase::Idle, 10),
            (ConnectionPhase::Receiving, 999),
        ],
        victim: Some(0),
    },
    VictimCase {
        name: "the connection idle for the longest time",
        open: &[(ConnectionPhase::Idle, 10), (ConnectionPhase::Idle, 20)],
        victim: Some(1),
    },
    VictimCase {
        name: "none whose request may run",
        open: &[
            (ConnectionPhase::Answering, 60_000),
            (ConnectionPhase::Receiving, 0),
        ],
        victim: None,
    },
];

#[test]
fn the_connection_of_least_use_is_closed() {
    for case in CASES {
        let standings = case.open.iter().enumerate();
        let standings = standings.map(|(index, (phase, age_ms))| {
            let standing = ConnectionStanding {
                phase: *phase,
                age: Duration::from_millis(*age_ms),
            };
            (index, standing)
        });
        assert_eq!(choose_victim(standings), case.victim, "{}", case.name);
    }
}
