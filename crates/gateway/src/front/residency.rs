//! The regions in which a request may be processed.

use bergamot_ports::{
    AccountGrant, CallerCall, HomeRegions, RegionMap, RequestHomes, Route, ServingConfig,
};
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;
use indexmap::IndexSet;

use super::FrontContext;
use super::attempt::SentRequest;
use super::refusal::CallRefusal;

/// The home regions under which a request was admitted. They stay in force for a route or a key
/// that a newer configuration no longer has.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct AdmittedHomes {
    route: HomeRegions,
    account: HomeRegions,
}

impl AdmittedHomes {
    /// Returns the home regions of a route and a grant.
    pub fn new(route: &Route, grant: Option<&AccountGrant>) -> Self {
        let account_homes = grant.map(|grant| grant.home_regions.clone());
        Self {
            route: route.home_regions.clone(),
            account: account_homes.unwrap_or_default(),
        }
    }

    /// Returns the regions as those of a request.
    pub fn as_request_homes(&self) -> RequestHomes<'_> {
        RequestHomes {
            route: &self.route,
            account: &self.account,
        }
    }
}

/// Checks that some failure domain may process a call that is about to be admitted.
pub fn check_admission<Dialect>(
    front: &FrontContext<Dialect>,
    call: &CallerCall,
    homes: &AdmittedHomes,
) -> Result<(), ErrorKind> {
    let homes = homes.as_request_homes();
    let regions = &front.shared.site.regions;
    if homes.is_unrestricted() || !homes.allowed_domains(regions).is_empty() {
        return Ok(());
    }
    let kind = ErrorKind::RegionUnavailable;
    log::info!(
        "event=refused_for_homes request={} homes={homes} kind={kind}",
        call.id
    );
    Err(kind)
}

/// Counts a request that may be processed in one region only as demand for its model there.
pub fn record_bound_demand<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    model: &ModelName,
) {
    let homes = request.homes.as_request_homes();
    if let Some(region) = homes.only_region(&front.shared.site.regions) {
        front.demand.borrow_mut().record_bound(model, region);
    }
}

/// Returns the failure domains that may process a request under the configuration in force, or none
/// if all may. Fails if no failure domain may. Remembers the configuration for [`is_still_allowed`].
pub fn allowed_domains<'a, Dialect>(
    front: &'a FrontContext<Dialect>,
    config: &ServingConfig,
    request: &SentRequest,
) -> Result<Option<Vec<&'a FailureDomain>>, CallRefusal> {
    request.selection_version.set(config.version);
    let Some(homes) = homes_in_force(config, request) else {
        return Ok(None);
    };
    let domains = homes.allowed_domains(&front.shared.site.regions);
    match domains.is_empty() {
        true => Err(ErrorKind::RegionUnavailable.into()),
        false => Ok(Some(domains)),
    }
}

/// Whether a request may still be sent to the upstream that was selected for it. The configuration
/// may have changed while a permit was obtained or the connection was established.
pub fn is_still_allowed<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    upstream: &RouteUpstream,
) -> bool {
    let view = front.shared.view.load();
    let changed = view.config.as_ref();
    let changed = changed.filter(|config| config.version != request.selection_version.get());
    let homes = changed.and_then(|config| homes_in_force(config, request));
    let regions = &front.shared.site.regions;
    homes.is_none_or(|homes| homes.allows_domain(regions, &upstream.failure_domain))
}

/// Logs the home regions of a request that is refused, if it has any.
pub fn log_homes<Dialect>(front: &FrontContext<Dialect>, request: &SentRequest, kind: ErrorKind) {
    let view = front.shared.view.load();
    let config = view.config.as_ref();
    if let Some(homes) = config.and_then(|config| homes_in_force(config, request)) {
        log::info!(
            "event=refused_for_homes request={} homes={homes} kind={kind}",
            request.call.id
        );
    }
}

/// Warns of home regions in a new configuration that no failure domain lies in. Requests that are
/// bound to such a region are refused.
pub fn warn_of_unknown_regions(config: &ServingConfig, regions: &RegionMap) {
    let is_known = |home: &Region| regions.iter().any(|(_, region)| region == home);
    let homes = config.home_regions();
    let unknown: IndexSet<&str> = homes
        .filter(|home| !is_known(home))
        .map(Region::as_str)
        .collect();
    if !unknown.is_empty() {
        log::warn!(
            "event=region_unknown version={} regions={}",
            config.version,
            unknown.into_iter().collect::<Vec<_>>().join(",")
        );
    }
}

/// Returns the home regions of a request under a configuration, or none if it may be processed
/// anywhere. Looks up the route and the grant again only if either may have home regions.
fn homes_in_force<'a>(
    config: &'a ServingConfig,
    request: &'a SentRequest,
) -> Option<RequestHomes<'a>> {
    let admitted = request.homes.as_request_homes();
    if !config.has_home_regions && admitted.is_unrestricted() {
        return None;
    }
    let route = config.route(&request.call.host, request.uri.path());
    let grant = config.grant(request.call.key.as_ref());
    let homes = RequestHomes {
        route: route.map_or(admitted.route, |route| &route.home_regions),
        account: grant.map_or(admitted.account, |grant| &grant.home_regions),
    };
    (!homes.is_unrestricted()).then_some(homes)
}

#[cfg(test)]
mod tests;
