//! Which of two observations of an upstream's limit is in force.

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
fn the_later_limit_is_in_force_or_the_lower_one_if_the_order_is_unknown() {
    let cases = [
        OrderCase {
            name: "an answer to a request sent after the limit was received withdraws it",
            observations: vec![observation(0, 10, Some(2_000)), observation(10, 30, None)],
            expected: None,
        },
        OrderCase {
            name: "an overtaken answer does not withdraw a limit",
            observations: vec![observation(20, 30, Some(2_000)), observation(0, 40, None)],
            expected: Some(2_000),
        },
        OrderCase {
            name: "a limit received before the withdrawing request was sent is outdated",
            observations: vec![
                observation(0, 5, Some(9_000)),
                observation(50, 60, None),
                observation(10, 40, Some(2_000)),
            ],
            expected: None,
        },
        OrderCase {
            name: "raised by a later answer",
            observations: vec![
                observation(0, 10, Some(2_000)),
                observation(11, 30, Some(5_000)),
            ],
            expected: Some(5_000),
        },
        OrderCase {
            name: "raised by an overtaken answer",
            observations: vec![
                observation(0, 10, Some(2_000)),
                observation(5, 30, Some(5_000)),
            ],
            expected: Some(2_000),
        },
        OrderCase {
            name: "lowered by an overtaken answer",
            observations: vec![
                observation(0, 10, Some(5_000)),
                observation(5, 30, Some(2_000)),
            ],
            expected: Some(2_000),
        },
        OrderCase {
            name: "lowered to zero",
            observations: vec![
                observation(0, 10, Some(5_000)),
                observation(20, 30, Some(0)),
            ],
            expected: Some(0),
        },
        OrderCase {
            name: "advertised again: an earlier request's answer does not withdraw it",
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
            table.record(&incarnation(1), observation);
        }
        let expected = case.expected.map(SendRate::from_milli);
        assert_eq!(table.rate(&incarnation(1)), expected, "{}", case.name);
    }
}

#[test]
fn a_change_is_returned_once() {
    let mut table = LimitTable::default();
    let advertised = LimitChange::Advertised(SendRate::from_milli(2_000));
    assert_eq!(
        table.record(&incarnation(1), observation(0, 10, None)),
        None
    );
    assert_eq!(
        table.record(&incarnation(1), observation(0, 10, Some(2_000))),
        Some(advertised)
    );
    assert_eq!(
        table.record(&incarnation(1), observation(11, 20, Some(2_000))),
        None
    );
    let withdrawn = Some(LimitChange::Withdrawn);
    assert_eq!(
        table.record(&incarnation(1), observation(21, 30, None)),
        withdrawn
    );
    assert_eq!(
        table.record(&incarnation(1), observation(31, 40, None)),
        None
    );
}

#[test]
fn a_limit_applies_only_to_the_incarnation_that_advertised_it() {
    let mut table = LimitTable::default();
    table.record(&incarnation(1), observation(0, 10, Some(2_000)));
    assert_eq!(table.rate(&incarnation(2)), None);
    assert_eq!(table.len(), 1);
    table.retain(|listed| *listed == incarnation(2), Millis(700_000));
    assert!(table.is_empty());
}

#[test]
fn a_malformed_limit_keeps_the_previous_one_and_is_logged_once() {
    let mut table = LimitTable::default();
    table.record(&incarnation(1), observation(0, 10, Some(2_000)));
    assert!(table.record_malformed(&incarnation(1), RateError::Empty));
    assert!(!table.record_malformed(&incarnation(1), RateError::Empty));
    assert!(table.record_malformed(&incarnation(1), RateError::Repeated));
    assert_eq!(
        table.rate(&incarnation(1)),
        Some(SendRate::from_milli(2_000))
    );
}

#[test]
fn a_limit_survives_a_temporary_absence_from_the_directory() {
    let mut table = LimitTable::default();
    table.record(&incarnation(1), observation(0, 10, Some(2_000)));
    table.retain(|_| false, Millis(60_000));
    assert_eq!(
        table.rate(&incarnation(1)),
        Some(SendRate::from_milli(2_000))
    );
    table.retain(|_| true, Millis(90_000));
    table.retain(|_| false, Millis(600_000));
    assert_eq!(table.len(), 1);
    table.retain(|_| false, Millis(690_000));
    assert!(table.is_empty(), "the limit expired");
}
