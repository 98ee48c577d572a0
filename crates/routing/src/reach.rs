//! Failure domains that are out of reach.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::load::UpstreamLoad;
use crate::upstream::RouteUpstream;

/// Upstreams of a failure domain that take no connections, from which on the domain counts as out of reach if
/// nothing has come from any other there since. One alone may be dead.
const MIN_UNREACHED_UPSTREAMS: usize = 2;

/// Failure domains among these upstreams' that are out of reach, as after a cut. All of a domain's upstreams are
/// left alone then, not each one after it was tried in vain: a VM that was cut off with its failure domain tried
/// each of 40 leaders for 150 ms, so that 880 connections were not set up in seven seconds (195 VMs; counted
/// from the logs of a day).
pub(crate) fn unreachable_domains<LoadOf>(
    pool: &[RouteUpstream],
    load_of: LoadOf,
    now: Millis,
) -> Vec<&FailureDomain>
where
    LoadOf: Fn(&RouteUpstream) -> UpstreamLoad,
{
    let mut domains: IndexMap<&FailureDomain, DomainReachability> = IndexMap::new();
    for upstream in pool {
        let reachability = domains.entry(&upstream.failure_domain).or_default();
        reachability.add(&load_of(upstream), now);
    }
    let unreachable = domains
        .into_iter()
        .filter(|(_, reachability)| reachability.is_unreachable());
    unreachable.map(|(domain, _)| domain).collect()
}

/// What is known of a failure domain's upstreams together.
#[derive(Default)]
struct DomainReachability {
    /// Upstreams that take no connections.
    unreached_count: usize,
    /// Since when the first of them does not.
    unreached_since: Option<Millis>,
    /// When anything last came from any of the domain's upstreams.
    last_received_at: Millis,
}

impl DomainReachability {
    fn add(&mut self, load: &UpstreamLoad, now: Millis) {
        self.last_received_at = self.last_received_at.max(load.last_received_at());
        if let Some(since) = load.connect_failing_since(now) {
            self.unreached_count += 1;
            self.unreached_since = Some(
                self.unreached_since
                    .map_or(since, |earliest| earliest.min(since)),
            );
        }
    }

    fn is_unreachable(&self) -> bool {
        let has_no_progress = self
            .unreached_since
            .is_some_and(|unreached_since| self.last_received_at < unreached_since);
        self.unreached_count >= MIN_UNREACHED_UPSTREAMS && has_no_progress
    }
}
