//! A rate limit.

use bergamot_types::Millis;

/// Tokens that refill with time, up to one second's worth or one whole token.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    filled_at: Millis,
}

impl TokenBucket {
    /// A bucket of `rate` tokens per second, full.
    pub fn new(rate: f64, now: Millis) -> Self {
        Self {
            tokens: rate.max(1.0),
            ..Self::empty(rate, now)
        }
    }

    /// The same without a token yet.
    pub const fn empty(rate: f64, now: Millis) -> Self {
        Self {
            rate,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Changes the rate from now on. What was saved up is cut to the new rate's most.
    pub fn set_rate(&mut self, now: Millis, rate: f64) {
        self.fill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.most());
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Millis) -> bool {
        self.take_above(now, 0.0)
    }

    /// Takes one token if `reserve` are left after it.
    pub fn take_above(&mut self, now: Millis, reserve: f64) -> bool {
        self.fill(now);
        if self.tokens < 1.0 + reserve {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Time until the next token.
    pub fn wait(&self) -> Millis {
        self.wait_for(1.0)
    }

    /// Time until so many tokens have come in all, as of the last fill.
    pub fn wait_for(&self, tokens: f64) -> Millis {
        let lacking = (tokens - self.tokens).max(0.0);
        let seconds = lacking / self.rate.max(1e-6);
        Millis((seconds * 1_000.0).ceil().min(3_600_000.0) as u64)
    }

    fn most(&self) -> f64 {
        self.rate.max(1.0)
    }

    fn fill(&mut self, now: Millis) {
        let earned = now.since(self.filled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.most());
        self.filled_at = self.filled_at.max(now);
    }
}
