//! Selection of the leader for a request.

use bergamot_feed::PeerDescriptor;
use bergamot_ports::EngineSpeed;
use bergamot_routing::{
    RouteUpstream, StallVerdict, UpstreamChoice, UpstreamCriteria, UpstreamMonitor,
};
use bergamot_types::prelude::*;

const NOW: Millis = Millis(10_000);
const SLOTS: u32 = 26;

fn incarnation(name: &str) -> UpstreamIncarnation {
    UpstreamIncarnation::new(UpstreamId::new(name), None)
}

fn leader(name: &str, domain: &str) -> RouteUpstream {
    RouteUpstream {
        incarnation: incarnation(name),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new(domain),
        slots: SLOTS,
        group: Some(GroupId::new(name)),
        speed: Some(EngineSpeed {
            step_ms: 6.0,
            step_ms_per_request: 0.04,
            steps_per_pass: 7,
            tokens_per_ms: 50.0,
        }),
    }
}

/// Creates the monitor of the only entry VM.
fn monitor() -> UpstreamMonitor {
    let own = PeerDescriptor {
        vm: "vm-1".to_owned(),
        failure_domain: FailureDomain::new("east"),
        millicores: 250,
    };
    let mut monitor = UpstreamMonitor::new(own.clone());
    monitor.occupancy.set_peers([own]);
    monitor
}

/// Load or fault of one leader.
struct LeaderState {
    name: &'static str,
    domain: &'static str,
    running: u32,
    /// Prompt tokens of one more request, whose answer has not begun.
    unread_tokens: u32,
    is_stalled: bool,
}

const fn running(name: &'static str, domain: &'static str, running: u32) -> LeaderState {
    LeaderState {
        name,
        domain,
        running,
        unread_tokens: 0,
        is_stalled: false,
    }
}

struct ChoiceCase {
    name: &'static str,
    leaders: Vec<LeaderState>,
    has_begun_elsewhere: bool,
    /// Leaders to which an idle connection exists.
    idle: &'static [&'static str],
    /// Leaders selected for at least one random number; none if all are full.
    selected: &'static [&'static str],
}

