//! Randomised runs of the planner against a model of the upstreams, with late and lost orders,
//! partitions that refuse or swallow, crashes, and coordinators that freeze and come back. After
//! each step the promises are checked.

mod support;

use support::world::{World, WorldOptions};

/// Length of a run, in milliseconds of virtual time.
const RUN_LENGTH: u64 = 60_000;

struct RunCase {
    name: &'static str,
    options: WorldOptions,
    seeds: u64,
    /// Groups that must serve on the mean of all runs, as a part of those that fit.
    min_serving: f64,
}

const CASES: &[RunCase] = &[
    RunCase {
        name: "calm",
        options: WorldOptions::CALM,
        seeds: 20,
        min_serving: 0.9,
    },
    RunCase {
        name: "crashes",
        options: WorldOptions {
            crash_chance: 0.02,
            ..WorldOptions::CALM
        },
        seeds: 40,
        min_serving: 0.4,
    },
    RunCase {
        name: "late and lost orders",
        options: WorldOptions {
            late_chance: 0.2,
            lost_chance: 0.1,
            crash_chance: 0.01,
            ..WorldOptions::CALM
        },
        seeds: 60,
        min_serving: 0.2,
    },
    RunCase {
        name: "partitions and new coordinators",
        options: WorldOptions {
            late_chance: 0.1,
            lost_chance: 0.05,
            crash_chance: 0.01,
            cut_chance: 0.02,
            takeover_chance: 0.03,
            ..WorldOptions::CALM
        },
        seeds: 100,
        min_serving: 0.0,
    },
    RunCase {
        name: "restarts under the same id",
        options: WorldOptions {
            crash_chance: 0.02,
            same_id_part: 1.0,
            ..WorldOptions::CALM
        },
        seeds: 40,
        min_serving: 0.4,
    },
    RunCase {
        name: "restarts under the same id, behind cuts too, and new coordinators",
        options: WorldOptions {
            late_chance: 0.1,
            lost_chance: 0.05,
            crash_chance: 0.02,
            same_id_part: 0.8,
            cut_chance: 0.03,
            takeover_chance: 0.03,
            ..WorldOptions::CALM
        },
        seeds: 100,
        min_serving: 0.0,
    },
];

/// The seeds of a case, or the one that `BERGAMOT_SEED` names.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let one = std::env::var("BERGAMOT_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    one.map_or(0..count, |seed: u64| seed..seed + 1)
}

#[test]
fn promises_hold_in_random_runs() {
    for case in CASES {
        let mut serving = 0.0;
        for seed in seeds(case.seeds) {
            let mut world = World::new(seed, case.options);
            world.run(RUN_LENGTH);
            assert_eq!(
                world.broken,
                Vec::<String>::new(),
                "{} seed {seed}",
                case.name
            );
            serving += world.serving_part();
        }
        let mean = serving / case.seeds as f64;
        println!("{}: {mean:.2} of the groups serve", case.name);
        let is_whole_set = std::env::var_os("BERGAMOT_SEED").is_none();
        assert!(
            !is_whole_set || mean >= case.min_serving,
            "{}: {mean}",
            case.name
        );
    }
}

/// A check that never fails shows nothing: each wrong decision must be caught.
#[test]
fn wrong_decisions_are_caught() {
    let wrong = [
        (
            "members are used while their leader stands open",
            WorldOptions {
                trust_refusals: true,
                cut_chance: 0.05,
                crash_chance: 0.01,
                ..WorldOptions::CALM
            },
        ),
        (
            "held members are not passed on to the next coordinator",
            WorldOptions {
                forget_holds: true,
                cut_chance: 0.05,
                takeover_chance: 0.1,
                ..WorldOptions::CALM
            },
        ),
    ];
    for (name, options) in wrong {
        let is_caught = (0..200).any(|seed| {
            let mut world = World::new(seed, options);
            world.run(RUN_LENGTH);
            !world.broken.is_empty()
        });
        assert!(is_caught, "{name}");
    }
}
