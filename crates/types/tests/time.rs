//! Tests of parsing time spans.

use bergamot_types::prelude::*;

struct SpanCase {
    text: &'static str,
    expected: Result<u64, SpanError>,
}

#[test]
fn only_plain_decimal_numbers_parse_as_a_span() {
    let cases = [
        SpanCase {
            text: "3",
            expected: Ok(3_000),
        },
        SpanCase {
            text: " 0.25 ",
            expected: Ok(250),
        },
        SpanCase {
            text: "0.0001",
            expected: Ok(1),
        },
        SpanCase {
            text: "0",
            expected: Ok(0),
        },
        SpanCase {
            text: "99999999999999999999999",
            expected: Ok(u64::MAX),
        },
        SpanCase {
            text: "",
            expected: Err(SpanError::Empty),
        },
        SpanCase {
            text: "-1",
            expected: Err(SpanError::NotSeconds),
        },
        SpanCase {
            text: "1e9",
            expected: Err(SpanError::NotSeconds),
        },
        SpanCase {
            text: "inf",
            expected: Err(SpanError::NotSeconds),
        },
        SpanCase {
            text: "1.2.3",
            expected: Err(SpanError::NotSeconds),
        },
        SpanCase {
            text: "Wed, 21 Oct 2026 07:28:00 GMT",
            expected: Err(SpanError::NotSeconds),
        },
    ];
    for case in cases {
        let span = Millis::from_decimal_secs(case.text);
        assert_eq!(span, case.expected.map(Millis), "{:?}", case.text);
    }
}
