//! When requests with a prompt part are no longer sent.

#[path = "support/records.rs"]
mod records;

use bergamot_quarantine::{
    BreakCause, BrokenRun, CrashEvidence, PartRuns, QuarantineEvent, QuarantineRecord,
    QuarantineState, RequestPrint, RequestStanding,
};
use bergamot_types::prelude::*;
use records::{incarnation, print, shared_records};

/// When the parts that are known to be harmless were answered.
const ANSWERED_AT: Millis = Millis(9_000);

fn part(name: &str) -> RequestPrint {
    RequestPrint::of_part(&PromptPartId::new(name))
}

fn parts(names: &[&str]) -> Vec<RequestPrint> {
    names.iter().map(|name| part(name)).collect()
}

/// A run that a crash interrupted.
struct InterruptedRun {
    request: u64,
    parts: &'static [&'static str],
    /// When the request was sent to the upstream, in milliseconds.
    sent_at_ms: u64,
    events: u32,
}

const fn run(
    request: u64,
    parts: &'static [&'static str],
    sent_at_ms: u64,
    events: u32,
) -> InterruptedRun {
    InterruptedRun {
        request,
        parts,
        sent_at_ms,
        events,
    }
}

/// A crash of an upstream and the runs that it interrupted.
struct CrashStep {
    at_ms: u64,
    runs: Vec<InterruptedRun>,
}

/// Crashes the upstream with this number and returns the records that the VM shares.
fn crash(state: &mut QuarantineState, upstream: u64, step: &CrashStep) -> Vec<QuarantineRecord> {
    let now = Millis(step.at_ms);
    let incarnation = &incarnation(upstream);
    let mut actions = Vec::new();
    for run in &step.runs {
        let broken = QuarantineEvent::Broken {
            incarnation,
            run: BrokenRun {
                print: print(run.request),
                events: run.events,
            },
            cause: BreakCause::Closed,
        };
        actions.extend(state.handle(now, broken));
        let prints = &parts(run.parts);
        let parts_broken = QuarantineEvent::PartsBroken {
            incarnation,
            runs: PartRuns {
                prints,
                events: run.events,
                sent_at: Millis(run.sent_at_ms),
            },
            cause: BreakCause::Closed,
        };
        actions.extend(state.handle(now, parts_broken));
    }
    let crashed = QuarantineEvent::Crashed {
        incarnation,
        evidence: CrashEvidence::NoListener,
    };
    actions.extend(state.handle(now, crashed));
    shared_records(actions)
}

fn is_quarantined(state: &mut QuarantineState, name: &str) -> bool {
    state.standing(part(name)) == RequestStanding::Quarantined
}

struct PartCase {
    name: &'static str,
    /// Parts that are known to be harmless before the crashes.
    answered: &'static [&'static str],
    crashes: Vec<CrashStep>,
    quarantined: &'static [&'static str],
    /// Parts of which requests are sent.
    sent: &'static [&'static str],
}

fn cases() -> Vec<PartCase> {
    let step = |at_ms, runs| CrashStep { at_ms, runs };
    vec![
        PartCase {
            name: "different requests with one part, beside requests that share other parts",
            answered: &["sys", "tools"],
            crashes: vec![
                step(
                    10_000,
                    vec![
                        run(1, &["sys", "bad"], 9_900, 0),
                        run(11, &["sys"], 9_000, 20),
                    ],
                ),
                step(
                    10_300,
                    vec![
                        run(2, &["sys", "bad"], 10_200, 0),
                        run(11, &["sys"], 10_100, 4),
                    ],
                ),
                step(
                    10_600,
                    vec![
                        run(3, &["sys", "bad", "tools"], 10_500, 1),
                        run(12, &["sys", "tools"], 10_550, 0),
                    ],
                ),
            ],
            quarantined: &["bad"],
            sent: &["sys", "tools"],
        },
        PartCase {
            name: "a VM that knows no harmless part blames the one with the most crashes",
            answered: &[],
            crashes: vec![
                step(10_000, vec![run(1, &["sys", "bad"], 9_900, 0)]),
                step(10_300, vec![run(2, &["sys", "bad"], 10_200, 0)]),
                step(10_600, vec![run(3, &["other", "bad"], 10_500, 0)]),
                step(10_900, vec![run(4, &["other", "bad"], 10_800, 0)]),
            ],
            quarantined: &["bad"],
            sent: &["sys", "other"],
        },
        PartCase {
            name: "a fabric domain crashes, with a part at all its upstreams",
            answered: &["sys"],
            crashes: (0..9)
                .map(|number| step(10_000 + number, vec![run(number, &["sys"], 9_900, 0)]))
                .collect(),
            quarantined: &[],
            sent: &["sys"],
        },
        PartCase {
            name: "a fabric domain crashes, with a new part at different points of the answers",
            answered: &[],
            crashes: (0..4)
                .map(|number| {
                    let events = number as u32 * 8;
                    step(10_000 + number, vec![run(number, &["new"], 9_900, events)])
                })
                .collect(),
            quarantined: &[],
            sent: &["new"],
        },
        PartCase {
            name: "a part that was harmless crashes each upstream that it is sent to from now on",
            answered: &["sys"],
            crashes: (0..4)
                .map(|number| {
                    let at_ms = 10_000 + number * 300;
                    step(at_ms, vec![run(number, &["sys"], at_ms - 100, 0)])
                })
                .collect(),
            quarantined: &["sys"],
            sent: &[],
        },
        PartCase {
            name: "a single harmful request, whose parts other requests share",
            answered: &["sys"],
            crashes: (0..3)
                .map(|number| {
                    let at_ms = 10_000 + number * 300;
                    step(at_ms, vec![run(7, &["sys", "tools"], at_ms - 100, 0)])
                })
                .collect(),
            quarantined: &[],
            sent: &["sys", "tools"],
        },
    ]
}

