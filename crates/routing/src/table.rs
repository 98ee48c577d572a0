//! What is known of each upstream that requests may be routed to.

use std::net::SocketAddr;

use bergamot_types::prelude::*;
use indexmap::IndexMap;
use serde::Serialize;

/// A routable upstream, as the records and the evidence have it.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct UpstreamFact {
    /// Its name: the group's for a model, the VM's for a plain service.
    pub id: UpstreamId,
    /// Where requests go.
    pub addr: SocketAddr,
    /// Epoch of the group; zero for a plain service.
    pub epoch: u32,
    /// Where it can be cut off.
    pub failure_domain: FailureDomain,
    /// When the oldest evidence for it was asked for.
    pub evidence_at: Millis,
    /// Requests its last report had as running or queued.
    pub reported: u32,
    /// When that report was asked for.
    pub reported_at: Millis,
}

/// What this entry VM itself knows of an upstream's load and speed.
#[derive(Clone, Debug, Serialize)]
pub struct ObservedLoad {
    /// Requests sent from here and not ended.
    pub in_flight: u32,
    /// Requests sent from here since the last report was asked for.
    pub sent_since_report: u32,
    /// Smoothed time to the first token, in milliseconds.
    pub latency: f64,
    /// Answers that entered `latency`.
    pub samples: u64,
    /// Failures in a row.
    pub failures: u32,
    /// Set aside until then.
    pub set_aside_until: Millis,
    /// Share of its turns it takes while let back, 0 to 1.
    pub admission: f64,
    /// Times in a row it was set aside.
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
    /// Takes over the routable upstreams; loads of those that stay are kept.
    pub fn replace(&mut self, facts: Vec<UpstreamFact>) {
        let mut updated = IndexMap::with_capacity(facts.len());
        for mut fact in facts {
            let load = self.loads.entry(fact.id.clone()).or_default();
            let previous = self.facts.get(&fact.id);
            // Evidence that came with answers may be newer than what was published.
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

    /// The routable upstreams.
    pub fn facts(&self) -> &IndexMap<UpstreamId, UpstreamFact> {
        &self.facts
    }

    /// What is known of their load.
    pub fn loads(&self) -> &IndexMap<UpstreamId, ObservedLoad> {
        &self.loads
    }

    /// The load of one upstream.
    pub fn load_mut(&mut self, id: &UpstreamId) -> &mut ObservedLoad {
        self.loads.entry(id.clone()).or_default()
    }

    /// Notes evidence that came with an answer.
    pub fn record_evidence(&mut self, id: &UpstreamId, epoch: u32, requested_at: Millis) {
        if let Some(fact) = self.facts.get_mut(id)
            && fact.epoch == epoch
        {
            fact.evidence_at = fact.evidence_at.max(requested_at);
        }
    }

    /// The load to compare: what was reported, corrected for what was sent since, and never less
    /// than what is in flight from here.
    pub fn estimated_load(&self, id: &UpstreamId) -> f64 {
        let reported = self.facts.get(id).map_or(0, |fact| fact.reported);
        let Some(load) = self.loads.get(id) else {
            return f64::from(reported);
        };
        f64::from((reported + load.sent_since_report).max(load.in_flight))
    }
}
