//! Evacuated failure domains: requests reach no upstream there, so no group should have its leader
//! there.

use bergamot_types::prelude::*;
use indexmap::IndexSet;

use crate::planner::GroupPlanner;
use crate::upstream::UpstreamRecord;

/// The evacuated failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvacuatedDomains {
    domains: IndexSet<FailureDomain>,
}

impl EvacuatedDomains {
    /// Whether requests reach an upstream, so that it may lead a group.
    pub fn allows_leader(&self, record: &UpstreamRecord) -> bool {
        !self.domains.contains(&record.entry.failure_domain)
    }
}

impl GroupPlanner {
    /// Replaces the evacuated failure domains.
    pub fn set_evacuated<Domains>(&mut self, domains: Domains)
    where
        Domains: IntoIterator<Item = FailureDomain>,
    {
        let domains = domains.into_iter().collect();
        self.evacuated = EvacuatedDomains { domains };
    }

    /// Whether a group that `leader` leads counts as supply: requests must reach the leader.
    pub(crate) fn is_supply(&self, leader: &UpstreamId) -> bool {
        let record = self.records.get(leader);
        record.is_none_or(|record| self.evacuated.allows_leader(record))
    }
}
