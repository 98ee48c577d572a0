//! Which requests a planned stop may cut off.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_site_standin::upstream::SeenRequest;
use bergamot_site_standin::{
    GroupTimes, SiteStoreOptions, SiteStoreStandin, SiteUpstream, UpstreamOptions,
};
use bergamot_soak::audit::{AuditBook, Trouble};
use bergamot_soak::caller::{CallEnd, CallRecord, DEADLINE, RequestKind};
use bergamot_soak::plan::FaultKind;
use bergamot_soak::site::{LASTING_KEY, UpstreamRole, UpstreamRun};
use bergamot_soak::{LinkState, Violation};

/// When the process is told to stop in each case, in milliseconds from the start.
const TOLD: u64 = 10_000;
/// When it has been started again.
const BACK: u64 = 18_000;
const CUT: CallEnd = CallEnd::Cut { had_head: false };
const STREAM: RequestKind = RequestKind::Stream(40);

/// One request that ended without an answer, told in milliseconds from the signal to stop.
struct StopCase {
    name: &'static str,
    kind: RequestKind,
    /// When it was sent and when it ended.
    times: (i64, i64),
    end: CallEnd,
    /// The upstream that ran it, if one did.
    upstream: Option<&'static str>,
    /// What else befell the process or others, from and until.
    other: Option<(FaultKind, i64, i64)>,
    is_found: bool,
}

impl Default for StopCase {
    fn default() -> Self {
        Self {
            name: "sent after the signal",
            kind: RequestKind::Bid,
            times: (3_690, 3_728),
            end: CUT,
            upstream: Some("desk-0-0"),
            other: None,
            is_found: true,
        }
    }
}

fn cases() -> Vec<StopCase> {
    let case = StopCase::default;
    let stream = || StopCase {
        kind: STREAM,
        upstream: Some("engines-0-0"),
        ..case()
    };
    vec![
        case(),
        StopCase {
            name: "sent before the signal",
            times: (-100, 20),
            ..case()
        },
        StopCase {
            name: "sent at the signal",
            times: (0, 20),
            ..case()
        },
        StopCase {
            name: "half an answer",
            end: CallEnd::Cut { had_head: true },
            ..case()
        },
        StopCase {
            name: "given up on long after the process was gone",
            times: (3_690, 11_690),
            end: CallEnd::GivenUp,
            ..case()
        },
        StopCase {
            name: "sent at the end of the grace",
            times: (7_490, 7_550),
            ..case()
        },
        StopCase {
            name: "a plain request that ran until the end of the grace",
            times: (1_000, 7_550),
            ..case()
        },
        StopCase {
            name: "over before the signal",
            times: (-100, -50),
            is_found: false,
            ..case()
        },
        StopCase {
            name: "sent to the next process",
            times: (8_001, 8_100),
            is_found: false,
            ..case()
        },
        StopCase {
            name: "never sent on",
            upstream: None,
            is_found: false,
            ..case()
        },
        StopCase {
            name: "refused",
            end: CallEnd::Answered {
                status: 502,
                is_whole: false,
                has_retry_after: true,
                says_not_run: false,
                is_held: false,
            },
            is_found: false,
            ..case()
        },
        StopCase {
            name: "a stream sent in time that is cut in the last sixth",
            times: (3_000, 6_667),
            is_found: false,
            ..stream()
        },
        StopCase {
            name: "a stream sent before the signal that is cut in the last sixth",
            times: (-500, 7_500),
            is_found: false,
            ..stream()
        },
        StopCase {
            name: "a stream sent in time that is cut before the last sixth",
            times: (3_000, 6_666),
            ..stream()
        },
        StopCase {
            name: "a stream sent too late for the grace",
            times: (3_001, 7_500),
            ..stream()
        },
        StopCase {
            name: "the process was killed",
            other: Some((FaultKind::KillEntry(0), 3_700, 4_000)),
            is_found: false,
            ..case()
        },
        StopCase {
            name: "another process was killed",
            other: Some((FaultKind::KillEntry(1), 3_700, 4_000)),
            ..case()
        },
        StopCase {
            name: "the process stood still",
            other: Some((FaultKind::PauseEntry(0), 2_000, 3_000)),
            is_found: false,
            ..case()
        },
        StopCase {
            name: "the process had stood still before",
            other: Some((FaultKind::PauseEntry(0), 0, 1_000)),
            ..case()
        },
        StopCase {
            name: "told to read its settings",
            other: Some((FaultKind::ReloadEntry(0), 3_700, 3_700)),
            ..case()
        },
        StopCase {
            name: "told to stop once more",
            other: Some((FaultKind::StopEntry(0), 0, 8_000)),
            ..case()
        },
        StopCase {
            name: "the store was away",
            other: Some((FaultKind::StoreOutage, 3_000, 4_000)),
            is_found: false,
            ..case()
        },
        StopCase {
            name: "the process was cut off from the store",
            other: Some((FaultKind::StoreLink(0, LinkState::Silent), 3_000, 4_000)),
            is_found: false,
            ..case()
        },
        StopCase {
            name: "its upstream died",
            other: Some((FaultKind::DeskDies(0), 3_700, 5_000)),
            is_found: false,
            ..case()
        },
        StopCase {
            name: "another upstream died",
            other: Some((FaultKind::DeskDies(1), 3_700, 5_000)),
            ..case()
        },
        StopCase {
            name: "its upstream started again",
            other: Some((FaultKind::Restarts(UpstreamRole::Desk, 0), 3_700, 3_750)),
            is_found: false,
            ..case()
        },
        StopCase {
            name: "an engine left while the stream ran",
            other: Some((FaultKind::EngineLeaves(1), 3_700, 5_000)),
            is_found: false,
            ..stream()
        },
    ]
}

