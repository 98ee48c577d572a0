//! Holds processes to a share of a core, as the quota of a small VM does.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use procfs::process::Process;

/// Period of the quota, as Linux sets it for control groups.
const QUOTA_PERIOD: Duration = Duration::from_millis(100);
/// Time between two looks at the processor time that a process has used: below the quota of one period at a
/// fiftieth of a core.
const LOOK_PERIOD: Duration = Duration::from_millis(1);

/// A process's quota, in force until dropped.
pub struct CpuQuota {
    is_over: Arc<AtomicBool>,
}

impl CpuQuota {
    /// Holds the process with this id to a share of a core, in permille.
    pub fn limit(id: i32, permille: u32) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&is_over);
        std::thread::spawn(move || hold(id, permille, &seen));
        Self { is_over }
    }
}

impl Drop for CpuQuota {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// Stops the process when it has used up its quota of a period, until the period is over.
fn hold(id: i32, permille: u32, is_over: &AtomicBool) {
    let quota = QUOTA_PERIOD * permille / 1_000;
    let mut period_end = Instant::now() + QUOTA_PERIOD;
    let Some(mut period_start_use) = processor_time(id) else {
        return;
    };
    let mut is_stopped = false;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(LOOK_PERIOD);
        let Some(used) = processor_time(id) else {
            return;
        };
        if Instant::now() >= period_end {
            // What was used beyond the quota comes off the next one.
            period_start_use = used.min(period_start_use + quota);
            period_end += QUOTA_PERIOD;
        }
        let is_used_up = used >= period_start_use + quota;
        if is_used_up != is_stopped {
            signal(id, is_used_up);
            is_stopped = is_used_up;
        }
    }
    signal(id, false);
}

fn signal(id: i32, stops: bool) {
    let signal = match stops {
        true => Signal::SIGSTOP,
        false => Signal::SIGCONT,
    };
    if let Err(error) = kill(Pid::from_raw(id), signal) {
        eprintln!("{signal} not sent to {id}: {error}");
    }
}

/// The processor time of all threads of a process.
fn processor_time(id: i32) -> Option<Duration> {
    let tasks = Process::new(id).ok()?.tasks().ok()?;
    let times = tasks.filter_map(|task| task.ok()?.schedstat().ok());
    let total: u64 = times.map(|times| times.sum_exec_runtime).sum();
    (total > 0).then(|| Duration::from_nanos(total))
}
