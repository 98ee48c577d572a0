//! Time as the state machines see it: milliseconds passed in by their driver.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point on the driver's monotonic clock, or the span between two points, in milliseconds.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// An empty span, or the start of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a span of whole seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }

    /// Returns the span from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the span as a standard duration.
    pub const fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

/// Reasons why a text is not a valid time span.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum SpanError {
    /// The text is empty.
    #[error("it is empty")]
    Empty,
    /// The text holds something other than digits with at most one point: a date, a sign or a word.
    #[error("it is no number of seconds")]
    NotSeconds,
    /// The span is given more than once.
    #[error("it is named twice")]
    Repeated,
}

impl Millis {
    /// Parses a decimal number of seconds. Rounds up, so that the result is never shorter than the
    /// text states. A span that exceeds the range becomes the longest one.
    ///
    /// # Errors
    /// See [`SpanError`].
    pub fn from_decimal_secs(text: &str) -> Result<Self, SpanError> {
        let text = text.trim();
        if text.is_empty() {
            return Err(SpanError::Empty);
        }
        let has_digit = text.bytes().any(|byte| byte.is_ascii_digit());
        let is_plain = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        if !has_digit || !is_plain {
            return Err(SpanError::NotSeconds);
        }
        let seconds: f64 = text.parse().map_err(|_| SpanError::NotSeconds)?;
        Ok(Self((seconds * 1_000.0).ceil() as u64))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
