//! Time as the decision crates see it: milliseconds handed in by whoever drives them.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point on the driver's monotonic clock, or a span between two, in milliseconds.
#[derive(
    Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Debug, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// No time at all, or the start of the clock.
    pub const ZERO: Self = Self(0);

    /// A span of whole seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }

    /// The span from `earlier` to `self`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// The span as a standard duration.
    pub const fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

/// Why a text names no time span.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum SpanError {
    /// There is nothing to read.
    #[error("it is empty")]
    Empty,
    /// Other than digits with at most one point: a date, a sign or a word.
    #[error("it is no number of seconds")]
    NotSeconds,
    /// Named more than once.
    #[error("it is named twice")]
    Repeated,
}

impl Millis {
    /// Reads a decimal number of seconds, rounded up, so that a span is never read as shorter than was named. One that is too
    /// long to be kept is read as the longest.
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
