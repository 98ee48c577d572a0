//! The monotonic clock as the decision crates see it.

use std::time::Instant;

use bergamot_types::Millis;

/// Milliseconds since some time before the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Instant,
}

/// The clock's reading at the start, so that zero is long ago.
const OFFSET: u64 = 3_600_000;

impl Default for MonotonicClock {
    fn default() -> Self {
        Self {
            started: Instant::now(),
        }
    }
}

impl MonotonicClock {
    /// The time now.
    pub fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64 + OFFSET)
    }
}
