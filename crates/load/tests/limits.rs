//! Whether all VMs together keep to a limit, and whether the upstream gets what it named.

use bergamot_load::experiment::limits::{
    CALM_FLEETS, FleetPlan, LimitPolicy, LimitedFleet, PlayedFleet, allowed, play_fleets,
};

/// The part of its limit that an upstream must get while callers wait, as we set it.
const USED_PART: f64 = 0.8;

struct FleetCase {
    name: &'static str,
    plan: FleetPlan,
}

#[test]
fn the_owner_of_a_quota_keeps_to_it_and_gives_all_of_it_out() {
    for fleet in CALM_FLEETS {
        let PlayedFleet { most, used } = play_fleets(&fleet, LimitPolicy::Owner);
        let (name, limit) = (fleet.name, fleet.plan.limit);
        assert!(most <= allowed(limit), "{name}: {most} in 4 s");
        assert!(used >= USED_PART, "{name}: {used} of the limit");
    }
}

#[test]
fn the_bound_holds_while_news_is_lost_vms_come_and_go_and_processes_stand_still() {
    let base = FleetPlan {
        tells: false,
        ..FleetPlan::calm(9, 3, 1.9, 20.0)
    };
    let troubled = FleetPlan {
        lost: 0.1,
        doubled: 0.1,
        delay: 100,
        churn: 900,
        suspensions: 1_300,
        ..base
    };
    let cases = [
        FleetCase {
            name: "datagrams lost, doubled and late",
            plan: FleetPlan {
                lost: 0.2,
                doubled: 0.2,
                delay: 300,
                ..base
            },
        },
        FleetCase {
            name: "VMs come and go",
            plan: FleetPlan {
                churn: 1_700,
                ..base
            },
        },
        FleetCase {
            name: "VMs are suspended",
            plan: FleetPlan {
                suspensions: 1_100,
                ..base
            },
        },
        FleetCase {
            name: "all of it",
            plan: troubled,
        },
        FleetCase {
            name: "all of it, a small limit",
            plan: FleetPlan {
                limit: 0.3,
                ..troubled
            },
        },
        FleetCase {
            name: "all of it, a large limit",
            plan: FleetPlan {
                limit: 40.0,
                demand: 200.0,
                ..troubled
            },
        },
    ];
    for FleetCase { name, plan } in cases {
        for seed in 0..20 {
            let most = LimitedFleet::new(plan, LimitPolicy::Owner, seed)
                .play()
                .most_in_window();
            assert!(
                most <= allowed(plan.limit),
                "{name}, seed {seed}: {most} in 4 s"
            );
        }
    }
}
