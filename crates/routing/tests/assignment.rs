//! Leaders of groups are assigned to many entry VMs.

use bergamot_routing::{LeaderAssignment, RouteUpstream};
use bergamot_types::prelude::*;

fn leader(number: usize, slots: u32) -> RouteUpstream {
    RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new(&format!("leader-{number}")), None),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new("east"),
        slots,
        group: Some(GroupId::new(&format!("group-{number}"))),
        speed: None,
    }
}

struct AssignmentCase {
    name: &'static str,
    vms: usize,
    leaders: usize,
    slots: u32,
    /// Number of entry VMs that use each leader.
    users: usize,
}

#[test]
fn a_leader_is_not_overfilled_by_too_many_vms() {
    let cases = [
        AssignmentCase {
            name: "few VMs",
            vms: 6,
            leaders: 8,
            slots: 30,
            users: 6,
        },
        AssignmentCase {
            name: "many VMs and few leaders: each VM needs a choice",
            vms: 90,
            leaders: 8,
            slots: 30,
            users: 90,
        },
        AssignmentCase {
            name: "more VMs than a leader can serve",
            vms: 300,
            leaders: 40,
            slots: 30,
            users: 90,
        },
        AssignmentCase {
            name: "leaders with few slots",
            vms: 40,
            leaders: 20,
            slots: 4,
            users: 12,
        },
    ];
    for case in cases {
        let names: Vec<String> = (0..case.vms).map(|number| format!("vm-{number}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let leaders: Vec<RouteUpstream> = (0..case.leaders)
            .map(|number| leader(number, case.slots))
            .collect();
        let mut user_counts = vec![0; case.leaders];
        for own in &names {
            let mut assignment = LeaderAssignment::default();
            assignment.assign(leaders.iter(), &names, own);
            assert_eq!(
                assignment.user_count(case.slots),
                case.users,
                "{}",
                case.name
            );
            for (user_count, leader) in user_counts.iter_mut().zip(&leaders) {
                *user_count += usize::from(assignment.is_assigned(&leader.incarnation));
            }
        }
        let is_even = user_counts
            .iter()
            .all(|user_count| *user_count == case.users);
        assert!(is_even, "{}: {user_counts:?}", case.name);
    }
}

struct ChangeCase {
    name: &'static str,
    vms: usize,
    leaders: usize,
    /// VMs that leave and come in one change of the list.
    leaving: usize,
    coming: usize,
}

/// Guards against scores of all VMs for all leaders each time that one VM comes or goes.
#[test]
fn a_vm_that_comes_or_goes_costs_one_score_for_each_leader() {
    let cases = [
        ChangeCase {
            name: "no VM changes",
            vms: 986,
            leaders: 290,
            leaving: 0,
            coming: 0,
        },
        ChangeCase {
            name: "one VM leaves",
            vms: 986,
            leaders: 290,
            leaving: 1,
            coming: 0,
        },
        ChangeCase {
            name: "one VM is replaced in a fleet of twice the size",
            vms: 1_972,
            leaders: 580,
            leaving: 1,
            coming: 1,
        },
        ChangeCase {
            name: "a failure domain leaves",
            vms: 195,
            leaders: 100,
            leaving: 39,
            coming: 0,
        },
    ];
    for case in cases {
        let names: Vec<String> = (0..case.vms + case.coming)
            .map(|number| format!("vm-{number}"))
            .collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let leaders: Vec<RouteUpstream> =
            (0..case.leaders).map(|number| leader(number, 22)).collect();
        let own = names[case.vms / 2];
        let (before, after) = (&names[..case.vms], &names[case.leaving..]);
        let mut assignment = LeaderAssignment::default();
        assignment.assign(leaders.iter(), before, own);
        let cost = assignment.assign(leaders.iter(), after, own);
        let changed = case.leaving + case.coming;
        assert!(cost <= changed * case.leaders, "{}: {cost}", case.name);
        let mut fresh = LeaderAssignment::default();
        fresh.assign(leaders.iter(), after, own);
        assert_eq!(assignment.assigned(), fresh.assigned(), "{}", case.name);
    }
}
