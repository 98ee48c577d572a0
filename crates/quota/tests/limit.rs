//! Which of two words of an upstream holds.

use bergamot_quota::{LimitChange, LimitObservation, LimitTable};
use bergamot_types::prelude::*;

fn incarnation(started_at: u64) -> UpstreamIncarnation {
    UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(started_at)))
}

const fn observation(sent_at: u64, received_at: u64, milli: Option<u32>) -> LimitObservation {
    LimitObservation {
        rate: match milli {
            Some(milli) => Some(SendRate::from_milli(milli)),
            None => None,
        },
        sent_at: Millis(sent_at),
        received_at: Millis(received_at),
    }
}

struct OrderCase {
    name: &'static str,
    observations: Vec<LimitObservation>,
    expected: Option<u32>,
}

#[test]
fn the_younger_word_holds_and_the_lower_one_where_the_order_is_not_known() {
    let cases = [
        OrderCase {
            name: "an answer to a request that was sent after the limit was heard ends it",
            observations: vec![observation(0, 10, Some(2_000)), observation(10, 30, None)],
            expected: None,
        },
        OrderCase {
            name: "an answer that was overtaken does not end a limit",
            observations: vec![observation(20, 30, Some(2_000)), observation(0, 40, None)],
            expected: Some(2_000),
        },
        OrderCase {
            name: "a limit that was heard before its end was sent for is old",
            observations: vec![
                observation(0, 5, Some(9_000)),
                observation(50, 60, None),
                observation(10, 40, Some(2_000)),
            ],
            expected: None,
        },
        OrderCase {
            name: "raised",
            observations: vec![
                observation(0, 10, Some(2_000)),
                observation(11, 30, Some(5_000)),
            ],
            expected: Some(5_000),
        },
        OrderCase {
            name: "raised by an answer that was overtaken",
            observations: vec![
                observation(0, 10, Some(2_000)),
                observation(5, 30, Some(5_000)),
            ],
            expected: Some(2_000),
        },
        OrderCase {
            name: "lowered by an answer that was overtaken",
            observations: vec![
                observation(0, 10, Some(5_000)),
                observation(5, 30, Some(2_000)),
            ],
            expected: Some(2_000),
        },
        OrderCase {
            name: "lowered to nothing",
            observations: vec![
                observation(0, 10, Some(5_000)),
                observation(20, 30, Some(0)),
            ],
            expected: Some(0),
        },
        OrderCase {
            name: "named again meanwhile, so that an answer sent for before does not end it",
            observations: vec![
                observation(0, 10, Some(2_000)),
                observation(5, 50, Some(2_000)),
                observation(20, 60, None),
            ],
            expected: Some(2_000),
        },
    ];
    for case in cases {
        let mut table = LimitTable::default();
        for observation in case.observations {
            table.note(&incarnation(1), observation);
        }
        let expected = case.expected.map(SendRate::from_milli);
        assert_eq!(table.rate(&incarnation(1)), expected, "{}", case.name);
    }
}

#[test]
fn a_change_is_told_once() {
    let mut table = LimitTable::default();
    let named = LimitChange::Advertised(SendRate::from_milli(2_000));
    assert_eq!(table.note(&incarnation(1), observation(0, 10, None)), None);
    assert_eq!(
        table.note(&incarnation(1), observation(0, 10, Some(2_000))),
        Some(named)
    );
    assert_eq!(
        table.note(&incarnation(1), observation(11, 20, Some(2_000))),
        None
    );
    let ended = Some(LimitChange::Withdrawn);
    assert_eq!(
        table.note(&incarnation(1), observation(21, 30, None)),
        ended
    );
    assert_eq!(table.note(&incarnation(1), observation(31, 40, None)), None);
}

#[test]
fn a_limit_ends_with_the_run_that_named_it() {
    let mut table = LimitTable::default();
    table.note(&incarnation(1), observation(0, 10, Some(2_000)));
    assert_eq!(table.rate(&incarnation(2)), None);
    assert_eq!(table.len(), 1);
    table.retain(|kept| *kept == incarnation(2), Millis(700_000));
    assert!(table.is_empty());
}

#[test]
fn a_word_that_cannot_be_read_leaves_the_one_before_it_and_is_logged_once() {
    let mut table = LimitTable::default();
    table.note(&incarnation(1), observation(0, 10, Some(2_000)));
    assert!(table.record_malformed(&incarnation(1), RateError::Empty));
    assert!(!table.record_malformed(&incarnation(1), RateError::Empty));
    assert!(table.record_malformed(&incarnation(1), RateError::Repeated));
    assert_eq!(
        table.rate(&incarnation(1)),
        Some(SendRate::from_milli(2_000))
    );
}

#[test]
fn an_upstream_that_was_out_of_the_directory_for_a_while_has_its_limit_still() {
    let mut table = LimitTable::default();
    table.note(&incarnation(1), observation(0, 10, Some(2_000)));
    table.retain(|_| false, Millis(60_000));
    assert_eq!(
        table.rate(&incarnation(1)),
        Some(SendRate::from_milli(2_000))
    );
    table.retain(|_| true, Millis(90_000));
    table.retain(|_| false, Millis(600_000));
    assert_eq!(table.len(), 1);
    table.retain(|_| false, Millis(690_000));
    assert!(table.is_empty(), "it is gone");
}
