//! Contents of the store, as far as this VM has read them.

use std::sync::Arc;
use std::time::Duration;

use bergamot_feed::ConfigConfirmation;
use bergamot_groups::MembershipLog;
use bergamot_ports::{
    ServingConfig, StoreCatalog, StoreEvent, StoreGeneration, StoreItem, StoreRevision,
    UpstreamEntry, UpstreamState,
};
use bergamot_quarantine::QuarantineRecord;
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;

use crate::cold::EntryStatements;
use crate::departures::DepartureLog;
use crate::evacuations::{EvacuationChange, EvacuationEvent, EvacuationState};
use crate::expired::{EXPIRY_GRACE, ExpiredEntries};
use crate::logs::join_ids;
use crate::own_keys::{
    COORDINATOR_KEY, ENTRY_PREFIX, EntryRecord, HOLD_PREFIX, QUARANTINE_PREFIX, TERM_KEY,
    hold_from_bytes,
};
use crate::stored_config::StoredConfig;

/// A change of the stored records of requests that were running when upstreams crashed.
pub(crate) enum CrashRecordChange {
    /// The record was written under the key.
    Written(String, QuarantineRecord),
    /// The record under the key was removed.
    Removed(String),
}

/// The known contents of the store.
#[derive(Default)]
pub(crate) struct KnownState {
    /// The configuration in the store. Older than [`Self::config`] while a restored store has not
    /// got the latest one back.
    pub(crate) stored_config: StoredConfig,
    /// The configuration in force: the latest version that was ever read. The store's revisions do
    /// not order configurations, as they go back with a restore.
    pub(crate) config: Option<Arc<ServingConfig>>,
    /// The confirmation of the configuration in force.
    pub(crate) confirmation: ConfigConfirmation,
    /// The configuration as stored, for peers that cannot read the store.
    pub(crate) config_item: Option<StoreItem>,
    pub(crate) upstreams: IndexMap<UpstreamId, UpstreamEntry>,
    /// What the entries state about cold times.
    pub(crate) statements: EntryStatements,
    /// Upstreams that left, in case a restored store lists them again.
    pub(crate) departures: DepartureLog,
    /// The members that left their groups.
    pub(crate) memberships: Arc<Mutex<MembershipLog>>,
    pub(crate) entries: IndexMap<String, EntryRecord>,
    pub(crate) coordinator: Option<EntryRecord>,
    /// The revision of that record. Zero if there is none.
    pub(crate) coordinator_revision: StoreRevision,
    /// When this VM noticed that the store was restored.
    pub(crate) restored_at: Option<Millis>,
    /// When this VM first read the store, if it had been restored before at an unknown time.
    pub(crate) found_restored_at: Option<Millis>,
    pub(crate) holds: IndexMap<String, Vec<UpstreamId>>,
    pub(crate) term: StoreRevision,
    /// Whether any VM ever coordinated, also if a restore has lost the record of it.
    pub(crate) has_had_coordinator: bool,
    /// The generation of the store when all of it was last read.
    pub(crate) read_generation: Option<StoreGeneration>,
    /// Revision up to which all changes are known. `None` if everything must be read again.
    pub(crate) revision: Option<StoreRevision>,
    /// Entries that cannot be decoded, with the revision for which this was logged.
    pub(crate) unreadable: IndexMap<UpstreamId, StoreRevision>,
    /// Upstreams removed since the last [`Self::log_unlisted`].
    unlisted: Vec<UpstreamId>,
    /// Changes of crash records since they were last taken.
    crash_record_changes: Vec<CrashRecordChange>,
    pub(crate) evacuations: EvacuationState,
    /// Changes of the evacuations since they were last logged.
    pub(crate) evacuation_changes: Vec<EvacuationChange>,
    /// Removed entries that may be written again.
    expired: ExpiredEntries,
    /// Whether the last call to the store failed.
    is_store_unreachable: bool,
    /// When the store last came back from an outage.
    pub(crate) store_returned_at: Option<Millis>,
}

impl KnownState {
    /// Creates the state before anything has been read. Departures of members go to `memberships`.
    pub(crate) fn new(memberships: Arc<Mutex<MembershipLog>>) -> Self {
        Self {
            memberships,
            ..Self::default()
        }
    }

    pub(crate) fn apply_event<Catalog>(&mut self, catalog: &Catalog, event: StoreEvent, now: Millis)
    where
        Catalog: StoreCatalog,
    {
        match event {
            StoreEvent::Written(item) => self.apply_item(catalog, &item, now),
            StoreEvent::Removed { key, revision } => {
                if let Some(id) = catalog.upstream_id(&key) {
                    self.remove_upstream(&id, now);
                } else if let Some(domain) = catalog.evacuated_domain(&key) {
                    self.apply_evacuation(EvacuationEvent::Removed(domain, revision), now);
                } else if key == COORDINATOR_KEY {
                    self.coordinator = None;
                    self.coordinator_revision = StoreRevision::ZERO;
                } else if let Some(vm) = key.strip_prefix(ENTRY_PREFIX) {
                    self.entries.shift_remove(vm);
                } else if let Some(group) = key.strip_prefix(HOLD_PREFIX) {
                    self.holds.shift_remove(group);
                } else if key.starts_with(QUARANTINE_PREFIX) {
                    self.crash_record_changes
                        .push(CrashRecordChange::Removed(key));
                }
            }
        }
    }

