//! Records of requests that were running when upstreams crashed. Writes this VM's records, applies
//! those of other VMs, and cleans up the stored records if this VM is the coordinator.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bergamot_ports::{KeyWrite, StateStore, StoreError, StoreTxn, TxnOutcome};
use bergamot_quarantine::{QuarantineAction, QuarantineEvent, QuarantineRecord};
use bergamot_types::prelude::*;
use tokio::sync::mpsc;

use super::lost::LostRecords;
use super::publish::count_call;
use crate::known::CrashRecordChange;
use crate::own_keys::{crash_key, quarantine_key};
use crate::shared::SharedState;

/// Time for which records are collected for one call. The streams of a crashed upstream break off
/// within it. Short compared to the seconds within which the other VMs must know.
const BATCH_DELAY: Duration = Duration::from_millis(30);
/// Most records written by one call. The limit of a transaction of the store.
const MAX_WRITES: usize = 32;
/// Period of retries while the store does not accept the records.
const RETRY_PERIOD: Duration = Duration::from_millis(500);
/// Period of checks for records that are too old or too many.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_secs(1);

/// Applies changes of the stored records.
pub(super) fn apply_crash_record_changes(shared: &SharedState, changes: &[CrashRecordChange]) {
    if changes.is_empty() {
        return;
    }
    let now = shared.clock.now();
    let mut quarantine = shared.quarantine.lock();
    for change in changes {
        let event = match change {
            CrashRecordChange::Written(key, record) => QuarantineEvent::Stored { key, record },
            CrashRecordChange::Removed(key) => QuarantineEvent::Removed(key),
        };
        quarantine.handle(now, event);
    }
    let suspected_count = quarantine.request_count();
    let quarantined_count = quarantine.quarantined().len();
    drop(quarantine);
    shared
        .metrics
        .set_state("suspected_requests", suspected_count as i64);
    shared
        .metrics
        .set_state("quarantined_requests", quarantined_count as i64);
}

/// Writes records until the process ends. Retries records that the store does not accept, as the
/// other VMs must learn of them as soon as the store is back.
pub(super) async fn write_records<Store>(
    shared: Arc<SharedState>,
    store: Rc<Store>,
    lost_records: Rc<RefCell<LostRecords>>,
    mut records: mpsc::Receiver<QuarantineRecord>,
) where
    Store: StateStore,
{
    let mut writer = RecordWriter {
        shared,
        store,
        lost_records,
        process_tag: rand::random(),
        sequence: 0,
    };
    let mut housekeeping_ticks = tokio::time::interval(HOUSEKEEPING_PERIOD);
    housekeeping_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            record = records.recv() => {
                let Some(record) = record else {
                    return;
                };
                tokio::time::sleep(BATCH_DELAY).await;
                let mut batch = vec![record];
                while batch.len() < MAX_WRITES
                    && let Ok(record) = records.try_recv()
                {
                    batch.push(record);
                }
                writer.write_batch(&batch).await;
            }
            _ = housekeeping_ticks.tick() => {
                writer.write_lost_records().await;
                writer.clean_up().await;
            }
        }
    }
}

/// Whether the store rejects the records themselves. It would reject each retry too, and later
/// records would be delayed by the retries.
fn is_permanent_rejection(error: &StoreError) -> bool {
    const TOO_MANY_REQUESTS: u16 = 429;
    matches!(error, StoreError::Refused(status) if (400..500).contains(status) && *status != TOO_MANY_REQUESTS)
}

fn unix_time() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    UnixMillis(since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64))
}

struct RecordWriter<Store> {
    shared: Arc<SharedState>,
    store: Rc<Store>,
    lost_records: Rc<RefCell<LostRecords>>,
    /// Random number that distinguishes this process's keys from those of the VM's earlier
    /// processes.
    process_tag: u32,
    /// Number of keys that this process used for records it writes once.
    sequence: u64,
}

impl<Store> RecordWriter<Store>
where
    Store: StateStore,
{
    /// Writes records, retrying until the store accepts or permanently rejects them.
    async fn write_batch(&mut self, records: &[QuarantineRecord]) {
        let writes = records.iter().filter_map(|record| self.next_write(record));
        let txn = StoreTxn {
            writes: writes.collect(),
            ..StoreTxn::default()
        };
        // Writing a record twice has no further effect, so a retry after an unknown outcome is
        // safe.
        while let Err(error) = self.commit(&txn).await {
            if is_permanent_rejection(&error) {
                return;
            }
            tokio::time::sleep(RETRY_PERIOD).await;
        }
    }

    fn next_write(&mut self, record: &QuarantineRecord) -> Option<KeyWrite> {
        let key = match record {
            QuarantineRecord::Quarantined { print, .. } => quarantine_key(*print),
            QuarantineRecord::CrashWithoutProgress { .. }
            | QuarantineRecord::Crash { .. }
            | QuarantineRecord::Cleared { .. } => {
                self.sequence += 1;
                crash_key(&self.shared.site.vm, self.process_tag, self.sequence)
            }
        };
        match record.to_bytes() {
            Ok(value) => Some(KeyWrite {
                key,
                value,
                lease: None,
            }),
            Err(error) => {
                log::error!("event=record_not_written reason=\"{error}\"");
                None
            }
        }
    }

    /// Writes records again that a restore of the store has lost, if this VM is the coordinator.
    async fn write_lost_records(&mut self) {
        if !self.shared.is_coordinator() {
            return;
        }
        let now = self.shared.clock.now();
        let txn = self.lost_records.borrow_mut().next_txn(now);
        let Some(txn) = txn else {
            return;
        };
        let outcome = self.store.commit(&txn).await;
        count_call(&self.shared, "quarantine", outcome.as_ref().err());
        let stored_keys: Vec<String> = match outcome {
            Ok(TxnOutcome::Done(_)) => txn.writes.into_iter().map(|write| write.key).collect(),
            Ok(TxnOutcome::Conflict(items)) => items.into_iter().map(|item| item.key).collect(),
            Ok(TxnOutcome::LeaseGone) => Vec::new(),
            // The next check retries.
            Err(error) => {
                log::info!("event=record_not_written reason=\"{error}\"");
                return;
            }
        };
        log::info!("event=records_rewritten count={}", stored_keys.len());
        let mut lost_records = self.lost_records.borrow_mut();
        for key in &stored_keys {
            lost_records.forget(key);
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

    /// Removes records that are too old. In the store the coordinator does so for all VMs, and also
    /// writes a record of each quarantine that outlives the records of the crashes that led to it.
    async fn clean_up(&mut self) {
        let now = self.shared.clock.now();
        let coordinator_clock = self.shared.is_coordinator().then(unix_time);
        let event = QuarantineEvent::Housekeeping { coordinator_clock };
        let actions = self.shared.quarantine.lock().handle(now, event);
        let mut txn = StoreTxn::default();
        for action in actions {
            match action {
                QuarantineAction::Share(record) => {
                    // Logged by the coordinator only, as other VMs just write the same record
                    // again.
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
                    txn.writes.extend(self.next_write(&record));
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
            // A failure is logged, and the next check retries it.
            let _ = self.commit(&txn).await;
        }
    }
}