#[test]
fn only_the_part_that_explains_the_crashes_is_quarantined() {
    for case in cases() {
        let mut state = QuarantineState::default();
        state.handle(
            ANSWERED_AT,
            QuarantineEvent::PartsAnswered(&parts(case.answered)),
        );
        for (upstream, step) in case.crashes.iter().enumerate() {
            crash(&mut state, upstream as u64, step);
        }
        for name in case.quarantined {
            assert!(is_quarantined(&mut state, name), "{}: {name}", case.name);
        }
        for name in case.sent {
            assert!(!is_quarantined(&mut state, name), "{}: {name}", case.name);
        }
    }
}

/// Guards against a single harmful request that is sent on because its prompt parts are blamed.
#[test]
fn a_harmful_request_is_quarantined_whatever_its_parts() {
    let mut state = QuarantineState::default();
    for number in 0..3 {
        let at_ms = 10_000 + number * 300;
        let runs = vec![run(7, &["sys", "own"], at_ms - 100, 0)];
        crash(&mut state, number, &CrashStep { at_ms, runs });
    }
    assert_eq!(state.standing(print(7)), RequestStanding::Quarantined);
}

/// Guards against a VM that rejects requests with a harmless part because it started lately.
#[test]
fn a_complete_answer_at_one_vm_clears_a_part_at_all() {
    let mut new_vm = QuarantineState::default();
    let mut other_vm = QuarantineState::default();
    for number in 0..3 {
        let at_ms = 10_000 + number * 300;
        let runs = vec![run(number, &["sys"], at_ms - 100, 0)];
        for record in crash(&mut new_vm, number, &CrashStep { at_ms, runs }) {
            other_vm.handle(Millis(at_ms + 10), QuarantineEvent::Reported(&record));
        }
    }
    assert!(is_quarantined(&mut new_vm, "sys"));
    let answered = QuarantineEvent::PartsAnswered(&[part("sys")]);
    let records = shared_records(other_vm.handle(Millis(11_000), answered));
    assert_eq!(records.len(), 1);
    for record in &records {
        new_vm.handle(Millis(11_010), QuarantineEvent::Reported(record));
    }
    assert!(!is_quarantined(&mut new_vm, "sys"));
    // Later answers report nothing.
    let answered = QuarantineEvent::PartsAnswered(&[part("sys")]);
    assert_eq!(other_vm.handle(Millis(11_020), answered), []);
}

#[test]
fn records_of_many_parts_fit_into_datagrams() {
    const MAX_RECORD_BYTES: usize = 1_100;
    let mut state = QuarantineState::default();
    let names: Vec<String> = (0..50).map(|number| format!("{number:x}")).collect();
    let prints: Vec<RequestPrint> = names.iter().map(|name| part(name)).collect();
    let incarnation = &incarnation(1);
    let now = Millis(10_000);
    for request in 0..60 {
        let broken = QuarantineEvent::Broken {
            incarnation,
            run: BrokenRun {
                print: print(request),
                events: 3,
            },
            cause: BreakCause::Closed,
        };
        state.handle(now, broken);
        let runs = PartRuns {
            prints: &prints,
            events: 3,
            sent_at: now,
        };
        let cause = BreakCause::Closed;
        state.handle(
            now,
            QuarantineEvent::PartsBroken {
                incarnation,
                runs,
                cause,
            },
        );
    }
    let crashed = QuarantineEvent::Crashed {
        incarnation,
        evidence: CrashEvidence::Unlisted,
    };
    let records = shared_records(state.handle(now, crashed));
    let mut run_count = 0;
    for record in &records {
        let bytes = record.to_bytes().expect("encodable");
        assert!(bytes.len() <= MAX_RECORD_BYTES, "{}", bytes.len());
        if let QuarantineRecord::Crash { runs, .. } = record {
            run_count += runs.len();
        }
    }
    assert_eq!(run_count, 60 + names.len());
}

struct RetentionCase {
    name: &'static str,
    crashes: u64,
    /// Time since the last crash, during which requests with the part are rejected.
    idle: Millis,
    is_kept: bool,
}

/// Guards against a part that stays in quarantine for as long as requests with it come.
#[test]
fn parts_are_forgotten_after_their_last_crash() {
    let cases = [
        RetentionCase {
            name: "quarantined",
            crashes: 3,
            idle: Millis::from_secs(3_500),
            is_kept: true,
        },
        RetentionCase {
            name: "quarantined long ago",
            crashes: 3,
            idle: Millis::from_secs(3_700),
            is_kept: false,
        },
        RetentionCase {
            name: "suspected long ago",
            crashes: 2,
            idle: Millis::from_secs(700),
            is_kept: false,
        },
    ];
    for case in cases {
        let mut state = QuarantineState::default();
        let mut last_at = Millis::ZERO;
        for number in 0..case.crashes {
            let at_ms = 10_000 + number * 300;
            let runs = vec![run(number, &["bad"], at_ms - 100, 0)];
            crash(&mut state, number, &CrashStep { at_ms, runs });
            last_at = Millis(at_ms);
        }
        let now = last_at + case.idle;
        state.record_rejection(now, part("bad"));
        let coordinator_clock = None;
        state.handle(now, QuarantineEvent::Housekeeping { coordinator_clock });
        let is_kept = state.has_suspected_part(&[part("bad")]);
        assert_eq!(is_kept, case.is_kept, "{}", case.name);
    }
}
