//! Rates at which requests are sent.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Requests a second, kept in thousandths. What is finer is cut off, so a rate is never read as more than was named.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SendRate(u32);

/// Thousandths in one request a second.
const MILLI: u32 = 1_000;
/// The longest text that is read as a rate, in bytes.
const MAX_RATE_BYTES: usize = 32;

/// Why a text names no rate.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum RateError {
    /// There is nothing to read.
    #[error("it is empty")]
    Empty,
    /// Other than digits with at most one point, which leaves out signs, exponents and infinities.
    #[error("it is no decimal number")]
    NotDecimal,
    /// Longer than any rate.
    #[error("it is too long")]
    TooLong,
    /// Named more than once.
    #[error("it is named twice")]
    Repeated,
}

impl SendRate {
    /// A rate in thousandths of a request a second.
    pub const fn from_milli(milli: u32) -> Self {
        Self(milli)
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / f64::from(MILLI)
    }
}

impl FromStr for SendRate {
    type Err = RateError;

    /// Reads a decimal number of requests a second. One that is too large to be kept is read as the largest.
    fn from_str(text: &str) -> Result<Self, RateError> {
        let text = text.trim();
        if text.is_empty() {
            return Err(RateError::Empty);
        }
        if text.len() > MAX_RATE_BYTES {
            return Err(RateError::TooLong);
        }
        let has_digit = text.bytes().any(|byte| byte.is_ascii_digit());
        let points = text.bytes().filter(|byte| *byte == b'.').count();
        let is_plain = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        if !has_digit || points > 1 || !is_plain {
            return Err(RateError::NotDecimal);
        }
        let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
        let whole = match whole.is_empty() {
            true => 0,
            false => whole.parse::<u32>().unwrap_or(u32::MAX),
        };
        let thousandths = fraction.bytes().chain(std::iter::repeat(b'0')).take(3);
        let fraction = thousandths.fold(0, |sum, digit| sum * 10 + u32::from(digit - b'0'));
        Ok(Self(whole.saturating_mul(MILLI).saturating_add(fraction)))
    }
}

impl fmt::Display for SendRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / MILLI, self.0 % MILLI)
    }
}
