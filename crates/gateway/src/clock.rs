//! The monotonic clock of a process.

use std::time::Instant;

use bergamot_types::Millis;

/// Milliseconds since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Instant,
}

/// The clock's reading at the start, so that zero is long ago, in milliseconds.
const OFFSET: u64 = 3_600_000;

impl Default for MonotonicClock {
    fn default() -> Self {
        Self {
            started: Instant::now(),
        }
    }
}

impl MonotonicClock {
    /// Time since the start of the process.
    pub fn age(&self) -> Millis {
        self.now().since(Millis(OFFSET))
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64 + OFFSET)
    }
}
