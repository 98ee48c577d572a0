//! Directory entries that a restored store may have brought back.
//!
//! The copy that a store is restored from may list upstreams that have ended or begun to leave
//! since. Their entries are not believed until they are written again, or until the platform would
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
    /// When an entry of the copy that is still listed is believed.
    believed_at: Millis,
}

/// Upstreams that left, and entries that contradict it.
#[derive(Debug, Default)]
pub(crate) struct DepartureLog {
    /// Upstreams whose entry was removed or that were leaving, with the time of it.
    departures: IndexMap<UpstreamIncarnation, Millis>,
    /// Entries that are not believed yet.
    doubted: IndexMap<UpstreamId, UpstreamEntry>,
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

    /// Begins to doubt entries written up to `revision`, as a restored store was read there.
    pub(crate) fn begin_doubt(&mut self, revision: StoreRevision, believed_at: Millis) {
        self.doubted.clear();
        self.copy_mark = CopyMark {
            revision,
            believed_at,
        };
    }

    /// Returns the entry if it is believed, and keeps it otherwise.
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
        let may_be_copied = revision <= self.copy_mark.revision && now < self.copy_mark.believed_at;
        if contradicts && may_be_copied {
            self.doubted.insert(id.clone(), entry);
            return None;
        }
        self.doubted.shift_remove(id);
        if entry.state == UpstreamState::Ready {
            self.departures.shift_remove(&entry.incarnation);
        }
        Some(entry)
    }

    /// Forgets the doubted entry of an upstream that is no longer listed.
    pub(crate) fn forget(&mut self, id: &UpstreamId) {
        self.doubted.shift_remove(id);
    }

    /// Forgets the doubted entries of upstreams that are not in `listed`.
    pub(crate) fn retain_listed(&mut self, listed: &IndexSet<&UpstreamId>) {
        self.doubted.retain(|id, _| listed.contains(id));
    }

    /// Returns when the doubted entries are believed; `None` if there are none.
    pub(crate) fn believed_at(&self) -> Option<Millis> {
        (!self.doubted.is_empty()).then_some(self.copy_mark.believed_at)
    }

    /// Takes the doubted entries if they are believed now.
    pub(crate) fn take_believed(&mut self, now: Millis) -> Vec<UpstreamEntry> {
        if now < self.copy_mark.believed_at {
            return Vec::new();
        }
        let entries = std::mem::take(&mut self.doubted).into_values();
        let entries: Vec<UpstreamEntry> = entries.collect();
        for entry in &entries {
            self.departures.shift_remove(&entry.incarnation);
        }
        entries
    }
}
