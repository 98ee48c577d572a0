//! Guards against requests that are processed outside their home regions.

use bergamot_ports::{HomeRegions, RegionMap, RequestHomes};
use bergamot_types::prelude::*;

struct HomesCase {
    name: &'static str,
    route: &'static [&'static str],
    account: &'static [&'static str],
    /// The failure domains in which the request may be processed.
    domains: &'static [&'static str],
    only_region: Option<&'static str>,
}

const CASES: &[HomesCase] = &[
    HomesCase {
        name: "no home regions",
        route: &[],
        account: &[],
        domains: &["z1", "z2", "z3"],
        only_region: None,
    },
    HomesCase {
        name: "the route has a home region",
        route: &["north"],
        account: &[],
        domains: &["z1", "z2"],
        only_region: Some("north"),
    },
    HomesCase {
        name: "the account has a home region",
        route: &[],
        account: &["south"],
        domains: &["z3"],
        only_region: Some("south"),
    },
    HomesCase {
        name: "both have, and both apply",
        route: &["north", "south"],
        account: &["south", "moon"],
        domains: &["z3"],
        only_region: Some("south"),
    },
    HomesCase {
        name: "both regions",
        route: &["north", "south"],
        account: &[],
        domains: &["z1", "z2", "z3"],
        only_region: None,
    },
    HomesCase {
        name: "the intersection is empty",
        route: &["north"],
        account: &["south"],
        domains: &[],
        only_region: None,
    },
    HomesCase {
        name: "no failure domain is in the home region",
        route: &["moon"],
        account: &[],
        domains: &[],
        only_region: None,
    },
];

fn homes(names: &[&str]) -> HomeRegions {
    names.iter().map(|name| Region::new(name)).collect()
}

#[test]
fn a_request_may_be_processed_only_where_route_and_account_allow_it() {
    let domains = [("z1", "north"), ("z2", "north"), ("z3", "south")];
    let regions: RegionMap = domains
        .map(|(domain, region)| (FailureDomain::new(domain), Region::new(region)))
        .into_iter()
        .collect();
    for case in CASES {
        let (route, account) = (homes(case.route), homes(case.account));
        let request = RequestHomes {
            route: &route,
            account: &account,
        };
        let allowed: Vec<&str> = request
            .allowed_domains(&regions)
            .into_iter()
            .map(FailureDomain::as_str)
            .collect();
        assert_eq!(allowed, case.domains, "{}", case.name);
        for (domain, _) in domains {
            let is_allowed = request.allows_domain(&regions, &FailureDomain::new(domain));
            let is_listed = case.domains.contains(&domain);
            assert_eq!(is_allowed, is_listed, "{}: {domain}", case.name);
        }
        let only_region = request.only_region(&regions).map(Region::as_str);
        assert_eq!(only_region, case.only_region, "{}", case.name);
        // A failure domain without a region is in no home region.
        let is_unrestricted = case.route.is_empty() && case.account.is_empty();
        let unknown = FailureDomain::new("z9");
        let is_allowed = request.allows_domain(&regions, &unknown);
        assert_eq!(is_allowed, is_unrestricted, "{}", case.name);
    }
}
