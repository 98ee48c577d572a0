//! Whether all VMs together keep to a limit, and whether the upstream gets what it named.

mod support;

use bergamot_quota::QuotaFleet;
use bergamot_types::prelude::*;
use support::{Fleet, FleetPlan, LimitPolicy, allowed};

/// The part of its limit that an upstream must get while callers wait, as we set it.
const USED_PART: f64 = 0.8;

struct FleetCase {
    name: &'static str,
    plan: FleetPlan,
}

fn calm_fleets() -> [FleetCase; 4] {
    [
        FleetCase {
            name: "nine VMs, 1.9 a second",
            plan: FleetPlan::calm(9, 3, 1.9, 8.0),
        },
        FleetCase {
            name: "nine VMs, 20 a second",
            plan: FleetPlan::calm(9, 3, 20.0, 60.0),
        },
        FleetCase {
            name: "195 VMs, 1.9 a second",
            plan: FleetPlan::calm(195, 5, 1.9, 30.0),
        },
        FleetCase {
            name: "195 VMs, 20 a second",
            plan: FleetPlan::calm(195, 5, 20.0, 60.0),
        },
    ]
}

#[test]
fn the_owner_of_a_quota_keeps_to_it_and_gives_all_of_it_out() {
    for FleetCase { name, plan } in calm_fleets() {
        for policy in [
            LimitPolicy::Ignored,
            LimitPolicy::Alone,
            LimitPolicy::EqualParts,
            LimitPolicy::Owner,
        ] {
            let seeds = if plan.vms > 100 { 1 } else { 3 };
            let tallies = (0..seeds).map(|seed| Fleet::new(plan, policy, seed).play());
            let tallies: Vec<_> = tallies.collect();
            let most = tallies
                .iter()
                .map(support::FleetTally::most_in_window)
                .max();
            let most = most.expect("it was played");
            let used = tallies.iter().map(|it| it.used_part(&plan)).sum::<f64>();
            let used = used / tallies.len() as f64;
            println!(
                "{name}, {policy:?}: at most {most} in 4 s where {} are allowed, {used:.2} of the limit used",
                allowed(plan.limit)
            );
            if policy == LimitPolicy::Owner {
                assert!(most <= allowed(plan.limit), "{name}: {most} in 4 s");
                assert!(used >= USED_PART, "{name}: {used} of the limit");
            }
        }
    }
}

#[test]
fn the_bound_holds_while_news_is_lost_vms_come_and_go_and_processes_stand_still() {
    let base = FleetPlan {
        tells: false,
        ..FleetPlan::calm(9, 3, 1.9, 20.0)
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
            plan: FleetPlan {
                lost: 0.1,
                doubled: 0.1,
                delay: 100,
                churn: 900,
                suspensions: 1_300,
                ..base
            },
        },
        FleetCase {
            name: "all of it, a small limit",
            plan: FleetPlan {
                lost: 0.1,
                doubled: 0.1,
                delay: 100,
                churn: 900,
                suspensions: 1_300,
                limit: 0.3,
                ..base
            },
        },
        FleetCase {
            name: "all of it, a large limit",
            plan: FleetPlan {
                lost: 0.1,
                doubled: 0.1,
                delay: 100,
                churn: 900,
                suspensions: 1_300,
                limit: 40.0,
                demand: 200.0,
                ..base
            },
        },
    ];
    for FleetCase { name, plan } in cases {
        for seed in 0..20 {
            let most = Fleet::new(plan, LimitPolicy::Owner, seed)
                .play()
                .most_in_window();
            assert!(
                most <= allowed(plan.limit),
                "{name}, seed {seed}: {most} in 4 s"
            );
        }
    }
}

#[test]
fn a_new_owner_waits_until_nobody_goes_by_the_list_before_it() {
    let life = UpstreamLife::new(UpstreamId::new("u"), None);
    let domain = FailureDomain::from("east".to_owned());
    let vms = |names: &[&str]| {
        let vms = names
            .iter()
            .map(|name| (domain.clone(), (*name).to_owned()));
        vms.collect::<Vec<_>>()
    };
    let names = ["a", "b", "c"];
    let mut first = QuotaFleet::new("a".to_owned());
    first.set(Millis(10_000), vms(&names));
    let owner = first
        .owner(&life, &domain)
        .expect("there is one")
        .to_owned();
    let heir_names: Vec<&str> = names.into_iter().filter(|name| *name != owner).collect();
    first.set(Millis(20_000), vms(&heir_names));
    let heir = first
        .owner(&life, &domain)
        .expect("there is one")
        .to_owned();
    let mut fleet = QuotaFleet::new(heir);
    fleet.set(Millis(10_000), vms(&names));
    fleet.set(Millis(20_000), vms(&heir_names));
    assert_eq!(fleet.owns_from(&life, &domain), Millis(22_000));
    // A change that leaves the owner as it was is none to wait for.
    fleet.set(Millis(25_000), vms(&[fleet.own()]));
    assert_eq!(fleet.owns_from(&life, &domain), Millis::ZERO);
    let mut started = QuotaFleet::new(owner);
    started.set(Millis(10_000), vms(&names));
    assert_eq!(started.owns_from(&life, &domain), Millis(12_000));
}

#[test]
fn an_upstream_is_owned_in_its_own_failure_domain_where_that_has_vms() {
    let mut fleet = QuotaFleet::new("a".to_owned());
    let place = |domain: &str, vm: &str| (FailureDomain::from(domain.to_owned()), vm.to_owned());
    let east = FailureDomain::from("east".to_owned());
    fleet.set(
        Millis(1),
        [place("east", "a"), place("west", "b"), place("west", "c")],
    );
    for number in 0..20 {
        let life = UpstreamLife::new(UpstreamId::new(&format!("u{number}")), None);
        assert_eq!(fleet.owner(&life, &east), Some("a"));
        let south = FailureDomain::from("south".to_owned());
        assert!(fleet.owner(&life, &south).is_some());
    }
    fleet.set(Millis(2), []);
    let life = UpstreamLife::new(UpstreamId::new("u"), None);
    assert_eq!(fleet.owner(&life, &east), None);
}
