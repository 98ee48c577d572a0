//! The evidence that an upstream crashed while it ran a request.

use bergamot_quarantine::{
    BreakCause, BreakOutcome, BrokenRun, CrashEvidence, CrashWatch, RequestPrint,
};
use bergamot_types::prelude::*;

fn print(number: u8) -> RequestPrint {
    RequestPrint::of(None, "/history", &[number])
}

/// Returns a run of a request with as many events as the request's number.
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
    is_crash: bool,
}

#[test]
fn a_broken_connection_alone_does_not_count_as_a_crash() {
    let cases = [
        EvidenceCase {
            name: "connection closed, nothing listens",
            cause: BreakCause::Closed,
            evidence: CrashEvidence::NoListener,
            after: Millis(2),
            is_crash: true,
        },
        EvidenceCase {
            name: "stalled, nothing listens",
            cause: BreakCause::Stalled,
            evidence: CrashEvidence::NoListener,
            after: Millis(2),
            is_crash: true,
        },
        EvidenceCase {
            name: "connection closed, unlisted some seconds later",
            cause: BreakCause::Closed,
            evidence: CrashEvidence::Unlisted,
            after: Millis(4_500),
            is_crash: true,
        },
        EvidenceCase {
            name: "stalled and unlisted: possibly a partition",
            cause: BreakCause::Stalled,
            evidence: CrashEvidence::Unlisted,
            after: Millis(4_500),
            is_crash: false,
        },
        EvidenceCase {
            name: "stalled, then restarted",
            cause: BreakCause::Stalled,
            evidence: CrashEvidence::Restarted,
            after: Millis(4_500),
            is_crash: true,
        },
        EvidenceCase {
            name: "caller left, nothing listens",
            cause: BreakCause::CallerLeft,
            evidence: CrashEvidence::NoListener,
            after: Millis(40),
            is_crash: true,
        },
        EvidenceCase {
            name: "caller left and unlisted: callers give up on a partitioned upstream",
            cause: BreakCause::CallerLeft,
            evidence: CrashEvidence::Unlisted,
            after: Millis(4_500),
            is_crash: false,
        },
        EvidenceCase {
            name: "caller left long before",
            cause: BreakCause::CallerLeft,
            evidence: CrashEvidence::NoListener,
            after: Millis(20_000),
            is_crash: false,
        },
        EvidenceCase {
            name: "connection closed, restarted long after",
            cause: BreakCause::Closed,
            evidence: CrashEvidence::Restarted,
            after: Millis(20_000),
            is_crash: false,
        },
    ];
    for case in cases {
        let mut watch = CrashWatch::default();
        let broken_at = Millis(1_000);
        let outcome = watch.record_break(broken_at, &incarnation("a"), run(1), case.cause);
        // Callers disconnect all the time, so only a break is probed.
        let expected = match case.cause {
            BreakCause::CallerLeft => BreakOutcome::Pending,
            BreakCause::Closed | BreakCause::Stalled => BreakOutcome::Probe,
        };
        assert_eq!(outcome, expected, "{}", case.name);
        let interrupted =
            watch.record_crash(broken_at + case.after, &incarnation("a"), case.evidence);
        let expected = case.is_crash.then(|| vec![run(1)]);
        assert_eq!(interrupted, expected, "{}", case.name);
    }
}

