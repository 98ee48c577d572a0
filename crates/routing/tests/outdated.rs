//! Leaders that the directory goes on listing after they have ended, as during an outage of the store.

use bergamot_feed::PeerDescriptor;
use bergamot_routing::{RouteUpstream, UpstreamChoice, UpstreamCriteria, UpstreamMonitor};
use bergamot_types::prelude::*;

const HOME: &str = "east";
const HEALTHY_LEADERS: usize = 8;
/// Length of the outage, and the time between two requests of this VM.
const OUTAGE: Millis = Millis(8_000);
const REQUEST_PERIOD: u64 = 20;

/// What becomes of a request at an ended leader.
#[derive(Clone, Copy)]
enum EndedLeader {
    /// It answers that it leads no group.
    Misdirects,
    /// It does not answer, and the request is given up after this time.
    Silent(Millis),
}

struct OutageCase {
    name: &'static str,
    ended: EndedLeader,
    /// Requests that one VM may lose at the leader during the outage.
    max_attempts: usize,
}

fn leader(name: &str) -> RouteUpstream {
    RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new(name), None),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new(HOME),
        slots: 48,
        group: Some(GroupId::new(name)),
        speed: None,
    }
}

fn monitor() -> UpstreamMonitor {
    let own = PeerDescriptor {
        vm: "vm-1".to_owned(),
        failure_domain: FailureDomain::new(HOME),
        millicores: 120,
    };
    let mut monitor = UpstreamMonitor::new(own.clone());
    monitor.occupancy.set_peers([own]);
    monitor
}

/// Returns whether the VM selects the leader `ended` for the request at `now`.
fn selects(
    monitor: &UpstreamMonitor,
    pool: &[RouteUpstream],
    ended: &RouteUpstream,
    now: Millis,
) -> bool {
    let criteria = UpstreamCriteria {
        priority: 0,
        home: &FailureDomain::new(HOME),
        tried: &[],
        idle_connections: &[],
        has_begun_elsewhere: false,
        prompt_tokens: 700,
        objective: Millis(300),
        random: hash_bytes(&now.0.to_le_bytes()),
        isolation_index: None,
    };
    match monitor.choose(pool, &criteria, now) {
        UpstreamChoice::Chosen(chosen) => chosen.incarnation == ended.incarnation,
        other => panic!("no leader is selected: {other:?}"),
    }
}

/// Plays the outage at one VM: the other leaders have some load, so that the ended one, which has
/// none, is the most attractive. Returns the number of requests sent to it.
fn attempts_at_ended_leader(ended_leader: EndedLeader) -> usize {
    let mut pool: Vec<RouteUpstream> = (0..HEALTHY_LEADERS)
        .map(|index| leader(&format!("healthy-{index}")))
        .collect();
    let ended = leader("ended");
    pool.push(ended.clone());
    let mut monitor = monitor();
    for healthy in &pool[..HEALTHY_LEADERS] {
        for _ in 0..10 {
            monitor.record_sent(&healthy.incarnation, None, 0, Millis::ZERO);
        }
    }
    let mut attempts = 0;
    let mut given_up_at: Vec<Millis> = Vec::new();
    for now in (0..OUTAGE.0).step_by(REQUEST_PERIOD as usize).map(Millis) {
        for healthy in &pool[..HEALTHY_LEADERS] {
            monitor.record_progress(&healthy.incarnation, now);
        }
        given_up_at.retain(|at| {
            if *at <= now {
                monitor.record_stall(&ended.incarnation, now);
                monitor.record_ended(&ended.incarnation, false, 0);
            }
            *at > now
        });
        if !selects(&monitor, &pool, &ended, now) {
            continue;
        }
        attempts += 1;
        match ended_leader {
            EndedLeader::Misdirects => monitor.record_misdirection(&ended.incarnation, now),
            EndedLeader::Silent(patience) => {
                monitor.record_sent(&ended.incarnation, None, 0, now);
                given_up_at.push(now + patience);
            }
        }
    }
    attempts
}

/// Guards against requests that each VM goes on losing at a leader that has ended.
#[test]
fn an_ended_leader_is_not_tried_every_two_seconds_for_as_long_as_it_is_listed() {
    let cases = [
        OutageCase {
            name: "leads no group",
            ended: EndedLeader::Misdirects,
            max_attempts: 1,
        },
        OutageCase {
            name: "crashed",
            ended: EndedLeader::Silent(Millis(150)),
            max_attempts: 24,
        },
    ];
    for case in cases {
        let attempts = attempts_at_ended_leader(case.ended);
        println!("{}: {attempts} attempts", case.name);
        assert!((1..=case.max_attempts).contains(&attempts), "{}", case.name);
    }
}

/// Guards against an avoidance that outlasts the leader's return: it is used again as soon as the
/// directory shows another group, or data is received from it.
#[test]
fn a_leader_of_another_group_is_used_at_once() {
    let pool = [leader("leader")];
    let mut monitor = monitor();
    let at = |millis: u64| Millis(1_000 + millis);
    monitor.record_misdirection(&pool[0].incarnation, at(0));
    assert!(monitor.load(&pool[0].incarnation).is_avoided(at(9_000)));
    monitor.record_group_change(&pool[0].incarnation);
    assert!(!monitor.load(&pool[0].incarnation).is_avoided(at(9_000)));
    assert!(selects(&monitor, &pool, &pool[0], at(9_000)));
}

/// Guards against an avoidance that grows although the leader made progress between two stalls.
#[test]
fn progress_between_stalls_ends_the_doubling() {
    let incarnation = UpstreamIncarnation::new(UpstreamId::new("leader"), None);
    let mut monitor = monitor();
    monitor.record_stall(&incarnation, Millis(1_000));
    monitor.record_stall(&incarnation, Millis(3_000));
    assert!(monitor.load(&incarnation).is_avoided(Millis(6_900)));
    monitor.record_progress(&incarnation, Millis(7_000));
    monitor.record_stall(&incarnation, Millis(7_100));
    assert!(!monitor.load(&incarnation).is_avoided(Millis(9_200)));
}
