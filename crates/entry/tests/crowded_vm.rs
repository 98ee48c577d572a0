//! Processes with a small share of a core, to few of which most new connections go.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bergamot_soak::{
    CrowdFault, FaultKind, FaultPlan, ProcessSet, SoakOptions, TimedFault, run_plan,
};

/// Number of process indices reserved for each run, apart from those of the other tests.
const PLACES_PER_RUN: usize = 16;
const FIRST_PLACE: usize = 768;
/// Duration of a case: a calm time, the time after which callers must be served, and 7 s.
const CASE_TIME: Duration = Duration::from_secs(13);

struct CrowdCase {
    name: &'static str,
    fault: CrowdFault,
}

const CASES: [CrowdCase; 2] = [
    CrowdCase {
        name: "one process gets most connections",
        fault: CrowdFault {
            crowded: ProcessSet(0b000_001),
            permille: 30,
            rate: 250,
        },
    },
    CrowdCase {
        name: "one process of each failure domain gets most connections",
        fault: CrowdFault {
            crowded: ProcessSet(0b000_110),
            permille: 30,
            rate: 400,
        },
    },
];

/// Guards against VMs that read more requests than they can serve when most new connections go to
/// them.
#[test]
fn small_vms_serve_what_they_read_while_most_new_connections_go_to_them() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let mut failures = Vec::new();
    for (index, case) in CASES.iter().enumerate() {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_bergamot-entry"));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{index}"));
        let options = SoakOptions {
            first_place: FIRST_PLACE + index * PLACES_PER_RUN,
            desks: 4,
            callers: 1,
            crowds: 1,
            ..SoakOptions::usual(program, folder.clone())
        };
        let fault = TimedFault {
            at: Duration::ZERO,
            length: CASE_TIME,
            kind: FaultKind::Crowd(case.fault),
        };
        let plan = FaultPlan {
            faults: vec![fault],
        };
        let outcome = runtime.block_on(run_plan(&plan, index as u64, &options));
        let outcome = outcome.expect("the run starts");
        println!("{}: {outcome:?}", case.name);
        if !outcome.violations.is_empty() {
            failures.push((case.name, folder, outcome.violations));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
