//! Requests that end no upstream are not refused as ones that do.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_soak::caller::{CallEnd, CallRecord, DEADLINE, RequestKind};
use bergamot_soak::site::{LASTING_KEY, UpstreamRole};
use bergamot_soak::{AuditBook, Violation};

struct HeldCase {
    name: &'static str,
    kind: RequestKind,
    is_held: bool,
    is_found: bool,
}

#[test]
fn a_healthy_request_that_is_held_back_is_found() {
    let cases = [
        HeldCase {
            name: "a healthy one that is held back",
            kind: RequestKind::Stream(4),
            is_held: true,
            is_found: true,
        },
        HeldCase {
            name: "a healthy one that is refused for another reason",
            kind: RequestKind::Stream(4),
            is_held: false,
            is_found: false,
        },
        HeldCase {
            name: "a harmful one that is held back",
            kind: RequestKind::Harmful(UpstreamRole::Engine, 0),
            is_held: true,
            is_found: false,
        },
    ];
    for case in cases {
        let sent_at = Instant::now();
        let record = CallRecord {
            id: "one".to_owned(),
            kind: case.kind,
            entry: 0,
            key: LASTING_KEY.to_owned(),
            sent_at,
            answer_time: DEADLINE,
            ended_at: sent_at + Duration::from_millis(20),
            end: CallEnd::Answered {
                status: 503,
                is_whole: false,
                has_retry_after: true,
                says_not_run: true,
                is_held: case.is_held,
            },
        };
        let book = AuditBook {
            records: vec![record],
            seen: BTreeMap::new(),
            troubles: Vec::new(),
            revoked: Vec::new(),
            ..AuditBook::default()
        };
        let found = book.check();
        let is_found = found
            .iter()
            .any(|it| matches!(it, Violation::InnocentHeld { .. }));
        assert_eq!(is_found, case.is_found, "{}: {found:?}", case.name);
    }
}
