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

/// How late the answers of a slow desk are.
const SLOW_ANSWER: Duration = Duration::from_millis(45);

const CASES: [SoakCase; 8] = [
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
    // Drawn by seed 21203.
    SoakCase {
        name: "paused while it stops, and told to read its settings right after that",
        faults: SoakFaults::Known(&[
            (0, 300, FaultKind::StopEntry(4)),
            (50, 1_000, FaultKind::PauseEntry(4)),
            (100, 100, FaultKind::ReloadEntry(4)),
        ]),
    },
    // What seed 21203 drew: the process stood still from its first moment on, and was told before it had taken its
    // signals over. A kill holds the process until it has been started again, so that the pause waits for the start.
    SoakCase {
        name: "paused right after a start, and told to read its settings right after that",
        faults: SoakFaults::Known(&[
            (0, 300, FaultKind::KillEntry(4)),
            (50, 1_000, FaultKind::PauseEntry(4)),
            (100, 100, FaultKind::ReloadEntry(4)),
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
    // The faults beside the stops are early, as what they befall is excused until 2.5 s after their end.
    SoakCase {
        name: "planned stops one upon another, beside a pause, new settings, a second signal and a store outage",
        faults: SoakFaults::Known(&[
            // Answers take time, so that the end of a process falls into them.
            (0, 19_000, FaultKind::DeskSlow(0, SLOW_ANSWER)),
            (0, 19_000, FaultKind::DeskSlow(1, SLOW_ANSWER)),
            (0, 19_000, FaultKind::DeskSlow(2, SLOW_ANSWER)),
            (0, 200, FaultKind::StopEntry(0)),
            (300, 200, FaultKind::StopEntry(1)),
            (600, 200, FaultKind::StopEntry(2)),
            (900, 1_500, FaultKind::PauseEntry(1)),
            (1_200, 100, FaultKind::ReloadEntry(2)),
            (1_500, 800, FaultKind::StoreOutage),
            (1_800, 200, FaultKind::StopEntry(2)),
            (2_800, 200, FaultKind::StopEntry(3)),
            (3_100, 200, FaultKind::StopEntry(4)),
            (3_400, 200, FaultKind::StopEntry(5)),
            (4_500, 100, FaultKind::ReloadEntry(3)),
            (5_500, 200, FaultKind::StopEntry(4)),
            (8_500, 200, FaultKind::StopEntry(0)),
            (9_500, 200, FaultKind::StopEntry(2)),
            (10_000, 200, FaultKind::StopEntry(3)),
            (10_300, 200, FaultKind::StopEntry(5)),
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
