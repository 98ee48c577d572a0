//! Groups for requests that may be processed in one region only.

use bergamot_ports::{MemberState, RegionMap};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::planner::GroupPlanner;
use crate::view::{GroupKey, GroupView, collect_groups, group_model};

/// Number of decayed requests below which no demand is left. One request counts as more for about
/// a minute and a half.
const MIN_BOUND_REQUESTS: f64 = 0.01;

/// A model with requests that are bound to a region in which it has no group.
#[derive(Clone, PartialEq, Debug)]
pub(crate) struct RegionalNeed {
    pub model: ModelName,
    /// The failure domains of the region.
    domains: Vec<FailureDomain>,
}

impl RegionalNeed {
    /// Whether a failure domain lies in the region.
    pub fn includes(&self, failure_domain: &FailureDomain) -> bool {
        self.domains.contains(failure_domain)
    }
}

impl GroupPlanner {
    /// Replaces the region of each failure domain.
    pub fn set_regions(&mut self, regions: RegionMap) {
        self.regions = regions;
    }

    /// Returns the models with bound requests and no group in the region.
    pub(crate) fn regional_needs(&self) -> Vec<RegionalNeed> {
        let demands = self.demands.iter();
        let wanted = demands.flat_map(|(model, demand)| {
            let bound = demand.bound.iter();
            let wanted = bound.filter(|(_, requests)| **requests >= MIN_BOUND_REQUESTS);
            wanted.map(move |(region, _)| (model, region))
        });
        let mut wanted = wanted.peekable();
        if wanted.peek().is_none() {
            return Vec::new();
        }
        let groups = collect_groups(&self.records);
        let needs = wanted.map(|(model, region)| {
            let domains = self.regions.iter().filter(|(_, known)| *known == region);
            RegionalNeed {
                model: model.clone(),
                domains: domains.map(|(domain, _)| domain.clone()).collect(),
            }
        });
        needs.filter(|need| !self.is_met(need, &groups)).collect()
    }

    /// Whether requests reach the leader of a complete or forming group in the region.
    fn is_met(&self, need: &RegionalNeed, groups: &IndexMap<GroupKey, GroupView>) -> bool {
        let is_inside = |id: &UpstreamId| {
            let record = self.records.get(id);
            record.is_some_and(|record| need.includes(&record.entry.failure_domain))
        };
        let is_usable = |id: &UpstreamId| is_inside(id) && self.is_supply(id);
        let mut forming = self.forming.values();
        if forming.any(|group| group.model == need.model && is_usable(&group.members[0])) {
            return true;
        }
        let size = self.spec.models.get(&need.model);
        let size = size.map_or(0, |model| model.group_size);
        // A spare that is warmed is in a group of its own, which is not complete.
        groups.iter().any(|((group, _), view)| {
            let leader = view
                .leader()
                .filter(|(_, state)| !matches!(state, MemberState::Closing | MemberState::Broken));
            group_model(group) == need.model
                && view.is_full(size)
                && leader.is_some_and(|(leader, _)| is_usable(leader))
        })
    }
}
