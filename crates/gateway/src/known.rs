//! What was read from the store so far.

use std::sync::Arc;
use std::time::Duration;

use bergamot_ports::{ServingConfig, StoreCatalog, StoreEvent, StoreItem, UpstreamEntry};
use bergamot_quarantine::QuarantineRecord;
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::own_keys::{
    COORDINATOR_KEY, ENTRY_PREFIX, EntryRecord, HOLD_PREFIX, QUARANTINE_PREFIX, TERM_KEY,
    hold_from_bytes,
};

/// Time after the store's return in which entries that lapsed meanwhile come back.
const LAPSE_GRACE: Millis = Millis(2_000);

/// A change of the records of requests under which upstreams ended.
pub(crate) enum CrashNews {
    /// A record with this key is there.
    Written(String, QuarantineRecord),
    /// There is none with this key any more.
    Removed(String),
}

/// What was read so far.
#[derive(Default)]
pub(crate) struct KnownState {
    pub(crate) config_revision: u64,
    pub(crate) config: Option<Arc<ServingConfig>>,
    /// The configuration as it stands in the store, for peers that cannot read it.
    pub(crate) config_item: Option<StoreItem>,
    pub(crate) upstreams: IndexMap<UpstreamId, UpstreamEntry>,
    pub(crate) entries: IndexMap<String, EntryRecord>,
    pub(crate) coordinator: Option<EntryRecord>,
    pub(crate) holds: IndexMap<String, Vec<UpstreamId>>,
    pub(crate) term: u64,
    /// Where to watch from; none when everything must be read anew.
    pub(crate) revision: Option<u64>,
    /// Entries that cannot be read, by the revision that was logged.
    pub(crate) unreadable: IndexMap<UpstreamId, u64>,
    /// Upstreams that were taken out since [`Self::log_unlisted`].
    unlisted: Vec<UpstreamId>,
    /// Records of requests under which upstreams ended, since they were last taken: written ones and removed ones.
    crash_news: Vec<CrashNews>,
    /// Removed entries that may come back, and until when they are kept.
    pub(crate) lapsed: IndexMap<UpstreamId, Millis>,
    /// Whether the store did not answer the last call.
    pub(crate) is_away: bool,
    pub(crate) returned_at: Option<Millis>,
}

impl KnownState {
    pub(crate) fn apply_event<Catalog>(&mut self, catalog: &Catalog, event: StoreEvent, now: Millis)
    where
        Catalog: StoreCatalog,
    {
        match event {
            StoreEvent::Written(item) => self.apply_item(catalog, &item),
            StoreEvent::Removed { key, .. } => {
                if let Some(id) = catalog.upstream_id(&key) {
                    self.remove_upstream(&id, now);
                } else if key == COORDINATOR_KEY {
                    self.coordinator = None;
                } else if let Some(vm) = key.strip_prefix(ENTRY_PREFIX) {
                    self.entries.shift_remove(vm);
                } else if let Some(group) = key.strip_prefix(HOLD_PREFIX) {
                    self.holds.shift_remove(group);
                } else if key.starts_with(QUARANTINE_PREFIX) {
                    self.crash_news.push(CrashNews::Removed(key));
                }
            }
        }
    }

