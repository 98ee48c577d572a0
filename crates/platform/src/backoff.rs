//! Exponential backoff after failed calls.

use std::time::Duration;

use rand::Rng;

/// Computes delays that double with each consecutive failure, from an initial to a maximum delay.
/// Each delay is drawn at random between half of that value and the full value.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    initial_delay: Duration,
    max_delay: Duration,
    failures: u32,
}

impl RetryBackoff {
    /// Creates a backoff without any failures.
    pub fn new(initial_delay: Duration, max_delay: Duration) -> Self {
        Self {
            initial_delay,
            max_delay,
            failures: 0,
        }
    }

    /// Resets the failure count after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the delay before the next call.
    pub fn next_wait(&mut self, random: &mut impl Rng) -> Duration {
        let factor = 1u32 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let full_delay = self
            .initial_delay
            .saturating_mul(factor)
            .min(self.max_delay);
        full_delay.mul_f64(random.random_range(0.5..=1.0))
    }
}
