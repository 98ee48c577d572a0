//! Where a request may be processed.

use std::fmt;

use bergamot_types::prelude::*;

use crate::region::{HomeRegions, RegionMap};

/// The home regions of a request: those of its route and those of its account. Both apply.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RequestHomes<'a> {
    /// Home regions of the route.
    pub route: &'a HomeRegions,
    /// Home regions of the account.
    pub account: &'a HomeRegions,
}

impl RequestHomes<'_> {
    /// Whether the request may be processed anywhere.
    pub fn is_unrestricted(self) -> bool {
        self.route.is_unrestricted() && self.account.is_unrestricted()
    }

    /// Whether the request may be processed in a region.
    pub fn allows(self, region: &Region) -> bool {
        self.route.allows(region) && self.account.allows(region)
    }

    /// Whether the request may be processed in a failure domain. A failure domain without a known
    /// region is in no home region.
    pub fn allows_domain(self, regions: &RegionMap, failure_domain: &FailureDomain) -> bool {
        let region = regions.region_of(failure_domain);
        self.is_unrestricted() || region.is_some_and(|region| self.allows(region))
    }

    /// Returns the failure domains with a region in which the request may be processed.
    pub fn allowed_domains(self, regions: &RegionMap) -> Vec<&FailureDomain> {
        let domains = regions.iter();
        let allowed = domains.filter(|(_, region)| self.allows(region));
        allowed.map(|(domain, _)| domain).collect()
    }

    /// Returns the region of all failure domains in which the request may be processed, if there
    /// is exactly one and the request may not be processed everywhere.
    pub fn only_region(self, regions: &RegionMap) -> Option<&Region> {
        if self.is_unrestricted() {
            return None;
        }
        let mut allowed = regions.iter().map(|(_, region)| region);
        let first = allowed.find(|region| self.allows(region))?;
        let mut others = allowed.filter(|region| self.allows(region));
        others.all(|region| region == first).then_some(first)
    }
}

impl fmt::Display for RequestHomes<'_> {
    /// Writes the regions of the route and those of the account, `*` for all.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let join = |homes: &HomeRegions| match homes.is_unrestricted() {
            true => "*".to_owned(),
            false => {
                let names: Vec<String> = homes.iter().map(Region::to_string).collect();
                names.join(",")
            }
        };
        write!(f, "{}&{}", join(self.route), join(self.account))
    }
}
