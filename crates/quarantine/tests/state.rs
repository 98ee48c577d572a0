//! When a request is sent no more, over all VMs.

#[path = "support/records.rs"]
mod records;

use bergamot_quarantine::{
    BreakCause, BrokenRun, CrashEvidence, QuarantineAction, QuarantineEvent, QuarantineRecord,
    QuarantineState, RequestStanding,
};
use bergamot_types::prelude::*;
use records::{incarnation, kept, print};

const NOW: Millis = Millis(10_000);
const HOUR: Millis = Millis::from_secs(3_600);
const TODAY: UnixMillis = UnixMillis(1_700_000_000_000);
/// At the VM that coordinates.
const HOUSEKEEPING: QuarantineEvent<'static> = QuarantineEvent::Housekeeping {
    coordinator_clock: Some(TODAY),
};

/// An upstream ends under a request: what this VM keeps for the others.
fn end(state: &mut QuarantineState, now: Millis, at: u64, request: u64) -> Vec<QuarantineRecord> {
    let incarnation = incarnation(at);
    let broken = QuarantineEvent::Broken {
        incarnation: &incarnation,
        run: BrokenRun {
            print: print(request),
            events: 0,
        },
        cause: BreakCause::Closed,
    };
    let mut actions = state.handle(now, broken);
    let ended = QuarantineEvent::Crashed {
        incarnation: &incarnation,
        evidence: CrashEvidence::NoListener,
    };
    actions.extend(state.handle(now, ended));
    kept(actions)
}

/// Whether a request is sent, but not repeated.
fn is_suspected(state: &mut QuarantineState, request: u64) -> bool {
    matches!(state.standing(print(request)), RequestStanding::Suspected(place) if place.is_alone)
}

fn tell(state: &mut QuarantineState, now: Millis, records: &[QuarantineRecord]) {
    for (number, record) in records.iter().enumerate() {
        let key = &format!("{number}");
        state.handle(now, QuarantineEvent::Stored { key, record });
    }
}

/// Upstreams that ended under one request, by VM, and what it may do then.
struct EndsCase {
    name: &'static str,
    /// For each VM the upstreams that ended under the request in flight from there.
    ends: &'static [&'static [u64]],
    standing: KnownStanding,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum KnownStanding {
    Good,
    Suspected,
    Quarantined,
}

#[test]
fn ends_are_added_up_over_all_vms() {
    let cases = [
        EndsCase {
            name: "none",
            ends: &[],
            standing: KnownStanding::Good,
        },
        EndsCase {
            name: "one",
            ends: &[&[1]],
            standing: KnownStanding::Good,
        },
        EndsCase {
            name: "the same one, seen by three VMs",
            ends: &[&[1], &[1], &[1]],
            standing: KnownStanding::Good,
        },
        EndsCase {
            name: "two at two VMs",
            ends: &[&[1], &[2]],
            standing: KnownStanding::Suspected,
        },
        EndsCase {
            name: "three at one VM",
            ends: &[&[1, 2, 3]],
            standing: KnownStanding::Quarantined,
        },
        EndsCase {
            name: "one each at three VMs",
            ends: &[&[1], &[2], &[3]],
            standing: KnownStanding::Quarantined,
        },
        EndsCase {
            name: "two at each of three VMs, the same ones",
            ends: &[&[1, 2], &[2, 1], &[1, 2]],
            standing: KnownStanding::Suspected,
        },
    ];
    for case in cases {
        let mut records = Vec::new();
        for upstreams in case.ends {
            let mut vm = QuarantineState::default();
            for upstream in *upstreams {
                records.extend(end(&mut vm, NOW, *upstream, 7));
            }
        }
        // A VM that saw none of it, such as one that has just started.
        let mut other = QuarantineState::default();
        tell(&mut other, NOW, &records);
        let standing = match other.standing(print(7)) {
            RequestStanding::Good => KnownStanding::Good,
            RequestStanding::Suspected(_) => KnownStanding::Suspected,
            RequestStanding::Quarantined => KnownStanding::Quarantined,
        };
        assert_eq!(standing, case.standing, "{}", case.name);
        assert_eq!(other.standing(print(8)), RequestStanding::Good);
    }
}

