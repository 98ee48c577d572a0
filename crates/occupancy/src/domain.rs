//! The sum of requests in flight in another failure domain, as its collector reports it.

use bergamot_peer::LeaderCount;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::counts::{LeaderCounts, LeaderLoad};
use crate::state::REPORT_VALIDITY;

/// Load at one leader, and when it was reported.
#[derive(Clone, Copy, Debug)]
struct DatedLoad {
    load: LeaderLoad,
    received_at: Millis,
}

/// The latest counts of one collector. With many leaders a sum takes several reports, so each counts
/// only for the leaders that it lists.
#[derive(Clone, Debug)]
pub(crate) struct DomainReport {
    pub(crate) failure_domain: FailureDomain,
    received_at: Millis,
    loads: IndexMap<u32, DatedLoad>,
}

impl DomainReport {
    pub(crate) fn new(failure_domain: FailureDomain, now: Millis) -> Self {
        Self {
            failure_domain,
            received_at: now,
            loads: IndexMap::new(),
        }
    }

    /// Applies one report.
    pub(crate) fn record(&mut self, now: Millis, counts: &[LeaderCount]) {
        self.received_at = now;
        for count in counts {
            let dated_load = DatedLoad {
                load: LeaderLoad::from(count),
                received_at: now,
            };
            self.loads.insert(count.leader, dated_load);
        }
    }

    /// Drops counts that were not reported again in time. Returns whether the collector still
    /// reports.
    pub(crate) fn expire(&mut self, now: Millis) -> bool {
        let is_fresh = |received_at: Millis| now.since(received_at) < REPORT_VALIDITY;
        self.loads.retain(|_, load| is_fresh(load.received_at));
        is_fresh(self.received_at)
    }

    /// Returns the counts.
    pub(crate) fn counts(&self) -> LeaderCounts {
        let mut counts = LeaderCounts::default();
        for (leader, dated_load) in &self.loads {
            counts.add(*leader, dated_load.load);
        }
        counts
    }
}
