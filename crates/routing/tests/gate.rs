//! Which requests an upstream takes.

use bergamot_routing::{GateState, GateTable};
use bergamot_types::prelude::*;

fn incarnation() -> UpstreamIncarnation {
    UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(1)))
}

#[test]
fn where_the_more_urgent_wait_the_less_urgent_do() {
    let mut gates = GateTable::default();
    gates.hold_back(&incarnation(), 3, Millis(500), Millis(0));
    assert_eq!(gates.state(&incarnation(), 2, Millis(0)), GateState::Open);
    assert_eq!(
        gates.state(&incarnation(), 3, Millis(0)),
        GateState::Limited(Millis(500))
    );
    assert_eq!(
        gates.state(&incarnation(), 4, Millis(499)),
        GateState::Limited(Millis(500))
    );
    assert_eq!(gates.state(&incarnation(), 4, Millis(500)), GateState::Open);
    gates.hold_back(&incarnation(), 1, Millis(900), Millis(100));
    assert_eq!(
        gates.state(&incarnation(), 4, Millis(200)),
        GateState::Limited(Millis(900))
    );
}

#[test]
fn a_later_run_under_the_same_id_takes_requests() {
    let mut gates = GateTable::default();
    gates.hold_back(&incarnation(), 0, Millis(500), Millis(0));
    let next = UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(2)));
    assert_eq!(gates.state(&next, 0, Millis(0)), GateState::Open);
    gates.release(&incarnation());
    assert_eq!(gates.state(&incarnation(), 0, Millis(0)), GateState::Open);
}

struct RestCase {
    name: &'static str,
    /// Ends of the rests that were asked for, one after the other.
    ends: &'static [u64],
    at: u64,
    expected: GateState,
}

#[test]
fn an_upstream_rests_until_the_latest_of_the_times_that_it_asked_for() {
    let cases = [
        RestCase {
            name: "within it",
            ends: &[3_000],
            at: 2_999,
            expected: GateState::BackingOff(Millis(3_000)),
        },
        RestCase {
            name: "at its end",
            ends: &[3_000],
            at: 3_000,
            expected: GateState::Open,
        },
        RestCase {
            name: "a shorter one that was asked for later does not end it",
            ends: &[3_000, 1_000],
            at: 2_000,
            expected: GateState::BackingOff(Millis(3_000)),
        },
        RestCase {
            name: "a longer one goes on from it",
            ends: &[3_000, 5_000],
            at: 4_000,
            expected: GateState::BackingOff(Millis(5_000)),
        },
        RestCase {
            name: "however long",
            ends: &[u64::MAX],
            at: 100_000_000,
            expected: GateState::BackingOff(Millis(u64::MAX)),
        },
    ];
    for case in cases {
        let mut gates = GateTable::default();
        for end in case.ends {
            gates.back_off(&incarnation(), Millis(*end), Millis(0));
        }
        let state = gates.state(&incarnation(), 0, Millis(case.at));
        assert_eq!(state, case.expected, "{}", case.name);
    }
}

#[test]
fn a_rest_outlasts_the_end_of_a_limit_and_ends_with_the_run() {
    let mut gates = GateTable::default();
    gates.back_off(&incarnation(), Millis(3_000), Millis(0));
    gates.hold_back(&incarnation(), 0, Millis(5_000), Millis(0));
    gates.release(&incarnation());
    assert_eq!(
        gates.state(&incarnation(), 0, Millis(1)),
        GateState::BackingOff(Millis(3_000))
    );
    gates.retain(|_| true, Millis(1));
    assert_eq!(gates.backing_off(Millis(1)), 1);
    let next = UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(2)));
    assert_eq!(gates.state(&next, 0, Millis(1)), GateState::Open);
    gates.retain(|_| false, Millis(2_999));
    assert_eq!(gates.backing_off(Millis(2_999)), 1, "it may come back");
    gates.retain(|_| true, Millis(3_000));
    assert_eq!(
        gates.state(&incarnation(), 0, Millis(1)),
        GateState::Open,
        "it was forgotten"
    );
}

#[test]
fn an_upstream_that_leaves_does_so_until_its_next_run() {
    let mut gates = GateTable::default();
    assert!(gates.leave(&incarnation(), Millis(0)));
    assert!(!gates.leave(&incarnation(), Millis(5)), "it is told once");
    gates.back_off(&incarnation(), Millis(10), Millis(5));
    gates.release(&incarnation());
    assert_eq!(
        gates.state(&incarnation(), 0, Millis(20)),
        GateState::Leaving
    );
    // Out of the directory and back again.
    gates.retain(|_| false, Millis(60_000));
    gates.retain(|_| true, Millis(90_000));
    assert!(gates.is_leaving(&incarnation()));
    let next = UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(2)));
    assert_eq!(gates.state(&next, 0, Millis(90_000)), GateState::Open);
    gates.retain(|kept| *kept == next, Millis(700_000));
    assert!(!gates.is_leaving(&incarnation()), "it is gone");
}
