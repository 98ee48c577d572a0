//! What follows from the silence of upstreams, and from its end.

use bergamot_feed::PeerDescriptor;
use bergamot_routing::{
    RouteUpstream, StallVerdict, UpstreamChoice, UpstreamCriteria, UpstreamMonitor,
};
use bergamot_types::prelude::*;

const HOME: &str = "east";
const SENT_AT: Millis = Millis(1_000);
/// After a silence that is longer than any that is tolerated.
const SILENT_AT: Millis = Millis(2_000);

fn upstream(name: &str) -> RouteUpstream {
    RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new(name), None),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new(HOME),
        slots: 8,
        group: Some(GroupId::new(name)),
        speed: None,
    }
}

fn monitor() -> UpstreamMonitor {
    UpstreamMonitor::new(PeerDescriptor {
        vm: "vm-1".to_owned(),
        failure_domain: FailureDomain::new(HOME),
        millicores: 120,
    })
}

/// Returns the criteria of a request that is at work at another upstream.
fn criteria(home: &FailureDomain) -> UpstreamCriteria<'_> {
    UpstreamCriteria {
        priority: 0,
        home,
        tried: &[],
        allowed_domains: None,
        idle_connections: &[],
        has_begun_elsewhere: true,
        must_be_sound: true,
        prompt_tokens: 100,
        objective: Millis(250),
        random: 7,
        isolation_index: None,
    }
}

struct SilenceCase {
    name: &'static str,
    /// Upstreams that send nothing although a request waits there.
    silent: &'static [&'static str],
    /// Upstreams whose streams were judged as stalled and where nothing waits any more.
    left: &'static [&'static str],
    /// Those that send data at the end.
    recovered: &'static [&'static str],
    /// Number of further upstreams, from which nothing is awaited.
    others: usize,
    /// Whether a request that is at work elsewhere finds an upstream.
    has_sound: bool,
    are_mostly_silent: bool,
}

/// Guards against requests that move from one silent upstream to another, and against upstreams that
/// stay avoided after their silence is over.
#[test]
fn silence_counts_until_data_arrives() {
    let cases = [
        SilenceCase {
            name: "no upstream is silent",
            silent: &[],
            left: &[],
            recovered: &[],
            others: 0,
            has_sound: true,
            are_mostly_silent: false,
        },
        SilenceCase {
            name: "one of three is silent",
            silent: &["a"],
            left: &[],
            recovered: &[],
            others: 0,
            has_sound: true,
            are_mostly_silent: false,
        },
        SilenceCase {
            name: "two of three are silent",
            silent: &["a", "b"],
            left: &[],
            recovered: &[],
            others: 0,
            has_sound: true,
            are_mostly_silent: true,
        },
        SilenceCase {
            name: "all are silent",
            silent: &["a", "b", "c"],
            left: &[],
            recovered: &[],
            others: 0,
            has_sound: false,
            are_mostly_silent: true,
        },
        SilenceCase {
            name: "all were judged as stalled, and nothing waits there",
            silent: &[],
            left: &["a", "b", "c"],
            recovered: &[],
            others: 0,
            has_sound: false,
            are_mostly_silent: true,
        },
        SilenceCase {
            name: "two of many are silent, and nothing is awaited from the others",
            silent: &["a", "b"],
            left: &[],
            recovered: &[],
            others: 9,
            has_sound: true,
            are_mostly_silent: true,
        },
        SilenceCase {
            name: "two of many are silent, and three deliver",
            silent: &["a", "b"],
            left: &[],
            recovered: &["c", "o0", "o1"],
            others: 9,
            has_sound: true,
            are_mostly_silent: false,
        },
        SilenceCase {
            name: "all were silent, and two have sent data since",
            silent: &["a"],
            left: &["b", "c"],
            recovered: &["b", "c"],
            others: 0,
            has_sound: true,
            are_mostly_silent: false,
        },
    ];
    let home = FailureDomain::new(HOME);
    for case in &cases {
        let mut pool: Vec<RouteUpstream> = ["a", "b", "c"].map(upstream).into();
        pool.extend((0..case.others).map(|number| upstream(&format!("o{number}"))));
        let mut monitor = monitor();
        for name in case.silent.iter().chain(case.left) {
            let incarnation = upstream(name).incarnation;
            monitor.record_sent(&incarnation, None, 100, SENT_AT);
            monitor.record_answer_begun(&incarnation, 100);
            monitor.record_progress(&incarnation, SENT_AT);
            let verdict = StallVerdict::Still;
            monitor.record_stall_verdict(&incarnation, verdict, 1, SILENT_AT);
        }
        for name in case.left {
            monitor.record_ended(&upstream(name).incarnation, true, 100);
        }
        for name in case.recovered {
            monitor.record_progress(&upstream(name).incarnation, SILENT_AT);
        }
        let choice = monitor.choose(&pool, &criteria(&home), SILENT_AT);
        let has_sound = matches!(choice, UpstreamChoice::Chosen(_));
        assert_eq!(has_sound, case.has_sound, "{}: {choice:?}", case.name);
        let are_mostly_silent = monitor.are_mostly_silent(&pool, SILENT_AT);
        assert_eq!(are_mostly_silent, case.are_mostly_silent, "{}", case.name);
    }
}

