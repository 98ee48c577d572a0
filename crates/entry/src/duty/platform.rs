//! The platform duty: calls the key-value store and the VM list service. A call is sent once and not
//! retried.

use std::sync::Arc;
use std::time::Duration;

use bergamot_placement::SwapOutcome;
use bergamot_platform::{
    CallBudget, CasOutcome, Error, KvClient, KvEntry, RetryBackoff, VmListClient,
};
use bergamot_types::prelude::*;
use indexmap::IndexSet;
use parking_lot::Mutex;

use super::shared::{PlatformTask, SharedState};
use crate::control::{ControlEvent, GROUP_PREFIX, ROLL_KEY, ROSTER_KEY, home_prefix};
use crate::ring::RingReceiver;

/// Wait after the first failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the wait after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Size of the call budget's burst, in seconds of its rate.
const BURST_SECONDS: f64 = 3.0;

/// State shared by the loops of this duty.
struct Platform {
    shared: Arc<SharedState>,
    kv: KvClient,
    vm_list: VmListClient,
    /// Keys with a read in flight. A second read of such a key is skipped, since it would return
    /// nothing newer.
    reading: Mutex<IndexSet<String>>,
}

/// Runs the duty until the task ring is closed.
pub async fn run(shared: Arc<SharedState>, mut tasks: RingReceiver<PlatformTask>) {
    let settings = &shared.settings;
    let timeout = settings.tuning.platform_timeout.as_duration();
    let rate = settings.tuning.kv_calls_per_second;
    let budget = CallBudget::new(rate, rate * BURST_SECONDS);
    let platform = Arc::new(Platform {
        kv: KvClient::new(&settings.kv_url, timeout, budget),
        vm_list: VmListClient::new(&settings.vm_list_url, timeout),
        shared: Arc::clone(&shared),
        reading: Mutex::new(IndexSet::new()),
    });
    let tuning = &settings.tuning;
    shared.spawn_required("roll", roll_loop(Arc::clone(&platform), tuning.sync_period));
    shared.spawn_required(
        "roster",
        roster_loop(Arc::clone(&platform), tuning.roster_period),
    );
    shared.spawn_required(
        "vm_list",
        vm_list_loop(Arc::clone(&platform), tuning.vm_list_period),
    );
    shared.spawn_required("group_watch", watch_loop(Arc::clone(&platform)));
    shared.spawn_required(
        "remote_groups",
        remote_loop(Arc::clone(&platform), tuning.remote_period),
    );
    while let Some(task) = tasks.recv().await {
        let platform = Arc::clone(&platform);
        tokio::spawn(async move {
            match task {
                PlatformTask::Read(key) => {
                    platform.read(&key).await;
                }
                PlatformTask::Swap {
                    key,
                    expected,
                    value,
                    nonce,
                } => platform.swap(key, expected, &value, nonce).await,
            }
        });
    }
}

impl Platform {
    fn count(&self, call: &str, is_ok: bool) {
        let outcome = if is_ok { "ok" } else { "failed" };
        let calls = &self.shared.metrics.platform_calls;
        calls.with_label_values(&[call, outcome]).inc();
        let budget = self.kv.budget();
        let dump = serde_json::json!({
            "calls": budget.counts(),
            "refused_by_budget": budget.refused(),
        });
        self.shared.kv_calls.store(Arc::new(dump));
    }

    /// Reads a key and reports the result to control. Returns false if the read failed.
    async fn read(&self, key: &str) -> bool {
        if !self.reading.lock().insert(key.to_owned()) {
            return true;
        }
        let started_at = self.shared.clock.now();
        let outcome = self.kv.get(key).await;
        self.reading.lock().swap_remove(key);
        self.count("read", outcome.is_ok());
        match outcome {
            Ok(entry) => {
                self.shared.send_control(ControlEvent::Read {
                    key: key.to_owned(),
                    entry,
                    started: started_at,
                });
                true
            }
            Err(error) => {
                log::debug!("event=kv_read_failed key={key} reason={error:?}");
                self.shared.send_control(ControlEvent::ReadFailed {
                    key: key.to_owned(),
                });
                false
            }
        }
    }

