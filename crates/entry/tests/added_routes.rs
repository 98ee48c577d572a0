//! Routes and keys that configurations add in series, while processes do not learn of them in time.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bergamot_soak::{
    FaultKind, FaultPlan, GrantSize, LinkState, ProcessSet, SoakOptions, SoakOutcome, TimedFault,
    Violation, run_plan,
};

/// What befalls the processes while configurations add routes and keys.
struct AdditionCase {
    name: &'static str,
    size: GrantSize,
    /// Start and duration in milliseconds, and the kind of the fault.
    faults: &'static [(u64, u64, FaultKind)],
}

/// The processes of one failure domain, and those of the other.
const EAST: ProcessSet = ProcessSet(0b010_101);
const WEST: ProcessSet = ProcessSet(0b101_010);

const CASES: [AdditionCase; 6] = [
    AdditionCase {
        name: "nothing else happens",
        size: GrantSize::Small,
        faults: &[],
    },
    AdditionCase {
        name: "the store turns a failure domain away",
        size: GrantSize::Small,
        faults: &[(1_000, 7_000, FaultKind::StoreLinks(EAST, LinkState::Reset))],
    },
    AdditionCase {
        name: "the store does not answer a failure domain, whose processes start meanwhile",
        size: GrantSize::Small,
        faults: &[
            (1_000, 8_000, FaultKind::StoreLinks(WEST, LinkState::Silent)),
            (2_500, 300, FaultKind::KillEntry(1)),
            (4_000, 300, FaultKind::KillEntry(3)),
        ],
    },
    AdditionCase {
        name: "processes stand still one after another",
        size: GrantSize::Small,
        faults: &[
            (500, 4_000, FaultKind::PauseEntry(0)),
            (1_000, 5_000, FaultKind::PauseEntry(1)),
            (3_000, 4_000, FaultKind::PauseEntry(2)),
            (4_500, 4_000, FaultKind::PauseEntry(0)),
            (5_000, 3_500, FaultKind::PauseEntry(3)),
        ],
    },
    AdditionCase {
        name: "processes stop and are killed in turn beside large configurations",
        size: GrantSize::Large,
        faults: &[
            (500, 300, FaultKind::StopEntry(0)),
            (1_500, 300, FaultKind::KillEntry(1)),
            (2_500, 300, FaultKind::KillEntry(2)),
            (3_500, 300, FaultKind::StopEntry(3)),
            (4_500, 300, FaultKind::KillEntry(4)),
        ],
    },
    AdditionCase {
        name: "the store is away and slow beside large configurations",
        size: GrantSize::Large,
        faults: &[
            (1_000, 4_000, FaultKind::StoreOutage),
            (
                6_000,
                4_000,
                FaultKind::StoreSlow(Duration::from_millis(400)),
            ),
        ],
    },
];

/// Time between two additions, in milliseconds: shorter than a process takes to confirm a
/// configuration.
const ADDITION_PAUSE: u64 = 500;
const ADDITIONS: u64 = 18;
/// Number of process indices reserved for each run, apart from those of the other tests.
const PLACES_PER_RUN: usize = 16;
const FIRST_PLACE: usize = 1_024;

fn to_timed_fault((at, length, kind): (u64, u64, FaultKind)) -> TimedFault {
    TimedFault {
        at: Duration::from_millis(at),
        length: Duration::from_millis(length),
        kind,
    }
}

async fn run_case(index: usize, case: &AdditionCase) -> (PathBuf, SoakOutcome) {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_bergamot-entry"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("added-{index}"));
    let options = SoakOptions {
        first_place: FIRST_PLACE + index * PLACES_PER_RUN,
        ..SoakOptions::usual(program, folder.clone())
    };
    let adds = FaultKind::AddsGrant(case.size);
    let additions = (0..ADDITIONS).map(|number| (number * ADDITION_PAUSE, 0, adds));
    let faults = additions.chain(case.faults.iter().copied());
    let mut faults: Vec<TimedFault> = faults.map(to_timed_fault).collect();
    faults.sort_by_key(|fault| fault.at);
    let outcome = run_plan(&FaultPlan { faults }, index as u64, &options).await;
    (folder, outcome.expect("the run cannot be started"))
}

#[test]
fn added_routes_and_keys_are_not_refused_as_unknown() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime cannot be started");
    let mut failures = Vec::new();
    for (index, case) in CASES.iter().enumerate() {
        let (folder, outcome) = runtime.block_on(run_case(index, case));
        let refused = outcome.violations.iter();
        let refused = refused.filter(|it| matches!(it, Violation::RefusedAsUnknown { .. }));
        println!(
            "{}: {} requests, {} served, {} refused as unknown",
            case.name,
            outcome.requests,
            outcome.served,
            refused.count()
        );
        if !outcome.violations.is_empty() {
            failures.push((case.name, folder, outcome.violations));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
