//! What shows that an upstream ended under a request.

use bergamot_quarantine::{
    BreakCause, BreakOutcome, BrokenRun, CrashEvidence, EndWatch, RequestPrint,
};
use bergamot_types::prelude::*;

fn print(number: u8) -> RequestPrint {
    RequestPrint::of(None, "/history", &[number])
}

/// A run of a request from which so many events had come as its number says.
fn run(number: u8) -> BrokenRun {
    BrokenRun {
        print: print(number),
        events: number.into(),
    }
}

fn incarnation(id: &str) -> UpstreamIncarnation {
    UpstreamIncarnation::new(UpstreamId::new(id), Some(UnixMillis(7)))
}

struct EvidenceCase {
    name: &'static str,
    cause: BreakCause,
    evidence: CrashEvidence,
    after: Millis,
    is_struck: bool,
}

#[test]
fn a_broken_connection_alone_is_no_end() {
    let cases = [
        EvidenceCase {
            name: "closed, and nothing listens",
            cause: BreakCause::Closed,
            evidence: CrashEvidence::NoListener,
            after: Millis(2),
            is_struck: true,
        },
        EvidenceCase {
            name: "silent, and nothing listens",
            cause: BreakCause::Stalled,
            evidence: CrashEvidence::NoListener,
            after: Millis(2),
            is_struck: true,
        },
        EvidenceCase {
            name: "closed, and the entry is gone some seconds later",
            cause: BreakCause::Closed,
            evidence: CrashEvidence::Unlisted,
            after: Millis(4_500),
            is_struck: true,
        },
        EvidenceCase {
            name: "silent, and the entry is gone: it may only be cut off",
            cause: BreakCause::Stalled,
            evidence: CrashEvidence::Unlisted,
            after: Millis(4_500),
            is_struck: false,
        },
        EvidenceCase {
            name: "silent, and it started again",
            cause: BreakCause::Stalled,
            evidence: CrashEvidence::Restarted,
            after: Millis(4_500),
            is_struck: true,
        },
        EvidenceCase {
            name: "its caller had left, and nothing listens",
            cause: BreakCause::CallerLeft,
            evidence: CrashEvidence::NoListener,
            after: Millis(40),
            is_struck: true,
        },
        EvidenceCase {
            name: "its caller had left, and the entry is gone: callers leave an upstream that is cut off",
            cause: BreakCause::CallerLeft,
            evidence: CrashEvidence::Unlisted,
            after: Millis(4_500),
            is_struck: false,
        },
        EvidenceCase {
            name: "its caller had left long before",
            cause: BreakCause::CallerLeft,
            evidence: CrashEvidence::NoListener,
            after: Millis(20_000),
            is_struck: false,
        },
        EvidenceCase {
            name: "closed, and it started again long after",
            cause: BreakCause::Closed,
            evidence: CrashEvidence::Restarted,
            after: Millis(20_000),
            is_struck: false,
        },
    ];
    for case in cases {
        let mut ends = EndWatch::default();
        let began = Millis(1_000);
        let outcome = ends.note_break(began, &incarnation("a"), run(1), case.cause);
        // Callers leave all the time: only a break is looked into.
        let expected = match case.cause {
            BreakCause::CallerLeft => BreakOutcome::Awaited,
            BreakCause::Closed | BreakCause::Stalled => BreakOutcome::Probe,
        };
        assert_eq!(outcome, expected, "{}", case.name);
        let struck = ends.note_end(began + case.after, &incarnation("a"), case.evidence);
        let expected = case.is_struck.then(|| vec![run(1)]);
        assert_eq!(struck, expected, "{}", case.name);
    }
}

