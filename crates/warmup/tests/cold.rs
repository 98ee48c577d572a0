//! Which statement about an upstream's cold time is in force.

mod support;

use bergamot_ports::{MAX_COLD_TIME, StoreGeneration, StoreRevision};
use bergamot_types::prelude::*;
use bergamot_warmup::{ColdSource, ColdTable, ColdTarget, EndedEvacuation, EntryStatement};
use support::{BOUNDS, entry, revision, with_target};

/// Returns a revision after a restore of the store.
const fn restored(number: u64) -> StoreRevision {
    StoreRevision::new(StoreGeneration(1), number)
}

#[derive(Clone, Copy)]
struct SpanCase {
    name: &'static str,
    entry: EntryStatement,
    /// Time of arrival and cold time of an answer.
    answer: Option<(u64, u64)>,
    /// Revision of the removal, and when this VM learned of it.
    ended: Option<(u64, u64)>,
    until: u64,
    source: ColdSource,
}

const COLD: SpanCase = SpanCase {
    name: "an entry",
    entry: entry(5, 10_000, 3_000),
    answer: None,
    ended: None,
    until: 13_000,
    source: ColdSource::Entry,
};
const ANSWERED: SpanCase = SpanCase {
    name: "a later answer shortens the time",
    answer: Some((11_000, 500)),
    until: 11_500,
    source: ColdSource::Answer,
    ..COLD
};
const ENDED: SpanCase = SpanCase {
    name: "the end of an evacuation",
    entry: entry(5, 10_000, 0),
    ended: Some((7, 20_000)),
    until: 23_000,
    source: ColdSource::Evacuation,
    ..COLD
};

#[test]
fn the_latest_statement_is_in_force() {
    let cases = [
        COLD,
        ANSWERED,
        SpanCase {
            name: "a later answer ends the time",
            answer: Some((11_000, 0)),
            until: 11_000,
            ..ANSWERED
        },
        SpanCase {
            name: "an earlier answer does not override the entry",
            answer: Some((9_900, 9_000)),
            ..COLD
        },
        SpanCase {
            name: "a warm upstream that turns cold, for a huge time",
            entry: entry(5, 10_000, 0),
            answer: Some((12_000, u64::MAX)),
            until: 12_000 + MAX_COLD_TIME.0,
            ..ANSWERED
        },
        ENDED,
        SpanCase {
            name: "an entry that was written before the end and arrives after it",
            entry: entry(6, 20_500, 0),
            ..ENDED
        },
        SpanCase {
            name: "an entry that was written after the end",
            entry: entry(8, 21_000, 500),
            until: 21_500,
            source: ColdSource::Entry,
            ..ENDED
        },
        SpanCase {
            name: "an answer from before the end does not shorten a longer time",
            entry: entry(5, 10_000, 60_000),
            answer: Some((19_000, 0)),
            until: 70_000,
            source: ColdSource::Entry,
            ..ENDED
        },
        SpanCase {
            name: "an entry of a restored store after an end before the restore",
            entry: EntryStatement {
                revision: restored(3),
                ..entry(5, 20_500, 0)
            },
            ..ENDED
        },
        SpanCase {
            name: "an entry of a restored store does not shorten the time of an earlier answer",
            entry: EntryStatement {
                revision: restored(3),
                may_be_outdated: true,
                ..entry(5, 11_100, 100)
            },
            ..ANSWERED
        },
        SpanCase {
            name: "a longer time by an entry of a restored store",
            entry: EntryStatement {
                revision: restored(3),
                may_be_outdated: true,
                ..entry(5, 11_100, 900)
            },
            until: 12_000,
            source: ColdSource::Entry,
            ..ANSWERED
        },
        SpanCase {
            name: "an answer after the end",
            answer: Some((20_100, 1_000)),
            until: 21_100,
            source: ColdSource::Answer,
            ..ENDED
        },
    ];
    for case in cases {
        let mut table = ColdTable::default();
        if let Some((number, learned_at)) = case.ended {
            table.record_ended(&EndedEvacuation {
                failure_domain: FailureDomain::new("east"),
                revision: revision(number),
                learned_at: Millis(learned_at),
            });
        }
        let span = with_target(case.entry, BOUNDS, |target| {
            if let Some((at, cold_left)) = case.answer {
                table.record_answer(Millis(at), &target, Millis(cold_left));
            }
            table.span(&target)
        });
        assert_eq!(span.until, Millis(case.until), "{}", case.name);
        assert_eq!(span.source, case.source, "{}", case.name);
    }
}

#[test]
fn an_entry_that_is_read_again_does_not_restart_the_time() {
    let first = entry(5, 10_000, 3_000);
    for unchanged in [revision(5), restored(5)] {
        let again = first.followed_by(unchanged, Millis(3_000), Millis(12_000));
        assert_eq!(again, first, "{unchanged}");
    }
    assert_eq!(
        first.followed_by(revision(4), Millis(9_000), Millis(12_000)),
        first,
        "an outdated entry has no effect"
    );
    let shorter = first.followed_by(revision(6), Millis(500), Millis(11_000));
    assert_eq!((shorter.until(), shorter.was_warm), (Millis(11_500), false));
    let turned = shorter.followed_by(revision(7), Millis(3_000), Millis(14_000));
    assert_eq!((turned.until(), turned.was_warm), (Millis(17_000), true));
}

/// Guards against requests without permits to an upstream that is cold, after a restored store has
/// returned an entry that was written before the upstream turned cold.
#[test]
fn a_restore_of_the_store_does_not_end_a_cold_time() {
    let first = entry(5, 10_000, 3_000);
    let older = first.followed_by(restored(3), Millis::ZERO, Millis(11_000));
    assert_eq!((older.until(), older.was_warm), (Millis(13_000), false));
    let again = older.followed_by(restored(3), Millis::ZERO, Millis(11_500));
    assert_eq!(again, older, "the entry is read again");
    let longer = first.followed_by(restored(3), Millis(2_500), Millis(11_000));
    assert_eq!(longer.until(), Millis(13_500), "the later end counts");
    let rewritten = older.followed_by(restored(4), Millis::ZERO, Millis(12_000));
    assert_eq!(
        rewritten.until(),
        Millis(12_000),
        "a later entry of the restored store replaces it"
    );
}

#[test]
fn an_answer_of_an_earlier_incarnation_does_not_apply_to_a_new_one() {
    let mut table = ColdTable::default();
    with_target(entry(5, 10_000, 3_000), BOUNDS, |target| {
        table.record_answer(Millis(10_500), &target, Millis::ZERO);
        let restarted = UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(2)));
        let restarted_target = ColdTarget {
            incarnation: &restarted,
            ..target
        };
        assert!(!table.span(&target).is_cold(Millis(10_600)));
        assert!(table.span(&restarted_target).is_cold(Millis(10_600)));
    });
}
