//! An older configuration after a newer one is found by the keys that a process takes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bergamot_soak::caller::{CallEnd, CallRecord, DEADLINE, RequestKind};
use bergamot_soak::site::CHANGING_KEY;
use bergamot_soak::{AuditBook, Violation};

/// Answers of one process to requests with keys of versions, in order.
struct OrderCase {
    name: &'static str,
    /// Version of the key, when it was sent, and the status, which came 10 ms later.
    answers: &'static [(u64, u64, u16)],
    found: usize,
}

#[test]
fn an_older_configuration_after_a_newer_one_is_found() {
    let cases = [
        OrderCase {
            name: "each version after the other",
            answers: &[(1, 100, 200), (2, 200, 401), (2, 300, 200), (1, 400, 401)],
            found: 0,
        },
        OrderCase {
            name: "one that was not known yet when it was taken away",
            answers: &[(2, 100, 401), (2, 200, 200), (2, 300, 401)],
            found: 0,
        },
        OrderCase {
            name: "refused and taken again",
            answers: &[(1, 100, 200), (1, 200, 401), (1, 300, 200)],
            found: 1,
        },
        OrderCase {
            name: "taken after a later one",
            answers: &[(2, 100, 200), (1, 200, 200)],
            found: 1,
        },
        OrderCase {
            name: "sent before the later one was answered",
            answers: &[(2, 100, 200), (1, 105, 200)],
            found: 0,
        },
    ];
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    for case in cases {
        let records = case
            .answers
            .iter()
            .map(|(version, sent, status)| CallRecord {
                id: format!("at-{sent}"),
                kind: RequestKind::Read,
                entry: 0,
                key: format!("{CHANGING_KEY}{version}"),
                sent_at: at(*sent),
                answer_time: DEADLINE,
                ended_at: at(sent + 10),
                end: CallEnd::Answered {
                    status: *status,
                    is_whole: true,
                    has_retry_after: true,
                    says_not_run: false,
                    is_held: false,
                },
            });
        let book = AuditBook {
            records: records.collect(),
            seen: BTreeMap::new(),
            troubles: Vec::new(),
            revoked: Vec::new(),
            ..AuditBook::default()
        };
        let found = book.check();
        assert_eq!(found.len(), case.found, "{}: {found:?}", case.name);
        assert!(
            found
                .iter()
                .all(|it| matches!(it, Violation::Reverted { .. }))
        );
    }
}
