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

struct SilenceCase {
    name: &'static str,
    /// Upstreams that send nothing although a request waits there.
    silent: &'static [&'static str],
    /// Upstreams whose streams were judged as stalled and where nothing waits any more.
    left: &'static [&'static str],
    /// Of the silent ones, those that send data at the end.
    recovered: &'static [&'static str],
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
            has_sound: true,
            are_mostly_silent: false,
        },
        SilenceCase {
            name: "one of three is silent",
            silent: &["a"],
            left: &[],
            recovered: &[],
            has_sound: true,
            are_mostly_silent: false,
        },
        SilenceCase {
            name: "two of three are silent",
            silent: &["a", "b"],
            left: &[],
            recovered: &[],
            has_sound: true,
            are_mostly_silent: true,
        },
        SilenceCase {
            name: "all are silent",
            silent: &["a", "b", "c"],
            left: &[],
            recovered: &[],
            has_sound: false,
            are_mostly_silent: true,
        },
        SilenceCase {
            name: "all were judged as stalled, and nothing waits there",
            silent: &[],
            left: &["a", "b", "c"],
            recovered: &[],
            has_sound: false,
            are_mostly_silent: true,
        },
        SilenceCase {
            name: "all were silent, and two have sent data since",
            silent: &["a"],
            left: &["b", "c"],
            recovered: &["b", "c"],
            has_sound: true,
            are_mostly_silent: false,
        },
    ];
    let pool = ["a", "b", "c"].map(upstream);
    let home = FailureDomain::new(HOME);
    for case in &cases {
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
        let criteria = UpstreamCriteria {
            priority: 0,
            home: &home,
            tried: &[],
            allowed_domains: None,
            idle_connections: &[],
            has_begun_elsewhere: true,
            must_be_sound: true,
            prompt_tokens: 100,
            objective: Millis(250),
            random: 7,
            isolation_index: None,
        };
        let choice = monitor.choose(&pool, &criteria, SILENT_AT);
        let has_sound = matches!(choice, UpstreamChoice::Chosen(_));
        assert_eq!(has_sound, case.has_sound, "{}: {choice:?}", case.name);
        let are_mostly_silent = monitor.are_mostly_silent(&pool, SILENT_AT);
        assert_eq!(are_mostly_silent, case.are_mostly_silent, "{}", case.name);
    }
}