/// News comes late, twice and in any order.
#[test]
fn any_order_of_news_leads_to_the_same_standing() {
    bolero::check!()
        .with_type::<(Vec<(u8, u8)>, Vec<(u8, u8)>, u64)>()
        .for_each(|(ends, clears, shuffle)| {
            let ends = ends
                .iter()
                .map(|(at, request)| QuarantineRecord::CrashWithoutProgress {
                    incarnation: incarnation(u64::from(*at % 5)),
                    prints: vec![print(u64::from(*request % 3))],
                });
            let clears = clears
                .iter()
                .map(|(at, request)| QuarantineRecord::Cleared {
                    print: print(u64::from(*request % 3)),
                    incarnations: vec![incarnation(u64::from(*at % 5))],
                });
            let records: Vec<QuarantineRecord> = ends.chain(clears).collect();
            let mut shuffled = records.clone();
            shuffled.extend(records.iter().cloned());
            shuffled.sort_by_key(|record| {
                hash_bytes(format!("{record:?}").as_bytes()).wrapping_mul(*shuffle | 1)
            });
            let (mut first, mut second) = (QuarantineState::default(), QuarantineState::default());
            tell(&mut first, NOW, &records);
            tell(&mut second, NOW, &shuffled);
            for request in 0..3 {
                let standing = first.standing(print(request));
                assert_eq!(standing, second.standing(print(request)));
            }
        });
}

#[test]
fn a_whole_answer_clears_a_request_everywhere() {
    let mut vm = QuarantineState::default();
    let mut records = Vec::new();
    for upstream in 1..=2 {
        records.extend(end(&mut vm, NOW, upstream, 7));
    }
    assert!(is_suspected(&mut vm, 7));
    records.extend(kept(vm.handle(NOW, QuarantineEvent::Answered(print(7)))));
    // Answered again, there is nothing more to say.
    assert_eq!(vm.handle(NOW, QuarantineEvent::Answered(print(7))), []);
    let mut other = QuarantineState::default();
    // Late news of an end that it was cleared of does not count.
    records.reverse();
    tell(&mut other, NOW, &records);
    tell(&mut other, NOW, &end(&mut vm, NOW, 3, 7));
    tell(&mut other, NOW, &end(&mut vm, NOW, 4, 7));
    assert!(is_suspected(&mut other, 7));
    tell(&mut other, NOW, &end(&mut vm, NOW, 5, 7));
    assert_eq!(other.standing(print(7)), RequestStanding::Quarantined);
}

/// The same call of a plain service many times a second: its instances end now and then for reasons of their own.
#[test]
fn a_request_that_is_answered_in_between_is_never_refused() {
    let mut vm = QuarantineState::default();
    let mut records = Vec::new();
    for upstream in 0..200 {
        let now = NOW + Millis(upstream * 1_000);
        records.extend(end(&mut vm, now, upstream, 7));
        assert_eq!(vm.standing(print(7)), RequestStanding::Good);
        records.extend(kept(vm.handle(now, QuarantineEvent::Answered(print(7)))));
        // A VM that starts now, and one that only answers it.
        let mut started = QuarantineState::default();
        tell(&mut started, now, &records);
        assert_eq!(started.standing(print(7)), RequestStanding::Good);
    }
    let mut bystander = QuarantineState::default();
    tell(&mut bystander, NOW, &end(&mut vm, NOW, 999, 7));
    assert_eq!(
        bystander.handle(NOW, QuarantineEvent::Answered(print(7))),
        []
    );
}

#[test]
fn a_flood_neither_fills_the_memory_nor_frees_a_request() {
    let mut vm = QuarantineState::default();
    for upstream in 1..=3 {
        end(&mut vm, NOW, upstream, 0);
    }
    for request in 1..40_000 {
        let now = NOW + Millis(request);
        let record = QuarantineRecord::CrashWithoutProgress {
            incarnation: incarnation(4 + request / 26),
            prints: vec![print(request)],
        };
        tell(&mut vm, now, &[record]);
    }
    assert!(vm.request_count() <= 8_192, "{}", vm.request_count());
    assert_eq!(vm.standing(print(0)), RequestStanding::Quarantined);
    // The latest ones are known.
    assert!(vm.has_open_crash(print(39_999)));
}

