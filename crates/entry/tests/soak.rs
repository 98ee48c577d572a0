//! A short soak of this program, and the seeds that once broke a promise.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bergamot_soak::{SoakOptions, SoakOutcome, run_seed};

/// A seed that is always played.
struct SeedCase {
    seed: u64,
    /// Why.
    reason: &'static str,
    /// Whether it is played as short as CI plays any seed, or as it was when it failed.
    is_short: bool,
}

const CASES: [SeedCase; 4] = [
    SeedCase {
        seed: 1,
        reason: "any",
        is_short: true,
    },
    SeedCase {
        seed: 2,
        reason: "any",
        is_short: true,
    },
    SeedCase {
        seed: 100,
        reason: "a hang-up signal ended a process that had just started",
        is_short: false,
    },
    SeedCase {
        seed: 302,
        reason: "a hang-up signal ended a process that had just started",
        is_short: false,
    },
];

/// Places of processes between one run and the next.
const PLACES: usize = 16;

async fn play(index: usize, case: &SeedCase) -> (PathBuf, SoakOutcome) {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_bergamot-entry"));
    let name = format!("soak-{}", case.seed);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let usual = SoakOptions {
        first_place: index * PLACES,
        ..SoakOptions::usual(program, folder.clone())
    };
    let options = match case.is_short {
        true => SoakOptions {
            length: Duration::from_secs(5),
            faults: 8,
            ..usual
        },
        false => usual,
    };
    let outcome = run_seed(case.seed, &options).await;
    (folder, outcome.expect("everything starts"))
}

#[test]
fn no_promise_is_broken_by_faults_from_outside() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    let runs = CASES.iter().enumerate();
    let runs = runs.map(|(index, case)| play(index, case));
    let outcomes = runtime.block_on(futures::future::join_all(runs));
    for (case, (folder, outcome)) in CASES.iter().zip(outcomes) {
        let reason = case.reason;
        assert!(
            outcome.violations.is_empty(),
            "{reason}: {outcome:#?}; logs are in {}",
            folder.display()
        );
        assert!(outcome.served > 100, "{outcome:?}");
    }
}
