//! Silence excuses no answer that is lost, and other faults excuse no more than what they befall.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_site_standin::upstream::SeenRequest;
use bergamot_site_standin::{
    GroupTimes, SiteStoreOptions, SiteStoreStandin, SiteUpstream, UpstreamOptions,
};
use bergamot_soak::audit::{AuditBook, Trouble};
use bergamot_soak::caller::{CallEnd, CallRecord, DEADLINE, RequestKind};
use bergamot_soak::silences::AllSilentPeriod;
use bergamot_soak::site::{LASTING_KEY, UpstreamRole, UpstreamRun};
use bergamot_soak::{FaultKind, SilenceReport, SilenceStart, UpstreamSet, Violation};

const SILENCE: FaultKind = FaultKind::Silence(UpstreamSet::ALL, SilenceStart::AtOnce);
const CUT: CallEnd = CallEnd::Cut { had_head: true };

/// One request, told in milliseconds from the beginning of a silence of a second.
struct SilenceCase {
    name: &'static str,
    kind: RequestKind,
    sent: u64,
    took: u64,
    answer_time: Duration,
    end: CallEnd,
    /// Whether an upstream began to run it.
    has_run: bool,
    /// What happens besides, from 0 to 1,000.
    other: Option<FaultKind>,
    is_found: bool,
}

impl Default for SilenceCase {
    fn default() -> Self {
        Self {
            name: "a stream that is cut",
            kind: RequestKind::Stream(40),
            sent: 100,
            took: 600,
            answer_time: DEADLINE,
            end: CUT,
            has_run: true,
            other: None,
            is_found: true,
        }
    }
}

const fn answered(status: u16) -> CallEnd {
    CallEnd::Answered {
        status,
        is_whole: status == 200,
        has_retry_after: true,
        says_not_run: false,
        is_held: false,
    }
}

fn cases() -> Vec<SilenceCase> {
    let case = SilenceCase::default;
    let beside = |name, other, is_found| SilenceCase {
        name,
        other: Some(other),
        is_found,
        ..SilenceCase::default()
    };
    vec![
        case(),
        beside("beside a configuration", FaultKind::ChangeKeys, true),
        beside("beside a reload", FaultKind::ReloadEntry(0), true),
        beside("another process is killed", FaultKind::KillEntry(1), true),
        beside("its process is killed", FaultKind::KillEntry(0), false),
        beside("a plain upstream ends", FaultKind::DeskDies(0), true),
        beside("an engine ends", FaultKind::EngineDies(3), false),
        beside("the store is away", FaultKind::StoreOutage, false),
        SilenceCase {
            name: "cut before any silence",
            sent: 10_000,
            is_found: false,
            ..case()
        },
        SilenceCase {
            name: "a stream that may not be resumed",
            kind: RequestKind::Single(UpstreamRole::Desk, 40),
            ..case()
        },
        SilenceCase {
            name: "given up before it ran",
            end: answered(502),
            has_run: false,
            ..case()
        },
        SilenceCase {
            name: "given up at the deadline",
            took: 4_000,
            end: answered(504),
            ..case()
        },
        SilenceCase {
            name: "a read that ran, answered as refused",
            kind: RequestKind::Read,
            end: answered(503),
            ..case()
        },
        SilenceCase {
            name: "refused as not run",
            end: answered(503),
            has_run: false,
            is_found: false,
            ..case()
        },
        SilenceCase {
            name: "answered",
            end: answered(200),
            is_found: false,
            ..case()
        },
        SilenceCase {
            name: "a deadline within the silence",
            answer_time: Duration::from_millis(600),
            end: answered(504),
            is_found: false,
            ..case()
        },
        SilenceCase {
            name: "ended long before such a deadline",
            answer_time: Duration::from_millis(800),
            end: answered(504),
            ..case()
        },
        SilenceCase {
            name: "an idle connection that ends",
            end: CallEnd::Cut { had_head: false },
            has_run: false,
            is_found: false,
            ..case()
        },
    ]
}

/// What was seen of a request; `run` is the upstream that began to run it, if one did.
fn book(case: &SilenceCase, run: Option<&UpstreamRun>) -> AuditBook {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let record = CallRecord {
        id: "r".to_owned(),
        kind: case.kind,
        entry: 0,
        key: LASTING_KEY.to_owned(),
        sent_at: at(case.sent),
        answer_time: case.answer_time,
        ended_at: at(case.sent + case.took),
        end: case.end.clone(),
    };
    let request = SeenRequest {
        method: hyper::Method::POST,
        path: String::new(),
        headers: hyper::HeaderMap::new(),
        body: bytes::Bytes::new(),
        at: at(case.sent),
    };
    let runs = run.map(|run| vec![(run.clone(), request)]);
    let kinds = [SILENCE].into_iter().chain(case.other);
    let (from, until) = (at(0), at(1_000));
    AuditBook {
        records: vec![record],
        seen: BTreeMap::from_iter(runs.map(|runs| ("r".to_owned(), runs))),
        troubles: kinds.map(|kind| Trouble { kind, from, until }).collect(),
        all_silent: vec![AllSilentPeriod {
            role: UpstreamRole::Engine,
            from,
            until,
        }],
        ..AuditBook::default()
    }
}

#[tokio::test]
async fn silence_excuses_no_lost_answer() {
    let store = SiteStoreStandin::new(SiteStoreOptions::default());
    let options = UpstreamOptions {
        id: "engines-0-0".to_owned(),
        service: "engines".to_owned(),
        failure_domain: "east".to_owned(),
        fabric: None,
        times: GroupTimes::default(),
        advertised: None,
        crash: None,
        warm_up: None,
    };
    let upstream = SiteUpstream::start(options, store).await;
    let run = UpstreamRun {
        upstream: upstream.expect("an upstream starts"),
        leaving_since: None,
    };
    for case in cases() {
        let found = book(&case, case.has_run.then_some(&run)).check();
        let mut found = found.iter();
        let is_found = found.any(|it| matches!(it, Violation::CutWhileSilent { .. }));
        assert_eq!(is_found, case.is_found, "{}", case.name);
    }
}

#[test]
fn refusals_while_all_upstreams_are_silent_are_counted() {
    struct CountCase {
        name: &'static str,
        kind: RequestKind,
        sent: u64,
        end: CallEnd,
        /// Requests and refusals.
        counted: (usize, usize),
    }
    let case = |name, kind, sent, end, counted| CountCase {
        name,
        kind,
        sent,
        end,
        counted,
    };
    let stream = RequestKind::Stream(9);
    let cases = [
        case("refused", stream, 500, answered(503), (1, 1)),
        case("served", stream, 500, answered(200), (1, 0)),
        case("after it", stream, 1_000, answered(503), (0, 0)),
        case(
            "others silent",
            RequestKind::Read,
            500,
            answered(503),
            (0, 0),
        ),
    ];
    for case in cases {
        let request = SilenceCase {
            kind: case.kind,
            sent: case.sent,
            end: case.end,
            ..SilenceCase::default()
        };
        let (requests, refused) = case.counted;
        let expected = SilenceReport { requests, refused };
        let report = book(&request, None).silence_report();
        assert_eq!(report, expected, "{}", case.name);
    }
}