    pub(crate) fn apply_item<Catalog>(&mut self, catalog: &Catalog, item: &StoreItem, now: Millis)
    where
        Catalog: StoreCatalog,
    {
        if item.key == catalog.config_key() {
            self.apply_stored_config(catalog, item);
        } else if let Some(id) = catalog.upstream_id(&item.key) {
            match catalog.read_upstream(item) {
                Ok(entry) => self.apply_entry(entry, item.revision, now),
                Err(error) => self.apply_unreadable(&id, item.revision, &error.reason),
            }
        } else if let Some(domain) = catalog.evacuated_domain(&item.key) {
            self.apply_evacuation_key(domain, item.revision, now);
        } else if item.key == COORDINATOR_KEY {
            self.coordinator = EntryRecord::from_bytes(&item.value);
            self.coordinator_revision = item.revision;
        } else if item.key == TERM_KEY {
            self.term = item.revision;
            self.has_had_coordinator = true;
        } else if let Some(vm) = item.key.strip_prefix(ENTRY_PREFIX)
            && let Some(record) = EntryRecord::from_bytes(&item.value)
        {
            self.entries.insert(vm.to_owned(), record);
        } else if let Some(group) = item.key.strip_prefix(HOLD_PREFIX)
            && let Some(members) = hold_from_bytes(&item.value)
        {
            self.holds.insert(group.to_owned(), members);
        } else if item.key.starts_with(QUARANTINE_PREFIX) {
            self.apply_crash_record(item);
        }
    }

    fn apply_crash_record(&mut self, item: &StoreItem) {
        match QuarantineRecord::from_bytes(&item.value) {
            Ok(record) => {
                let key = item.key.clone();
                self.crash_record_changes
                    .push(CrashRecordChange::Written(key, record));
            }
            Err(error) => {
                log::warn!("event=value_unreadable key={} reason=\"{error}\"", item.key);
            }
        }
    }

    /// Takes the changes of crash records since the last call.
    pub(crate) fn take_crash_record_changes(&mut self) -> Vec<CrashRecordChange> {
        std::mem::take(&mut self.crash_record_changes)
    }

    /// Applies an upstream's entry, unless a later incarnation is known, as a write of an earlier
    /// incarnation may arrive late.
    fn apply_entry(&mut self, entry: UpstreamEntry, revision: StoreRevision, now: Millis) {
        let id = &entry.incarnation.id;
        let known = self.upstreams.get(id);
        if let Some(known) =
            known.filter(|known| known.incarnation.is_newer_than(&entry.incarnation))
        {
            if entry.incarnation.started_at.is_none() {
                return self.apply_unreadable(
                    &id.clone(),
                    revision,
                    "the entry no longer states the start of its incarnation",
                );
            }
            log::info!(
                "event=entry_outdated upstream={:?} known={:?}",
                entry.incarnation,
                known.incarnation
            );
            return;
        }
        let id = id.clone();
        self.unreadable.shift_remove(&id);
        let Some(entry) = self.departures.admit(entry, revision, now) else {
            return;
        };
        if entry.state == UpstreamState::Draining {
            self.departures.record(&entry.incarnation, now);
        }
        self.expired.remove(&id);
        self.statements.record(&entry, revision, now);
        let previous = self.upstreams.get(&id);
        self.memberships.lock().record_entry(previous, &entry, now);
        self.upstreams.insert(id, entry);
    }

    /// Removes an upstream whose entry cannot be decoded and so no longer describes it.
    fn apply_unreadable(&mut self, id: &UpstreamId, revision: StoreRevision, reason: &str) {
        // The same item is read again with every page that contains it, so it is logged once.
        if self.unreadable.insert(id.clone(), revision) != Some(revision) {
            log::warn!("event=entry_unreadable upstream={id} reason={reason:?}");
        }
        self.expired.remove(id);
        self.statements.remove(id);
        if let Some(entry) = self.upstreams.shift_remove(id) {
            self.memberships.lock().record_removal(&entry);
        }
    }

    /// Whether the store was restored between the last read of all of it and the one at `revision`.
    pub(crate) fn is_unread_restore(&self, revision: StoreRevision) -> bool {
        self.read_generation
            .is_some_and(|generation| generation < revision.generation)
    }

    /// Forgets what the store held, before all of it is read again.
    pub(crate) fn begin_read(&mut self) {
        self.entries.clear();
        self.holds.clear();
        self.coordinator = None;
        self.coordinator_revision = StoreRevision::ZERO;
        self.term = StoreRevision::ZERO;
        self.stored_config = StoredConfig::default();
    }

