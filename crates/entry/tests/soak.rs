//! A short soak of this program, and the faults that once broke a promise.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bergamot_soak::site::UpstreamRole;
use bergamot_soak::{
    FaultKind, FaultPlan, LinkState, SoakOptions, SoakOutcome, TimedFault, run_plan,
};

/// Faults that are always played.
struct SoakCase {
    name: &'static str,
    faults: SoakFaults,
}

enum SoakFaults {
    /// Those of a seed.
    Seed(u64),
    /// These: when they begin and how long they last, in milliseconds.
    Known(&'static [(u64, u64, FaultKind)]),
}

const CASES: [SoakCase; 5] = [
    SoakCase {
        name: "any",
        faults: SoakFaults::Seed(1),
    },
    SoakCase {
        name: "any other",
        faults: SoakFaults::Seed(2),
    },
    // Drawn by seeds 100 and 302: the signal ended the process, which had just started.
    SoakCase {
        name: "told to read its settings right after a start",
        faults: SoakFaults::Known(&[
            (500, 1_000, FaultKind::KillEntry(4)),
            (700, 100, FaultKind::ReloadEntry(4)),
        ]),
    },
    // Drawn by seed 21108: the check took no account of the entry that the second fault's end brought back.
    SoakCase {
        name: "an entry written over twice, the second time within the first",
        faults: SoakFaults::Known(&[
            (0, 7_000, FaultKind::ForeignEntry(UpstreamRole::Desk, 1, 0)),
            (
                1_900,
                3_400,
                FaultKind::ForeignEntry(UpstreamRole::Desk, 1, 2),
            ),
        ]),
    },
    SoakCase {
        name: "requests that end upstreams, beside a killed process and one without the store",
        faults: SoakFaults::Known(&[
            (0, 9_000, FaultKind::HarmfulRequest(UpstreamRole::Engine, 0)),
            (500, 9_000, FaultKind::HarmfulRequest(UpstreamRole::Desk, 1)),
            (600, 1_000, FaultKind::KillEntry(1)),
            (700, 2_500, FaultKind::StoreLink(2, LinkState::Silent)),
        ]),
    },
];

/// Places of processes between one run and the next.
const PLACES: usize = 16;

async fn play(index: usize, case: &SoakCase) -> (PathBuf, SoakOutcome) {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_bergamot-entry"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{index}"));
    let options = SoakOptions {
        first_place: index * PLACES,
        length: Duration::from_secs(5),
        faults: 8,
        ..SoakOptions::usual(program, folder.clone())
    };
    let plan = match case.faults {
        SoakFaults::Seed(seed) => FaultPlan::draw(seed, &options),
        SoakFaults::Known(faults) => FaultPlan {
            faults: faults.iter().copied().map(timed).collect(),
        },
    };
    let outcome = run_plan(&plan, index as u64, &options).await;
    (folder, outcome.expect("everything starts"))
}

fn timed((at, length, kind): (u64, u64, FaultKind)) -> TimedFault {
    TimedFault {
        at: Duration::from_millis(at),
        length: Duration::from_millis(length),
        kind,
    }
}

#[test]
fn no_promise_is_broken_by_faults_from_outside() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    let runs = CASES.iter().enumerate();
    let runs = runs.map(|(index, case)| play(index, case));
    let outcomes = runtime.block_on(futures::future::join_all(runs));
    for (case, (folder, outcome)) in CASES.iter().zip(outcomes) {
        assert!(
            outcome.violations.is_empty(),
            "{}: {outcome:#?}; logs are in {}",
            case.name,
            folder.display()
        );
        assert!(outcome.served > 100, "{}: {outcome:?}", case.name);
    }
}
