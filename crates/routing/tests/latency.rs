//! Verdicts on the inactivity of a leader, by the observed latency of its model.

use bergamot_routing::{
    DispatchedRequest, LeaderInactivity, ModelLatencies, ModelLatency, StallNotice, StallTable,
    StallVerdict,
};
use bergamot_types::prelude::*;

/// Ranges of the gaps and first events of an engine, in milliseconds.
#[derive(Clone, Copy)]
struct ObservedEngine {
    gaps: (u64, u64),
    first_events: (u64, u64),
}

const FAST: ObservedEngine = ObservedEngine {
    gaps: (20, 36),
    first_events: (15, 40),
};
/// First events take ten times as long as with the fast engine, and passes three times.
const SLOW: ObservedEngine = ObservedEngine {
    gaps: (60, 108),
    first_events: (150, 400),
};

fn observed_latency(engine: ObservedEngine) -> ModelLatency {
    let mut latency = ModelLatency::default();
    let interpolate = |(min, max): (u64, u64), step: u64| Millis(min + step * (max - min) / 99);
    for step in 0..100 {
        latency.record_gap(interpolate(engine.gaps, step), None, 20);
        let first_event = interpolate(engine.first_events, step);
        latency.record_first_event(first_event, Millis::ZERO, None, 20);
    }
    latency
}

fn inactive_for(duration: u64, has_begun: bool) -> LeaderInactivity {
    LeaderInactivity {
        duration: Millis(duration),
        waited: Millis(duration),
        sent: DispatchedRequest {
            sent_at: Millis::ZERO,
            expected_first_event: Millis::ZERO,
            is_last: false,
        },
        has_begun,
        has_queue: false,
        is_stalled: false,
    }
}

struct InactivityCase {
    name: &'static str,
    engine: ObservedEngine,
    inactivity: LeaderInactivity,
    verdict: StallVerdict,
}

#[test]
fn a_normal_gap_of_a_slow_model_is_not_judged_as_a_stall() {
    let reported = |duration, is_stalled| LeaderInactivity {
        is_stalled,
        ..inactive_for(duration, false)
    };
    let last = |duration, has_begun| {
        let mut inactivity = inactive_for(duration, has_begun);
        inactivity.sent.is_last = true;
        inactivity
    };
    let case = |name, engine, inactivity, verdict| InactivityCase {
        name,
        engine,
        inactivity,
        verdict,
    };
    let cases = [
        case(
            "one pass of a fast engine",
            FAST,
            inactive_for(60, true),
            StallVerdict::Sound,
        ),
        case(
            "more than two passes of a fast engine without an event",
            FAST,
            inactive_for(80, true),
            StallVerdict::Suspected,
        ),
        case(
            "the same time is one pass of a slow engine",
            SLOW,
            inactive_for(80, true),
            StallVerdict::Sound,
        ),
        case(
            "a fast engine is very likely stalled",
            FAST,
            inactive_for(130, true),
            StallVerdict::Stalled,
        ),
        case(
            "streams of a fast engine move to other upstreams",
            FAST,
            inactive_for(220, true),
            StallVerdict::Still,
        ),
        case(
            "a slow engine is only suspected after that time",
            SLOW,
            inactive_for(220, true),
            StallVerdict::Suspected,
        ),
        case(
            "streams of a slow engine move after the longest timeout",
            SLOW,
            inactive_for(600, true),
            StallVerdict::Still,
        ),
        case(
            "a stream without an alternative waits longer",
            FAST,
            last(220, true),
            StallVerdict::Stalled,
        ),
        case(
            "a stream without an alternative does not wait forever",
            FAST,
            last(600, true),
            StallVerdict::Still,
        ),
        case(
            "the first event of a fast engine is overdue",
            FAST,
            inactive_for(70, false),
            StallVerdict::Still,
        ),
        case(
            "the first event of a slow engine is not due yet",
            SLOW,
            inactive_for(350, false),
            StallVerdict::Sound,
        ),
        case(
            "the first event of a slow engine is overdue",
            SLOW,
            inactive_for(650, false),
            StallVerdict::Still,
        ),
        case(
            "other VMs report stalled streams",
            SLOW,
            reported(100, true),
            StallVerdict::Still,
        ),
        case(
            "other VMs report a leader to which the request was just sent",
            SLOW,
            reported(20, true),
            StallVerdict::Sound,
        ),
        case(
            "a request without an alternative waits for its first event",
            SLOW,
            LeaderInactivity {
                is_stalled: true,
                ..last(650, false)
            },
            StallVerdict::Suspected,
        ),
        case(
            "other requests may be queued ahead",
            FAST,
            LeaderInactivity {
                has_queue: true,
                ..inactive_for(400, false)
            },
            StallVerdict::Sound,
        ),
    ];
    for case in cases {
        let verdict = observed_latency(case.engine).judge(case.inactivity);
        assert_eq!(verdict, case.verdict, "{}", case.name);
    }
}

/// Guards against giving up a leader too early before any latency is observed: requests then wait
/// as long as callers do.
#[test]
fn a_leader_of_an_unobserved_model_is_not_judged_too_early() {
    let latencies = ModelLatencies::default();
    let model = ModelName::new("m0");
    for (duration, verdict) in [(1_000, StallVerdict::Sound), (1_300, StallVerdict::Still)] {
        assert_eq!(
            latencies.judge(Some(&model), inactive_for(duration, false)),
            verdict
        );
    }
}

#[test]
fn a_stall_expires_sooner_with_one_witness_than_with_two() {
    let notice = |witness| StallNotice { leader: 7, witness };
    let mut stalls = StallTable::default();
    // The streams of one VM are stalled, which it reports again a moment later.
    assert!(stalls.record(Millis(1_000), notice(1)));
    assert!(!stalls.record(Millis(1_020), notice(1)));
    assert!(stalls.record(Millis(1_110), notice(1)));
    assert!(stalls.is_stalled(Millis(2_100), 7) && !stalls.is_stalled(Millis(2_150), 7));
    // Then the streams of another VM stall too.
    assert!(stalls.record(Millis(3_000), notice(1)));
    assert!(stalls.record(Millis(3_010), notice(2)));
    assert!(!stalls.record(Millis(3_020), notice(3)));
    assert!(stalls.is_stalled(Millis(8_000), 7));
    // Data is received from the leader.
    stalls.clear(7);
    assert!(!stalls.is_stalled(Millis(8_000), 7));
}
