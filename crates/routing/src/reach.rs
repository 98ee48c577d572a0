//! Detects failure domains that are unreachable, and upstreams that are silent together.

use bergamot_occupancy::leader_key;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::load::UpstreamLoad;
use crate::monitor::UpstreamMonitor;
use crate::upstream::RouteUpstream;

/// Number of upstreams of a failure domain without connections from which the domain counts as
/// unreachable, if no other upstream there has sent anything since. A single upstream may simply
/// have failed.
const MIN_UNREACHED_UPSTREAMS: usize = 2;

/// Returns the failure domains of these upstreams that are unreachable, as after a network
/// partition. All upstreams of such a domain are avoided at once, not each one after a failed
/// attempt. Otherwise a VM that was cut off with its failure domain tried each of 40 leaders for
/// 150 ms, and 880 connections failed within seven seconds (195 VMs; counted from the logs of a
/// day).
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

/// Number of silent upstreams from which a VM concludes that most are, although it awaits nothing from
/// the others.
const MIN_SILENT_UPSTREAMS: usize = 2;

impl UpstreamMonitor {
    /// Whether half of these upstreams or more send nothing although requests of this VM or others
    /// wait there, or of those from which this VM awaits data. Such upstreams are full as long as the
    /// silence lasts, and may have room right after.
    pub fn are_mostly_silent(&self, pool: &[RouteUpstream], now: Millis) -> bool {
        let is_silent = |incarnation: &UpstreamIncarnation| {
            self.load(incarnation).is_held_up(now)
                || self.stalls.is_stalled(now, leader_key(incarnation))
        };
        let (silent, others): (Vec<_>, Vec<_>) = pool
            .iter()
            .map(|upstream| &upstream.incarnation)
            .partition(|incarnation| is_silent(incarnation));
        let delivering = others
            .into_iter()
            .filter(|incarnation| self.load(incarnation).has_recent_data(now));
        let is_observed =
            silent.len() >= MIN_SILENT_UPSTREAMS && silent.len() >= delivering.count();
        is_observed || (!silent.is_empty() && 2 * silent.len() >= pool.len())
    }
}

/// Connection state of all upstreams of a failure domain.
#[derive(Default)]
struct DomainReachability {
    /// Number of upstreams to which connections fail.
    unreached_count: usize,
    /// When connections to the first of them began to fail.
    unreached_since: Option<Millis>,
    /// When data was last received from any upstream of the domain.
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
