//! Request rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Requests per second, stored in thousandths. Finer digits are truncated, so that a parsed rate
/// never exceeds the stated one.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SendRate(u32);

/// Thousandths in one request per second.
const MILLI_PER_REQUEST: u32 = 1_000;
/// Maximum length of a rate in text form, in bytes.
const MAX_RATE_BYTES: usize = 32;

/// Reasons why a text is not a valid rate.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum RateError {
    /// The text is empty.
    #[error("it is empty")]
    Empty,
    /// The text holds something other than digits with at most one point. Signs, exponents and
    /// infinities are invalid.
    #[error("it is no decimal number")]
    NotDecimal,
    /// The text is longer than any valid rate.
    #[error("it is too long")]
    TooLong,
    /// The rate is given more than once.
    #[error("it is named twice")]
    Repeated,
}

impl SendRate {
    /// Creates a rate from thousandths of a request per second.
    pub const fn from_milli(milli: u32) -> Self {
        Self(milli)
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / f64::from(MILLI_PER_REQUEST)
    }
}

impl FromStr for SendRate {
    type Err = RateError;

    /// Parses a decimal number of requests per second. A rate that exceeds the range becomes the
    /// largest one.
    fn from_str(text: &str) -> Result<Self, RateError> {
        let text = text.trim();
        if text.is_empty() {
            return Err(RateError::Empty);
        }
        if text.len() > MAX_RATE_BYTES {
            return Err(RateError::TooLong);
        }
        let has_digit = text.bytes().any(|byte| byte.is_ascii_digit());
        let point_count = text.bytes().filter(|byte| *byte == b'.').count();
        let is_plain = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        if !has_digit || point_count > 1 || !is_plain {
            return Err(RateError::NotDecimal);
        }
        let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
        let whole = match whole.is_empty() {
            true => 0,
            false => whole.parse::<u32>().unwrap_or(u32::MAX),
        };
        let thousandths = fraction.bytes().chain(std::iter::repeat(b'0')).take(3);
        let fraction = thousandths.fold(0, |sum, digit| sum * 10 + u32::from(digit - b'0'));
        Ok(Self(
            whole
                .saturating_mul(MILLI_PER_REQUEST)
                .saturating_add(fraction),
        ))
    }
}

impl fmt::Display for SendRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03}",
            self.0 / MILLI_PER_REQUEST,
            self.0 % MILLI_PER_REQUEST
        )
    }
}
