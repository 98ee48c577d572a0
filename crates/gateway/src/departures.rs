//! Directory entries that a restored store may have brought back.
//!
//! The copy that a store is restored from may list upstreams that have ended or begun to leave
//! since. Their entries are not trusted until they are written again, or until the platform would
//! have removed those of upstreams that have ended.

use bergamot_ports::{StoreRevision, UpstreamEntry, UpstreamState};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

/// How long a departure is remembered. Longer than the store keeps copies that it may be restored
/// from, and than the outage before a restore.
const DEPARTURE_RETENTION: Millis = Millis::from_secs(120);
/// Upper bound of the departures remembered; the earliest are dropped. Several times what a fleet of
/// 1,100 upstreams has in that time.
const MAX_DEPARTURES: usize = 4_096;

/// The state that a restored store was first read in.
#[derive(Clone, Copy, Debug, Default)]
struct CopyMark {
    /// Entries written up to this revision may come from the copy.
    revision: StoreRevision,
    /// When an entry of the copy that is still listed is trusted.
    trusted_at: Millis,
}

/// Upstreams that left, and entries that contradict it.
#[derive(Debug, Default)]
pub(crate) struct DepartureLog {
    /// Upstreams whose entry was removed or that were leaving, with the time of it.
    departures: IndexMap<UpstreamIncarnation, Millis>,
    /// Entries that are not trusted yet.
    untrusted: IndexMap<UpstreamId, UpstreamEntry>,
    copy_mark: CopyMark,
}

impl DepartureLog {
    /// Records that an upstream's entry was removed, or that the upstream is leaving.
    pub(crate) fn record(&mut self, incarnation: &UpstreamIncarnation, now: Millis) {
        self.departures.shift_remove(incarnation);
        self.departures.insert(incarnation.clone(), now);
        while self.departures.len() > MAX_DEPARTURES {
            self.departures.shift_remove_index(0);
        }
    }

    /// Stops trusting entries written up to `revision`, as a restored store was read there.
    pub(crate) fn distrust_copy(&mut self, revision: StoreRevision, trusted_at: Millis) {
        self.untrusted.clear();
        self.copy_mark = CopyMark {
            revision,
            trusted_at,
        };
    }

    /// Returns the entry if it is trusted, and keeps it otherwise.
    pub(crate) fn admit(
        &mut self,
        entry: UpstreamEntry,
        revision: StoreRevision,
        now: Millis,
    ) -> Option<UpstreamEntry> {
        let id = &entry.incarnation.id;
        let departed_at = self.departures.get(&entry.incarnation);
        let is_recent = departed_at.is_some_and(|at| now.since(*at) < DEPARTURE_RETENTION);
        let contradicts = is_recent && entry.state == UpstreamState::Ready;
        let may_be_copied = revision <= self.copy_mark.revision && now < self.copy_mark.trusted_at;
        if contradicts && may_be_copied {
            self.untrusted.insert(id.clone(), entry);
            return None;
        }
        self.untrusted.shift_remove(id);
        if entry.state == UpstreamState::Ready {
            self.departures.shift_remove(&entry.incarnation);
        }
        Some(entry)
    }

    /// Forgets the untrusted entry of an upstream that is no longer listed.
    pub(crate) fn forget(&mut self, id: &UpstreamId) {
        self.untrusted.shift_remove(id);
    }

    /// Forgets the untrusted entries of upstreams that are not in `listed`.
    pub(crate) fn retain_listed(&mut self, listed: &IndexSet<&UpstreamId>) {
        self.untrusted.retain(|id, _| listed.contains(id));
    }

    /// Returns when the untrusted entries are trusted; `None` if there are none.
    pub(crate) fn trusted_at(&self) -> Option<Millis> {
        (!self.untrusted.is_empty()).then_some(self.copy_mark.trusted_at)
    }

    /// Takes the untrusted entries if they are trusted now.
    pub(crate) fn take_trusted(&mut self, now: Millis) -> Vec<UpstreamEntry> {
        if now < self.copy_mark.trusted_at {
            return Vec::new();
        }
        let entries = std::mem::take(&mut self.untrusted).into_values();
        let entries: Vec<UpstreamEntry> = entries.collect();
        for entry in &entries {
            self.departures.shift_remove(&entry.incarnation);
        }
        entries
    }
}
