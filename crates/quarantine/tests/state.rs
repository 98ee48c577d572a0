//! When a request is no longer sent, across all VMs.

#[path = "support/records.rs"]
mod records;

use bergamot_quarantine::{
    BreakCause, BrokenRun, CrashEvidence, QuarantineAction, QuarantineEvent, QuarantineRecord,
    QuarantineState, RequestStanding,
};
use bergamot_types::prelude::*;
use records::{incarnation, print, shared_records};

const NOW: Millis = Millis(10_000);
const HOUR: Millis = Millis::from_secs(3_600);
const TODAY: UnixMillis = UnixMillis(1_700_000_000_000);
/// Housekeeping on the coordinator.
const HOUSEKEEPING: QuarantineEvent<'static> = QuarantineEvent::Housekeeping {
    coordinator_clock: Some(TODAY),
};

/// Crashes an upstream under a request and returns the records that this VM shares.
fn crash(
    state: &mut QuarantineState,
    now: Millis,
    upstream: u64,
    request: u64,
) -> Vec<QuarantineRecord> {
    let incarnation = incarnation(upstream);
    let broken = QuarantineEvent::Broken {
        incarnation: &incarnation,
        run: BrokenRun {
            print: print(request),
            events: 0,
        },
        cause: BreakCause::Closed,
    };
    let mut actions = state.handle(now, broken);
    let crashed = QuarantineEvent::Crashed {
        incarnation: &incarnation,
        evidence: CrashEvidence::NoListener,
    };
    actions.extend(state.handle(now, crashed));
    shared_records(actions)
}

/// Whether a request is sent but not retried.
fn is_suspected(state: &mut QuarantineState, request: u64) -> bool {
    matches!(state.standing(print(request)), RequestStanding::Suspected(place) if place.is_alone)
}

fn store(state: &mut QuarantineState, now: Millis, records: &[QuarantineRecord]) {
    for (number, record) in records.iter().enumerate() {
        let key = &format!("{number}");
        state.handle(now, QuarantineEvent::Stored { key, record });
    }
}

/// The crashes of one request, by observing VM, and how it may be handled afterwards.
struct StandingCase {
    name: &'static str,
    /// For each VM, the upstreams that crashed while they ran the request for it.
    crashes: &'static [&'static [u64]],
    standing: ExpectedStanding,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ExpectedStanding {
    Good,
    Suspected,
    Quarantined,
}

#[test]
fn crashes_are_added_up_over_all_vms() {
    let cases = [
        StandingCase {
            name: "no crash",
            crashes: &[],
            standing: ExpectedStanding::Good,
        },
        StandingCase {
            name: "one crash",
            crashes: &[&[1]],
            standing: ExpectedStanding::Good,
        },
        StandingCase {
            name: "the same crash, observed by three VMs",
            crashes: &[&[1], &[1], &[1]],
            standing: ExpectedStanding::Good,
        },
        StandingCase {
            name: "two crashes, one at each of two VMs",
            crashes: &[&[1], &[2]],
            standing: ExpectedStanding::Suspected,
        },
        StandingCase {
            name: "three crashes at one VM",
            crashes: &[&[1, 2, 3]],
            standing: ExpectedStanding::Quarantined,
        },
        StandingCase {
            name: "one crash at each of three VMs",
            crashes: &[&[1], &[2], &[3]],
            standing: ExpectedStanding::Quarantined,
        },
        StandingCase {
            name: "the same two crashes at each of three VMs",
            crashes: &[&[1, 2], &[2, 1], &[1, 2]],
            standing: ExpectedStanding::Suspected,
        },
    ];
    for case in cases {
        let mut records = Vec::new();
        for upstreams in case.crashes {
            let mut vm = QuarantineState::default();
            for upstream in *upstreams {
                records.extend(crash(&mut vm, NOW, *upstream, 7));
            }
        }
        // A VM that observed none of the crashes, such as one that just started.
        let mut other_vm = QuarantineState::default();
        store(&mut other_vm, NOW, &records);
        let standing = match other_vm.standing(print(7)) {
            RequestStanding::Good => ExpectedStanding::Good,
            RequestStanding::Suspected(_) => ExpectedStanding::Suspected,
            RequestStanding::Quarantined => ExpectedStanding::Quarantined,
        };
        assert_eq!(standing, case.standing, "{}", case.name);
        assert_eq!(other_vm.standing(print(8)), RequestStanding::Good);
    }
}

