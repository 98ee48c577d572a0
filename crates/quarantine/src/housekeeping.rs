//! Decides which records in the store are expired or surplus.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::fingerprint::RequestPrint;
use crate::ledger::QuarantinedRequest;
use crate::record::QuarantineRecord;

/// How long a record of crashes or of a clearance is stored. A request that crashes three upstreams
/// within this time is quarantined, which has a record of its own.
const RECORD_RETENTION: Millis = Millis::from_secs(3_600);
/// Maximum number of crash and clearance records: 400 crashes seen by ten VMs each. The oldest are
/// removed first.
const MAX_RECORDS: usize = 4_096;
/// Age at which a quarantine's record is written again if the request has come since. The
/// coordinator removes the record of a request that has not come for a day, and learns of requests
/// that came to other VMs only from this renewal.
const RENEWAL_AGE: Millis = Millis::from_secs(3_600);
/// Delay before a renewal is attempted again.
const RENEWAL_RETRY_DELAY: Millis = Millis::from_secs(60);
/// Maximum number of quarantine records, equal to the number of requests a VM remembers. At the
/// limit no further record is written, and none is evicted.
const MAX_QUARANTINE_RECORDS: usize = 8_192;

/// The records in the store, as one VM knows them. Only the coordinator removes records.
#[derive(Clone, Debug, Default)]
pub struct StoreRecords {
    /// When this VM first learned of each crash or clearance record, by key.
    records: IndexMap<String, Millis>,
    /// Records of quarantined requests.
    quarantines: IndexMap<RequestPrint, QuarantineEntry>,
}

/// The record of a quarantined request.
#[derive(Clone, Debug)]
struct QuarantineEntry {
    key: String,
    since: UnixMillis,
    /// When this VM last received the record.
    last_received_at: Millis,
    /// When this VM last requested a renewal.
    last_renewal_at: Option<Millis>,
}

impl StoreRecords {
    /// Adds a record that the store holds.
    pub fn insert(&mut self, now: Millis, key: &str, record: &QuarantineRecord) {
        let key = key.to_owned();
        match record {
            QuarantineRecord::Quarantined { print, since, .. } => {
                let entry = QuarantineEntry {
                    key,
                    since: *since,
                    last_received_at: now,
                    last_renewal_at: None,
                };
                self.quarantines.insert(*print, entry);
            }
            QuarantineRecord::CrashWithoutProgress { .. }
            | QuarantineRecord::Crash { .. }
            | QuarantineRecord::Cleared { .. } => {
                self.records.entry(key).or_insert(now);
            }
        }
    }

    /// Forgets a record that was removed from the store.
    pub fn forget(&mut self, key: &str) {
        self.records.shift_remove(key);
        self.quarantines.retain(|_, entry| entry.key != key);
    }

    /// Whether a quarantine has a record, or no further record may be written.
    pub fn has_quarantine(&self, print: RequestPrint) -> bool {
        self.quarantines.contains_key(&print) || self.quarantines.len() >= MAX_QUARANTINE_RECORDS
    }

    /// Returns the record to write again for a request that has come since the record was last
    /// written, if that was long ago. The renewal keeps the record from being removed.
    pub fn renew(&mut self, now: Millis, request: &QuarantinedRequest) -> Option<QuarantineRecord> {
        let entry = self.quarantines.get_mut(&request.print)?;
        let is_due = request.last_active_at > entry.last_received_at
            && now.since(entry.last_received_at) >= RENEWAL_AGE;
        let may_retry = entry
            .last_renewal_at
            .is_none_or(|at| now.since(at) >= RENEWAL_RETRY_DELAY);
        if !is_due || !may_retry {
            return None;
        }
        entry.last_renewal_at = Some(now);
        Some(QuarantineRecord::Quarantined {
            print: request.print,
            incarnations: request.crashes.clone(),
            since: entry.since,
        })
    }

    /// Returns the keys of at most `limit` records to remove, the oldest first. `is_quarantined`
    /// tells whether a request is still in quarantine.
    pub fn removable_keys<Quarantined>(
        &self,
        now: Millis,
        is_quarantined: Quarantined,
        limit: usize,
    ) -> Vec<String>
    where
        Quarantined: Fn(RequestPrint) -> bool,
    {
        let surplus = self.records.len().saturating_sub(MAX_RECORDS);
        let records = self.records.iter().enumerate();
        let records = records
            .filter(|(index, (_, at))| *index < surplus || now.since(**at) >= RECORD_RETENTION);
        let records = records.map(|(_, (key, _))| key);
        let quarantines = self.quarantines.iter();
        let quarantines = quarantines.filter(|(print, _)| !is_quarantined(**print));
        let quarantines = quarantines.map(|(_, entry)| &entry.key);
        records.chain(quarantines).take(limit).cloned().collect()
    }
}
