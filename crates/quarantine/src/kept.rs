//! Which records in the store are too old or too many.

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::fingerprint::RequestPrint;
use crate::record::QuarantineRecord;

/// Time after which a record of ends, or of what clears a request, is removed. A request that ends three upstreams in it
/// is in quarantine, which has a record of its own.
const RECORD_TIME: Millis = Millis::from_secs(3_600);
/// Time after which a record of a quarantine is removed.
const QUARANTINE_TIME: Millis = Millis::from_secs(24 * 3_600);
/// Records of ends and clearings at most: 400 ends seen by ten VMs each. The oldest go first.
const MAX_RECORDS: usize = 4_096;
/// Records of quarantines at most: as many requests as a VM remembers in quarantine. Once there are so many no further
/// one is written, and none is thrown out.
const MAX_QUARANTINES: usize = 8_192;

/// The records in the store, as one VM knows them. Only the VM that coordinates acts on it.
#[derive(Clone, Debug, Default)]
pub struct KeptRecords {
    /// By key: when this VM first heard of it.
    records: IndexMap<String, Millis>,
    quarantines: IndexMap<String, Millis>,
    quarantined: IndexSet<RequestPrint>,
}

impl KeptRecords {
    /// Notes a record that is in the store.
    pub fn note(&mut self, now: Millis, key: &str, record: &QuarantineRecord) {
        let kept = match record {
            QuarantineRecord::Quarantined { print, .. } => {
                self.quarantined.insert(*print);
                &mut self.quarantines
            }
            QuarantineRecord::End { .. } | QuarantineRecord::Cleared { .. } => &mut self.records,
        };
        kept.entry(key.to_owned()).or_insert(now);
    }

    /// Notes that a record is not in the store any more.
    pub fn forget(&mut self, key: &str) {
        self.records.shift_remove(key);
        self.quarantines.shift_remove(key);
    }

    /// Whether a quarantine has a record, or there is no room for one.
    pub fn has_quarantine(&self, print: RequestPrint) -> bool {
        self.quarantined.contains(&print) || self.quarantines.len() >= MAX_QUARANTINES
    }

    /// Keys of records to be removed, at most `most`, the oldest first.
    pub fn overdue(&self, now: Millis, most: usize) -> Vec<String> {
        let surplus = self.records.len().saturating_sub(MAX_RECORDS);
        let records = self.records.iter().enumerate();
        let records =
            records.filter(|(place, (_, at))| *place < surplus || now.since(**at) >= RECORD_TIME);
        let records = records.map(|(_, (key, _))| key);
        let quarantines = self.quarantines.iter();
        let quarantines = quarantines.filter(|(_, at)| now.since(**at) >= QUARANTINE_TIME);
        let quarantines = quarantines.map(|(key, _)| key);
        records.chain(quarantines).take(most).cloned().collect()
    }
}
