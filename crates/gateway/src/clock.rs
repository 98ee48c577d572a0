//! Process clock that keeps counting while the VM is suspended.

use std::time::Duration;

use bergamot_types::Millis;
use nix::time::ClockId;

/// Milliseconds since the start of the process, including time during which the VM was suspended.
///
/// Measures every period that other processes rely on: leases, confirmations of API keys, ages of
/// store updates, and deadlines. The monotonic clock of the standard library and of timers stops
/// while a VM is suspended: measured by it, a key that was revoked meanwhile would stay valid for
/// that much longer.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    read_time: fn() -> Duration,
    started_at: Duration,
}

/// Reading of the clock at the start of the process, in milliseconds. Places zero far in the past.
const OFFSET: u64 = 3_600_000;

impl Default for BootClock {
    fn default() -> Self {
        Self::with_source(time_since_boot)
    }
}

impl BootClock {
    /// Creates a clock that starts now and reads the time since boot from `read_time`.
    pub fn with_source(read_time: fn() -> Duration) -> Self {
        Self {
            read_time,
            started_at: read_time(),
        }
    }

    /// Returns the time since the start of the process.
    pub fn age(&self) -> Millis {
        self.now().since(Millis(OFFSET))
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        let elapsed = (self.read_time)().saturating_sub(self.started_at);
        Millis(elapsed.as_millis() as u64 + OFFSET)
    }
}

/// Returns the time since the VM booted, including time during which it was suspended.
///
/// # Panics
/// If the kernel lacks `CLOCK_BOOTTIME`, which Linux has had since 2.6.39.
fn time_since_boot() -> Duration {
    let time = ClockId::CLOCK_BOOTTIME.now();
    Duration::from(time.expect("the kernel supports CLOCK_BOOTTIME"))
}
