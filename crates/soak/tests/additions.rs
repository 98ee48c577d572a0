//! Added routes and keys that are refused as unknown once they must be in force are found.

use std::time::{Duration, Instant};

use bergamot_soak::caller::{CallEnd, CallRecord, DEADLINE, RequestKind};
use bergamot_soak::site::LASTING_KEY;
use bergamot_soak::{AddedGrant, AuditBook, GrantSize, Violation};

/// An answer to a request on the route or with the key of version 7.
struct GrantCase {
    name: &'static str,
    kind: RequestKind,
    key: &'static str,
    /// When it was sent, in milliseconds after the version was acknowledged.
    sent_after: u64,
    status: u16,
    is_found: bool,
}

#[test]
fn an_added_route_or_key_that_is_refused_as_unknown_is_found() {
    let route = GrantCase {
        name: "a route that must be known",
        kind: RequestKind::Added(7),
        key: LASTING_KEY,
        sent_after: 2_001,
        status: 404,
        is_found: true,
    };
    let cases = [
        GrantCase {
            name: "a route that need not be known yet",
            sent_after: 1_999,
            is_found: false,
            ..route
        },
        GrantCase {
            name: "a route that the process cannot tell of",
            status: 503,
            is_found: false,
            ..route
        },
        GrantCase {
            name: "a route that was never added",
            kind: RequestKind::Added(8),
            is_found: false,
            ..route
        },
        GrantCase {
            name: "a key that must be known",
            kind: RequestKind::Read,
            key: "added-7",
            status: 401,
            ..route
        },
        route,
    ];
    for case in cases {
        let added_at = Instant::now();
        let sent_at = added_at + Duration::from_millis(case.sent_after);
        let record = CallRecord {
            id: "one".to_owned(),
            kind: case.kind,
            entry: 0,
            key: case.key.to_owned(),
            sent_at,
            answer_time: DEADLINE,
            ended_at: sent_at + Duration::from_millis(20),
            end: CallEnd::Answered {
                status: case.status,
                is_whole: false,
                has_retry_after: true,
                says_not_run: false,
                is_held: false,
            },
        };
        let book = AuditBook {
            records: vec![record],
            granted: vec![AddedGrant {
                number: 7,
                size: GrantSize::Small,
                at: added_at,
            }],
            ..AuditBook::default()
        };
        let found = book.check();
        let is_refused = |it: &Violation| matches!(it, Violation::RefusedAsUnknown { .. });
        let is_found = found.iter().any(is_refused);
        assert_eq!(is_found, case.is_found, "{}: {found:?}", case.name);
    }
}