    pub(crate) fn apply_item<Catalog>(&mut self, catalog: &Catalog, item: &StoreItem)
    where
        Catalog: StoreCatalog,
    {
        if item.key == catalog.config_key() {
            self.apply_config(catalog, item);
        } else if let Some(id) = catalog.upstream_id(&item.key) {
            match catalog.read_upstream(item) {
                Ok(entry) => self.apply_entry(entry, item.revision),
                Err(error) => self.apply_unreadable(&id, item.revision, &error.reason),
            }
        } else if item.key == COORDINATOR_KEY {
            self.coordinator = EntryRecord::from_bytes(&item.value);
        } else if item.key == TERM_KEY {
            self.term = item.revision;
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
                self.crash_news.push(CrashNews::Written(key, record));
            }
            Err(error) => {
                log::warn!("event=value_unreadable key={} reason=\"{error}\"", item.key);
            }
        }
    }

    /// Takes what was heard of requests under which upstreams ended.
    pub(crate) fn take_crash_news(&mut self) -> Vec<CrashNews> {
        std::mem::take(&mut self.crash_news)
    }

    /// Takes over an upstream's entry, unless a later run of it is known: a write of the earlier one may arrive
    /// late.
    fn apply_entry(&mut self, entry: UpstreamEntry, revision: u64) {
        let id = &entry.incarnation.id;
        let known = self.upstreams.get(id);
        if let Some(known) =
            known.filter(|known| known.incarnation.is_newer_than(&entry.incarnation))
        {
            if entry.incarnation.started_at.is_none() {
                return self.apply_unreadable(&id.clone(), revision, "it says no birth any more");
            }
            log::info!(
                "event=entry_outdated upstream={:?} known={:?}",
                entry.incarnation,
                known.incarnation
            );
            return;
        }
        self.lapsed.shift_remove(id);
        self.unreadable.shift_remove(id);
        self.upstreams.insert(id.clone(), entry);
    }

    /// Takes an upstream out whose entry cannot be read: it names none from now on.
    fn apply_unreadable(&mut self, id: &UpstreamId, revision: u64, reason: &str) {
        // An item is read again with every page that holds it.
        if self.unreadable.insert(id.clone(), revision) != Some(revision) {
            log::warn!("event=entry_unreadable upstream={id} reason={reason:?}");
        }
        self.lapsed.shift_remove(id);
        self.upstreams.shift_remove(id);
    }

    pub(crate) fn apply_config<Catalog>(&mut self, catalog: &Catalog, item: &StoreItem)
    where
        Catalog: StoreCatalog,
    {
        if item.revision <= self.config_revision {
            return;
        }
        match catalog.read_config(item) {
            Ok(config) => {
                let known = self.config.as_ref().map_or(0, |known| known.version);
                if config.version < known {
                    log::warn!(
                        "event=config_ignored version={} known={known}",
                        config.version
                    );
                    return;
                }
                log::info!(
                    "event=config_in_force version={} revision={}",
                    config.version,
                    item.revision
                );
                self.config = Some(Arc::new(config));
                self.config_item = Some(item.clone());
                self.config_revision = item.revision;
            }
            Err(error) => log::error!("event=config_unreadable reason={error:?}"),
        }
    }

    /// Takes out the upstreams that are not among these.
    pub(crate) fn keep_listed(&mut self, listed: &[UpstreamId], now: Millis) {
        let listed: IndexSet<&UpstreamId> = listed.iter().collect();
        self.unreadable.retain(|id, _| listed.contains(id));
        let missing = self.upstreams.keys().filter(|id| !listed.contains(id));
        let missing: Vec<UpstreamId> = missing.cloned().collect();
        for id in missing {
            self.remove_upstream(&id, now);
        }
    }

    /// Notes that the store came back at this moment.
    pub(crate) fn note_return(&mut self, at: Millis) {
        self.returned_at = self.returned_at.max(Some(at));
    }

    /// Takes an entry out, at once or when it has had time to come back after an outage.
    pub(crate) fn remove_upstream(&mut self, id: &UpstreamId, now: Millis) {
        self.unreadable.shift_remove(id);
        let grace_end = self.returned_at.map(|at| at + LAPSE_GRACE);
        let keeps_until = match self.is_away {
            true => Some(now + LAPSE_GRACE),
            false => grace_end.filter(|end| *end > now),
        };
        match keeps_until {
            Some(until) => {
                self.lapsed.entry(id.clone()).or_insert(until);
            }
            None => {
                self.upstreams.shift_remove(id);
                self.unlisted.push(id.clone());
            }
        }
    }

    /// Logs which upstreams were taken out, in one line for all of one change: a line for each by each of 195 VMs
    /// was a quarter of the log.
    pub(crate) fn log_unlisted(&mut self) {
        let unlisted = std::mem::take(&mut self.unlisted);
        if !unlisted.is_empty() {
            log::info!("event=upstream_unlisted upstreams={}", join(&unlisted));
        }
    }

    /// Time until an entry that lapsed has had its time to come back. None while the store is
    /// away: that time begins with its return.
    pub(crate) fn until_lapse(&self, now: Millis) -> Option<Duration> {
        if self.is_away {
            return None;
        }
        let first = self
            .lapsed
            .values()
            .map(|until| self.lapse_end(*until))
            .min()?;
        Some(first.since(now).as_duration() + Duration::from_millis(1))
    }

    fn lapse_end(&self, until: Millis) -> Millis {
        let grace_end = self.returned_at.map(|at| at + LAPSE_GRACE);
        grace_end.map_or(until, |end| end.max(until))
    }

    /// Takes out the entries that did not come back in time. True if there were any.
    pub(crate) fn expire_lapsed(&mut self, now: Millis) -> bool {
        if self.is_away {
            return false;
        }
        let due = self.lapsed.iter();
        let due = due.filter(|(_, until)| self.lapse_end(**until) <= now);
        let due: Vec<UpstreamId> = due.map(|(id, _)| id.clone()).collect();
        for id in &due {
            self.lapsed.shift_remove(id);
            self.upstreams.shift_remove(id);
        }
        if !due.is_empty() {
            log::info!("event=upstream_lapsed upstreams={}", join(&due));
        }
        !due.is_empty()
    }
}

/// Ids as a log line has them.
fn join(ids: &[UpstreamId]) -> String {
    let ids: Vec<&str> = ids.iter().map(UpstreamId::as_str).collect();
    ids.join(",")
}
