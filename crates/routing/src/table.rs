//! What is known about each upstream that requests may be routed to.

use std::net::SocketAddr;

use bergamot_types::prelude::*;
use indexmap::IndexMap;
use serde::Serialize;

/// A routable upstream, according to the store records and the evidence.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct UpstreamFact {
    /// Name of the upstream: the group's for a model, the VM's for a plain service.
    pub id: UpstreamId,
    /// Address that requests are sent to.
    pub addr: SocketAddr,
    /// Epoch of the group; zero for a plain service.
    pub epoch: u32,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// When the oldest evidence about the upstream was requested.
    pub evidence_at: Millis,
    /// Number of running and queued requests in the last report.
    pub reported: u32,
    /// When that report was requested.
    pub reported_at: Millis,
}

/// Load and latency of an upstream as observed by this entry VM.
#[derive(Clone, Debug, Serialize)]
pub struct ObservedLoad {
    /// Number of requests in flight from this VM.
    pub in_flight: u32,
    /// Number of requests sent from this VM since the last report was requested.
    pub sent_since_report: u32,
    /// Smoothed time to the first token, in milliseconds.
    pub latency: f64,
    /// Number of answers included in `latency`.
    pub samples: u64,
    /// Number of consecutive failures.
    pub failures: u32,
    /// The upstream is ejected until this time.
    pub set_aside_until: Millis,
    /// Fraction of its requests that a readmitted upstream gets, 0 to 1.
    pub admission: f64,
    /// Number of consecutive ejections.
    pub set_asides: u32,
}

impl Default for ObservedLoad {
    fn default() -> Self {
        Self {
            in_flight: 0,
            sent_since_report: 0,
            latency: 0.0,
            samples: 0,
            failures: 0,
            set_aside_until: Millis::ZERO,
            admission: 1.0,
            set_asides: 0,
        }
    }
}

/// The upstreams of one model or service.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    facts: IndexMap<UpstreamId, UpstreamFact>,
    loads: IndexMap<UpstreamId, ObservedLoad>,
}

impl UpstreamTable {
    /// Replaces the routable upstreams, and keeps the loads of those that remain.
    pub fn replace(&mut self, facts: Vec<UpstreamFact>) {
        let mut updated = IndexMap::with_capacity(facts.len());
        for mut fact in facts {
            let load = self.loads.entry(fact.id.clone()).or_default();
            let previous = self.facts.get(&fact.id);
            // Evidence that arrived with answers may be newer than the published one.
            if let Some(previous) = previous.filter(|previous| previous.epoch == fact.epoch) {
                fact.evidence_at = fact.evidence_at.max(previous.evidence_at);
            }
            let is_new_report =
                previous.is_none_or(|previous| fact.reported_at > previous.reported_at);
            if is_new_report {
                load.sent_since_report = 0;
            }
            updated.insert(fact.id.clone(), fact);
        }
        self.facts = updated;
        let facts = &self.facts;
        self.loads
            .retain(|id, load| facts.contains_key(id) || load.in_flight > 0);
    }

    /// Returns the routable upstreams.
    pub fn facts(&self) -> &IndexMap<UpstreamId, UpstreamFact> {
        &self.facts
    }

    /// Returns the observed loads.
    pub fn loads(&self) -> &IndexMap<UpstreamId, ObservedLoad> {
        &self.loads
    }

    /// Returns the load of one upstream.
    pub fn load_mut(&mut self, id: &UpstreamId) -> &mut ObservedLoad {
        self.loads.entry(id.clone()).or_default()
    }

    /// Records evidence that arrived with an answer.
    pub fn record_evidence(&mut self, id: &UpstreamId, epoch: u32, requested_at: Millis) {
        if let Some(fact) = self.facts.get_mut(id)
            && fact.epoch == epoch
        {
            fact.evidence_at = fact.evidence_at.max(requested_at);
        }
    }

    /// Returns the load used for comparison: the reported one plus requests sent since, and at
    /// least the number in flight from this VM.
    pub fn estimated_load(&self, id: &UpstreamId) -> f64 {
        let reported = self.facts.get(id).map_or(0, |fact| fact.reported);
        let Some(load) = self.loads.get(id) else {
            return f64::from(reported);
        };
        f64::from((reported + load.sent_since_report).max(load.in_flight))
    }
}
