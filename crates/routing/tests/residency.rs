//! Guards against upstream selection that leaves a request's allowed failure domains.

use bergamot_feed::PeerDescriptor;
use bergamot_routing::{RouteUpstream, UpstreamChoice, UpstreamCriteria, UpstreamMonitor};
use bergamot_types::prelude::*;

const NOW: Millis = Millis(10_000);

fn upstream(name: &str, domain: &str, group: Option<&str>) -> RouteUpstream {
    RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new(name), None),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new(domain),
        slots: 4,
        group: group.map(GroupId::new),
        speed: None,
    }
}

struct DomainCase {
    name: &'static str,
    /// The failure domains in which the request may be processed; none for all.
    allowed: Option<&'static [&'static str]>,
    is_leader: bool,
    isolation_index: Option<u64>,
    has_begun_elsewhere: bool,
    /// Upstreams selected for at least one random number.
    selected: &'static [&'static str],
}

#[test]
fn a_request_is_sent_only_to_upstreams_in_its_allowed_domains() {
    let plain = DomainCase {
        name: "unrestricted",
        allowed: None,
        is_leader: false,
        isolation_index: None,
        has_begun_elsewhere: false,
        selected: &["near"],
    };
    let cases = [
        DomainCase { ..plain },
        DomainCase {
            name: "not the near upstream, which is outside",
            allowed: Some(&["west"]),
            selected: &["far", "far2"],
            ..plain
        },
        DomainCase {
            name: "a leader of another VM, as this VM's own one is outside",
            allowed: Some(&["west"]),
            is_leader: true,
            selected: &["far", "far2"],
            ..plain
        },
        DomainCase {
            name: "an isolated request",
            allowed: Some(&["west"]),
            isolation_index: Some(0),
            selected: &["far"],
            ..plain
        },
        DomainCase {
            name: "a retry, which bypasses limits",
            allowed: Some(&["west"]),
            has_begun_elsewhere: true,
            selected: &["far", "far2"],
            ..plain
        },
        DomainCase {
            name: "no upstream in the allowed domain",
            allowed: Some(&["south"]),
            selected: &[],
            ..plain
        },
        DomainCase {
            name: "no allowed domain",
            allowed: Some(&[]),
            selected: &[],
            ..plain
        },
    ];
    let home = FailureDomain::new("east");
    let own = PeerDescriptor {
        vm: "vm-1".to_owned(),
        failure_domain: home.clone(),
        millicores: 250,
    };
    for case in cases {
        let group = case.is_leader.then_some("g");
        let pool = [
            upstream("near", "east", group),
            upstream("far", "west", group),
            upstream("far2", "west", group),
        ];
        let mut monitor = UpstreamMonitor::new(own.clone());
        monitor.occupancy.set_peers([own.clone()]);
        // Of many VMs this one uses the near upstream only, if it is a leader.
        let vms = vec!["vm-1"; 1_000];
        monitor.assign_leaders(pool[..1].iter(), &vms, "vm-1");
        let allowed = case.allowed.map(|names| {
            let names = names.iter().map(|name| FailureDomain::new(name));
            names.collect::<Vec<_>>()
        });
        let allowed: Option<Vec<&FailureDomain>> =
            allowed.as_ref().map(|domains| domains.iter().collect());
        let mut selected: Vec<String> = Vec::new();
        for seed in 0..64_u8 {
            let criteria = UpstreamCriteria {
                home: &home,
                tried: &[],
                allowed_domains: allowed.as_deref(),
                idle_connections: &[],
                has_begun_elsewhere: case.has_begun_elsewhere,
                must_be_sound: false,
                prompt_tokens: 10,
                objective: Millis(300),
                priority: 0,
                random: hash_bytes(&[seed]),
                isolation_index: case.isolation_index,
            };
            match monitor.choose(&pool, &criteria, NOW) {
                UpstreamChoice::Chosen(chosen) => selected.push(chosen.incarnation.to_string()),
                other => assert_eq!(other, UpstreamChoice::None, "{}", case.name),
            }
        }
        selected.sort_unstable();
        selected.dedup();
        assert_eq!(selected, case.selected, "{}", case.name);
    }
}
