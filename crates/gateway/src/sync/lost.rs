//! Records of entry VMs that a restore of the store has lost and that must last.

use bergamot_ports::{KeyCondition, KeyWrite, StoreItem, StoreRevision, StoreTxn};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// How long a VM keeps lost records for writing them again. Covers a change of coordinator.
const RETENTION: Millis = Millis::from_secs(60);
/// Records written by one transaction. Each takes a condition and a write of the 32 entries that a
/// transaction may have.
const MAX_RECORDS: usize = 16;

/// Lost records. The coordinator writes them again; the other VMs keep them until they see that it
/// did, in case another VM becomes coordinator.
#[derive(Debug, Default)]
pub(crate) struct LostRecords {
    values: IndexMap<String, Vec<u8>>,
    lost_at: Millis,
}

impl LostRecords {
    /// Adds the records that a restored store lacks.
    pub(crate) fn extend<Items>(&mut self, items: Items, now: Millis)
    where
        Items: IntoIterator<Item = StoreItem>,
    {
        let values = items.into_iter().map(|item| (item.key, item.value));
        self.values.extend(values);
        self.lost_at = now;
    }

    /// Forgets a record that the store holds again.
    pub(crate) fn forget(&mut self, key: &str) {
        self.values.swap_remove(key);
    }

    /// Returns the transaction that writes the next records, unless one of them exists by then.
    /// `None` if there are none.
    pub(crate) fn next_txn(&mut self, now: Millis) -> Option<StoreTxn> {
        if now.since(self.lost_at) >= RETENTION {
            self.values.clear();
        }
        let records = self.values.iter().take(MAX_RECORDS);
        let conditions = records.clone().map(|(key, _)| KeyCondition {
            key: key.clone(),
            revision: StoreRevision::ZERO,
        });
        let writes = records.map(|(key, value)| KeyWrite {
            key: key.clone(),
            value: value.clone(),
            lease: None,
        });
        let txn = StoreTxn {
            conditions: conditions.collect(),
            writes: writes.collect(),
            removes: Vec::new(),
        };
        (!txn.writes.is_empty()).then_some(txn)
    }
}