#[test]
fn a_request_is_sent_to_a_leader_that_can_be_in_time() {
    let stalled = |name| LeaderState {
        is_stalled: true,
        ..running(name, "east", 0)
    };
    let reading = |name, unread_tokens| LeaderState {
        unread_tokens,
        ..running(name, "east", 3)
    };
    let cases = [
        ChoiceCase {
            name: "less loaded of two leaders",
            leaders: vec![running("a", "east", 9), running("b", "east", 3)],
            has_begun_elsewhere: false,
            idle: &[],
            selected: &["b"],
        },
        ChoiceCase {
            name: "near one of two equally loaded leaders",
            leaders: vec![running("a", "west", 3), running("b", "east", 3)],
            has_begun_elsewhere: false,
            idle: &[],
            selected: &["b"],
        },
        ChoiceCase {
            name: "leader with fewer unread tokens",
            leaders: vec![reading("a", 6_000), reading("b", 300)],
            has_begun_elsewhere: false,
            idle: &[],
            selected: &["b"],
        },
        ChoiceCase {
            name: "no leader that reads for longer than the objective",
            leaders: vec![reading("a", 12_000)],
            has_begun_elsewhere: false,
            idle: &[],
            selected: &[],
        },
        ChoiceCase {
            name: "no leader without a free slot",
            leaders: vec![running("a", "east", SLOTS), running("b", "east", SLOTS)],
            has_begun_elsewhere: false,
            idle: &[],
            selected: &[],
        },
        ChoiceCase {
            name: "lightly loaded leader when the sampled ones are full",
            leaders: vec![
                running("a", "east", SLOTS),
                running("b", "east", SLOTS),
                running("c", "east", SLOTS),
                running("d", "west", 2),
            ],
            has_begun_elsewhere: false,
            idle: &[],
            selected: &["d"],
        },
        ChoiceCase {
            name: "stalled leader is avoided while there are others, even full ones",
            leaders: vec![running("a", "east", SLOTS), stalled("b")],
            has_begun_elsewhere: false,
            idle: &[],
            selected: &[],
        },
        ChoiceCase {
            name: "stalled leaders are used when there are no others",
            leaders: vec![stalled("a"), stalled("b")],
            has_begun_elsewhere: false,
            idle: &[],
            selected: &["a", "b"],
        },
        ChoiceCase {
            name: "leader with an idle connection",
            leaders: vec![
                running("a", "east", 3),
                running("b", "east", 3),
                running("c", "east", 3),
                running("d", "west", 3),
            ],
            has_begun_elsewhere: false,
            idle: &["b"],
            selected: &["b"],
        },
        ChoiceCase {
            name: "no leader with an idle connection that is much busier",
            leaders: vec![running("a", "east", 3), running("b", "east", 9)],
            has_begun_elsewhere: false,
            idle: &["b"],
            selected: &["a"],
        },
        ChoiceCase {
            name: "another leader when those with idle connections are full",
            leaders: vec![
                running("a", "east", SLOTS),
                running("b", "east", SLOTS),
                running("c", "east", 20),
            ],
            has_begun_elsewhere: false,
            idle: &["a", "b"],
            selected: &["c"],
        },
        ChoiceCase {
            name: "full leader for a request that has begun elsewhere",
            leaders: vec![running("a", "east", SLOTS), stalled("b")],
            has_begun_elsewhere: true,
            idle: &[],
            selected: &["a"],
        },
    ];
    for case in cases {
        let mut monitor = monitor();
        let mut pool = Vec::new();
        for state in &case.leaders {
            let leader = leader(state.name, state.domain);
            for _ in 0..state.running {
                monitor.record_sent(&leader.incarnation, None, 100, NOW);
                monitor.record_answer_begun(&leader.incarnation, 100);
            }
            if state.unread_tokens > 0 {
                monitor.record_sent(&leader.incarnation, None, state.unread_tokens, NOW);
            }
            if state.is_stalled {
                monitor.record_stall(&leader.incarnation, NOW);
            }
            pool.push(leader);
        }
        let mut selected: Vec<String> = Vec::new();
        for seed in 0..200 {
            let idle: Vec<_> = case.idle.iter().map(|name| incarnation(name)).collect();
            let criteria = UpstreamCriteria {
                priority: 0,
                idle_connections: &idle,
                home: &FailureDomain::new("east"),
                tried: &[],
                allowed_domains: None,
                has_begun_elsewhere: case.has_begun_elsewhere,
                must_be_sound: false,
                prompt_tokens: 1_000,
                objective: Millis(300),
                random: hash_bytes(&[seed]),
                isolation_index: None,
            };
            if let UpstreamChoice::Chosen(upstream) = monitor.choose(&pool, &criteria, NOW) {
                selected.push(upstream.incarnation.to_string());
            }
        }
        selected.sort();
        selected.dedup();
        assert_eq!(selected, case.selected, "{}", case.name);
    }
}

/// Criteria of a short request without special properties.
fn short_criteria(home: &FailureDomain) -> UpstreamCriteria<'_> {
    UpstreamCriteria {
        priority: 0,
        home,
        tried: &[],
        allowed_domains: None,
        idle_connections: &[],
        has_begun_elsewhere: false,
        must_be_sound: false,
        prompt_tokens: 100,
        objective: Millis(300),
        random: 3,
        isolation_index: None,
    }
}

/// Progress of connections, and whether their upstream is avoided 0.1 s after the first began.
struct ConnectCase {
    name: &'static str,
    /// Number of connections that began, and of those that ended.
    started: u32,
    finished: u32,
    is_avoided: bool,
}