    /// Removes the upstreams that are not in `listed`.
    pub(crate) fn retain_listed(&mut self, listed: &[UpstreamId], now: Millis) {
        let listed: IndexSet<&UpstreamId> = listed.iter().collect();
        self.unreadable.retain(|id, _| listed.contains(id));
        self.departures.retain_listed(&listed);
        let missing_ids = self.upstreams.keys().filter(|id| !listed.contains(id));
        let missing_ids: Vec<UpstreamId> = missing_ids.cloned().collect();
        for id in missing_ids {
            self.remove_upstream(&id, now);
        }
    }

    /// Whether the last call to the store failed.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        self.is_store_unreachable
    }

    /// Records that a call to the store failed.
    pub(crate) fn begin_outage(&mut self, now: Millis) {
        self.expired.pass_time(now, !self.is_store_unreachable);
        self.is_store_unreachable = true;
    }

    /// Records that the store can be reached, and since when it is taken to have been back. `None` if no
    /// entry can have expired meanwhile.
    pub(crate) fn end_outage(&mut self, returned_at: Option<Millis>, now: Millis) {
        if self.is_store_unreachable {
            self.expired.pass_time(returned_at.unwrap_or(now), false);
        }
        self.expired.pass_time(now, true);
        if self.is_store_unreachable
            && let Some(returned_at) = returned_at
        {
            self.record_store_return(returned_at);
        }
        self.is_store_unreachable = false;
    }

    /// Records that the store came back from an outage at `at`.
    pub(crate) fn record_store_return(&mut self, at: Millis) {
        self.store_returned_at = self.store_returned_at.max(Some(at));
    }

    /// Records that this VM noticed a restore of the store. Entries that the copy lacks are written
    /// again as after an outage.
    pub(crate) fn record_restore(&mut self, now: Millis) {
        self.record_store_return(now);
        self.restored_at = Some(now);
        self.expired.pass_time(now, !self.is_store_unreachable);
        self.expired.begin_anew();
    }

    /// Removes an entry, at once or, around an outage, after the grace in which it may be written
    /// again.
    pub(crate) fn remove_upstream(&mut self, id: &UpstreamId, now: Millis) {
        self.unreadable.shift_remove(id);
        self.departures.forget(id);
        let grace_end = self.store_returned_at.map(|at| at + EXPIRY_GRACE);
        let grace = match self.is_store_unreachable {
            true => EXPIRY_GRACE,
            false => grace_end.unwrap_or_default().since(now),
        };
        if grace == Millis::ZERO {
            self.drop_upstream(id, now);
            self.unlisted.push(id.clone());
            return;
        }
        self.expired.pass_time(now, !self.is_store_unreachable);
        self.expired.insert(id, grace);
    }

    fn drop_upstream(&mut self, id: &UpstreamId, now: Millis) {
        self.statements.remove(id);
        if let Some(entry) = self.upstreams.shift_remove(id) {
            self.memberships.lock().record_removal(&entry);
            self.departures.record(&entry.incarnation, now);
        }
    }

    /// Logs the upstreams removed by one change in one line. One line for each upstream from each
    /// of 195 VMs made up a quarter of the log.
    pub(crate) fn log_unlisted(&mut self) {
        let unlisted = std::mem::take(&mut self.unlisted);
        if !unlisted.is_empty() {
            log::info!("event=upstream_unlisted upstreams={}", join_ids(&unlisted));
        }
    }

    /// Returns the time until the grace of the next expired entry or a hold of an evacuation ends, or
    /// untrusted entries are trusted. `None` if there is none of them or the store is unreachable, as
    /// all begin with its return.
    pub(crate) fn time_until_review(&self, now: Millis) -> Option<Duration> {
        if self.is_store_unreachable {
            return None;
        }
        let next_expiry = self.expired.next_end().into_iter();
        let earliest_review = next_expiry
            .chain(self.departures.trusted_at())
            .chain(self.evacuations.next_hold_end())
            .min()?;
        Some(earliest_review.since(now).as_duration() + Duration::from_millis(1))
    }

    /// Removes the entries that were not written again within the grace, adds those that are trusted
    /// now, and ends the holds of evacuations that are over. Returns whether there were any.
    pub(crate) fn review_entries(&mut self, now: Millis) -> bool {
        if self.is_store_unreachable {
            return false;
        }
        let trusted = self.departures.take_trusted(now);
        let has_trusted = !trusted.is_empty();
        for entry in trusted {
            let id = entry.incarnation.id.clone();
            log::info!("event=upstream_relisted upstream={id}");
            self.statements.record(&entry, StoreRevision::ZERO, now);
            let previous = self.upstreams.get(&id);
            self.memberships.lock().record_entry(previous, &entry, now);
            self.upstreams.insert(id, entry);
        }
        self.expired.pass_time(now, true);
        let due_ids = self.expired.take_due();
        for id in &due_ids {
            self.drop_upstream(id, now);
        }
        if !due_ids.is_empty() {
            log::info!("event=upstream_lapsed upstreams={}", join_ids(&due_ids));
        }
        let revision = self.revision.unwrap_or_default();
        self.apply_evacuation(EvacuationEvent::Tick(revision), now);
        has_trusted || !due_ids.is_empty() || !self.evacuation_changes.is_empty()
    }
}

#[cfg(test)]
mod tests;
