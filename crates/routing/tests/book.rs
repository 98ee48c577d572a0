//! Which leader a request is sent to.

use bergamot_feed::PeerDescriptor;
use bergamot_ports::EngineSpeed;
use bergamot_routing::{RouteUpstream, SilenceVerdict, UpstreamAsk, UpstreamBook, UpstreamChoice};
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

/// A book of the only entry VM.
fn book() -> UpstreamBook {
    let place = PeerDescriptor {
        vm: "vm-1".to_owned(),
        failure_domain: FailureDomain::new("east"),
        millicores: 250,
    };
    let mut book = UpstreamBook::new(place.clone());
    book.occupancy.set_peers([place]);
    book
}

/// What one leader has to do, or what is wrong with it.
struct LeaderState {
    name: &'static str,
    domain: &'static str,
    running: u32,
    /// Prompt tokens of one more request, whose answer has not begun.
    unread: u32,
    is_quiet: bool,
}

const fn running(name: &'static str, domain: &'static str, running: u32) -> LeaderState {
    LeaderState {
        name,
        domain,
        running,
        unread: 0,
        is_quiet: false,
    }
}

struct ChoiceCase {
    name: &'static str,
    leaders: Vec<LeaderState>,
    must_go_on: bool,
    /// Those that a connection is open to.
    idle: &'static [&'static str],
    /// Those that are chosen by some draw; none where all are full.
    chosen: &'static [&'static str],
}

#[test]
fn a_request_goes_where_it_can_be_in_time() {
    let quiet = |name| LeaderState {
        is_quiet: true,
        ..running(name, "east", 0)
    };
    let reading = |name, unread| LeaderState {
        unread,
        ..running(name, "east", 3)
    };
    let cases = [
        ChoiceCase {
            name: "the less busy of two",
            leaders: vec![running("a", "east", 9), running("b", "east", 3)],
            must_go_on: false,
            idle: &[],
            chosen: &["b"],
        },
        ChoiceCase {
            name: "the near one of two that are as busy",
            leaders: vec![running("a", "west", 3), running("b", "east", 3)],
            must_go_on: false,
            idle: &[],
            chosen: &["b"],
        },
        ChoiceCase {
            name: "the one that reads less",
            leaders: vec![reading("a", 6_000), reading("b", 300)],
            must_go_on: false,
            idle: &[],
            chosen: &["b"],
        },
        ChoiceCase {
            name: "none that reads for longer than the objective",
            leaders: vec![reading("a", 12_000)],
            must_go_on: false,
            idle: &[],
            chosen: &[],
        },
        ChoiceCase {
            name: "none without a slot",
            leaders: vec![running("a", "east", SLOTS), running("b", "east", SLOTS)],
            must_go_on: false,
            idle: &[],
            chosen: &[],
        },
        ChoiceCase {
            name: "one that is idle where the drawn ones are full",
            leaders: vec![
                running("a", "east", SLOTS),
                running("b", "east", SLOTS),
                running("c", "east", SLOTS),
                running("d", "west", 2),
            ],
            must_go_on: false,
            idle: &[],
            chosen: &["d"],
        },
        ChoiceCase {
            name: "a silent one is left alone while there are others, full or not",
            leaders: vec![running("a", "east", SLOTS), quiet("b")],
            must_go_on: false,
            idle: &[],
            chosen: &[],
        },
        ChoiceCase {
            name: "and tried where there are no others",
            leaders: vec![quiet("a"), quiet("b")],
            must_go_on: false,
            idle: &[],
            chosen: &["a", "b"],
        },
        ChoiceCase {
            name: "one that a connection is open to",
            leaders: vec![
                running("a", "east", 3),
                running("b", "east", 3),
                running("c", "east", 3),
                running("d", "west", 3),
            ],
            must_go_on: false,
            idle: &["b"],
            chosen: &["b"],
        },
        ChoiceCase {
            name: "not while it is much busier",
            leaders: vec![running("a", "east", 3), running("b", "east", 9)],
            must_go_on: false,
            idle: &["b"],
            chosen: &["a"],
        },
        ChoiceCase {
            name: "another where those are full",
            leaders: vec![
                running("a", "east", SLOTS),
                running("b", "east", SLOTS),
                running("c", "east", 20),
            ],
            must_go_on: false,
            idle: &["a", "b"],
            chosen: &["c"],
        },
        ChoiceCase {
            name: "what was begun elsewhere goes on at a full one",
            leaders: vec![running("a", "east", SLOTS), quiet("b")],
            must_go_on: true,
            idle: &[],
            chosen: &["a"],
        },
    ];
    for case in cases {
        let mut book = book();
        let mut pool = Vec::new();
        for state in &case.leaders {
            let leader = leader(state.name, state.domain);
            for _ in 0..state.running {
                book.note_sent(&leader.incarnation, None, 100, NOW);
                book.note_begun(&leader.incarnation, 100);
            }
            if state.unread > 0 {
                book.note_sent(&leader.incarnation, None, state.unread, NOW);
            }
            if state.is_quiet {
                book.note_quiet(&leader.incarnation, NOW);
            }
            pool.push(leader);
        }
        let mut chosen: Vec<String> = Vec::new();
        for draw in 0..200 {
            let idle: Vec<_> = case.idle.iter().map(|name| incarnation(name)).collect();
            let ask = UpstreamAsk {
                priority: 0,
                idle: &idle,
                home: &FailureDomain::new("east"),
                tried: &[],
                must_go_on: case.must_go_on,
                prompt: 1_000,
                objective: Millis(300),
                draw: hash_bytes(&[draw]),
                apart: None,
            };
            if let UpstreamChoice::Chosen(upstream) = book.choose(&pool, &ask, NOW) {
                chosen.push(upstream.incarnation.to_string());
            }
        }
        chosen.sort();
        chosen.dedup();
        assert_eq!(chosen, case.chosen, "{}", case.name);
    }
}

