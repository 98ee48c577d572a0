//! Each broken promise is found, and what is in order is not.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamot_site_standin::upstream::SeenRequest;
use bergamot_site_standin::{
    GroupTimes, SiteStoreOptions, SiteStoreStandin, SiteUpstream, UpstreamOptions,
};
use bergamot_soak::audit::{AuditBook, Trouble};
use bergamot_soak::caller::{CallEnd, CallRecord, RequestKind};
use bergamot_soak::plan::FaultKind;
use bergamot_soak::site::{LASTING_KEY, RevokedKey, UpstreamRole, UpstreamRun};

/// One request, told in milliseconds from a start.
struct AuditCase {
    name: &'static str,
    kind: RequestKind,
    key: &'static str,
    sent: u64,
    ended: u64,
    end: CallEnd,
    /// When the upstream began to run it, each time.
    runs: &'static [u64],
    /// The upstream says at 1,000 that it leaves.
    leaves: bool,
    /// What befalls the process or others, from and until.
    trouble: Option<(FaultKind, u64, u64)>,
    /// Something more.
    other: Option<(FaultKind, u64, u64)>,
    /// How the violation's name begins; none where all is in order.
    found: Option<&'static str>,
}

const FOREIGN: FaultKind = FaultKind::ForeignEntry(UpstreamRole::Desk, 0, 0);
const HARMFUL: RequestKind = RequestKind::Harmful(UpstreamRole::Engine, 0);
const SERVED: CallEnd = answered(200, true);

const fn answered(status: u16, is_whole: bool) -> CallEnd {
    ended(status, is_whole, true, false)
}

const fn ended(status: u16, is_whole: bool, has_retry_after: bool, says_not_run: bool) -> CallEnd {
    CallEnd::Answered {
        status,
        is_whole,
        has_retry_after,
        says_not_run,
        is_held: false,
    }
}

impl Default for AuditCase {
    fn default() -> Self {
        Self {
            name: "in order",
            kind: RequestKind::Bid,
            key: LASTING_KEY,
            sent: 100,
            ended: 150,
            end: SERVED,
            runs: &[120],
            leaves: false,
            trouble: None,
            other: None,
            found: None,
        }
    }
}

