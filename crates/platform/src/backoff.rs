//! How long to wait after a failed call.

use std::time::Duration;

use rand::Rng;

/// Doubles from `first` to `most`, each wait drawn between half and the whole of it.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    first: Duration,
    most: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// A backoff before its first failure.
    pub fn new(first: Duration, most: Duration) -> Self {
        Self {
            first,
            most,
            failures: 0,
        }
    }

    /// Forgets the failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and draws the wait before the next call.
    pub fn next_wait(&mut self, random: &mut impl Rng) -> Duration {
        let factor = 1u32 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let whole = self.first.saturating_mul(factor).min(self.most);
        whole.mul_f64(random.random_range(0.5..=1.0))
    }
}