/// A short request with nothing special about it.
fn short_ask(home: &FailureDomain) -> UpstreamAsk<'_> {
    UpstreamAsk {
        priority: 0,
        home,
        tried: &[],
        idle: &[],
        must_go_on: false,
        prompt: 100,
        objective: Millis(300),
        draw: 3,
        apart: None,
    }
}

/// What becomes of a connection, and whether its upstream is left alone 0.1 s after it began.
struct ConnectCase {
    name: &'static str,
    /// Connections that are being set up, and those that have ended.
    begun: u32,
    ended: u32,
    is_avoided: bool,
}

#[test]
fn an_upstream_is_left_alone_only_while_connections_to_it_are_slow() {
    let cases = [
        ConnectCase {
            name: "none",
            begun: 0,
            ended: 0,
            is_avoided: false,
        },
        ConnectCase {
            name: "it is on its way",
            begun: 1,
            ended: 0,
            is_avoided: true,
        },
        ConnectCase {
            name: "its caller has left meanwhile",
            begun: 1,
            ended: 1,
            is_avoided: false,
        },
        ConnectCase {
            name: "one of two callers has",
            begun: 2,
            ended: 1,
            is_avoided: true,
        },
    ];
    for case in cases {
        let mut book = book();
        let pool = [leader("a", "east"), leader("b", "east")];
        // So that the other one is taken only if this one is left alone.
        book.note_sent(&pool[1].incarnation, None, 100, NOW);
        for _ in 0..case.begun {
            book.note_connecting(&pool[0].incarnation, NOW);
        }
        for _ in 0..case.ended {
            book.note_connect_ended(&pool[0].incarnation);
        }
        let east = FailureDomain::new("east");
        let choice = book.choose(&pool, &short_ask(&east), NOW + Millis(100));
        let chosen = &pool[usize::from(case.is_avoided)];
        assert_eq!(choice, UpstreamChoice::Chosen(chosen), "{}", case.name);
    }
}

struct NewsCase {
    name: &'static str,
    /// What another VM finds the silence of leader `a` to mean.
    verdict: SilenceVerdict,
    /// Whether a stream from there has begun.
    has_begun: bool,
    /// Whether the coordinator hears of it at once, again within a moment, and later.
    for_coordinator: [bool; 3],
    /// Where this VM sends its next request.
    chosen: &'static str,
}

/// A leader that is only suspected goes on in three cases of five; callers of all VMs would crowd the others meanwhile.
#[test]
fn a_leader_is_left_alone_by_all_vms_once_its_streams_stand_still() {
    let cases = [
        NewsCase {
            name: "its pause is longer than usual",
            verdict: SilenceVerdict::Suspected,
            has_begun: true,
            for_coordinator: [true, false, true],
            chosen: "a",
        },
        NewsCase {
            name: "its streams stand still by all appearances",
            verdict: SilenceVerdict::Stalled,
            has_begun: true,
            for_coordinator: [true, false, true],
            chosen: "b",
        },
        NewsCase {
            name: "they go on elsewhere",
            verdict: SilenceVerdict::Still,
            has_begun: true,
            for_coordinator: [true, false, true],
            chosen: "b",
        },
        NewsCase {
            name: "only a first event is due",
            verdict: SilenceVerdict::Still,
            has_begun: false,
            for_coordinator: [false; 3],
            chosen: "a",
        },
    ];
    for case in cases {
        let (mut other, mut own) = (book(), book());
        let pool = [leader("a", "east"), leader("b", "east")];
        let incarnation = &pool[0].incarnation;
        other.note_sent(incarnation, None, 100, NOW);
        if case.has_begun {
            other.note_begun(incarnation, 100);
        }
        // So that the other one is taken only if this one is left alone.
        own.note_sent(&pool[1].incarnation, None, 100, NOW);
        let news = other.note_silence(incarnation, case.verdict, 7, NOW);
        let again = other.note_silence(incarnation, case.verdict, 7, NOW + Millis(40));
        let later = other.note_silence(incarnation, case.verdict, 7, NOW + Millis(400));
        let for_coordinator = [news, again, later].map(|it| it.is_for_coordinator);
        assert_eq!(for_coordinator, case.for_coordinator, "{}", case.name);
        if let Some(told) = news.for_vms {
            own.note_told(told, NOW);
        }
        let east = FailureDomain::new("east");
        let ask = short_ask(&east);
        let UpstreamChoice::Chosen(chosen) = own.choose(&pool, &ask, NOW + Millis(40)) else {
            panic!("{}: none is chosen", case.name);
        };
        assert_eq!(
            chosen.incarnation,
            self::incarnation(case.chosen),
            "{}",
            case.name
        );
    }
}
