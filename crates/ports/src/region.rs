//! Regions, and where requests may be processed.

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

/// The regions in which a request may be processed. An empty set allows all.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct HomeRegions(IndexSet<Region>);

impl HomeRegions {
    /// Whether requests may be processed anywhere.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether requests may be processed in a region.
    pub fn allows(&self, region: &Region) -> bool {
        self.is_unrestricted() || self.0.contains(region)
    }

    /// Returns the regions; none if requests may be processed anywhere.
    pub fn iter(&self) -> impl Iterator<Item = &Region> {
        self.0.iter()
    }
}

impl FromIterator<Region> for HomeRegions {
    fn from_iter<Regions>(regions: Regions) -> Self
    where
        Regions: IntoIterator<Item = Region>,
    {
        Self(regions.into_iter().collect())
    }
}

/// The region of each failure domain.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct RegionMap(IndexMap<FailureDomain, Region>);

impl RegionMap {
    /// Returns the region of a failure domain, if known.
    pub fn region_of(&self, failure_domain: &FailureDomain) -> Option<&Region> {
        self.0.get(failure_domain)
    }

    /// Returns the region of each failure domain.
    pub fn iter(&self) -> impl Iterator<Item = (&FailureDomain, &Region)> {
        self.0.iter()
    }
}

impl FromIterator<(FailureDomain, Region)> for RegionMap {
    fn from_iter<Domains>(domains: Domains) -> Self
    where
        Domains: IntoIterator<Item = (FailureDomain, Region)>,
    {
        Self(domains.into_iter().collect())
    }
}
