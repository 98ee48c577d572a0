//! What directory entries state about the cold time of upstreams.

use bergamot_ports::{ServingConfig, StoreRevision, UpstreamEntry, WarmUpBounds, WarmUpSpec};
use bergamot_types::prelude::*;
use bergamot_warmup::{ColdTarget, EntryStatement};
use indexmap::IndexMap;

/// An upstream of a service with slow start.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ColdEntry {
    /// The upstream.
    pub incarnation: UpstreamIncarnation,
    /// The upstream's failure domain.
    pub failure_domain: FailureDomain,
    /// The service's slow start.
    pub spec: WarmUpSpec,
    /// What the upstream's entry states.
    pub statement: EntryStatement,
}

impl ColdEntry {
    /// Returns the upstream as a target of the warm-up state.
    pub fn target(&self, bounds: WarmUpBounds) -> ColdTarget<'_> {
        ColdTarget {
            incarnation: &self.incarnation,
            failure_domain: &self.failure_domain,
            spec: self.spec,
            bounds,
            entry: self.statement,
        }
    }
}

/// What the entry of one incarnation states.
struct KnownStatement {
    incarnation: UpstreamIncarnation,
    statement: EntryStatement,
}

/// The statements of all entries, with the time at which each was first read.
#[derive(Default)]
pub(crate) struct EntryStatements {
    by_upstream: IndexMap<UpstreamId, KnownStatement>,
}

impl EntryStatements {
    /// Records an entry that was read with this revision.
    pub(crate) fn record(&mut self, entry: &UpstreamEntry, revision: StoreRevision, now: Millis) {
        let id = &entry.incarnation.id;
        if let Some(known) = self
            .by_upstream
            .get_mut(id)
            .filter(|known| known.incarnation == entry.incarnation)
        {
            known.statement = known.statement.followed_by(revision, entry.cold_left, now);
            return;
        }
        let known = KnownStatement {
            incarnation: entry.incarnation.clone(),
            statement: EntryStatement {
                revision,
                received_at: now,
                cold_left: entry.cold_left,
                was_warm: false,
                may_be_outdated: false,
            },
        };
        self.by_upstream.insert(id.clone(), known);
    }

    /// Forgets an upstream that is no longer listed.
    pub(crate) fn remove(&mut self, id: &UpstreamId) {
        self.by_upstream.swap_remove(id);
    }

    /// Returns the listed upstreams of services with slow start that may get requests; none if no
    /// service has one. Members of groups other than the leader get none.
    pub(crate) fn cold_entries(
        &self,
        config: Option<&ServingConfig>,
        upstreams: &IndexMap<UpstreamId, UpstreamEntry>,
    ) -> IndexMap<UpstreamId, ColdEntry> {
        let services = config.map(|config| &config.services);
        let Some(services) =
            services.filter(|services| services.values().any(|service| service.warm_up.is_some()))
        else {
            return IndexMap::new();
        };
        let entries = upstreams.iter().filter_map(|(id, entry)| {
            let service = services.get(&entry.service)?;
            let spec = service.warm_up?;
            let membership = entry.membership.as_ref();
            let is_leader = membership.is_some_and(|membership| membership.rank == 0);
            if service.engine.is_some() && !is_leader {
                return None;
            }
            let known = self.by_upstream.get(id)?;
            let cold_entry = ColdEntry {
                incarnation: entry.incarnation.clone(),
                failure_domain: entry.failure_domain.clone(),
                spec,
                statement: known.statement,
            };
            (known.incarnation == entry.incarnation).then(|| (id.clone(), cold_entry))
        });
        entries.collect()
    }
}
