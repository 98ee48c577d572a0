//! Each broken promise is found, and what is in order is not.

mod cases;

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
    for case in cases::cases() {
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
        answer_time: DEADLINE,
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
