//! Which records in the store are too old or too many.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::fingerprint::RequestPrint;
use crate::ledger::QuarantinedRequest;
use crate::record::QuarantineRecord;

/// Time after which a record of ends, or of what clears a request, is removed. A request that ends three upstreams in it
/// is in quarantine, which has a record of its own.
const RECORD_TIME: Millis = Millis::from_secs(3_600);
/// Records of ends and clearings at most: 400 ends seen by ten VMs each. The oldest go first.
const MAX_RECORDS: usize = 4_096;
/// Time after which the record of a quarantine is written once more where the request has come since. The VM that coordinates
/// removes the record of one that has not come for a day, and hears of those that come to other VMs by this alone.
const RENEW_TIME: Millis = Millis::from_secs(3_600);
/// Time between two tries to write it once more.
const RENEW_RETRY: Millis = Millis::from_secs(60);
/// Records of quarantines at most: as many requests as a VM remembers in quarantine. Once there are so many no further
/// one is written, and none is thrown out.
const MAX_QUARANTINES: usize = 8_192;

/// The records in the store, as one VM knows them. Only the VM that coordinates acts on it.
#[derive(Clone, Debug, Default)]
pub struct KeptRecords {
    /// By key: when this VM first heard of it.
    records: IndexMap<String, Millis>,
    /// Requests in quarantine, and their records.
    quarantines: IndexMap<RequestPrint, KeptQuarantine>,
}

/// The record of a request in quarantine.
#[derive(Clone, Debug)]
struct KeptQuarantine {
    key: String,
    since: UnixMillis,
    /// When this VM last heard of it.
    told_at: Millis,
    /// When this VM last asked for it to be written once more.
    renewed_at: Option<Millis>,
}

impl KeptRecords {
    /// Notes a record that is in the store.
    pub fn note(&mut self, now: Millis, key: &str, record: &QuarantineRecord) {
        let key = key.to_owned();
        match record {
            QuarantineRecord::Quarantined { print, since, .. } => {
                let kept = KeptQuarantine {
                    key,
                    since: *since,
                    told_at: now,
                    renewed_at: None,
                };
                self.quarantines.insert(*print, kept);
            }
            QuarantineRecord::CrashWithoutProgress { .. }
            | QuarantineRecord::Crash { .. }
            | QuarantineRecord::Cleared { .. } => {
                self.records.entry(key).or_insert(now);
            }
        }
    }

    /// Notes that a record is not in the store any more.
    pub fn forget(&mut self, key: &str) {
        self.records.shift_remove(key);
        self.quarantines.retain(|_, kept| kept.key != key);
    }

    /// Whether a quarantine has a record, or there is no room for one.
    pub fn has_quarantine(&self, print: RequestPrint) -> bool {
        self.quarantines.contains_key(&print) || self.quarantines.len() >= MAX_QUARANTINES
    }

    /// The record of a request that has come since the others last heard of it, where that is long ago. It is written once
    /// more, so that it stays.
    pub fn renew(&mut self, now: Millis, request: &QuarantinedRequest) -> Option<QuarantineRecord> {
        let kept = self.quarantines.get_mut(&request.print)?;
        let is_due = request.used_at > kept.told_at && now.since(kept.told_at) >= RENEW_TIME;
        let may_try = kept
            .renewed_at
            .is_none_or(|at| now.since(at) >= RENEW_RETRY);
        if !is_due || !may_try {
            return None;
        }
        kept.renewed_at = Some(now);
        Some(QuarantineRecord::Quarantined {
            print: request.print,
            incarnations: request.ends.clone(),
            since: kept.since,
        })
    }

    /// Keys of records to be removed, at most `most`, the oldest first. `is_held` says whether a request is still in
    /// quarantine.
    pub fn overdue<Held>(&self, now: Millis, is_held: Held, most: usize) -> Vec<String>
    where
        Held: Fn(RequestPrint) -> bool,
    {
        let surplus = self.records.len().saturating_sub(MAX_RECORDS);
        let records = self.records.iter().enumerate();
        let records =
            records.filter(|(place, (_, at))| *place < surplus || now.since(**at) >= RECORD_TIME);
        let records = records.map(|(_, (key, _))| key);
        let quarantines = self.quarantines.iter();
        let quarantines = quarantines.filter(|(print, _)| !is_held(**print));
        let quarantines = quarantines.map(|(_, kept)| &kept.key);
        records.chain(quarantines).take(most).cloned().collect()
    }
}