    async fn read_prefix(&self, prefix: &str) -> bool {
        let started_at = self.shared.clock.now();
        let outcome = self.kv.get_prefix(prefix).await;
        self.count("read", outcome.is_ok());
        let Ok(entries) = outcome else {
            return false;
        };
        for entry in entries {
            self.report_entry(entry, started_at);
        }
        true
    }

    fn report_entry(&self, entry: KvEntry, started_at: Millis) {
        self.shared.send_control(ControlEvent::Read {
            key: entry.key.clone(),
            entry: Some(entry),
            started: started_at,
        });
    }

    async fn swap(&self, key: String, expected: i64, value: &[u8], nonce: u64) {
        let outcome = match self.kv.cas(&key, expected, value).await {
            Ok(CasOutcome::Won(revision)) => SwapOutcome::Won(revision),
            Ok(CasOutcome::Lost(_)) => SwapOutcome::Lost,
            Err(Error::BudgetSpent | Error::Connect { .. }) => SwapOutcome::NotSent,
            Err(error) => {
                log::warn!("event=kv_swap_unknown key={key} nonce={nonce} reason={error:?}");
                SwapOutcome::Unknown
            }
        };
        let is_ok = matches!(outcome, SwapOutcome::Won(_) | SwapOutcome::Lost);
        self.count("swap", is_ok);
        let is_sent = outcome != SwapOutcome::NotSent;
        let is_won = matches!(outcome, SwapOutcome::Won(_));
        self.shared.send_control(ControlEvent::Swapped {
            key: key.clone(),
            nonce,
            outcome,
        });
        if is_sent && !is_won {
            self.read(&key).await;
        }
    }
}

/// Repeats `call` forever: once per period while it succeeds, with backoff while it fails.
async fn call_periodically<Call, CallFuture>(period: Millis, mut call: Call)
where
    Call: FnMut() -> CallFuture,
    CallFuture: Future<Output = bool>,
{
    let mut backoff = RetryBackoff::new(FIRST_BACKOFF, MAX_BACKOFF);
    loop {
        let wait = match call().await {
            true => {
                backoff.reset();
                // The jitter spreads the calls of entry VMs that started at the same time.
                period.as_duration().mul_f64(rand::random_range(0.8..=1.2))
            }
            false => backoff.next_wait(&mut rand::rng()),
        };
        tokio::time::sleep(wait).await;
    }
}

async fn roll_loop(platform: Arc<Platform>, period: Millis) {
    call_periodically(period, || platform.read(ROLL_KEY)).await;
}

async fn roster_loop(platform: Arc<Platform>, period: Millis) {
    call_periodically(period, || platform.read(ROSTER_KEY)).await;
}

async fn remote_loop(platform: Arc<Platform>, period: Millis) {
    call_periodically(period, || platform.read_prefix(GROUP_PREFIX)).await;
}

async fn vm_list_loop(platform: Arc<Platform>, period: Millis) {
    call_periodically(period, || async {
        let list_result = platform.vm_list.list().await;
        platform.count("vm_list", list_result.is_ok());
        let Ok(vms) = list_result else {
            return false;
        };
        platform.shared.send_control(ControlEvent::Listed(vms));
        true
    })
    .await;
}

/// Keeps a watch open on the groups of this failure domain.
async fn watch_loop(platform: Arc<Platform>) {
    let prefix = home_prefix(&platform.shared.settings.failure_domain);
    call_periodically(Millis(100), || async {
        let watch_result = platform.kv.watch(&prefix, 0).await;
        platform.count("watch", watch_result.is_ok());
        let Ok(mut watch) = watch_result else {
            return false;
        };
        // Reads the changes from before the watch was opened.
        if !platform.read_prefix(&prefix).await {
            return false;
        }
        while let Ok(entries) = watch.next().await {
            let now = platform.shared.clock.now();
            for entry in entries {
                platform.report_entry(entry, now);
            }
        }
        false
    })
    .await;
}
