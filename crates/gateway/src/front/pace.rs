//! How busy the callers' thread is.

use std::cell::Cell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bergamot_intake::{IntakeChange, ThreadPeriod};

use super::FrontContext;

/// Counts the time that a thread waits for events. Its two methods are the thread's park hooks.
#[derive(Debug)]
pub struct ParkMeter {
    created_at: Instant,
    parked_at_us: AtomicU64,
    parked_us: AtomicU64,
}

impl Default for ParkMeter {
    fn default() -> Self {
        Self {
            created_at: Instant::now(),
            parked_at_us: AtomicU64::new(0),
            parked_us: AtomicU64::new(0),
        }
    }
}

impl ParkMeter {
    /// Records that the thread begins to wait.
    pub fn park(&self) {
        self.parked_at_us.store(self.age_us(), Ordering::Relaxed);
    }

    /// Records that the thread goes on.
    pub fn unpark(&self) {
        let parked_at_us = self.parked_at_us.load(Ordering::Relaxed);
        let waited_us = self.age_us().saturating_sub(parked_at_us);
        self.parked_us.fetch_add(waited_us, Ordering::Relaxed);
    }

    /// Returns the time spent waiting so far.
    fn parked(&self) -> Duration {
        Duration::from_micros(self.parked_us.load(Ordering::Relaxed))
    }

    fn age_us(&self) -> u64 {
        self.created_at.elapsed().as_micros() as u64
    }
}

/// Divides the time of the callers' thread into periods.
#[derive(Debug)]
pub struct PaceMeter {
    ticked_at: Cell<Instant>,
    parked: Cell<Duration>,
}

impl Default for PaceMeter {
    fn default() -> Self {
        Self {
            ticked_at: Cell::new(Instant::now()),
            parked: Cell::default(),
        }
    }
}

impl PaceMeter {
    /// Ends a period with a tick that was due at `due`, and returns how the thread spent it.
    pub fn record_tick(&self, due: Instant, parks: &ParkMeter) -> ThreadPeriod {
        let (now, parked) = (Instant::now(), parks.parked());
        let ticked_at = self.ticked_at.replace(now);
        ThreadPeriod {
            elapsed: now.saturating_duration_since(ticked_at),
            parked: parked.saturating_sub(self.parked.replace(parked)),
            lateness: now.saturating_duration_since(due),
        }
    }
}

/// Records how busy this thread was since the last tick, which was due at `due`.
pub fn record_pace<Dialect>(front: &FrontContext<Dialect>, due: Instant) {
    let period = front.pace.record_tick(due, &front.shared.parks);
    let times = [
        ("all", period.elapsed),
        ("busy", period.busy()),
        ("late", period.lateness),
    ];
    for (thread_use, time) in times {
        let total = &front.shared.metrics.thread_time;
        let total = total.with_label_values(&[thread_use]);
        total.inc_by(time.as_micros() as u64);
    }
    let change = front.intake.borrow_mut().record_period(period);
    match change {
        Some(IntakeChange::Limited(rate)) => {
            log::info!("event=intake_limited connections_per_second={rate:.0}");
            front.shared.metrics.set_state("intake_limited", 1);
        }
        Some(IntakeChange::Unlimited) => {
            log::info!("event=intake_unlimited");
            front.shared.metrics.set_state("intake_limited", 0);
        }
        None => {}
    }
}

/// A connection that waits for the first run of its task.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedAt(Instant);

impl AcceptedAt {
    /// Starts the measurement.
    pub fn now() -> Self {
        Self(Instant::now())
    }

    /// Records the delay of the task of a connection from `source`.
    pub fn record_delay<Dialect>(self, front: &FrontContext<Dialect>, source: &str) {
        let delays = &front.shared.metrics.accept_delay;
        let delay = self.0.elapsed().as_secs_f64();
        delays.with_label_values(&[source]).observe(delay);
    }
}