struct AgeCase {
    name: &'static str,
    ends: u64,
    age: Millis,
    is_refused_meanwhile: bool,
    is_known: bool,
}

#[test]
fn what_does_not_matter_any_more_is_forgotten() {
    let day = Millis(24 * HOUR.0);
    let cases = [
        AgeCase {
            name: "one end, within the hour",
            ends: 1,
            age: Millis(HOUR.0 - 1),
            is_refused_meanwhile: false,
            is_known: true,
        },
        AgeCase {
            name: "one end, an hour later",
            ends: 1,
            age: HOUR,
            is_refused_meanwhile: false,
            is_known: false,
        },
        AgeCase {
            name: "in quarantine, within the day",
            ends: 3,
            age: Millis(day.0 - 1),
            is_refused_meanwhile: false,
            is_known: true,
        },
        AgeCase {
            name: "in quarantine, a day later",
            ends: 3,
            age: day,
            is_refused_meanwhile: false,
            is_known: false,
        },
        AgeCase {
            name: "in quarantine, a day later, but it came meanwhile",
            ends: 3,
            age: day,
            is_refused_meanwhile: true,
            is_known: true,
        },
    ];
    for case in cases {
        let mut vm = QuarantineState::default();
        for upstream in 0..case.ends {
            end(&mut vm, NOW, upstream, 7);
        }
        if case.is_refused_meanwhile {
            vm.record_rejection(NOW + HOUR, print(7));
        }
        let event = QuarantineEvent::Housekeeping {
            coordinator_clock: None,
        };
        vm.handle(NOW + case.age, event);
        assert_eq!(vm.has_open_crash(print(7)), case.is_known, "{}", case.name);
    }
}

#[test]
fn the_coordinator_keeps_the_records_in_order() {
    let mut vm = QuarantineState::default();
    let mut records = Vec::new();
    for upstream in 1..=3 {
        records.extend(end(&mut vm, NOW, upstream, 7));
    }
    tell(&mut vm, NOW, &records);
    // What others saw may still blame another request.
    assert_eq!(vm.handle(NOW, HOUSEKEEPING), []);
    // The quarantine gets a record of its own, once.
    let settled = NOW + Millis(1_000);
    let held = kept(vm.handle(settled, HOUSEKEEPING));
    let expected = QuarantineRecord::Quarantined {
        print: print(7),
        incarnations: (1..=3).map(incarnation).collect(),
        since: TODAY,
    };
    assert_eq!(held, std::slice::from_ref(&expected));
    let key = "held";
    let record = &expected;
    vm.handle(settled, QuarantineEvent::Stored { key, record });
    assert_eq!(vm.handle(settled, HOUSEKEEPING), []);
    // It outlives the ends that led to it.
    let later = NOW + HOUR;
    let removed = vm.handle(later, HOUSEKEEPING);
    let keys = (0..3).map(|number| number.to_string()).collect();
    assert_eq!(removed, [QuarantineAction::Remove(keys)]);
    let mut started = QuarantineState::default();
    tell(&mut started, later, std::slice::from_ref(&expected));
    assert_eq!(started.standing(print(7)), RequestStanding::Quarantined);
    // Once the request is cleared, its record goes.
    let cleared = QuarantineRecord::Cleared {
        print: print(7),
        incarnations: (1..=3).map(incarnation).collect(),
    };
    tell(&mut vm, NOW, &[cleared]);
    let removed = vm.handle(NOW, HOUSEKEEPING);
    assert_eq!(removed, [QuarantineAction::Remove(vec![key.to_owned()])]);
}

#[test]
fn records_of_another_version_are_told_apart() {
    let record = QuarantineRecord::Crash {
        incarnation: incarnation(1),
        runs: vec![BrokenRun {
            print: print(7),
            events: 3,
        }],
    };
    let bytes = record.to_bytes().expect("it can be written");
    assert_eq!(QuarantineRecord::from_bytes(&bytes), Ok(record));
    for foreign in [&[9_u8, 1, 2][..], &[], &bytes[..bytes.len() - 1]] {
        assert!(
            QuarantineRecord::from_bytes(foreign).is_err(),
            "{foreign:?}"
        );
    }
}
