//! Requests at evacuated, cold and foreign upstreams are found, and only those that nothing excuses.

use std::time::{Duration, Instant};

use bergamot_site_standin::{AdvertisedState, ArrivedRequest};
use bergamot_soak::audit::{AuditBook, Trouble};
use bergamot_soak::caller::{CallEnd, CallRecord, DEADLINE, RequestKind};
use bergamot_soak::site::{LASTING_KEY, UpstreamRole};
use bergamot_soak::{EvacuationPeriod, FaultKind, LinkState, UpstreamArrivals};

/// Requests at one desk upstream, with times in milliseconds. The failure domain `east` is evacuated
/// from 1,000 to 9,000.
struct ArrivalCase {
    name: &'static str,
    kind: RequestKind,
    failure_domain: &'static str,
    times: Vec<u64>,
    /// The upstream is cold.
    is_cold: bool,
    /// The requests are answered with 421.
    is_misdirected: bool,
    /// Something that befell the process or others, from and until.
    trouble: Option<(FaultKind, u64, u64)>,
    /// How the violation's name begins; none where all is in order.
    found: Option<&'static str>,
}

impl Default for ArrivalCase {
    fn default() -> Self {
        Self {
            name: "work at an evacuated domain",
            kind: RequestKind::Read,
            failure_domain: "east",
            times: vec![8_000],
            is_cold: false,
            is_misdirected: false,
            trouble: None,
            found: None,
        }
    }
}

const EVACUATED: Option<&str> = Some("WorkWhileEvacuated");
const OVER_BOUND: Option<&str> = Some("OverColdBound");

/// An arrival at 8,000, 7 s after the start of the evacuation, with what befell its process.
fn excused(name: &'static str, trouble: (FaultKind, u64, u64)) -> ArrivalCase {
    ArrivalCase {
        name,
        trouble: Some(trouble),
        ..ArrivalCase::default()
    }
}

/// The same, with something that excuses nothing.
fn not_excused(name: &'static str, trouble: (FaultKind, u64, u64)) -> ArrivalCase {
    ArrivalCase {
        found: EVACUATED,
        ..excused(name, trouble)
    }
}

fn at_time(name: &'static str, time: u64, found: Option<&'static str>) -> ArrivalCase {
    ArrivalCase {
        name,
        times: vec![time],
        found,
        ..ArrivalCase::default()
    }
}

fn evacuation_cases() -> Vec<ArrivalCase> {
    let case = ArrivalCase::default;
    let silent = FaultKind::StoreLink(0, LinkState::Silent);
    vec![
        at_time("work before the evacuation", 900, None),
        at_time("work within the bound", 3_999, None),
        at_time("work just after the bound", 4_001, EVACUATED),
        at_time("work after the removal", 9_000, None),
        ArrivalCase {
            name: "work in another domain",
            failure_domain: "west",
            ..case()
        },
        ArrivalCase {
            name: "a request that the upstream turned away with 421",
            is_misdirected: true,
            ..case()
        },
        excused(
            "paused until 4 s ago",
            (FaultKind::PauseEntry(0), 100, 4_000),
        ),
        not_excused("paused earlier", (FaultKind::PauseEntry(0), 100, 3_900)),
        not_excused("another was paused", (FaultKind::PauseEntry(1), 100, 7_900)),
        not_excused(
            "it was stopped and started",
            (FaultKind::StopEntry(0), 5_000, 7_000),
        ),
        excused("killed", (FaultKind::KillEntry(0), 100, 4_100)),
        excused("kept from the store", (silent, 100, 7_900)),
        excused("the store was away", (FaultKind::StoreOutage, 100, 4_100)),
        excused(
            "the store lost answers",
            (FaultKind::StoreLosesAnswers(1), 4_500, 4_600),
        ),
        not_excused(
            "the store forgot its history",
            (FaultKind::StoreForgets, 7_000, 7_000),
        ),
        excused("a restore 3 s ago", (FaultKind::StoreRestored, 100, 5_000)),
        not_excused("a restore 5 s ago", (FaultKind::StoreRestored, 100, 3_000)),
        not_excused(
            "a restore that is still to come",
            (FaultKind::StoreRestored, 100, 8_100),
        ),
        excused(
            "held back by the link to the upstream",
            (FaultKind::DeskLink(0, LinkState::Silent), 500, 7_100),
        ),
        not_excused(
            "the link to another upstream was cut",
            (FaultKind::DeskLink(1, LinkState::Silent), 500, 7_100),
        ),
        not_excused(
            "the link to the upstream was whole again for long",
            (FaultKind::DeskLink(0, LinkState::Silent), 500, 6_900),
        ),
    ]
}

