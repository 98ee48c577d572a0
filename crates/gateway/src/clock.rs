//! The clock of a process.

use std::time::Duration;

use bergamot_types::Millis;
use nix::time::ClockId;

/// Milliseconds since the start of the process, the time in which the VM was suspended among them.
///
/// What holds for a time that others rely on goes by this clock: leases, keys that must be confirmed, ages of news and
/// deadlines. The steady clock of the standard library and of timers stands still while a VM is suspended: by it
/// a key that was taken away meanwhile would be good for as much longer.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    read: fn() -> Duration,
    started: Duration,
}

/// The clock's reading at the start, so that zero is long ago, in milliseconds.
const OFFSET: u64 = 3_600_000;

impl Default for BootClock {
    fn default() -> Self {
        Self::with_source(time_since_boot)
    }
}

impl BootClock {
    /// A clock that starts now and reads the time from `read`.
    pub fn with_source(read: fn() -> Duration) -> Self {
        Self {
            read,
            started: read(),
        }
    }

    /// Time since the start of the process.
    pub fn age(&self) -> Millis {
        self.now().since(Millis(OFFSET))
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        let elapsed = (self.read)().saturating_sub(self.started);
        Millis(elapsed.as_millis() as u64 + OFFSET)
    }
}

/// Time since the machine started, suspended or not.
///
/// # Panics
/// Where the kernel has no such clock: it has come with every Linux since 2.6.39.
fn time_since_boot() -> Duration {
    let time = ClockId::CLOCK_BOOTTIME.now();
    Duration::from(time.expect("the kernel counts the time since it started"))
}