/// Records arrive late, twice and in any order.
#[test]
fn reordered_records_do_not_change_the_standing() {
    bolero::check!()
        .with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>, u64)>()
        .for_each(|(crashes, clearances, shuffle)| {
            let crashes =
                crashes.iter().map(
                    |(upstream, request)| QuarantineRecord::CrashWithoutProgress {
                        incarnation: incarnation(u64::from(*upstream % 5)),
                        prints: vec![print(u64::from(*request % 3))],
                    },
                );
            let clearances =
                clearances
                    .iter()
                    .map(|(upstream, request)| QuarantineRecord::Cleared {
                        print: print(u64::from(*request % 3)),
                        incarnations: vec![incarnation(u64::from(*upstream % 5))],
                    });
            let records: Vec<QuarantineRecord> = crashes.chain(clearances).collect();
            let mut shuffled = records.clone();
            shuffled.extend(records.iter().cloned());
            shuffled.sort_by_key(|record| {
                hash_bytes(format!("{record:?}").as_bytes()).wrapping_mul(*shuffle | 1)
            });
            let (mut in_order, mut out_of_order) =
                (QuarantineState::default(), QuarantineState::default());
            store(&mut in_order, NOW, &records);
            store(&mut out_of_order, NOW, &shuffled);
            for request in 0..3 {
                let standing = in_order.standing(print(request));
                assert_eq!(standing, out_of_order.standing(print(request)));
            }
        });
}

#[test]
fn a_complete_answer_clears_a_request_on_all_vms() {
    let mut vm = QuarantineState::default();
    let mut records = Vec::new();
    for upstream in 1..=2 {
        records.extend(crash(&mut vm, NOW, upstream, 7));
    }
    assert!(is_suspected(&mut vm, 7));
    records.extend(shared_records(
        vm.handle(NOW, QuarantineEvent::Answered(print(7))),
    ));
    // A second answer leaves nothing to report.
    assert_eq!(vm.handle(NOW, QuarantineEvent::Answered(print(7))), []);
    let mut other_vm = QuarantineState::default();
    // A late report of a cleared crash does not count.
    records.reverse();
    store(&mut other_vm, NOW, &records);
    store(&mut other_vm, NOW, &crash(&mut vm, NOW, 3, 7));
    store(&mut other_vm, NOW, &crash(&mut vm, NOW, 4, 7));
    assert!(is_suspected(&mut other_vm, 7));
    store(&mut other_vm, NOW, &crash(&mut vm, NOW, 5, 7));
    assert_eq!(other_vm.standing(print(7)), RequestStanding::Quarantined);
}

/// The same call of a plain service, many times a second, whose instances crash now and then for
/// unrelated reasons.
#[test]
fn a_request_answered_between_crashes_is_never_rejected() {
    let mut vm = QuarantineState::default();
    let mut records = Vec::new();
    for upstream in 0..200 {
        let now = NOW + Millis(upstream * 1_000);
        records.extend(crash(&mut vm, now, upstream, 7));
        assert_eq!(vm.standing(print(7)), RequestStanding::Good);
        records.extend(shared_records(
            vm.handle(now, QuarantineEvent::Answered(print(7))),
        ));
        // A VM that starts now, and one that only answers the request.
        let mut new_vm = QuarantineState::default();
        store(&mut new_vm, now, &records);
        assert_eq!(new_vm.standing(print(7)), RequestStanding::Good);
    }
    let mut answering_vm = QuarantineState::default();
    store(&mut answering_vm, NOW, &crash(&mut vm, NOW, 999, 7));
    assert_eq!(
        answering_vm.handle(NOW, QuarantineEvent::Answered(print(7))),
        []
    );
}

#[test]
fn a_flood_of_requests_is_bounded_and_evicts_no_quarantined_request() {
    let mut vm = QuarantineState::default();
    for upstream in 1..=3 {
        crash(&mut vm, NOW, upstream, 0);
    }
    for request in 1..40_000 {
        let now = NOW + Millis(request);
        let record = QuarantineRecord::CrashWithoutProgress {
            incarnation: incarnation(4 + request / 26),
            prints: vec![print(request)],
        };
        store(&mut vm, now, &[record]);
    }
    assert!(vm.request_count() <= 8_192, "{}", vm.request_count());
    assert_eq!(vm.standing(print(0)), RequestStanding::Quarantined);
    // The latest requests are still recorded.
    assert!(vm.has_open_crash(print(39_999)));
}

