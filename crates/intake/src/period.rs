//! What a thread did in a period.

use std::time::Duration;

/// How a thread spent the time between two ticks of a timer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ThreadPeriod {
    /// Length of the period.
    pub elapsed: Duration,
    /// Time in which the thread waited for events.
    pub parked: Duration,
    /// How long after it was due the tick was handled.
    pub lateness: Duration,
}

impl ThreadPeriod {
    /// Returns the time in which the thread could not have handled another event at once. A thread that
    /// is denied the processor while it waits counts as busy for as long as its tick is late.
    pub fn busy(&self) -> Duration {
        let working = self.elapsed.saturating_sub(self.parked);
        working.max(self.lateness).min(self.elapsed)
    }
}
