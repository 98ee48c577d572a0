//! Which requests an upstream accepts.

use bergamot_routing::{GateState, GateTable};
use bergamot_types::prelude::*;

fn incarnation() -> UpstreamIncarnation {
    UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(1)))
}

#[test]
fn a_limit_also_holds_back_less_urgent_requests() {
    let mut gates = GateTable::default();
    gates.limit_until(&incarnation(), 3, Millis(500), Millis(0));
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
    gates.limit_until(&incarnation(), 1, Millis(900), Millis(100));
    assert_eq!(
        gates.state(&incarnation(), 4, Millis(200)),
        GateState::Limited(Millis(900))
    );
}

#[test]
fn a_limit_does_not_apply_to_the_next_incarnation() {
    let mut gates = GateTable::default();
    gates.limit_until(&incarnation(), 0, Millis(500), Millis(0));
    let next = UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(2)));
    assert_eq!(gates.state(&next, 0, Millis(0)), GateState::Open);
    gates.clear_limits(&incarnation());
    assert_eq!(gates.state(&incarnation(), 0, Millis(0)), GateState::Open);
}

struct BackoffCase {
    name: &'static str,
    /// Ends of the requested backoffs, in the order of the requests.
    backoff_ends: &'static [u64],
    checked_at: u64,
    expected: GateState,
}

#[test]
fn a_backoff_lasts_until_the_latest_requested_end() {
    let cases = [
        BackoffCase {
            name: "before the end",
            backoff_ends: &[3_000],
            checked_at: 2_999,
            expected: GateState::BackingOff(Millis(3_000)),
        },
        BackoffCase {
            name: "at the end",
            backoff_ends: &[3_000],
            checked_at: 3_000,
            expected: GateState::Open,
        },
        BackoffCase {
            name: "a later request for a shorter backoff does not shorten it",
            backoff_ends: &[3_000, 1_000],
            checked_at: 2_000,
            expected: GateState::BackingOff(Millis(3_000)),
        },
        BackoffCase {
            name: "a later request for a longer backoff extends it",
            backoff_ends: &[3_000, 5_000],
            checked_at: 4_000,
            expected: GateState::BackingOff(Millis(5_000)),
        },
        BackoffCase {
            name: "longest possible backoff",
            backoff_ends: &[u64::MAX],
            checked_at: 100_000_000,
            expected: GateState::BackingOff(Millis(u64::MAX)),
        },
    ];
    for case in cases {
        let mut gates = GateTable::default();
        for backoff_end in case.backoff_ends {
            gates.back_off(&incarnation(), Millis(*backoff_end), Millis(0));
        }
        let state = gates.state(&incarnation(), 0, Millis(case.checked_at));
        assert_eq!(state, case.expected, "{}", case.name);
    }
}

#[test]
fn a_backoff_outlasts_a_limit_but_not_the_incarnation() {
    let mut gates = GateTable::default();
    gates.back_off(&incarnation(), Millis(3_000), Millis(0));
    gates.limit_until(&incarnation(), 0, Millis(5_000), Millis(0));
    gates.clear_limits(&incarnation());
    assert_eq!(
        gates.state(&incarnation(), 0, Millis(1)),
        GateState::BackingOff(Millis(3_000))
    );
    gates.retain(|_| true, Millis(1));
    assert_eq!(gates.backing_off_count(Millis(1)), 1);
    let next = UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(2)));
    assert_eq!(gates.state(&next, 0, Millis(1)), GateState::Open);
    gates.retain(|_| false, Millis(2_999));
    assert_eq!(
        gates.backing_off_count(Millis(2_999)),
        1,
        "the upstream may be listed again"
    );
    gates.retain(|_| true, Millis(3_000));
    assert_eq!(
        gates.state(&incarnation(), 0, Millis(1)),
        GateState::Open,
        "the expired entry is dropped"
    );
}

#[test]
fn a_leaving_incarnation_gets_no_requests_after_it_is_listed_again() {
    let mut gates = GateTable::default();
    assert!(gates.mark_leaving(&incarnation(), Millis(0)));
    assert!(
        !gates.mark_leaving(&incarnation(), Millis(5)),
        "the upstream was already known to be leaving"
    );
    gates.back_off(&incarnation(), Millis(10), Millis(5));
    gates.clear_limits(&incarnation());
    assert_eq!(
        gates.state(&incarnation(), 0, Millis(20)),
        GateState::Leaving
    );
    // The upstream is removed from the directory and listed again.
    gates.retain(|_| false, Millis(60_000));
    gates.retain(|_| true, Millis(90_000));
    assert!(gates.is_leaving(&incarnation()));
    let next = UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(2)));
    assert_eq!(gates.state(&next, 0, Millis(90_000)), GateState::Open);
    gates.retain(|listed| *listed == next, Millis(700_000));
    assert!(
        !gates.is_leaving(&incarnation()),
        "the entry of an unlisted upstream is dropped"
    );
}

/// Guards against a gate that stays closed for the rest of a wait for a permit although the upstream
/// has become warm, and against one that opens although the upstream advertises a limit.
#[test]
fn the_limit_of_a_cold_upstream_ends_apart_from_an_advertised_one() {
    let mut gates = GateTable::default();
    let now = Millis(0);
    gates.limit_cold_until(&incarnation(), 0, Millis(500), now);
    assert_eq!(
        gates.state(&incarnation(), 0, now),
        GateState::Limited(Millis(500))
    );
    gates.limit_until(&incarnation(), 0, Millis(300), now);
    gates.clear_cold_limits(&incarnation());
    assert_eq!(
        gates.state(&incarnation(), 0, now),
        GateState::Limited(Millis(300))
    );
    gates.clear_limits(&incarnation());
    assert_eq!(gates.state(&incarnation(), 0, now), GateState::Open);
}
