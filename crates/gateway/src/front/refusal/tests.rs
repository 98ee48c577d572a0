//! Guards against answers 408, 421, 429 and 503 to requests that may have run.

use bergamot_types::kind::ERROR_RESPONSES;
use bergamot_types::prelude::*;

use super::{CallRefusal, promises_not_run};

struct PromiseCase {
    kind: ErrorKind,
    /// Where the kind can arise at an entry VM.
    arises: &'static str,
    /// The kind that a caller gets if the request may have run.
    after_run: ErrorKind,
}

const fn lost(kind: ErrorKind, arises: &'static str) -> PromiseCase {
    PromiseCase {
        kind,
        arises,
        after_run: ErrorKind::UpstreamLost,
    }
}

const CASES: &[PromiseCase] = &[
    lost(
        ErrorKind::RequestTimeout,
        "before the first send: reading the body",
    ),
    lost(
        ErrorKind::MemoryFull,
        "before the first send: reading the body",
    ),
    lost(
        ErrorKind::ClaimUnavailable,
        "never on the serving path: claims of the own interface",
    ),
    lost(
        ErrorKind::ClaimForgotten,
        "never on the serving path: claims of the own interface",
    ),
    lost(
        ErrorKind::RateLimited,
        "never on the serving path: limits of the own interface",
    ),
    lost(
        ErrorKind::Overloaded,
        "plan_now, also before a retry or a resumption",
    ),
    lost(
        ErrorKind::NoUpstream,
        "admit and plan_now, also before a retry or a resumption",
    ),
    lost(
        ErrorKind::UpstreamRefused,
        "plan_now, also before a retry or a resumption",
    ),
    lost(ErrorKind::NoBundle, "admit, and plan_now"),
    lost(
        ErrorKind::ConfigUnconfirmed,
        "check_key, also before a retry or a resumption",
    ),
    lost(
        ErrorKind::ShuttingDown,
        "admit and plan_now, also before a retry or a resumption",
    ),
    lost(
        ErrorKind::Quarantined,
        "check_standing, also before a retry or a resumption",
    ),
    lost(
        ErrorKind::UpstreamsPaused,
        "plan and plan_now, also before a retry or a resumption",
    ),
    lost(
        ErrorKind::DomainsEvacuated,
        "plan_now, also before a retry or a resumption",
    ),
    lost(
        ErrorKind::RegionUnavailable,
        "admit and plan_now, also before a retry or a resumption",
    ),
    lost(
        ErrorKind::UpstreamsUnreachable,
        "forward, also before a retry or a resumption",
    ),
];

#[test]
fn no_refusal_promises_that_a_request_did_not_run_if_it_may_have() {
    for response in ERROR_RESPONSES {
        let kind = response.kind;
        let case = CASES.iter().find(|case| case.kind == kind);
        let is_promise = promises_not_run(response.status);
        assert_eq!(case.is_some(), is_promise, "{kind}: missing in the table");
        let refusal = CallRefusal::retry_in(kind, Millis(300));
        assert_eq!(refusal.after_possible_run(false), refusal, "{kind}");
        let after_run = refusal.after_possible_run(true);
        let status = after_run.kind.response().status;
        assert!(!promises_not_run(status), "{kind} becomes {status}");
        assert_ne!(after_run.kind.response().ran, RanState::No, "{kind}");
        if let Some(case) = case {
            assert_eq!(after_run.kind, case.after_run, "{kind}: {}", case.arises);
            assert_eq!(after_run.retry_after, None, "{kind}");
        }
    }
    let late = CallRefusal::from(ErrorKind::DeadlineBeforeSend).after_possible_run(true);
    assert_eq!(late, ErrorKind::DeadlineAfterSend.into());
}
