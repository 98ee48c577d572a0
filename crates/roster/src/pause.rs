//! Notices that the process itself stood still.

use bergamot_types::Millis;

/// Compares the time between two looks at the clock with how often it should be looked at.
#[derive(Clone, Debug)]
pub struct PauseWatch {
    allowed: Millis,
    last: Option<Millis>,
    pauses: u64,
}

impl PauseWatch {
    /// A watch that takes a gap longer than `allowed` for a pause.
    pub fn new(allowed: Millis) -> Self {
        Self {
            allowed,
            last: None,
            pauses: 0,
        }
    }

    /// Notes the time, and returns the gap if it was a pause.
    pub fn observe(&mut self, now: Millis) -> Option<Millis> {
        let gap = self.last.map_or(Millis::ZERO, |last| now.since(last));
        self.last = Some(now);
        if gap <= self.allowed {
            return None;
        }
        self.pauses += 1;
        Some(gap)
    }

    /// Pauses seen so far.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}
