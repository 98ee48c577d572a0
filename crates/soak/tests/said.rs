//! What upstreams say in their answers is checked over all processes, and for each of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_site_standin::{AdvertisedState, ArrivedRequest};
use bergamot_soak::UpstreamArrivals;
use bergamot_soak::audit::{AuditBook, Trouble};
use bergamot_soak::caller::{CallEnd, CallRecord, DEADLINE, RequestKind};
use bergamot_soak::plan::FaultKind;
use bergamot_soak::site::{LASTING_KEY, UpstreamRole};

/// A request that reached an upstream.
#[derive(Clone, Copy)]
struct Arrival {
    /// When, in milliseconds.
    at: u64,
    /// From which process.
    entry: usize,
    /// Which run of the upstream.
    born: u64,
    /// Whether it was turned away with three seconds of rest.
    is_rested: bool,
}

struct SaidCase {
    name: &'static str,
    said: AdvertisedState,
    arrivals: Vec<Arrival>,
    trouble: Option<(FaultKind, u64, u64)>,
    found: Option<&'static str>,
}

const fn from(entry: usize, at: u64) -> Arrival {
    Arrival {
        at,
        entry,
        born: 1,
        is_rested: false,
    }
}

/// Requests of so many processes by turns, each `gap` ms.
fn by_turns(processes: usize, gap: u64) -> Vec<Arrival> {
    let arrivals = (0..10_000 / gap).map(|number| from(number as usize % processes, number * gap));
    arrivals.collect()
}

fn cases() -> Vec<SaidCase> {
    let limited = || AdvertisedState {
        limit: Some("2.0".to_owned()),
        ..AdvertisedState::default()
    };
    let resting = || AdvertisedState {
        backoff: Some("3".to_owned()),
        ..AdvertisedState::default()
    };
    let leaving = || AdvertisedState {
        is_leaving: true,
        ..AdvertisedState::default()
    };
    let asked = Arrival {
        is_rested: true,
        ..from(0, 1_000)
    };
    vec![
        SaidCase {
            name: "more than a limit from three processes together",
            said: limited(),
            arrivals: by_turns(3, 200),
            trouble: None,
            found: Some("OverLimit"),
        },
        SaidCase {
            name: "as much as a limit",
            said: limited(),
            arrivals: by_turns(3, 500),
            trouble: None,
            found: None,
        },
        SaidCase {
            name: "more than a limit from a process that had started anew",
            said: limited(),
            arrivals: by_turns(1, 200),
            trouble: Some((FaultKind::KillEntry(0), 1_500, 2_000)),
            found: None,
        },
        SaidCase {
            name: "more than a limit within the time in which all get to know of it",
            said: limited(),
            arrivals: by_turns(3, 200)
                .into_iter()
                .filter(|it| it.at < 3_400)
                .collect(),
            trouble: None,
            found: None,
        },
        SaidCase {
            name: "three requests in a rest",
            said: resting(),
            arrivals: vec![asked, from(0, 1_600), from(0, 2_000), from(0, 3_900)],
            trouble: None,
            found: Some("RestBroken"),
        },
        SaidCase {
            name: "two requests in a rest, one right after it was asked for and one after its end",
            said: resting(),
            arrivals: vec![
                asked,
                from(0, 1_400),
                from(0, 2_000),
                from(0, 3_900),
                from(0, 4_100),
            ],
            trouble: None,
            found: None,
        },
        SaidCase {
            name: "three requests of another process in a rest",
            said: resting(),
            arrivals: vec![asked, from(1, 1_600), from(1, 2_000), from(1, 3_900)],
            trouble: None,
            found: None,
        },
        SaidCase {
            name: "three requests to the next run in a rest",
            said: resting(),
            arrivals: [1_600, 2_000, 3_900]
                .map(|at| Arrival {
                    born: 2,
                    ..from(0, at)
                })
                .into_iter()
                .chain([asked])
                .collect(),
            trouble: None,
            found: None,
        },
        SaidCase {
            name: "three requests in a rest from a process that stood still",
            said: resting(),
            arrivals: vec![asked, from(0, 1_600), from(0, 2_000), from(0, 3_900)],
            trouble: Some((FaultKind::PauseEntry(0), 1_100, 1_500)),
            found: None,
        },
        SaidCase {
            name: "work for one that says that it leaves",
            said: leaving(),
            arrivals: vec![from(0, 100), from(0, 2_400)],
            trouble: None,
            found: Some("WorkWhileSaidLeaving"),
        },
        SaidCase {
            name: "work for one that has just said that it leaves, and from another process",
            said: leaving(),
            arrivals: vec![from(0, 100), from(0, 2_000), from(1, 5_000)],
            trouble: None,
            found: None,
        },
    ]
}

#[test]
fn what_upstreams_say_is_checked() {
    for case in cases() {
        let found = book(&case).check();
        let names: Vec<String> = found.iter().map(ToString::to_string).collect();
        let is_right = match case.found {
            Some(name) => names.len() == 1 && names[0].starts_with(name),
            None => names.is_empty(),
        };
        assert!(is_right, "{}: {names:?}", case.name);
    }
}

fn book(case: &SaidCase) -> AuditBook {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let numbered = case.arrivals.iter().enumerate();
    let arrived = numbered.clone().map(|(number, arrival)| ArrivedRequest {
        id: format!("r-{number}"),
        at: at(arrival.at),
        started_at: arrival.born,
        cold_left: Duration::ZERO,
        is_misdirected: false,
        advertised: case.said.clone(),
        backoff: arrival.is_rested.then(|| "3".to_owned()),
    });
    let records = numbered.map(|(number, arrival)| CallRecord {
        id: format!("r-{number}"),
        kind: RequestKind::Read,
        entry: arrival.entry,
        key: LASTING_KEY.to_owned(),
        sent_at: at(arrival.at),
        answer_time: DEADLINE,
        ended_at: at(arrival.at + 5),
        end: CallEnd::Answered {
            status: 200,
            is_whole: true,
            has_retry_after: false,
            says_not_run: false,
            is_held: false,
        },
    });
    let trouble = case.trouble.map(|(kind, from, until)| Trouble {
        kind,
        from: at(from),
        until: at(until),
    });
    AuditBook {
        records: records.collect(),
        seen: BTreeMap::new(),
        troubles: trouble.into_iter().collect(),
        revoked: Vec::new(),
        arrived: vec![UpstreamArrivals {
            upstream: "desk-0-0".to_owned(),
            role: UpstreamRole::Desk,
            place: 0,
            failure_domain: "east".to_owned(),
            requests: arrived.collect(),
        }],
        ..AuditBook::default()
    }
}