#[test]
fn an_upstream_is_not_avoided_after_its_slow_connection_attempts_ended() {
    let cases = [
        ConnectCase {
            name: "no connection",
            started: 0,
            finished: 0,
            is_avoided: false,
        },
        ConnectCase {
            name: "one pending connection",
            started: 1,
            finished: 0,
            is_avoided: true,
        },
        ConnectCase {
            name: "the only caller has left",
            started: 1,
            finished: 1,
            is_avoided: false,
        },
        ConnectCase {
            name: "one of two callers has left",
            started: 2,
            finished: 1,
            is_avoided: true,
        },
    ];
    for case in cases {
        let mut monitor = monitor();
        let pool = [leader("a", "east"), leader("b", "east")];
        // Makes leader `b` the second choice, so that it is selected only if `a` is avoided.
        monitor.record_sent(&pool[1].incarnation, None, 100, NOW);
        for _ in 0..case.started {
            monitor.record_connecting(&pool[0].incarnation, NOW);
        }
        for _ in 0..case.finished {
            monitor.record_connect_finished(&pool[0].incarnation);
        }
        let east = FailureDomain::new("east");
        let choice = monitor.choose(&pool, &short_criteria(&east), NOW + Millis(100));
        let expected = &pool[usize::from(case.is_avoided)];
        assert_eq!(choice, UpstreamChoice::Chosen(expected), "{}", case.name);
    }
}

struct StallCase {
    name: &'static str,
    /// The verdict of another VM on leader `a`.
    verdict: StallVerdict,
    /// Whether a stream from the leader has begun.
    has_begun: bool,
    /// Whether the coordinator is informed at once, again within a moment, and later.
    for_coordinator: [bool; 3],
    /// The leader that this VM selects for its next request.
    selected: &'static str,
}

/// Guards against all VMs avoiding a leader that is only suspected. Three of five such leaders
/// recover, and the callers of all VMs would overload the others in the meantime.
#[test]
fn all_vms_avoid_a_leader_only_once_its_streams_are_stalled() {
    let cases = [
        StallCase {
            name: "gap longer than normal",
            verdict: StallVerdict::Suspected,
            has_begun: true,
            for_coordinator: [true, false, true],
            selected: "a",
        },
        StallCase {
            name: "streams are very likely stalled",
            verdict: StallVerdict::Stalled,
            has_begun: true,
            for_coordinator: [true, false, true],
            selected: "b",
        },
        StallCase {
            name: "streams move to other upstreams",
            verdict: StallVerdict::Still,
            has_begun: true,
            for_coordinator: [true, false, true],
            selected: "b",
        },
        StallCase {
            name: "only a first event is due",
            verdict: StallVerdict::Still,
            has_begun: false,
            for_coordinator: [false; 3],
            selected: "a",
        },
    ];
    for case in cases {
        let (mut other, mut own) = (monitor(), monitor());
        let pool = [leader("a", "east"), leader("b", "east")];
        let incarnation = &pool[0].incarnation;
        other.record_sent(incarnation, None, 100, NOW);
        if case.has_begun {
            other.record_answer_begun(incarnation, 100);
        }
        // Makes leader `b` the second choice, so that it is selected only if `a` is avoided.
        own.record_sent(&pool[1].incarnation, None, 100, NOW);
        let first = other.record_stall_verdict(incarnation, case.verdict, 7, NOW);
        let again = other.record_stall_verdict(incarnation, case.verdict, 7, NOW + Millis(40));
        let later = other.record_stall_verdict(incarnation, case.verdict, 7, NOW + Millis(400));
        let for_coordinator = [first, again, later].map(|recipients| recipients.is_for_coordinator);
        assert_eq!(for_coordinator, case.for_coordinator, "{}", case.name);
        if let Some(notice) = first.for_vms {
            own.record_stall_notice(notice, NOW);
        }
        let east = FailureDomain::new("east");
        let criteria = short_criteria(&east);
        let UpstreamChoice::Chosen(selected) = own.choose(&pool, &criteria, NOW + Millis(40))
        else {
            panic!("{}: no upstream was selected", case.name);
        };
        assert_eq!(
            selected.incarnation,
            self::incarnation(case.selected),
            "{}",
            case.name
        );
    }
}