#[tokio::test]
async fn a_planned_stop_cuts_nothing_that_was_sent_on_but_late_streams() {
    let store = SiteStoreStandin::new(SiteStoreOptions::default());
    let mut upstreams = BTreeMap::new();
    for id in ["desk-0-0", "engines-0-0"] {
        let options = UpstreamOptions {
            id: id.to_owned(),
            service: "desk".to_owned(),
            failure_domain: "east".to_owned(),
            fabric: None,
            times: GroupTimes::default(),
            advertised: None,
            crash: None,
            warm_up: None,
        };
        let upstream = SiteUpstream::start(options, Arc::clone(&store)).await;
        upstreams.insert(id, upstream.expect("an upstream starts"));
    }
    let mut wrong = Vec::new();
    for case in cases() {
        let mut found = book(&case, &upstreams).check();
        // That some of them took longer than their deadline is another promise.
        found.retain(|it| !matches!(it, Violation::HeldTooLong { .. }));
        let names: Vec<String> = found.iter().map(ToString::to_string).collect();
        let is_right = match case.is_found {
            true => names.len() == 1 && names[0].starts_with("CutByStop"),
            false => names.is_empty(),
        };
        if !is_right {
            wrong.push((case.name, names));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

fn book(case: &StopCase, upstreams: &BTreeMap<&str, Arc<SiteUpstream>>) -> AuditBook {
    let start = Instant::now();
    let at = |ms: i64| start + Duration::from_millis(TOLD.saturating_add_signed(ms));
    let trouble = |(kind, from, until)| Trouble {
        kind,
        from: at(from),
        until: at(until),
    };
    let (sent, ended) = case.times;
    let seen = case.upstream.map(|id| {
        let run = UpstreamRun {
            upstream: Arc::clone(&upstreams[id]),
            leaving_since: None,
        };
        let request = SeenRequest {
            method: hyper::Method::POST,
            path: String::new(),
            headers: hyper::HeaderMap::new(),
            body: bytes::Bytes::new(),
            at: at(sent),
        };
        ("r".to_owned(), vec![(run, request)])
    });
    let record = CallRecord {
        id: "r".to_owned(),
        kind: case.kind,
        entry: 0,
        key: LASTING_KEY.to_owned(),
        sent_at: at(sent),
        answer_time: DEADLINE,
        ended_at: at(ended),
        end: case.end.clone(),
    };
    let stop = trouble((FaultKind::StopEntry(0), 0, (BACK - TOLD) as i64));
    let others = case.other.map(trouble);
    AuditBook {
        records: vec![record],
        seen: seen.into_iter().collect(),
        troubles: [stop].into_iter().chain(others).collect(),
        revoked: Vec::new(),
        ..AuditBook::default()
    }
}
