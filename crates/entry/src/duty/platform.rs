//! The platform duty: calls the key-value service and the VM list, each call once.

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

/// The first wait after a failed call.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// The longest wait after failed calls.
const MOST_BACKOFF: Duration = Duration::from_secs(5);
/// Calls that may come at once.
const BURST_SECONDS: f64 = 3.0;

/// What the loops of this duty share.
struct Platform {
    shared: Arc<SharedState>,
    kv: KvClient,
    vm_list: VmListClient,
    /// Keys that are being read: a second read would learn nothing more.
    reading: Mutex<IndexSet<String>>,
}

/// Runs until the ring closes.
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
    tokio::spawn(sync_loop(Arc::clone(&platform), tuning.sync_period));
    tokio::spawn(roster_loop(Arc::clone(&platform), tuning.roster_period));
    tokio::spawn(list_loop(Arc::clone(&platform), tuning.vm_list_period));
    tokio::spawn(watch_loop(Arc::clone(&platform)));
    tokio::spawn(remote_loop(Arc::clone(&platform), tuning.remote_period));
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

    /// Reads a key; false if it was not read.
    async fn read(&self, key: &str) -> bool {
        if !self.reading.lock().insert(key.to_owned()) {
            return true;
        }
        let started = self.shared.clock.now();
        let outcome = self.kv.get(key).await;
        self.reading.lock().swap_remove(key);
        self.count("read", outcome.is_ok());
        match outcome {
            Ok(entry) => {
                self.shared.tell_control(ControlEvent::Read {
                    key: key.to_owned(),
                    entry,
                    started,
                });
                true
            }
            Err(error) => {
                log::debug!("event=kv_read_failed key={key} reason={error:?}");
                self.shared.tell_control(ControlEvent::ReadFailed {
                    key: key.to_owned(),
                });
                false
            }
        }
    }

    async fn read_prefix(&self, prefix: &str) -> bool {
        let started = self.shared.clock.now();
        let outcome = self.kv.get_prefix(prefix).await;
        self.count("read", outcome.is_ok());
        let Ok(entries) = outcome else {
            return false;
        };
        for entry in entries {
            self.tell(entry, started);
        }
        true
    }

    fn tell(&self, entry: KvEntry, started: Millis) {
        self.shared.tell_control(ControlEvent::Read {
            key: entry.key.clone(),
            entry: Some(entry),
            started,
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
        let is_lost = outcome != SwapOutcome::NotSent;
        let is_won = matches!(outcome, SwapOutcome::Won(_));
        self.shared.tell_control(ControlEvent::Swapped {
            key: key.clone(),
            nonce,
            outcome,
        });
        if is_lost && !is_won {
            self.read(&key).await;
        }
    }
}

/// Runs `call` over and over: each period while it succeeds, with backoff while it fails.
async fn repeat<Call, Done>(period: Millis, mut call: Call)
where
    Call: FnMut() -> Done,
    Done: Future<Output = bool>,
{
    let mut backoff = RetryBackoff::new(FIRST_BACKOFF, MOST_BACKOFF);
    loop {
        let wait = match call().await {
            true => {
                backoff.reset();
                // Spread, so that entry VMs that started together do not call together.
                period.as_duration().mul_f64(rand::random_range(0.8..=1.2))
            }
            false => backoff.next_wait(&mut rand::rng()),
        };
        tokio::time::sleep(wait).await;
    }
}

async fn sync_loop(platform: Arc<Platform>, period: Millis) {
    repeat(period, || platform.read(ROLL_KEY)).await;
}

async fn roster_loop(platform: Arc<Platform>, period: Millis) {
    repeat(period, || platform.read(ROSTER_KEY)).await;
}

async fn remote_loop(platform: Arc<Platform>, period: Millis) {
    repeat(period, || platform.read_prefix(GROUP_PREFIX)).await;
}

async fn list_loop(platform: Arc<Platform>, period: Millis) {
    repeat(period, || async {
        let listed = platform.vm_list.list().await;
        platform.count("vm_list", listed.is_ok());
        let Ok(vms) = listed else {
            return false;
        };
        platform.shared.tell_control(ControlEvent::Listed(vms));
        true
    })
    .await;
}

/// Keeps one watch open on the groups of this failure domain.
async fn watch_loop(platform: Arc<Platform>) {
    let prefix = home_prefix(&platform.shared.settings.failure_domain);
    repeat(Millis(100), || async {
        let opened = platform.kv.watch(&prefix, 0).await;
        platform.count("watch", opened.is_ok());
        let Ok(mut watch) = opened else {
            return false;
        };
        // What changed before the watch was open is read once.
        if !platform.read_prefix(&prefix).await {
            return false;
        }
        while let Ok(entries) = watch.next().await {
            let now = platform.shared.clock.now();
            for entry in entries {
                platform.tell(entry, now);
            }
        }
        false
    })
    .await;
}
