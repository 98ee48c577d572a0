//! The regions in which a request may be processed.

use std::cell::Ref;

use bergamot_ports::{
    AccountGrant, CallerCall, HomeRegions, RegionMap, RequestHomes, Route, ServingConfig,
};
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;
use indexmap::IndexSet;

use super::FrontContext;
use super::attempt::SentRequest;
use super::refusal::CallRefusal;

/// The home regions that were last in force for a request. They stay in force for its route or its
/// account when a newer configuration no longer finds that route or account for the request.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct LatestHomes {
    /// Name of the route under which the request was admitted.
    route_name: String,
    route: HomeRegions,
    /// The first account that was found for the request's key.
    account_name: Option<ClientAccount>,
    account: HomeRegions,
}

impl LatestHomes {
    /// Returns the home regions of a route and a grant.
    pub fn new(route: &Route, grant: Option<&AccountGrant>) -> Self {
        let mut homes = Self {
            route_name: route.name.clone(),
            route: route.home_regions.clone(),
            ..Self::default()
        };
        homes.update(None, grant);
        homes
    }

    /// Takes over the home regions of the route and the grant that a newer configuration finds for
    /// the request. Those of another route, such as a less specific one, or of another account do
    /// not apply to it.
    fn update(&mut self, route: Option<&Route>, grant: Option<&AccountGrant>) {
        let route = route.filter(|route| route.name == self.route_name);
        if let Some(route) = route.filter(|route| route.home_regions != self.route) {
            self.route = route.home_regions.clone();
        }
        // A request without an account may get one by a newer configuration that knows its key.
        let grant = grant.filter(|grant| {
            let account_name = self.account_name.as_ref();
            account_name.is_none_or(|name| *name == grant.account)
        });
        let Some(grant) = grant else {
            return;
        };
        if self.account_name.is_none() {
            self.account_name = Some(grant.account.clone());
        }
        if grant.home_regions != self.account {
            self.account = grant.home_regions.clone();
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
    homes: &LatestHomes,
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
    let homes = request.homes.borrow();
    let homes = homes.as_request_homes();
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
    let regions = &front.shared.site.regions;
    let domains = homes.as_request_homes().allowed_domains(regions);
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
    homes.is_none_or(|homes| {
        let homes = homes.as_request_homes();
        homes.allows_domain(regions, &upstream.failure_domain)
    })
}

/// Logs the home regions of a request that is refused, if it has any.
pub fn log_homes<Dialect>(front: &FrontContext<Dialect>, request: &SentRequest, kind: ErrorKind) {
    let view = front.shared.view.load();
    let config = view.config.as_ref();
    if let Some(homes) = config.and_then(|config| homes_in_force(config, request)) {
        log::info!(
            "event=refused_for_homes request={} homes={} kind={kind}",
            request.call.id,
            homes.as_request_homes()
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
    config: &ServingConfig,
    request: &'a SentRequest,
) -> Option<Ref<'a, LatestHomes>> {
    let is_restricted = || !request.homes.borrow().as_request_homes().is_unrestricted();
    if !config.has_home_regions && !is_restricted() {
        return None;
    }
    let route = config.route(&request.call.host, request.uri.path());
    let grant = config.grant(request.call.key.as_ref());
    request.homes.borrow_mut().update(route, grant);
    is_restricted().then(|| request.homes.borrow())
}

#[cfg(test)]
mod tests;
