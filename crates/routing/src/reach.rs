//! Failure domains that are out of reach.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::load::UpstreamLoad;
use crate::upstream::RouteUpstream;

/// Upstreams of a failure domain that take no connections, from which on the domain counts as out of reach if
/// nothing has come from any other there since. One alone may be dead.
const UNREACHED_UPSTREAMS: usize = 2;

/// Failure domains among these upstreams' that are out of reach, as after a cut. All of a domain's upstreams are
/// left alone then, not each one after it was tried in vain: a VM that was cut off with its failure domain tried
/// each of 40 leaders for 150 ms, so that 880 connections were not set up in seven seconds (195 VMs; counted
/// from the logs of a day).
pub(crate) fn dark_domains<LoadOf>(
    pool: &[RouteUpstream],
    load_of: LoadOf,
    now: Millis,
) -> Vec<&FailureDomain>
where
    LoadOf: Fn(&RouteUpstream) -> UpstreamLoad,
{
    let mut reaches: IndexMap<&FailureDomain, DomainReach> = IndexMap::new();
    for upstream in pool {
        let reach = reaches.entry(&upstream.failure_domain).or_default();
        reach.add(&load_of(upstream), now);
    }
    let dark = reaches.into_iter().filter(|(_, reach)| reach.is_dark());
    dark.map(|(domain, _)| domain).collect()
}

/// What is known of a failure domain's upstreams together.
#[derive(Default)]
struct DomainReach {
    /// Upstreams that take no connections.
    unreached: usize,
    /// Since when the first of them does not.
    since: Option<Millis>,
    /// When anything last came from any of the domain's upstreams.
    progress_at: Millis,
}

impl DomainReach {
    fn add(&mut self, load: &UpstreamLoad, now: Millis) {
        self.progress_at = self.progress_at.max(load.progress_at());
        if let Some(since) = load.unreached_since(now) {
            self.unreached += 1;
            self.since = Some(self.since.map_or(since, |first| first.min(since)));
        }
    }

    fn is_dark(&self) -> bool {
        let is_silent = self.since.is_some_and(|since| self.progress_at < since);
        self.unreached >= UNREACHED_UPSTREAMS && is_silent
    }
}