fn cases() -> Vec<AuditCase> {
    let case = AuditCase::default;
    let cut = CallEnd::Cut { had_head: false };
    vec![
        case(),
        AuditCase {
            name: "twice",
            runs: &[110, 120],
            found: Some("RanTwice"),
            ..case()
        },
        AuditCase {
            name: "a read twice",
            kind: RequestKind::Read,
            runs: &[110, 120],
            ..case()
        },
        AuditCase {
            name: "not run, and had",
            end: answered(503, false),
            found: Some("FalselyNotRun"),
            ..case()
        },
        AuditCase {
            name: "not run, later it did",
            end: answered(429, false),
            runs: &[900],
            found: Some("FalselyNotRun"),
            ..case()
        },
        AuditCase {
            name: "not run",
            end: answered(503, false),
            runs: &[],
            ..case()
        },
        AuditCase {
            name: "may have run",
            end: answered(502, false),
            ..case()
        },
        AuditCase {
            name: "a read that says so",
            kind: RequestKind::Read,
            end: ended(503, false, true, true),
            found: Some("FalselyNotRun"),
            ..case()
        },
        AuditCase {
            name: "half an answer",
            end: answered(200, false),
            found: Some("WrongAnswer"),
            ..case()
        },
        AuditCase {
            name: "no word when to come back",
            end: ended(503, false, false, false),
            runs: &[],
            found: Some("NoRetryAfter"),
            ..case()
        },
        AuditCase {
            name: "held",
            ended: 5_500,
            found: Some("HeldTooLong"),
            ..case()
        },
        AuditCase {
            name: "held while it stood still",
            ended: 5_500,
            trouble: Some((FaultKind::PauseEntry(0), 200, 4_000)),
            ..case()
        },
        AuditCase {
            name: "another stood still",
            ended: 5_500,
            trouble: Some((FaultKind::PauseEntry(1), 200, 4_000)),
            found: Some("HeldTooLong"),
            ..case()
        },
        AuditCase {
            name: "a good key",
            end: answered(401, false),
            runs: &[],
            found: Some("Denied"),
            ..case()
        },
        AuditCase {
            name: "a key that is gone",
            key: "key-old",
            sent: 6_000,
            ended: 6_100,
            runs: &[6_050],
            found: Some("RevokedServed"),
            ..case()
        },
        AuditCase {
            name: "a key that has just gone",
            key: "key-old",
            sent: 4_000,
            ended: 4_100,
            runs: &[4_050],
            ..case()
        },
        AuditCase {
            name: "cut by a stop",
            end: cut.clone(),
            trouble: Some((FaultKind::StopEntry(0), 130, 200)),
            found: Some("CutByStop"),
            ..case()
        },
        AuditCase {
            name: "cut by a stop while another instance is gone",
            end: cut.clone(),
            trouble: Some((FaultKind::StopEntry(0), 130, 200)),
            other: Some((FaultKind::DeskDies(1), 0, 300)),
            found: Some("CutByStop"),
            ..case()
        },
        AuditCase {
            name: "cut while its instance was gone",
            end: cut.clone(),
            trouble: Some((FaultKind::StopEntry(0), 130, 200)),
            other: Some((FaultKind::DeskDies(0), 0, 300)),
            ..case()
        },
        AuditCase {
            name: "cut by a stop, sent after the signal",
            end: cut.clone(),
            trouble: Some((FaultKind::StopEntry(0), 50, 200)),
            found: Some("CutByStop"),
            ..case()
        },
        AuditCase {
            name: "an idle connection at a stop",
            end: cut.clone(),
            runs: &[],
            trouble: Some((FaultKind::StopEntry(0), 130, 200)),
            ..case()
        },
        AuditCase {
            name: "killed",
            end: cut,
            trouble: Some((FaultKind::KillEntry(0), 130, 200)),
            ..case()
        },
        AuditCase {
            name: "a harmful request that goes on and on",
            kind: HARMFUL,
            sent: 1_900,
            ended: 1_950,
            end: answered(502, false),
            runs: &[2_000, 4_000, 6_000, 10_000, 12_000, 14_000, 16_000],
            found: Some("NotBounded"),
            ..case()
        },
        AuditCase {
            name: "one that is bounded",
            kind: HARMFUL,
            sent: 1_900,
            ended: 1_950,
            end: answered(502, false),
            runs: &[2_000, 4_000, 6_000, 7_000, 8_500, 10_000, 12_000, 14_000],
            ..case()
        },
        AuditCase {
            name: "one that goes on at a process that is cut off",
            kind: HARMFUL,
            sent: 1_900,
            ended: 1_950,
            end: answered(502, false),
            runs: &[2_000, 4_000, 6_000, 10_000, 12_000, 14_000, 16_000],
            trouble: Some((FaultKind::StoreOutage, 6_000, 16_000)),
            ..case()
        },
        AuditCase {
            name: "one that meets the same upstream while it is down",
            kind: HARMFUL,
            sent: 1_900,
            ended: 1_950,
            end: answered(502, false),
            runs: &[
                2_000, 2_010, 2_020, 2_030, 9_000, 15_000, 16_500, 18_000, 18_010,
            ],
            ..case()
        },
        AuditCase {
            name: "work while it leaves",
            sent: 3_000,
            ended: 3_200,
            runs: &[3_100],
            leaves: true,
            found: Some("WorkWhileLeaving"),
            ..case()
        },
        AuditCase {
            name: "work just after that",
            sent: 2_000,
            ended: 2_200,
            runs: &[2_100],
            leaves: true,
            ..case()
        },
        AuditCase {
            name: "work at an upstream that no entry names",
            sent: 3_000,
            ended: 3_200,
            runs: &[3_100],
            other: Some((FOREIGN, 900, 4_000)),
            found: Some("WorkWhileUnnamed"),
            ..case()
        },
        AuditCase {
            name: "work just after its entry was written over",
            sent: 2_000,
            ended: 2_200,
            runs: &[2_100],
            other: Some((FOREIGN, 900, 4_000)),
            ..case()
        },
        AuditCase {
            name: "work when it has written again",
            sent: 4_100,
            ended: 4_200,
            runs: &[4_150],
            other: Some((FOREIGN, 900, 4_000)),
            ..case()
        },
        AuditCase {
            name: "work when it has written again, while an earlier fault of the same kind lasts",
            sent: 4_100,
            ended: 4_200,
            runs: &[4_150],
            trouble: Some((FOREIGN, 900, 6_000)),
            other: Some((FOREIGN, 2_000, 4_000)),
            ..case()
        },
        AuditCase {
            name: "work while the second of two such faults lasts",
            sent: 4_700,
            ended: 4_800,
            runs: &[4_750],
            trouble: Some((FOREIGN, 900, 2_400)),
            other: Some((FOREIGN, 2_500, 6_000)),
            found: Some("WorkWhileUnnamed"),
            ..case()
        },
        AuditCase {
            name: "work while the store is away",
            sent: 3_000,
            ended: 3_200,
            runs: &[3_100],
            leaves: true,
            trouble: Some((FaultKind::StoreOutage, 900, 3_000)),
            ..case()
        },
    ]
}

#[tokio::test]
async fn each_broken_promise_is_found() {
    let store = SiteStoreStandin::new(SiteStoreOptions::default());
    let options = UpstreamOptions {
        id: "desk-0-0".to_owned(),
        service: "desk".to_owned(),
        failure_domain: "east".to_owned(),
        fabric: None,
        times: GroupTimes::default(),
        advertised: None,
        crash: None,
        warm_up: None,
    };
    let upstream = SiteUpstream::start(options, store).await;
    let upstream = upstream.expect("an upstream starts");
    for case in cases() {
        let found = book(&case, &upstream).check();
        let names: Vec<String> = found.iter().map(ToString::to_string).collect();
        let is_right = match case.found {
            Some(name) => names.len() == 1 && names[0].starts_with(name),
            None => names.is_empty(),
        };
        assert!(is_right, "{}: {names:?}", case.name);
    }
}

fn book(case: &AuditCase, upstream: &Arc<SiteUpstream>) -> AuditBook {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let run = UpstreamRun {
        upstream: Arc::clone(upstream),
        leaving_since: case.leaves.then(|| at(1_000)),
    };
    let seen = case.runs.iter().map(|ms| {
        let request = SeenRequest {
            method: hyper::Method::POST,
            path: String::new(),
            headers: hyper::HeaderMap::new(),
            body: bytes::Bytes::new(),
            at: at(*ms),
        };
        (run.clone(), request)
    });
    let record = CallRecord {
        id: "r".to_owned(),
        kind: case.kind,
        entry: 0,
        key: case.key.to_owned(),
        sent_at: at(case.sent),
        ended_at: at(case.ended),
        end: case.end.clone(),
    };
    let troubles = case.trouble.iter().chain(&case.other);
    let troubles = troubles.map(|(kind, from, until)| Trouble {
        kind: *kind,
        from: at(*from),
        until: at(*until),
    });
    AuditBook {
        records: vec![record],
        seen: BTreeMap::from([("r".to_owned(), seen.collect())]),
        troubles: troubles.collect(),
        revoked: vec![RevokedKey {
            key: "key-old".to_owned(),
            at: at(0),
        }],
        ..AuditBook::default()
    }
}
