//! Randomised runs of the planner against simulated upstreams, with late and lost orders,
//! partitions that refuse or drop connections, crashes, and coordinators that freeze and return.
//! The guarantees are checked after each step.

mod support;

use support::world::{World, WorldOptions};

/// Length of a run in virtual milliseconds.
const RUN_LENGTH_MS: u64 = 60_000;

struct RunCase {
    name: &'static str,
    options: WorldOptions,
    seeds: u64,
    /// Minimum fraction of the possible groups that serve, averaged over all runs.
    min_serving_share: f64,
}

const CASES: &[RunCase] = &[
    RunCase {
        name: "calm",
        options: WorldOptions::NO_FAULTS,
        seeds: 20,
        min_serving_share: 0.9,
    },
    RunCase {
        name: "crashes",
        options: WorldOptions {
            crash_chance: 0.02,
            ..WorldOptions::NO_FAULTS
        },
        seeds: 40,
        min_serving_share: 0.4,
    },
    RunCase {
        name: "late and lost orders",
        options: WorldOptions {
            late_chance: 0.2,
            lost_chance: 0.1,
            crash_chance: 0.01,
            ..WorldOptions::NO_FAULTS
        },
        seeds: 60,
        min_serving_share: 0.2,
    },
    RunCase {
        name: "partitions and takeovers",
        options: WorldOptions {
            late_chance: 0.1,
            lost_chance: 0.05,
            crash_chance: 0.01,
            cut_chance: 0.02,
            takeover_chance: 0.03,
            ..WorldOptions::NO_FAULTS
        },
        seeds: 100,
        min_serving_share: 0.0,
    },
    RunCase {
        name: "restarts under the same id",
        options: WorldOptions {
            crash_chance: 0.02,
            same_id_share: 1.0,
            ..WorldOptions::NO_FAULTS
        },
        seeds: 40,
        min_serving_share: 0.4,
    },
    RunCase {
        name: "restarts under the same id, partitions and takeovers",
        options: WorldOptions {
            late_chance: 0.1,
            lost_chance: 0.05,
            crash_chance: 0.02,
            same_id_share: 0.8,
            cut_chance: 0.03,
            takeover_chance: 0.03,
            ..WorldOptions::NO_FAULTS
        },
        seeds: 100,
        min_serving_share: 0.0,
    },
    RunCase {
        name: "restarts of members whose groups are not listed, and takeovers",
        options: WorldOptions {
            orphan_chance: 0.05,
            ..WorldOptions::NO_FAULTS
        },
        seeds: 60,
        min_serving_share: 0.3,
    },
    RunCase {
        name: "the same with late and lost orders, crashes and partitions",
        options: WorldOptions {
            orphan_chance: 0.03,
            late_chance: 0.1,
            lost_chance: 0.05,
            crash_chance: 0.01,
            same_id_share: 0.8,
            cut_chance: 0.01,
            takeover_chance: 0.02,
            ..WorldOptions::NO_FAULTS
        },
        seeds: 100,
        min_serving_share: 0.0,
    },
    RunCase {
        name: "restores of the store",
        options: WorldOptions {
            late_chance: 0.05,
            lost_chance: 0.02,
            crash_chance: 0.005,
            cut_chance: 0.02,
            restore_chance: 0.05,
            ..WorldOptions::NO_FAULTS
        },
        seeds: 100,
        min_serving_share: 0.2,
    },
];

/// Returns the seeds of a case, or only the one that `BERGAMOT_SEED` sets.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let chosen_seed = std::env::var("BERGAMOT_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    chosen_seed.map_or(0..count, |seed: u64| seed..seed + 1)
}

#[test]
fn random_runs_violate_no_guarantee() {
    for case in CASES {
        let mut serving_sum = 0.0;
        for seed in seeds(case.seeds) {
            let mut world = World::new(seed, case.options);
            world.run(RUN_LENGTH_MS);
            assert_eq!(
                world.violations,
                Vec::<String>::new(),
                "{} seed {seed}",
                case.name
            );
            serving_sum += world.serving_share();
        }
        let mean_share = serving_sum / case.seeds as f64;
        println!("{}: {mean_share:.2} of the groups serve", case.name);
        let runs_all_seeds = std::env::var_os("BERGAMOT_SEED").is_none();
        assert!(
            !runs_all_seeds || mean_share >= case.min_serving_share,
            "{}: {mean_share}",
            case.name
        );
    }
}

/// Checks that the guarantee checks work: each deliberately wrong decision must be detected.
#[test]
fn deliberately_wrong_decisions_are_detected() {
    let faulty_options = [
        (
            "members are used while their leader is open",
            WorldOptions {
                trust_refusals: true,
                cut_chance: 0.05,
                crash_chance: 0.01,
                ..WorldOptions::NO_FAULTS
            },
        ),
        (
            "the next coordinator receives no holds and has not seen which members left",
            WorldOptions {
                forget_holds: true,
                forget_departures: true,
                cut_chance: 0.05,
                takeover_chance: 0.1,
                ..WorldOptions::NO_FAULTS
            },
        ),
        (
            "the next coordinator has not seen which members left",
            WorldOptions {
                forget_departures: true,
                orphan_chance: 0.05,
                ..WorldOptions::NO_FAULTS
            },
        ),
        (
            "a coordinator trusts the holds that a restored store has",
            WorldOptions {
                trust_restored_holds: true,
                forget_departures: true,
                cut_chance: 0.05,
                restore_chance: 0.1,
                ..WorldOptions::NO_FAULTS
            },
        ),
    ];
    for (name, options) in faulty_options {
        let is_detected = (0..200).any(|seed| {
            let mut world = World::new(seed, options);
            world.run(RUN_LENGTH_MS);
            !world.violations.is_empty()
        });
        assert!(is_detected, "{name}");
    }
}

/// Checks that upstreams refuse coordinators whose numbers go back with the store.
#[test]
fn fewer_groups_serve_if_fencing_numbers_go_back_with_the_store() {
    let options = WorldOptions {
        crash_chance: 0.02,
        restore_chance: 0.05,
        ..WorldOptions::NO_FAULTS
    };
    let mean_share = |options: WorldOptions| {
        let shares = (0..20).map(|seed| {
            let mut world = World::new(seed, options);
            world.run(RUN_LENGTH_MS);
            world.serving_share()
        });
        shares.sum::<f64>() / 20.0
    };
    let rising = mean_share(options);
    let falling = mean_share(WorldOptions {
        ignore_generations: true,
        ..options
    });
    assert!(rising > falling + 0.1, "{rising} and {falling}");
}
