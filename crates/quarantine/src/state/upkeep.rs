//! The records in the store that a VM renews, and those that the coordinator adds and removes.

use bergamot_types::prelude::*;
use indexmap::IndexSet;

use super::{QuarantineAction, QuarantineState};
use crate::fingerprint::RequestPrint;
use crate::ledger::QuarantinedRequest;
use crate::record::QuarantineRecord;

/// Maximum number of changes per store update, which is what one transaction of the store holds.
const MAX_STORE_CHANGES: usize = 32;
/// Delay between the last crash of a quarantined request and the record of its quarantine for VMs
/// that start later. By then all VMs' observations of that crash have arrived, and they may blame
/// another request for it.
const RECORD_DELAY: Millis = Millis(1_000);

impl QuarantineState {
    /// Renews the records of quarantined requests that came to this VM.
    pub(super) fn renew(
        &mut self,
        now: Millis,
        quarantined: &[QuarantinedRequest],
    ) -> Vec<QuarantineAction> {
        let renewals = quarantined
            .iter()
            .filter_map(|request| self.store_records.renew(now, request));
        renewals
            .take(MAX_STORE_CHANGES)
            .map(QuarantineAction::Share)
            .collect()
    }

    pub(super) fn maintain_store(
        &mut self,
        now: Millis,
        wall_clock: UnixMillis,
        quarantined: Vec<QuarantinedRequest>,
    ) -> Vec<QuarantineAction> {
        let prints: IndexSet<RequestPrint> =
            quarantined.iter().map(|request| request.print).collect();
        let unrecorded = quarantined.into_iter().filter(|request| {
            let is_settled = now.since(request.last_crash_at) >= RECORD_DELAY;
            is_settled && !self.store_records.has_quarantine(request.print)
        });
        let mut actions: Vec<QuarantineAction> = unrecorded
            .take(MAX_STORE_CHANGES)
            .map(|request| {
                QuarantineAction::Share(QuarantineRecord::Quarantined {
                    print: request.print,
                    incarnations: request.crashes,
                    since: wall_clock,
                })
            })
            .collect();
        let is_quarantined = |print| prints.contains(&print);
        let removable = self
            .store_records
            .removable_keys(now, is_quarantined, MAX_STORE_CHANGES);
        if !removable.is_empty() {
            actions.push(QuarantineAction::Remove(removable));
        }
        actions
    }
}
