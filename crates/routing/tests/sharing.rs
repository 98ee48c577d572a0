//! Leaders of groups are shared out over many entry VMs.

use bergamot_routing::{LeaderSharing, RouteUpstream};
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

struct SharingCase {
    name: &'static str,
    vms: usize,
    leaders: usize,
    slots: u32,
    /// Entry VMs that use each leader.
    users: usize,
}

#[test]
fn a_leader_is_used_by_all_vms_until_they_would_overfill_it() {
    let cases = [
        SharingCase {
            name: "few",
            vms: 6,
            leaders: 8,
            slots: 30,
            users: 6,
        },
        SharingCase {
            name: "many, and few leaders: each VM needs the choice",
            vms: 90,
            leaders: 8,
            slots: 30,
            users: 90,
        },
        SharingCase {
            name: "more than a leader bears",
            vms: 300,
            leaders: 40,
            slots: 30,
            users: 90,
        },
        SharingCase {
            name: "small leaders",
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
        let mut uses = vec![0; case.leaders];
        for own in &names {
            let mut sharing = LeaderSharing::default();
            sharing.share(leaders.iter(), &names, own);
            assert_eq!(sharing.users(case.slots), case.users, "{}", case.name);
            for (uses, leader) in uses.iter_mut().zip(&leaders) {
                *uses += usize::from(sharing.is_own(&leader.incarnation));
            }
        }
        let is_right = uses.iter().all(|uses| *uses == case.users);
        assert!(is_right, "{}: {uses:?}", case.name);
    }
}
