//! The cases of both users, and the tables of their results.

use bergamot_bundle::ModelSpec;
use bergamot_placement::{PlacementOptions, RepairPolicy};
use bergamot_routing::{BalanceOptions, BalancePolicy};
use bergamot_types::prelude::*;

use super::events::EventRates;
use super::{PlacementCase, PlacementResult, RoutingCase, run_placement, run_routing};

/// Seeds of the printed tables.
pub const SEEDS: [u64; 3] = [1, 2, 3];

/// One user: how the two measures weigh.
#[derive(Clone, Copy, Debug)]
pub struct UserWeights {
    /// Who.
    pub name: &'static str,
    /// Cost of a second of a group's downtime.
    pub downtime: f64,
    /// Cost of a second of a stranded accelerator.
    pub stranded: f64,
}

/// Both users.
pub const USERS: [UserWeights; 2] = [
    UserWeights {
        name: "alfold",
        downtime: 1.0,
        stranded: 0.02,
    },
    UserWeights {
        name: "paminna",
        downtime: 0.2,
        stranded: 0.2,
    },
];

/// What both users run today: about 50 replicas, most of them of one kind.
pub fn models(size: u32) -> Vec<ModelSpec> {
    let spec = |name: &str, replicas, priority| ModelSpec {
        name: ModelName::new(name),
        version: "1".to_owned(),
        adapter: None,
        vms_per_replica: size,
        replicas,
        priority,
        accounts: Vec::new(),
    };
    vec![
        spec("urgent", 10, 1),
        spec("usual", 30, 4),
        spec("batch", 10, 8),
    ]
}

/// One fleet of today's size with one policy.
pub fn placement_case(
    name: &'static str,
    user: &UserWeights,
    policy: RepairPolicy,
    seed: u64,
) -> PlacementCase {
    const SIZE: u32 = 4;
    const FABRICS: usize = 3;
    const VMS_PER_FABRIC: usize = 69;
    let is_baseline = policy == RepairPolicy::RebuildFirstFit;
    PlacementCase {
        name,
        options: PlacementOptions {
            policy,
            downtime_weight: user.downtime,
            stranded_weight: user.stranded,
            warm_spares: !is_baseline,
            ..PlacementOptions::default()
        },
        fabrics: FABRICS,
        vms_per_fabric: VMS_PER_FABRIC,
        models: models(SIZE),
        rates: EventRates::default(),
        days: 10.0,
        seed,
    }
}

/// Runs both users' fleets with the baseline and the policy in force.
pub fn placement_table() -> Vec<String> {
    let mut lines =
        vec!["user     policy    seed  downtime s/group-h  stranded %  swaps  load h".to_owned()];
    let policies = [
        ("rebuild", RepairPolicy::RebuildFirstFit),
        ("cost", RepairPolicy::LeastCost),
    ];
    let cases: Vec<(&UserWeights, PlacementCase)> = USERS
        .iter()
        .flat_map(|user| policies.map(|policy| (user, policy)))
        .flat_map(|(user, (name, policy))| {
            SEEDS.map(|seed| (user, placement_case(name, user, policy, seed)))
        })
        .collect();
    let results: Vec<PlacementResult> = std::thread::scope(|scope| {
        let running: Vec<_> = cases
            .iter()
            .map(|(_, case)| scope.spawn(|| run_placement(case)))
            .collect();
        let results = running.into_iter().map(|run| run.join());
        results.map(Result::unwrap_or_default).collect()
    });
    for (cases, results) in cases.chunks(SEEDS.len()).zip(results.chunks(SEEDS.len())) {
        for ((user, case), result) in cases.iter().zip(results) {
            lines.push(format!(
                "{:8} {:9} {:4}  {:18.3}  {:10.4}  {:5}  {:6.1}",
                user.name,
                case.name,
                case.seed,
                result.downtime_per_group_hour,
                result.stranded_share * 100.0,
                result.swaps,
                result.load_hours,
            ));
        }
        let count = SEEDS.len() as f64;
        let downtime: f64 = results.iter().map(|r| r.downtime_per_group_hour).sum();
        let stranded: f64 = results.iter().map(|r| r.stranded_share).sum();
        lines.push(format!(
            "{:8} {:9} mean  {:18.3}  {:10.4}",
            cases[0].0.name,
            cases[0].1.name,
            downtime / count,
            stranded / count * 100.0
        ));
    }
    lines
}

/// What differs between loads of today's size.
#[derive(Clone, Copy, Debug)]
pub struct RoutingLoad {
    /// Replicas that are slow, and how many times as slow.
    pub stragglers: (usize, f64),
    /// Conversations; all replicas together hold 3,000 prefixes.
    pub prefixes: usize,
}

/// The loads of the printed table.
pub const LOADS: [RoutingLoad; 4] = [
    RoutingLoad {
        stragglers: (0, 1.0),
        prefixes: 1_000,
    },
    RoutingLoad {
        stragglers: (1, 10.0),
        prefixes: 1_000,
    },
    RoutingLoad {
        stragglers: (0, 1.0),
        prefixes: 3_000,
    },
    RoutingLoad {
        stragglers: (1, 10.0),
        prefixes: 3_000,
    },
];

/// One load of today's size with one policy.
pub fn routing_case(
    name: &'static str,
    policy: BalancePolicy,
    load: RoutingLoad,
    seed: u64,
) -> RoutingCase {
    RoutingCase {
        name,
        options: BalanceOptions {
            policy,
            ..BalanceOptions::default()
        },
        entries: 9,
        runners: 50,
        domains: 3,
        stragglers: load.stragglers,
        rate: 330.0,
        prefixes: load.prefixes,
        accounts: 10,
        seconds: 180,
        seed,
    }
}

/// The policies compared.
pub const POLICIES: [(&str, BalancePolicy); 5] = [
    ("affinity", BalancePolicy::Affinity),
    ("round_robin", BalancePolicy::RoundRobin),
    ("least_loaded", BalancePolicy::LeastLoaded),
    ("pure_hash", BalancePolicy::PureHash),
    ("nested", BalancePolicy::NestedSubsets),
];

/// Runs every policy on a healthy fleet and on one with a straggler in 50.
pub fn routing_table() -> Vec<String> {
    let mut lines =
        vec!["stragglers  policy        first p50  p95    p99  busiest  hit %  late %".to_owned()];
    for load in LOADS {
        for (name, policy) in POLICIES {
            let case = routing_case(name, policy, load, SEEDS[0]);
            let result = run_routing(&case);
            lines.push(format!(
                "{:10}  {:8}  {:12}  {:9}  {:4}  {:5}  {:7.2}  {:5.1}  {:6.3}",
                load.stragglers.0,
                load.prefixes,
                name,
                result.first_p50,
                result.first_p95,
                result.first_p99,
                result.busiest,
                result.hit_share * 100.0,
                result.late_share * 100.0,
            ));
        }
    }
    lines
}