#[test]
fn all_requests_at_an_upstream_are_struck_and_it_is_asked_once() {
    let mut ends = EndWatch::default();
    let now = Millis(1_000);
    let closed = BreakCause::Closed;
    let first = ends.note_break(now, &incarnation("a"), run(1), closed);
    let second = ends.note_break(now, &incarnation("a"), run(2), closed);
    let other = ends.note_break(now, &incarnation("b"), run(3), closed);
    assert_eq!(
        [first, second, other],
        [
            BreakOutcome::Probe,
            BreakOutcome::Awaited,
            BreakOutcome::Probe
        ]
    );
    let struck = ends.note_end(now, &incarnation("a"), CrashEvidence::NoListener);
    assert_eq!(struck, Some(vec![run(1), run(2)]));
    // A break that is noticed after the end counts at once, and the same evidence again does not.
    let late = ends.note_break(now + Millis(3), &incarnation("a"), run(4), closed);
    assert_eq!(late, BreakOutcome::Ended);
    assert_eq!(
        ends.note_end(now, &incarnation("a"), CrashEvidence::NoListener),
        None
    );
    // Another run under the same id has not ended.
    let reborn = UpstreamIncarnation::new(UpstreamId::new("a"), Some(UnixMillis(8)));
    let next = ends.note_break(now, &reborn, run(5), closed);
    assert_eq!(next, BreakOutcome::Probe);
}

struct ReviewCase {
    name: &'static str,
    /// Time since the end, and since the directory has been up to date.
    ended: Millis,
    fresh: Millis,
    is_due: bool,
}

#[test]
fn an_end_is_looked_at_again_once_the_directory_must_show_it() {
    let cases = [
        ReviewCase {
            name: "too soon: the entry of one that ended is still there",
            ended: Millis(5_000),
            fresh: Millis(30_000),
            is_due: false,
        },
        ReviewCase {
            name: "the directory was out of reach until lately",
            ended: Millis(12_000),
            fresh: Millis(3_000),
            is_due: false,
        },
        ReviewCase {
            name: "an entry that is still there is one of an upstream that lives",
            ended: Millis(8_000),
            fresh: Millis(30_000),
            is_due: true,
        },
    ];
    let now = Millis(100_000);
    for case in cases {
        let mut ends = EndWatch::default();
        let at = now - case.ended;
        ends.note_break(at, &incarnation("a"), run(1), BreakCause::Closed);
        ends.note_end(at, &incarnation("a"), CrashEvidence::NoListener);
        ends.note_break(at, &incarnation("a"), run(2), BreakCause::Closed);
        let due = ends.to_review(now, now - case.fresh);
        assert_eq!(due.len(), usize::from(case.is_due), "{}", case.name);
        let prints = ends.take_reviewed(&incarnation("a"));
        assert_eq!(prints, [print(1), print(2)], "{}", case.name);
        assert_eq!(ends.to_review(now, Millis::ZERO), []);
    }
}

#[test]
fn requests_whose_callers_left_count_with_the_next_break() {
    let mut ends = EndWatch::default();
    let (now, left) = (Millis(1_000), BreakCause::CallerLeft);
    for number in 0..200 {
        let at = now + Millis(u64::from(number) * 50);
        let outcome = ends.note_break(at, &incarnation("a"), run(number), left);
        assert_eq!(outcome, BreakOutcome::Awaited);
    }
    let end = now + Millis(10_000);
    let outcome = ends.note_break(end, &incarnation("a"), run(201), BreakCause::Closed);
    assert_eq!(
        outcome,
        BreakOutcome::Probe,
        "the first break is looked into"
    );
    let struck = ends.note_end(end, &incarnation("a"), CrashEvidence::NoListener);
    let struck = struck.expect("there were some");
    assert!(struck.contains(&run(199)) && struck.contains(&run(201)));
    assert!(!struck.contains(&run(0)), "that was long before");
    assert!(struck.len() <= 64, "{}", struck.len());
    // One that leaves as it said has not ended under anything.
    ends.note_break(end, &incarnation("b"), run(1), BreakCause::Closed);
    ends.forget(&incarnation("b"));
    assert_eq!(
        ends.note_end(end, &incarnation("b"), CrashEvidence::Unlisted),
        None
    );
}
