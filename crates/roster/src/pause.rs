//! Detects pauses of the process.

use bergamot_types::Millis;

/// Detects that the process was paused, by gaps between two readings of the clock.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    max_gap: Millis,
    last_observed_at: Option<Millis>,
    pauses: u64,
}

impl PauseDetector {
    /// Creates a detector that treats a gap longer than `max_gap` as a pause.
    pub fn new(max_gap: Millis) -> Self {
        Self {
            max_gap,
            last_observed_at: None,
            pauses: 0,
        }
    }

    /// Records the current time. Returns the gap since the last call if it was a pause.
    pub fn observe(&mut self, now: Millis) -> Option<Millis> {
        let gap = self
            .last_observed_at
            .map_or(Millis::ZERO, |last_observed_at| now.since(last_observed_at));
        self.last_observed_at = Some(now);
        if gap <= self.max_gap {
            return None;
        }
        self.pauses += 1;
        Some(gap)
    }

    /// Returns the number of pauses detected so far.
    pub fn pauses(&self) -> u64 {
        self.pauses
    }
}