/// Why requests took longer than their objective.
#[derive(Clone, Copy)]
enum DelayCause {
    /// Nothing arrived from the upstream for a second.
    Silence,
    /// It was at work on others.
    Load,
    /// It was full, and has answered since.
    Refusals,
}

struct LimitCase {
    name: &'static str,
    is_leader: bool,
    cause: DelayCause,
    /// Whether as many requests fit as before.
    is_limit_kept: bool,
}

fn count_fitting(monitor: &mut UpstreamMonitor, upstream: &RouteUpstream) -> u32 {
    let home = FailureDomain::new(HOME);
    let criteria = UpstreamCriteria {
        must_be_sound: false,
        has_begun_elsewhere: false,
        ..criteria(&home)
    };
    let pool = std::slice::from_ref(upstream);
    let mut count = 0;
    while count < upstream.slots
        && matches!(
            monitor.choose(pool, &criteria, SILENT_AT),
            UpstreamChoice::Chosen(_)
        )
    {
        monitor.record_sent(&upstream.incarnation, None, 1, SILENT_AT);
        count += 1;
    }
    count
}

fn delay_requests(monitor: &mut UpstreamMonitor, upstream: &RouteUpstream, cause: DelayCause) {
    const REQUESTS: u32 = 5;
    let incarnation = &upstream.incarnation;
    (0..REQUESTS).for_each(|_| monitor.record_sent(incarnation, None, 1, SENT_AT));
    monitor.record_answer_begun(incarnation, 1);
    monitor.record_progress(incarnation, SENT_AT);
    match cause {
        DelayCause::Silence => {}
        DelayCause::Load => {
            for at in (SENT_AT.0..SILENT_AT.0).step_by(100) {
                monitor.record_progress(incarnation, Millis(at));
            }
        }
        DelayCause::Refusals => (0..REQUESTS).for_each(|_| monitor.lower_limit(upstream)),
    }
    monitor.record_progress(incarnation, SILENT_AT);
    for number in 0..REQUESTS {
        let latency = SILENT_AT.since(SENT_AT);
        if !matches!(cause, DelayCause::Refusals) {
            monitor.record_first_event(upstream, latency, Millis(250), SILENT_AT);
        }
        monitor.record_success(upstream);
        monitor.record_ended(incarnation, number == 0, 1);
    }
}

/// Guards against upstreams that get too few requests for good after a silence or after refusals.
#[test]
fn limits_are_lowered_by_load_alone_and_rise_again() {
    let case = |name, is_leader, cause, is_limit_kept| LimitCase {
        name,
        is_leader,
        cause,
        is_limit_kept,
    };
    let cases = [
        case("a silent leader", true, DelayCause::Silence, true),
        case("a silent plain service", false, DelayCause::Silence, true),
        case("a loaded leader", true, DelayCause::Load, false),
        case(
            "a plain service that refused",
            false,
            DelayCause::Refusals,
            false,
        ),
    ];
    for case in cases {
        let mut monitor = monitor();
        let upstream = RouteUpstream {
            group: case.is_leader.then(|| GroupId::new("g")),
            ..upstream("a")
        };
        delay_requests(&mut monitor, &upstream, case.cause);
        let fitting = count_fitting(&mut monitor, &upstream);
        let is_kept = fitting == upstream.slots;
        assert_eq!(is_kept, case.is_limit_kept, "{}: {fitting}", case.name);
        if case.is_leader {
            continue;
        }
        for _ in 0..fitting {
            monitor.record_ended(&upstream.incarnation, false, 1);
        }
        (0..100).for_each(|_| monitor.record_success(&upstream));
        let fitting = count_fitting(&mut monitor, &upstream);
        assert_eq!(fitting, upstream.slots, "{}", case.name);
    }
}
