//! Partitions of an entry VM from all upstreams are told apart from failures of the upstreams.

use bergamot_routing::{
    PROBED_UPSTREAMS, PartitionAction, PartitionEvent, PartitionState, RouteUpstream, draw_probes,
};
use bergamot_types::prelude::*;

/// Number of failure domains; neighbouring upstreams are in different ones.
const DOMAINS: usize = 3;

fn upstream(number: usize) -> RouteUpstream {
    RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new(&format!("e{number}")), None),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new(&format!("d{}", number % DOMAINS)),
        slots: 1,
        group: None,
        speed: None,
    }
}

/// Late enough that no event is recent at time zero, which stands for never.
const START: Millis = Millis(10_000);
/// When connections were opened that existed before the first event, from [`START`].
const OLD: u64 = 0;

#[derive(Clone, Copy)]
enum Step {
    Failed(usize),
    Silent(usize),
    /// Data on a connection that was opened at this time.
    Received(u64),
    ProbesEnded(usize),
    /// A round of three probes, of which so many were accepted and not answered.
    Unanswered(usize),
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Outcome {
    Reaching,
    Suspecting,
    Partitioned,
}

struct PartitionCase {
    name: &'static str,
    /// Times in milliseconds, and what is observed then.
    steps: &'static [(u64, Step)],
    /// Number of failure domains with upstreams.
    domains: usize,
    outcome: Outcome,
}

static CASES: [PartitionCase; 17] = [
    PartitionCase {
        name: "the probed upstreams have ended too, and others send data on older connections",
        steps: &[
            (1, Step::Failed(0)),
            (2, Step::Failed(1)),
            (3, Step::Received(OLD)),
            (4, Step::ProbesEnded(3)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Suspecting,
    },
    PartitionCase {
        name: "two upstreams of one failure domain ended",
        steps: &[(1, Step::Failed(0)), (2, Step::Failed(DOMAINS))],
        domains: DOMAINS,
        outcome: Outcome::Reaching,
    },
    PartitionCase {
        name: "two upstreams failed where there is only one failure domain",
        steps: &[(1, Step::Failed(0)), (2, Step::Failed(DOMAINS))],
        domains: 1,
        outcome: Outcome::Suspecting,
    },
    PartitionCase {
        name: "connections are accepted by something between that passes nothing on",
        steps: &[
            (1, Step::Silent(0)),
            (3, Step::Silent(1)),
            (250, Step::Unanswered(3)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Partitioned,
    },
    PartitionCase {
        name: "upstreams answer slowly and send data on older connections",
        steps: &[
            (1, Step::Failed(0)),
            (2, Step::Failed(1)),
            (200, Step::Received(OLD)),
            (250, Step::Unanswered(1)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Reaching,
    },
    PartitionCase {
        name: "connections fail at two upstreams and all probes",
        steps: &[
            (0, Step::Failed(0)),
            (150, Step::Failed(1)),
            (300, Step::ProbesEnded(3)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Partitioned,
    },
    PartitionCase {
        name: "requests at two upstreams are silent, and all probes fail",
        steps: &[
            (0, Step::Silent(0)),
            (10, Step::Silent(1)),
            (160, Step::ProbesEnded(3)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Partitioned,
    },
    PartitionCase {
        name: "old connections live on while new ones fail",
        steps: &[
            (1, Step::Failed(0)),
            (2, Step::Received(OLD)),
            (3, Step::Failed(1)),
            (4, Step::Received(OLD)),
            (5, Step::ProbesEnded(3)),
            (6, Step::Received(OLD)),
            (7, Step::ProbesEnded(3)),
            (8, Step::ProbesEnded(3)),
            (9, Step::Received(OLD)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Partitioned,
    },
    PartitionCase {
        name: "one upstream ended",
        steps: &[
            (0, Step::Failed(0)),
            (150, Step::Failed(0)),
            (300, Step::Failed(0)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Reaching,
    },
    PartitionCase {
        name: "upstreams ended long after each other",
        steps: &[(0, Step::Failed(0)), (1_200, Step::Failed(1))],
        domains: DOMAINS,
        outcome: Outcome::Reaching,
    },
    PartitionCase {
        name: "two upstreams ended, no probe is back yet",
        steps: &[(0, Step::Failed(0)), (1, Step::Failed(1))],
        domains: DOMAINS,
        outcome: Outcome::Suspecting,
    },
    PartitionCase {
        name: "two upstreams ended, a probe reaches a third",
        steps: &[
            (1, Step::Failed(0)),
            (2, Step::Failed(1)),
            (4, Step::Received(3)),
            (150, Step::ProbesEnded(3)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Reaching,
    },
    PartitionCase {
        name: "data on a new connection between the failures",
        steps: &[
            (1, Step::Failed(0)),
            (3, Step::Received(2)),
            (4, Step::Failed(1)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Reaching,
    },
    PartitionCase {
        name: "two upstreams are silent while others send",
        steps: &[
            (0, Step::Silent(0)),
            (1, Step::Received(OLD)),
            (2, Step::Silent(1)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Reaching,
    },
    PartitionCase {
        name: "no upstream is listed any more",
        steps: &[
            (0, Step::Failed(0)),
            (1, Step::Failed(1)),
            (2, Step::ProbesEnded(0)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Reaching,
    },
    PartitionCase {
        name: "failures right after a suspicion that was refuted",
        steps: &[
            (1, Step::Failed(0)),
            (2, Step::Failed(1)),
            (3, Step::Received(2)),
            (4, Step::Failed(0)),
            (5, Step::Failed(1)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Reaching,
    },
    PartitionCase {
        name: "a probe reaches an upstream again",
        steps: &[
            (1, Step::Failed(0)),
            (2, Step::Failed(1)),
            (3, Step::ProbesEnded(3)),
            (700, Step::Received(699)),
        ],
        domains: DOMAINS,
        outcome: Outcome::Reaching,
    },
];

fn case(name: &str) -> &'static PartitionCase {
    let mut cases = CASES.iter();
    cases
        .find(|case| case.name == name)
        .expect("the case exists")
}

fn play(case: &PartitionCase) -> (PartitionState, Vec<PartitionAction>) {
    let mut state = PartitionState::default();
    state.set_domains(case.domains);
    let mut actions = Vec::new();
    for (at, step) in case.steps {
        let named = upstream(match step {
            Step::Failed(number) | Step::Silent(number) => *number,
            _ => 0,
        });
        let event = match *step {
            Step::Failed(_) => PartitionEvent::Failed((&named).into()),
            Step::Silent(_) => PartitionEvent::Silent((&named).into()),
            Step::Received(opened_at) => PartitionEvent::Received {
                opened_at: START + Millis(opened_at),
            },
            Step::ProbesEnded(probed) => PartitionEvent::ProbesEnded {
                probed,
                unanswered: 0,
            },
            Step::Unanswered(unanswered) => PartitionEvent::ProbesEnded {
                probed: 3,
                unanswered,
            },
        };
        actions.extend(state.handle(START + Millis(*at), event));
    }
    (state, actions)
}

#[test]
fn only_failures_of_all_probes_are_a_partition() {
    for case in &CASES {
        let (state, actions) = play(case);
        let outcome = match (state.is_partitioned(), state.is_in_doubt()) {
            (true, _) => Outcome::Partitioned,
            (false, true) => Outcome::Suspecting,
            (false, false) => Outcome::Reaching,
        };
        assert_eq!(outcome, case.outcome, "{}: {actions:?}", case.name);
        let was_lost = actions
            .iter()
            .any(|action| matches!(action, PartitionAction::LogLost(_)));
        let is_regained = actions
            .iter()
            .any(|action| matches!(action, PartitionAction::LogRegained { .. }));
        assert_eq!(was_lost, is_regained || outcome == Outcome::Partitioned);
    }
}

#[test]
fn connections_from_before_a_partition_are_dead_until_data_arrives() {
    let live = case("old connections live on while new ones fail");
    assert!(!play(live).0.is_silent(), "{}", live.name);
    let dead = case("connections fail at two upstreams and all probes");
    assert!(play(dead).0.is_silent(), "{}", dead.name);
}

#[test]
fn probes_cover_as_many_failure_domains_as_possible() {
    struct DrawCase {
        /// Number of upstreams in each failure domain.
        sizes: &'static [usize],
        drawn: usize,
        domains: usize,
    }
    let cases = [
        DrawCase {
            sizes: &[40, 1, 9],
            drawn: PROBED_UPSTREAMS,
            domains: 3,
        },
        DrawCase {
            sizes: &[40, 1],
            drawn: PROBED_UPSTREAMS,
            domains: 2,
        },
        DrawCase {
            sizes: &[9, 9, 9, 9, 9],
            drawn: PROBED_UPSTREAMS,
            domains: 3,
        },
        DrawCase {
            sizes: &[1],
            drawn: 1,
            domains: 1,
        },
        DrawCase {
            sizes: &[],
            drawn: 0,
            domains: 0,
        },
    ];
    for case in &cases {
        for seed in 0..100 {
            let names = (0..case.sizes.len()).map(|index| FailureDomain::new(&format!("d{index}")));
            let names: Vec<_> = names.collect();
            let sized = names.iter().zip(case.sizes);
            let upstreams =
                sized.flat_map(|(name, size)| (0..*size).map(move |number| (name, (name, number))));
            let drawn = draw_probes(upstreams, |_| 0, seed);
            let unique: std::collections::BTreeSet<_> = drawn
                .iter()
                .map(|(name, number)| (name.as_str(), number))
                .collect();
            let domains: std::collections::BTreeSet<_> =
                drawn.iter().map(|(name, _)| name.as_str()).collect();
            assert_eq!(
                (unique.len(), domains.len()),
                (case.drawn, case.domains),
                "seed {seed}: {drawn:?}"
            );
        }
    }
}

/// Guards against a VM that is cut off from most failure domains and misses those that it reaches.
#[test]
fn probes_take_the_failure_domains_of_the_lowest_rank_first() {
    let names: Vec<_> = (0..9)
        .map(|index| FailureDomain::new(&format!("d{index}")))
        .collect();
    let rank_of = |domain: &FailureDomain| match domain.as_str() {
        "d4" => 0,
        "d0" | "d1" => 2,
        _ => 1,
    };
    for seed in 0..100 {
        let upstreams = names
            .iter()
            .flat_map(|name| (0..4).map(move |_| (name, name)));
        let drawn = draw_probes(upstreams, rank_of, seed);
        assert_eq!(drawn[0].as_str(), "d4", "seed {seed}");
        let is_suspect = drawn.iter().any(|domain| rank_of(domain) == 2);
        assert!(!is_suspect, "seed {seed}: {drawn:?}");
    }
}
