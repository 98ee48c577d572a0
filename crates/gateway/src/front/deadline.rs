//! Waits that end at a deadline, also where the VM is suspended meanwhile.

use std::time::Duration;

use bergamot_types::prelude::*;

use crate::clock::BootClock;

/// Time between two looks at the clock: a timer runs that much longer at most when the VM comes back. Callers wait for
/// seconds, and a look costs one wake-up.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// The deadline has passed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DeadlinePassed;

/// Waits for `work` until the deadline. Timers stand still while a VM is suspended, and its callers go on.
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
        let left = deadline.since(clock.now());
        if left == Millis::ZERO {
            return Err(DeadlinePassed);
        }
        let pause = left.as_duration().min(LOOK_PERIOD);
        if let Ok(done) = tokio::time::timeout(pause, &mut work).await {
            return Ok(done);
        }
    }
}
