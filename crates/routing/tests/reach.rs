//! Requests avoid failure domains that are unreachable.

use bergamot_feed::PeerDescriptor;
use bergamot_routing::{RouteUpstream, UpstreamChoice, UpstreamCriteria, UpstreamMonitor};
use bergamot_types::prelude::*;

const HOME: &str = "east";

fn leader(name: &str, domain: &str) -> RouteUpstream {
    RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new(name), None),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new(domain),
        slots: 22,
        group: Some(GroupId::new(name)),
        speed: None,
    }
}

fn pool() -> Vec<RouteUpstream> {
    let domains = [HOME, "west", "north"];
    let leaders = domains
        .iter()
        .flat_map(|domain| (0..8).map(move |number| leader(&format!("{domain}-{number}"), domain)));
    leaders.collect()
}

fn monitor() -> UpstreamMonitor {
    let own = PeerDescriptor {
        vm: "vm-1".to_owned(),
        failure_domain: FailureDomain::new(HOME),
        millicores: 120,
    };
    let mut monitor = UpstreamMonitor::new(own.clone());
    monitor.occupancy.set_peers([own]);
    // The near leaders are busy, so that others are selected while they are available.
    for leader in pool()
        .iter()
        .filter(|leader| leader.failure_domain.as_str() == HOME)
    {
        for _ in 0..3 {
            monitor.record_sent(&leader.incarnation, None, 100, Millis(1_000));
            monitor.record_answer_begun(&leader.incarnation, 100);
        }
        monitor.record_progress(&leader.incarnation, Millis(1_000));
    }
    monitor
}

/// An observation about a leader before the request at 1,000 ms.
enum Observation {
    /// A connection has been pending since this time.
    Connecting(u64),
    /// A connection failed at this time.
    Failed(u64),
    /// Data was received at this time.
    Received(u64),
}

struct ReachCase {
    name: &'static str,
    observations: &'static [(&'static str, Observation)],
    /// Failure domains other than home that are selected for at least one random number.
    selected: &'static [&'static str],
}

#[test]
fn a_domain_is_avoided_only_after_two_upstreams_fail_to_connect() {
    use Observation::{Connecting, Failed, Received};
    let cases = [
        ReachCase {
            name: "all domains reachable",
            observations: &[],
            selected: &["north", "west"],
        },
        ReachCase {
            name: "one failed connection may mean a failed upstream",
            observations: &[("west-0", Failed(900))],
            selected: &["north", "west"],
        },
        ReachCase {
            name: "two upstreams without connections, and nothing received from others",
            observations: &[("west-0", Failed(900)), ("west-1", Connecting(950))],
            selected: &["north"],
        },
        ReachCase {
            name: "two failed connections, and data received from another upstream since",
            observations: &[
                ("west-0", Failed(900)),
                ("west-1", Failed(940)),
                ("west-2", Received(950)),
            ],
            selected: &["north", "west"],
        },
        ReachCase {
            name: "two failed connections, and data received from another upstream before",
            observations: &[
                ("west-0", Failed(900)),
                ("west-1", Failed(940)),
                ("west-2", Received(890)),
            ],
            selected: &["north"],
        },
        ReachCase {
            name: "connections that have just begun",
            observations: &[("west-0", Connecting(970)), ("west-1", Connecting(980))],
            selected: &["north", "west"],
        },
        ReachCase {
            name: "both other domains unreachable",
            observations: &[
                ("west-0", Failed(900)),
                ("west-1", Failed(900)),
                ("north-0", Failed(900)),
                ("north-1", Connecting(900)),
            ],
            selected: &[],
        },
    ];
    for case in cases {
        let pool = pool();
        let mut monitor = monitor();
        for (name, observation) in case.observations {
            let incarnation = UpstreamIncarnation::new(UpstreamId::new(name), None);
            match observation {
                Connecting(at) => monitor.record_connecting(&incarnation, Millis(*at)),
                Failed(at) => monitor.record_connect_failure(&incarnation, Millis(*at)),
                Received(at) => {
                    monitor.record_progress(&incarnation, Millis(*at));
                }
            }
        }
        assert_eq!(
            selected_domains(&monitor, &pool, 1_000),
            case.selected,
            "{}",
            case.name
        );
    }
}

/// Guards against a domain being avoided for good: the next request tries it after a while.
#[test]
fn an_unreachable_domain_is_not_avoided_for_good() {
    let (pool, mut monitor) = (pool(), monitor());
    for leader in &pool[..8] {
        monitor.record_progress(&leader.incarnation, Millis(2_900));
    }
    for name in ["west-0", "west-1"] {
        let incarnation = UpstreamIncarnation::new(UpstreamId::new(name), None);
        monitor.record_connect_failure(&incarnation, Millis(900));
    }
    assert_eq!(selected_domains(&monitor, &pool, 2_800), ["north"]);
    assert_eq!(selected_domains(&monitor, &pool, 2_950), ["north", "west"]);
}

/// Returns the failure domains other than home that are selected for at least one random number.
fn selected_domains(monitor: &UpstreamMonitor, pool: &[RouteUpstream], now: u64) -> Vec<String> {
    let home = FailureDomain::new(HOME);
    let choices = (0..400_u64).map(|seed| {
        let criteria = UpstreamCriteria {
            priority: 0,
            home: &home,
            tried: &[],
            allowed_domains: None,
            idle_connections: &[],
            has_begun_elsewhere: false,
            must_be_sound: false,
            prompt_tokens: 100,
            objective: Millis(250),
            random: hash_bytes(&seed.to_le_bytes()),
            isolation_index: None,
        };
        match monitor.choose(pool, &criteria, Millis(now)) {
            UpstreamChoice::Chosen(upstream) => upstream.failure_domain.to_string(),
            other => format!("{other:?}"),
        }
    });
    let mut domains: Vec<String> = choices.filter(|domain| domain != HOME).collect();
    domains.sort();
    domains.dedup();
    domains
}
