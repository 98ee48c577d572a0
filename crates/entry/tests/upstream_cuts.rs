//! Processes that reach their callers, the store and each other, and no upstream.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bergamot_soak::{
    FaultKind, FaultPlan, LinkState, ProcessSet, SoakOptions, SoakOutcome, TimedFault, run_plan,
};

/// Some processes' links to all upstreams change for a time.
struct CutCase {
    name: &'static str,
    cut_off: ProcessSet,
    state: LinkState,
    /// What else happens: start and duration in milliseconds, and the kind of the fault.
    others: &'static [(u64, u64, FaultKind)],
}

const CASES: [CutCase; 5] = [
    CutCase {
        name: "connections of two processes are silent",
        cut_off: ProcessSet(0b000_011),
        state: LinkState::Silent,
        others: &[],
    },
    CutCase {
        name: "connections of a failure domain are reset",
        cut_off: ProcessSet(0b010_101),
        state: LinkState::Reset,
        others: &[],
    },
    CutCase {
        name: "connections of a failure domain live on while new ones are refused",
        cut_off: ProcessSet(0b101_010),
        state: LinkState::RefusesNew,
        others: &[],
    },
    CutCase {
        name: "connections of all processes but one are silent",
        cut_off: ProcessSet(0b111_110),
        state: LinkState::Silent,
        others: &[],
    },
    CutCase {
        name: "connections of two processes are reset while the store is away and a peer stops",
        cut_off: ProcessSet(0b011_000),
        state: LinkState::Reset,
        others: &[
            // Over early, as the check leaves out processes that a fault of the store befalls.
            (500, 300, FaultKind::StoreOutage),
            (4_000, 500, FaultKind::StopEntry(0)),
        ],
    },
];

/// When the cut begins, and how long it lasts, in milliseconds: the time after which callers must be
/// served, and as long again.
const CUT: (u64, u64) = (500, 8_000);
/// Callers of each process. Each has one request in flight, and a request to an upstream that is cut off
/// may wait for seconds, so few callers would send too few requests for the check.
const CALLERS: usize = 6;
/// Number of process indices reserved for each run, apart from those of the other tests.
const PLACES_PER_RUN: usize = 16;
const FIRST_PLACE: usize = 512;

fn to_timed_fault((at, length, kind): (u64, u64, FaultKind)) -> TimedFault {
    TimedFault {
        at: Duration::from_millis(at),
        length: Duration::from_millis(length),
        kind,
    }
}

async fn run_case(index: usize, case: &CutCase) -> (PathBuf, SoakOutcome) {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_bergamot-entry"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cut-{index}"));
    let options = SoakOptions {
        first_place: FIRST_PLACE + index * PLACES_PER_RUN,
        length: Duration::from_secs(5),
        callers: CALLERS,
        ..SoakOptions::usual(program, folder.clone())
    };
    let cut = FaultKind::UpstreamsCut(case.cut_off, case.state);
    let faults = std::iter::once((CUT.0, CUT.1, cut)).chain(case.others.iter().copied());
    let plan = FaultPlan {
        faults: faults.map(to_timed_fault).collect(),
    };
    let outcome = run_plan(&plan, index as u64, &options).await;
    (folder, outcome.expect("the run cannot be started"))
}

#[test]
fn callers_of_vms_cut_off_from_all_upstreams_are_served_like_others() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime cannot be started");
    let mut failures = Vec::new();
    // One after another: the owner of each connection is looked up among all sockets of the machine.
    for (index, case) in CASES.iter().enumerate() {
        let (folder, outcome) = runtime.block_on(run_case(index, case));
        println!("{}: {outcome:?}", case.name);
        if !outcome.violations.is_empty() {
            failures.push((case.name, folder, outcome.violations));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
