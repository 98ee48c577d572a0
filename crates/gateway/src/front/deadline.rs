//! Waits with a deadline that also hold when the VM is suspended in between.

use std::time::Duration;

use bergamot_types::prelude::*;

use crate::clock::BootClock;

/// Time between two checks of the clock, which bounds how late a wait ends after the VM resumes.
/// Callers wait for seconds, and each check costs one wake-up.
const CLOCK_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The deadline has passed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DeadlinePassed;

/// Waits for `work` until the deadline. Timers stop while a VM is suspended, but its callers'
/// deadlines do not, so the clock is checked again at short intervals.
pub async fn with_deadline<Work>(
    clock: BootClock,
    deadline: Millis,
    work: Work,
) -> Result<Work::Output, DeadlinePassed>
where
    Work: Future,
{
    tokio::pin!(work);
    loop {
        let time_left = deadline.since(clock.now());
        if time_left == Millis::ZERO {
            return Err(DeadlinePassed);
        }
        let wait = time_left.as_duration().min(CLOCK_CHECK_PERIOD);
        if let Ok(output) = tokio::time::timeout(wait, &mut work).await {
            return Ok(output);
        }
    }
}
