//! Records of requests under which upstreams ended: writes those of this VM, takes over those of the others, and keeps
//! them in order where this VM coordinates.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bergamot_ports::{KeyWrite, StateStore, StoreError, StoreTxn};
use bergamot_quarantine::{QuarantineAction, QuarantineEvent, QuarantineRecord};
use bergamot_types::prelude::*;
use tokio::sync::mpsc;

use super::count_call;
use crate::known::CrashNews;
use crate::own_keys::{crash_key, quarantine_key};
use crate::shared::SharedState;

/// Time in which records are gathered for one call: streams of one upstream break off within it. Small against the
/// seconds in which the other VMs must know.
const GATHER_TIME: Duration = Duration::from_millis(30);
/// Records that one call writes at most: what one transaction of the store holds.
const MAX_WRITES: usize = 32;
/// Time between two tries while the store does not take them.
const RETRY_PERIOD: Duration = Duration::from_millis(500);
/// Time between two looks at what is too old or too many.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_secs(1);

/// Takes over what was heard from the store.
pub(super) fn take_news(shared: &SharedState, news: &[CrashNews]) {
    if news.is_empty() {
        return;
    }
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine.lock();
    for change in news {
        let event = match change {
            CrashNews::Written(key, record) => QuarantineEvent::Stored { key, record },
            CrashNews::Removed(key) => QuarantineEvent::Removed(key),
        };
        quarantine.handle(now, event);
    }
    let known = quarantine.request_count();
    let held = quarantine.quarantined().len();
    drop(quarantine);
    shared.metrics.set_state("suspected_requests", known as i64);
    shared
        .metrics
        .set_state("quarantined_requests", held as i64);
}

/// Writes records until the process ends. One that the store does not take is tried again: the other VMs must learn of
/// it as soon as the store is back.
pub(super) async fn keep_records<Store>(
    shared: Arc<SharedState>,
    store: Rc<Store>,
    mut records: mpsc::Receiver<QuarantineRecord>,
) where
    Store: StateStore,
{
    let mut writer = RecordWriter {
        shared,
        store,
        start: rand::random(),
        count: 0,
    };
    let mut looks = tokio::time::interval(HOUSEKEEPING_PERIOD);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            record = records.recv() => {
                let Some(record) = record else {
                    return;
                };
                tokio::time::sleep(GATHER_TIME).await;
                let mut gathered = vec![record];
                while gathered.len() < MAX_WRITES
                    && let Ok(record) = records.try_recv()
                {
                    gathered.push(record);
                }
                writer.keep(&gathered).await;
            }
            _ = looks.tick() => writer.keep_house().await,
        }
    }
}

/// Whether the store refuses these records as such: it would at each try, and later ones would wait behind them.
fn is_unfit(error: &StoreError) -> bool {
    const OVER_RATE: u16 = 429;
    matches!(error, StoreError::Refused(status) if (400..500).contains(status) && *status != OVER_RATE)
}

fn time_of_day() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    UnixMillis(since.map_or(0, |since| since.as_millis() as u64))
}

struct RecordWriter<Store> {
    shared: Arc<SharedState>,
    store: Rc<Store>,
    /// Tells this process's keys from those of the VM's earlier ones.
    start: u32,
    count: u64,
}

impl<Store> RecordWriter<Store>
where
    Store: StateStore,
{
    /// Writes these records, however long the store takes.
    async fn keep(&mut self, records: &[QuarantineRecord]) {
        let writes = records.iter().filter_map(|record| self.write(record));
        let txn = StoreTxn {
            writes: writes.collect(),
            ..StoreTxn::default()
        };
        // Written twice, a record says the same.
        while let Err(error) = self.commit(&txn).await {
            if is_unfit(&error) {
                return;
            }
            tokio::time::sleep(RETRY_PERIOD).await;
        }
    }

    fn write(&mut self, record: &QuarantineRecord) -> Option<KeyWrite> {
        let key = match record {
            QuarantineRecord::Quarantined { print, .. } => quarantine_key(*print),
            QuarantineRecord::CrashWithoutProgress { .. }
            | QuarantineRecord::Crash { .. }
            | QuarantineRecord::Cleared { .. } => {
                self.count += 1;
                crash_key(&self.shared.site.vm, self.start, self.count)
            }
        };
        match record.to_bytes() {
            Ok(value) => Some(KeyWrite {
                key,
                value,
                lease: 0,
            }),
            Err(error) => {
                log::error!("event=record_not_written reason=\"{error}\"");
                None
            }
        }
    }

    async fn commit(&self, txn: &StoreTxn) -> Result<(), StoreError> {
        let outcome = self.store.commit(txn).await;
        count_call(&self.shared, "quarantine", outcome.as_ref().err());
        if let Err(error) = &outcome {
            log::info!("event=record_not_written reason=\"{error}\"");
        }
        outcome.map(|_| ())
    }

    /// What is too old goes. In the store, where a quarantine gets a record that outlives the ends that led to it, one VM
    /// does it for all.
    async fn keep_house(&mut self) {
        let now = self.shared.clock.now();
        let coordinator_clock = self.shared.is_coordinator().then(time_of_day);
        let event = QuarantineEvent::Housekeeping { coordinator_clock };
        let actions = self.shared.quarantine.lock().handle(now, event);
        let mut txn = StoreTxn::default();
        for action in actions {
            match action {
                QuarantineAction::Share(record) => {
                    // Other VMs only write such a record once more.
                    if let QuarantineRecord::Quarantined {
                        print,
                        incarnations,
                        ..
                    } = &record
                        && coordinator_clock.is_some()
                    {
                        log::warn!(
                            "event=request_quarantined print={print} upstreams={incarnations:?}"
                        );
                    }
                    txn.writes.extend(self.write(&record));
                }
                QuarantineAction::Remove(keys) => txn.removes.extend(keys),
                QuarantineAction::Probe(_)
                | QuarantineAction::LogCrash { .. }
                | QuarantineAction::LogStrike { .. } => {}
            }
        }
        txn.removes
            .truncate(MAX_WRITES.saturating_sub(txn.writes.len()));
        if !txn.writes.is_empty() || !txn.removes.is_empty() {
            // What failed is logged, and the next look tries it once more.
            let _ = self.commit(&txn).await;
        }
    }
}