struct AgeCase {
    name: &'static str,
    crashes: u64,
    age: Millis,
    is_rejected_meanwhile: bool,
    is_remembered: bool,
}

#[test]
fn inactive_requests_are_forgotten() {
    let day = Millis(24 * HOUR.0);
    let cases = [
        AgeCase {
            name: "one crash, within the hour",
            crashes: 1,
            age: Millis(HOUR.0 - 1),
            is_rejected_meanwhile: false,
            is_remembered: true,
        },
        AgeCase {
            name: "one crash, an hour later",
            crashes: 1,
            age: HOUR,
            is_rejected_meanwhile: false,
            is_remembered: false,
        },
        AgeCase {
            name: "in quarantine, within the day",
            crashes: 3,
            age: Millis(day.0 - 1),
            is_rejected_meanwhile: false,
            is_remembered: true,
        },
        AgeCase {
            name: "in quarantine, a day later",
            crashes: 3,
            age: day,
            is_rejected_meanwhile: false,
            is_remembered: false,
        },
        AgeCase {
            name: "in quarantine, a day later, but rejected meanwhile",
            crashes: 3,
            age: day,
            is_rejected_meanwhile: true,
            is_remembered: true,
        },
    ];
    for case in cases {
        let mut vm = QuarantineState::default();
        for upstream in 0..case.crashes {
            crash(&mut vm, NOW, upstream, 7);
        }
        if case.is_rejected_meanwhile {
            vm.record_rejection(NOW + HOUR, print(7));
        }
        let event = QuarantineEvent::Housekeeping {
            coordinator_clock: None,
        };
        vm.handle(NOW + case.age, event);
        assert_eq!(
            vm.has_open_crash(print(7)),
            case.is_remembered,
            "{}",
            case.name
        );
    }
}

#[test]
fn the_coordinator_adds_and_removes_records() {
    let mut vm = QuarantineState::default();
    let mut records = Vec::new();
    for upstream in 1..=3 {
        records.extend(crash(&mut vm, NOW, upstream, 7));
    }
    store(&mut vm, NOW, &records);
    // Other VMs' observations may still blame another request.
    assert_eq!(vm.handle(NOW, HOUSEKEEPING), []);
    // The quarantine gets its own record, once.
    let settled_at = NOW + Millis(1_000);
    let shared = shared_records(vm.handle(settled_at, HOUSEKEEPING));
    let expected = QuarantineRecord::Quarantined {
        print: print(7),
        incarnations: (1..=3).map(incarnation).collect(),
        since: TODAY,
    };
    assert_eq!(shared, std::slice::from_ref(&expected));
    let key = "held";
    let record = &expected;
    vm.handle(settled_at, QuarantineEvent::Stored { key, record });
    assert_eq!(vm.handle(settled_at, HOUSEKEEPING), []);
    // That record outlives the records of the crashes.
    let expired_at = NOW + HOUR;
    let actions = vm.handle(expired_at, HOUSEKEEPING);
    let keys = (0..3).map(|number| number.to_string()).collect();
    assert_eq!(actions, [QuarantineAction::Remove(keys)]);
    let mut new_vm = QuarantineState::default();
    store(&mut new_vm, expired_at, std::slice::from_ref(&expected));
    assert_eq!(new_vm.standing(print(7)), RequestStanding::Quarantined);
    // Once the request is cleared, its quarantine record is removed.
    let cleared = QuarantineRecord::Cleared {
        print: print(7),
        incarnations: (1..=3).map(incarnation).collect(),
    };
    store(&mut vm, NOW, &[cleared]);
    let actions = vm.handle(NOW, HOUSEKEEPING);
    assert_eq!(actions, [QuarantineAction::Remove(vec![key.to_owned()])]);
}

#[test]
fn malformed_records_are_not_decoded() {
    let record = QuarantineRecord::Crash {
        incarnation: incarnation(1),
        runs: vec![BrokenRun {
            print: print(7),
            events: 3,
        }],
    };
    let bytes = record.to_bytes().expect("the record can be encoded");
    assert_eq!(QuarantineRecord::from_bytes(&bytes), Ok(record));
    for malformed in [&[9_u8, 1, 2][..], &[], &bytes[..bytes.len() - 1]] {
        assert!(
            QuarantineRecord::from_bytes(malformed).is_err(),
            "{malformed:?}"
        );
    }
}