#[test]
fn all_requests_at_an_upstream_are_interrupted_and_it_is_probed_once() {
    let mut watch = CrashWatch::default();
    let now = Millis(1_000);
    let closed = BreakCause::Closed;
    let first = watch.record_break(now, &incarnation("a"), run(1), closed);
    let second = watch.record_break(now, &incarnation("a"), run(2), closed);
    let other = watch.record_break(now, &incarnation("b"), run(3), closed);
    assert_eq!(
        [first, second, other],
        [
            BreakOutcome::Probe,
            BreakOutcome::Pending,
            BreakOutcome::Probe
        ]
    );
    let interrupted = watch.record_crash(now, &incarnation("a"), CrashEvidence::NoListener);
    assert_eq!(interrupted, Some(vec![run(1), run(2)]));
    // A break noticed after the crash counts at once; the same evidence does not count twice.
    let late_break = watch.record_break(now + Millis(3), &incarnation("a"), run(4), closed);
    assert_eq!(late_break, BreakOutcome::Crashed);
    assert_eq!(
        watch.record_crash(now, &incarnation("a"), CrashEvidence::NoListener),
        None
    );
    // Another incarnation with the same ID has not crashed.
    let restarted = UpstreamIncarnation::new(UpstreamId::new("a"), Some(UnixMillis(8)));
    let restarted_break = watch.record_break(now, &restarted, run(5), closed);
    assert_eq!(restarted_break, BreakOutcome::Probe);
}

struct ReviewCase {
    name: &'static str,
    /// Time since the crash, and since the directory has been up to date.
    crash_age: Millis,
    directory_age: Millis,
    is_due: bool,
}

#[test]
fn a_crash_is_reviewed_once_the_directory_must_reflect_it() {
    let cases = [
        ReviewCase {
            name: "too early: a crashed upstream is still listed",
            crash_age: Millis(5_000),
            directory_age: Millis(30_000),
            is_due: false,
        },
        ReviewCase {
            name: "the directory was unreachable until recently",
            crash_age: Millis(12_000),
            directory_age: Millis(3_000),
            is_due: false,
        },
        ReviewCase {
            name: "due: an upstream that is still listed did not crash",
            crash_age: Millis(8_000),
            directory_age: Millis(30_000),
            is_due: true,
        },
    ];
    let now = Millis(100_000);
    for case in cases {
        let mut watch = CrashWatch::default();
        let at = now - case.crash_age;
        watch.record_break(at, &incarnation("a"), run(1), BreakCause::Closed);
        watch.record_crash(at, &incarnation("a"), CrashEvidence::NoListener);
        watch.record_break(at, &incarnation("a"), run(2), BreakCause::Closed);
        let due = watch.due_for_review(now, now - case.directory_age);
        assert_eq!(due.len(), usize::from(case.is_due), "{}", case.name);
        let prints = watch.take_reviewed(&incarnation("a"));
        assert_eq!(prints, [print(1), print(2)], "{}", case.name);
        assert_eq!(watch.due_for_review(now, Millis::ZERO), []);
    }
}

#[test]
fn requests_whose_callers_left_count_with_the_next_break() {
    let mut watch = CrashWatch::default();
    let (now, caller_left) = (Millis(1_000), BreakCause::CallerLeft);
    for number in 0..200 {
        let at = now + Millis(u64::from(number) * 50);
        let outcome = watch.record_break(at, &incarnation("a"), run(number), caller_left);
        assert_eq!(outcome, BreakOutcome::Pending);
    }
    let crashed_at = now + Millis(10_000);
    let outcome = watch.record_break(crashed_at, &incarnation("a"), run(201), BreakCause::Closed);
    assert_eq!(outcome, BreakOutcome::Probe, "the first break is probed");
    let interrupted = watch.record_crash(crashed_at, &incarnation("a"), CrashEvidence::NoListener);
    let interrupted = interrupted.expect("requests were interrupted");
    assert!(interrupted.contains(&run(199)) && interrupted.contains(&run(201)));
    assert!(
        !interrupted.contains(&run(0)),
        "a break long before the crash does not count"
    );
    assert!(interrupted.len() <= 64, "{}", interrupted.len());
    // An upstream that leaves as announced has not crashed.
    watch.record_break(crashed_at, &incarnation("b"), run(1), BreakCause::Closed);
    watch.forget(&incarnation("b"));
    assert_eq!(
        watch.record_crash(crashed_at, &incarnation("b"), CrashEvidence::Unlisted),
        None
    );
}
