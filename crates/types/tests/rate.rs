//! Tests of parsing and formatting rates.

use bergamot_types::prelude::*;

struct RateCase {
    text: &'static str,
    expected: Result<u32, RateError>,
}

#[test]
fn only_plain_decimal_numbers_parse_as_a_rate() {
    let cases = [
        RateCase {
            text: "1.9",
            expected: Ok(1_900),
        },
        RateCase {
            text: " 2 ",
            expected: Ok(2_000),
        },
        RateCase {
            text: "0",
            expected: Ok(0),
        },
        RateCase {
            text: ".25",
            expected: Ok(250),
        },
        RateCase {
            text: "3.",
            expected: Ok(3_000),
        },
        RateCase {
            text: "0.0019",
            expected: Ok(1),
        },
        RateCase {
            text: "99999999999999999999",
            expected: Ok(u32::MAX),
        },
        RateCase {
            text: "",
            expected: Err(RateError::Empty),
        },
        RateCase {
            text: "  ",
            expected: Err(RateError::Empty),
        },
        RateCase {
            text: ".",
            expected: Err(RateError::NotDecimal),
        },
        RateCase {
            text: "-1",
            expected: Err(RateError::NotDecimal),
        },
        RateCase {
            text: "+1",
            expected: Err(RateError::NotDecimal),
        },
        RateCase {
            text: "1e3",
            expected: Err(RateError::NotDecimal),
        },
        RateCase {
            text: "inf",
            expected: Err(RateError::NotDecimal),
        },
        RateCase {
            text: "NaN",
            expected: Err(RateError::NotDecimal),
        },
        RateCase {
            text: "1,5",
            expected: Err(RateError::NotDecimal),
        },
        RateCase {
            text: "1.2.3",
            expected: Err(RateError::NotDecimal),
        },
        RateCase {
            text: "1111111111111111111111111111111111",
            expected: Err(RateError::TooLong),
        },
    ];
    for case in cases {
        let rate = case.text.parse::<SendRate>();
        let expected = case.expected.map(SendRate::from_milli);
        assert_eq!(rate, expected, "{:?}", case.text);
    }
}

#[test]
fn formatting_restores_the_parsed_text() {
    for text in ["0.000", "1.900", "12.345", "4000.001"] {
        let rate: SendRate = text.parse().expect("a valid rate");
        assert_eq!(rate.to_string(), text);
    }
}
