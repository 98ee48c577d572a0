//! Short soak runs of this program, including fault sequences that violated an invariant before.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bergamot_soak::site::UpstreamRole;
use bergamot_soak::{
    FaultKind, FaultPlan, LinkState, SoakOptions, SoakOutcome, TimedFault, run_plan,
};

/// A soak run that is part of every test run.
struct SoakCase {
    name: &'static str,
    faults: SoakFaults,
}

enum SoakFaults {
    /// Draws the faults from a seed.
    Seed(u64),
    /// Draws the faults from a seed, for a run as long as by hand.
    UsualSeed(u64),
    /// Draws silences of sound upstreams beside configurations and planned stops from a seed, and no other faults.
    Silences(u64),
    /// A fixed list: start and duration in milliseconds, and the kind of the fault.
    Fixed(&'static [(u64, u64, FaultKind)]),
}

/// Delay of the responses of a slow desk upstream.
const RESPONSE_DELAY: Duration = Duration::from_millis(45);

const CASES: [SoakCase; 10] = [
    SoakCase {
        name: "drawn from seed 1",
        faults: SoakFaults::Seed(1),
    },
    SoakCase {
        name: "drawn from seed 2",
        faults: SoakFaults::Seed(2),
    },
    // From seeds 100 and 302: the reload signal killed the process, which had just started.
    SoakCase {
        name: "settings reload right after a start",
        faults: SoakFaults::Fixed(&[
            (500, 1_000, FaultKind::KillEntry(4)),
            (700, 100, FaultKind::ReloadEntry(4)),
        ]),
    },
    // From seed 21203.
    SoakCase {
        name: "pause during a stop, then a settings reload",
        faults: SoakFaults::Fixed(&[
            (0, 300, FaultKind::StopEntry(4)),
            (50, 1_000, FaultKind::PauseEntry(4)),
            (100, 100, FaultKind::ReloadEntry(4)),
        ]),
    },
    // From seed 21203: the process was paused as soon as it was started, and received the reload signal before
    // it had installed its signal handlers. A kill fault locks the process until it is restarted, so the pause
    // waits for the start.
    SoakCase {
        name: "pause right after a start, then a settings reload",
        faults: SoakFaults::Fixed(&[
            (0, 300, FaultKind::KillEntry(4)),
            (50, 1_000, FaultKind::PauseEntry(4)),
            (100, 100, FaultKind::ReloadEntry(4)),
        ]),
    },
    // From seed 21108: the check ignored the entry that was restored when the second fault ended.
    SoakCase {
        name: "an entry overwritten twice, the second time during the first fault",
        faults: SoakFaults::Fixed(&[
            (0, 7_000, FaultKind::ForeignEntry(UpstreamRole::Desk, 1, 0)),
            (
                1_900,
                3_400,
                FaultKind::ForeignEntry(UpstreamRole::Desk, 1, 2),
            ),
        ]),
    },
    SoakCase {
        name: "requests that crash upstreams, with one process killed and another cut off from the store",
        faults: SoakFaults::Fixed(&[
            (0, 9_000, FaultKind::HarmfulRequest(UpstreamRole::Engine, 0)),
            (500, 9_000, FaultKind::HarmfulRequest(UpstreamRole::Desk, 1)),
            (600, 1_000, FaultKind::KillEntry(1)),
            (700, 2_500, FaultKind::StoreLink(2, LinkState::Silent)),
        ]),
    },
    SoakCase {
        name: "restores of the store in series, the second to a copy older than the first, with key changes, a stop and a kill",
        faults: SoakFaults::Fixed(&[
            (0, 3_000, FaultKind::StoreRestored),
            (200, 100, FaultKind::ChangeKeys),
            (500, 1_500, FaultKind::StoreRestored),
            (1_000, 100, FaultKind::ChangeKeys),
            (1_500, 400, FaultKind::StoreHang),
            (2_100, 100, FaultKind::ChangeKeys),
            (2_500, 300, FaultKind::StopEntry(0)),
            (2_800, 700, FaultKind::KillEntry(3)),
            (2_900, 300, FaultKind::StoreLink(4, LinkState::Reset)),
            (3_100, 100, FaultKind::ChangeKeys),
            (3_500, 2_000, FaultKind::StoreRestored),
            (4_000, 100, FaultKind::ChangeKeys),
        ]),
    },
    // A process that started right after a restore coordinated the groups without the holds that the restore had
    // lost, and used a member of a group that stood still.
    SoakCase {
        name: "drawn from seed 46002",
        faults: SoakFaults::UsualSeed(46_002),
    },
    // The other faults come early, as the check excuses their effects until 2.5 s after they end.
    SoakCase {
        name: "overlapping planned stops with a pause, settings reloads, a second signal and a store outage",
        faults: SoakFaults::Fixed(&[
            // Slow responses, so that processes exit while requests are in flight.
            (0, 19_000, FaultKind::DeskSlow(0, RESPONSE_DELAY)),
            (0, 19_000, FaultKind::DeskSlow(1, RESPONSE_DELAY)),
            (0, 19_000, FaultKind::DeskSlow(2, RESPONSE_DELAY)),
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

/// Seeds under which answers of silent upstreams were cut.
const SILENCE_CASES: [SoakCase; 1] = [SoakCase {
    name: "silences drawn from seed 59002",
    faults: SoakFaults::Silences(59_002),
}];

/// Number of process indices reserved for each run.
const PLACES_PER_RUN: usize = 16;

async fn run_case(index: usize, case: &SoakCase) -> (PathBuf, SoakOutcome) {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_bergamot-entry"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{index}"));
    let usual = SoakOptions {
        first_place: index * PLACES_PER_RUN,
        ..SoakOptions::usual(program, folder.clone())
    };
    let short = SoakOptions {
        length: Duration::from_secs(5),
        faults: 8,
        ..usual.clone()
    };
    let options = match case.faults {
        SoakFaults::UsualSeed(_) => usual,
        SoakFaults::Silences(_) => SoakOptions {
            faults: 0,
            harmful: 0,
            said: 0,
            restores: 0,
            silences: 10,
            ..short
        },
        SoakFaults::Seed(_) | SoakFaults::Fixed(_) => short,
    };
    let plan = match case.faults {
        SoakFaults::Seed(seed) | SoakFaults::UsualSeed(seed) | SoakFaults::Silences(seed) => {
            FaultPlan::draw(seed, &options)
        }
        SoakFaults::Fixed(faults) => FaultPlan {
            faults: faults.iter().copied().map(to_timed_fault).collect(),
        },
    };
    let caller_seed = match case.faults {
        SoakFaults::UsualSeed(seed) | SoakFaults::Silences(seed) => seed,
        SoakFaults::Seed(_) | SoakFaults::Fixed(_) => index as u64,
    };
    let outcome = run_plan(&plan, caller_seed, &options).await;
    (folder, outcome.expect("the soak run cannot be started"))
}

fn to_timed_fault((at, length, kind): (u64, u64, FaultKind)) -> TimedFault {
    TimedFault {
        at: Duration::from_millis(at),
        length: Duration::from_millis(length),
        kind,
    }
}

/// Plays cases side by side. Their process indices begin at `first`.
fn play_cases(cases: &[SoakCase], first: usize) {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime cannot be started");
    let runs = cases.iter().enumerate();
    let runs = runs.map(|(index, case)| run_case(first + index, case));
    let outcomes = runtime.block_on(futures::future::join_all(runs));
    for (case, (folder, outcome)) in cases.iter().zip(outcomes) {
        assert!(
            outcome.violations.is_empty(),
            "{}: {outcome:#?}; logs are in {}",
            case.name,
            folder.display()
        );
        assert!(outcome.served > 100, "{}: {outcome:?}", case.name);
    }
}

#[test]
fn external_faults_violate_no_invariant() {
    play_cases(&CASES, 0);
}

#[test]
fn silent_upstreams_lose_no_answer() {
    play_cases(&SILENCE_CASES, CASES.len());
}
