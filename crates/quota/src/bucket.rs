//! A token bucket.

use bergamot_types::Millis;

/// Tokens that refill over time, up to a capacity. Unless stated otherwise, that is one second's
/// worth or one whole token.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket that gains `rate` tokens per second.
    pub fn new(rate: f64, now: Millis) -> Self {
        Self {
            tokens: rate.max(1.0),
            ..Self::empty(rate, now)
        }
    }

    /// Creates an empty bucket that gains `rate` tokens per second.
    pub const fn empty(rate: f64, now: Millis) -> Self {
        Self {
            rate,
            capacity: rate.max(1.0),
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Adds one token, up to the capacity.
    #[must_use]
    pub fn with_token(mut self) -> Self {
        self.tokens = (self.tokens + 1.0).min(self.capacity);
        self
    }

    /// Changes the rate from now on. Saved tokens above the new capacity are dropped.
    pub fn set_rate(&mut self, now: Millis, rate: f64) {
        self.set_rate_and_capacity(now, rate, rate.max(1.0));
    }

    /// Changes the rate and the capacity from now on. Saved tokens above the new capacity are
    /// dropped.
    pub fn set_rate_and_capacity(&mut self, now: Millis, rate: f64, capacity: f64) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Millis) -> bool {
        self.take_above_reserve(now, 0.0)
    }

    /// Takes one token if at least `reserve` tokens remain.
    pub fn take_above_reserve(&mut self, now: Millis, reserve: f64) -> bool {
        self.refill(now);
        if self.tokens < 1.0 + reserve {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the time until the next token.
    pub fn wait(&self) -> Millis {
        self.wait_for(1.0)
    }

    /// Returns the time until the bucket holds this many tokens, as of the last refill.
    pub fn wait_for(&self, tokens: f64) -> Millis {
        let missing = (tokens - self.tokens).max(0.0);
        let seconds = missing / self.rate.max(1e-6);
        Millis((seconds * 1_000.0).ceil().min(3_600_000.0) as u64)
    }

    fn refill(&mut self, now: Millis) {
        let refilled = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refilled).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }
}
