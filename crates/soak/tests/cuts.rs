//! When callers of processes that are cut off count as served far worse than others.

use std::path::PathBuf;

use bergamot_soak::{FaultKind, FaultPlan, SoakOptions, TryCount};

#[test]
fn rarer_answers_and_many_failures_together_break_the_promise() {
    struct TryCase {
        name: &'static str,
        there: TryCount,
        elsewhere: TryCount,
        is_worse: bool,
    }
    const fn count(served: usize, tries: usize) -> TryCount {
        TryCount { served, tries }
    }
    let cases = [
        TryCase {
            name: "served far less often",
            there: count(11, 280),
            elsewhere: count(544, 553),
            is_worse: true,
        },
        TryCase {
            name: "two thirds as often",
            there: count(200, 300),
            elsewhere: count(500, 500),
            is_worse: false,
        },
        TryCase {
            name: "just below two thirds",
            there: count(199, 300),
            elsewhere: count(500, 500),
            is_worse: true,
        },
        TryCase {
            name: "as badly as elsewhere",
            there: count(40, 300),
            elsewhere: count(60, 300),
            is_worse: false,
        },
        TryCase {
            name: "few failures in all",
            there: count(9, 20),
            elsewhere: count(500, 500),
            is_worse: true,
        },
        TryCase {
            name: "as few as may fail anyway",
            there: count(10, 20),
            elsewhere: count(500, 500),
            is_worse: false,
        },
    ];
    for case in &cases {
        let is_worse = case.there.is_worse_than(case.elsewhere);
        assert_eq!(is_worse, case.is_worse, "{}", case.name);
    }
}

/// Recorded seeds would no longer play what they played when they were found.
#[test]
fn cuts_leave_the_other_faults_of_a_seed_as_they_were() {
    let usual = SoakOptions::usual(PathBuf::new(), PathBuf::new());
    let options = SoakOptions {
        cuts: 3,
        ..usual.clone()
    };
    for seed in 0..50 {
        let before = FaultPlan::draw(seed, &usual).faults;
        let mut after = FaultPlan::draw(seed, &options).faults;
        assert_eq!(after.len(), before.len() + options.cuts);
        after.retain(|fault| match fault.kind {
            FaultKind::UpstreamsCut(cut_off, _) => {
                assert!((0..options.entries).any(|number| cut_off.has(number)));
                assert!((0..options.entries).any(|number| !cut_off.has(number)));
                false
            }
            _ => true,
        });
        assert_eq!(after, before, "seed {seed}");
    }
}