fn cold_cases() -> Vec<ArrivalCase> {
    // In `west`, which is not evacuated.
    let case = |name, times: Vec<u64>, found| ArrivalCase {
        name,
        failure_domain: "west",
        is_cold: true,
        times,
        found,
        ..ArrivalCase::default()
    };
    let each = |gap: u64, count: u64| (0..count).map(|number| number * gap).collect();
    let many: fn() -> Vec<u64> = || (0..31).collect();
    vec![
        case("31 requests within a second", many(), OVER_BOUND),
        case("30 requests at once", each(0, 30), None),
        case("30 in each second", each(34, 200), None),
        case(
            "31 in a second that begins late",
            [0, 700].into_iter().chain(1_500..1_531).collect(),
            OVER_BOUND,
        ),
        case("31 in a little more than a second", each(34, 31), None),
        ArrivalCase {
            is_cold: false,
            ..case("a warm upstream", many(), None)
        },
        ArrivalCase {
            is_misdirected: true,
            ..case("requests that it turned away with 421", many(), None)
        },
        ArrivalCase {
            trouble: Some((FaultKind::PauseEntry(0), 0, 2_000)),
            ..case("from a process that was paused", many(), OVER_BOUND)
        },
        ArrivalCase {
            trouble: Some((FaultKind::StoreOutage, 0, 2_000)),
            ..case("while the store was away", many(), OVER_BOUND)
        },
        ArrivalCase {
            trouble: Some((FaultKind::DeskLink(0, LinkState::CutForward), 0, 10)),
            ..case("that the link had held back", many(), None)
        },
    ]
}

fn region_cases() -> Vec<ArrivalCase> {
    let case = |name, kind, failure_domain, found| ArrivalCase {
        name,
        kind,
        failure_domain,
        times: vec![100],
        found,
        ..ArrivalCase::default()
    };
    let outside = Some("OutsideHomeRegion");
    vec![
        case("bound, at home", RequestKind::Home, "east", None),
        case("bound, elsewhere", RequestKind::Home, "west", outside),
        case(
            "bound, in a domain without a region",
            RequestKind::Home,
            "mid",
            outside,
        ),
        case("not bound, elsewhere", RequestKind::Read, "west", None),
        ArrivalCase {
            trouble: Some((FaultKind::PauseEntry(0), 0, 2_000)),
            ..case(
                "bound, from a process that was paused",
                RequestKind::Home,
                "west",
                outside,
            )
        },
    ]
}

#[test]
fn work_at_evacuated_cold_and_foreign_upstreams_is_found() {
    let cases = [evacuation_cases(), cold_cases(), region_cases()];
    for case in cases.iter().flatten() {
        let found = book(case).check();
        let names: Vec<String> = found.iter().map(ToString::to_string).collect();
        let is_right = match case.found {
            Some(name) => names.len() == 1 && names[0].starts_with(name),
            None => names.is_empty(),
        };
        assert!(is_right, "{}: {names:?}", case.name);
    }
}

fn book(case: &ArrivalCase) -> AuditBook {
    let start = Instant::now() + Duration::from_secs(60);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let requests = case.times.iter().enumerate();
    let arrived = requests.clone().map(|(number, ms)| ArrivedRequest {
        id: format!("r-{number}"),
        at: at(*ms),
        started_at: 1,
        cold_left: Duration::from_secs(u64::from(case.is_cold)),
        is_misdirected: case.is_misdirected,
        advertised: AdvertisedState::default(),
        backoff: None,
    });
    let records = requests.map(|(number, ms)| CallRecord {
        id: format!("r-{number}"),
        kind: case.kind,
        entry: 0,
        key: LASTING_KEY.to_owned(),
        sent_at: at(*ms),
        answer_time: DEADLINE,
        ended_at: at(ms + 5),
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
        troubles: trouble.into_iter().collect(),
        arrived: vec![UpstreamArrivals {
            upstream: "desk-0-0".to_owned(),
            role: UpstreamRole::Desk,
            place: 0,
            failure_domain: case.failure_domain.to_owned(),
            requests: arrived.collect(),
        }],
        evacuations: vec![EvacuationPeriod {
            failure_domain: "east",
            from: at(1_000),
            until: Some(at(9_000)),
        }],
        ..AuditBook::default()
    }
}
