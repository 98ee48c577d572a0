//! The view of the cluster that requests are routed by: configuration and upstreams, as last read.

use std::sync::Arc;

use bergamot_feed::ConfigConfirmation;
use bergamot_ports::{
    EngineSpeed, MemberState, ServingConfig, StoreRevision, UpstreamEntry, UpstreamState,
};
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::cold::ColdEntry;
use crate::evacuations::{DomainEvacuation, EndedEvacuation};
use crate::own_keys::EntryRecord;

/// The upstreams of one service.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct ServicePool {
    /// Instances of a plain service.
    pub plain: Vec<RouteUpstream>,
    /// Leaders of serving groups, by model.
    pub models: IndexMap<ModelName, Vec<RouteUpstream>>,
    /// Evacuated failure domains with instances of a plain service.
    pub evacuated_plain: IndexSet<FailureDomain>,
    /// Evacuated failure domains with leaders of serving groups, by model.
    pub evacuated_models: IndexMap<ModelName, IndexSet<FailureDomain>>,
}

impl ServicePool {
    /// Returns the evacuated failure domains that have upstreams for `model`, or for requests without
    /// one. Other failure domains may have upstreams too.
    pub fn evacuated_domains(&self, model: Option<&ModelName>) -> &IndexSet<FailureDomain> {
        let domains = model.and_then(|model| self.evacuated_models.get(model));
        domains.unwrap_or(&self.evacuated_plain)
    }

    /// Returns the upstreams for `model`, or for requests without one. `None` if the model has none.
    pub fn upstreams(&self, model: Option<&ModelName>) -> Option<&Vec<RouteUpstream>> {
        match model {
            Some(model) if !self.models.is_empty() => self.models.get(model),
            _ => Some(&self.plain),
        }
    }

    /// Records that an evacuated failure domain has an upstream, which gets no requests.
    fn record_evacuated(&mut self, model: Option<ModelName>, failure_domain: &FailureDomain) {
        let domains = match model {
            Some(model) => self.evacuated_models.entry(model).or_default(),
            None => &mut self.evacuated_plain,
        };
        domains.insert(failure_domain.clone());
    }
}

/// Everything that was read from the store.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// The configuration in force. `None` until one has been read.
    pub config: Option<Arc<ServingConfig>>,
    /// When that configuration was last confirmed.
    pub confirmation: ConfigConfirmation,
    /// Entries of the directory, by upstream.
    pub upstreams: IndexMap<UpstreamId, UpstreamEntry>,
    /// The revision of the newest change.
    pub revision: StoreRevision,
    /// Upstreams that accept new requests, by service.
    pub pools: IndexMap<ServiceName, ServicePool>,
    /// Upstreams of services with slow start. Empty if no service has one.
    pub cold_entries: IndexMap<UpstreamId, ColdEntry>,
    /// Records of the entry VMs, by name.
    pub entries: IndexMap<String, EntryRecord>,
    /// The VM that coordinates the groups.
    pub coordinator: Option<EntryRecord>,
    /// The revision of that VM's record. Zero if there is none.
    pub coordinator_revision: StoreRevision,
    /// When the store was restored, or may have been: when this VM noticed it, or first read a store
    /// that had been restored before.
    pub restored_at: Option<Millis>,
    /// Held members, by group.
    pub holds: IndexMap<String, Vec<UpstreamId>>,
    /// Revision of the last change of coordinator. Zero if the store has no record of one.
    pub term: StoreRevision,
    /// Whether there ever was a coordinator.
    pub has_had_coordinator: bool,
    /// Failure domains that are evacuated.
    pub evacuations: IndexMap<FailureDomain, DomainEvacuation>,
    /// Failure domains whose evacuation has ended recently.
    pub ended_evacuations: IndexMap<FailureDomain, EndedEvacuation>,
}

/// The configuration of a view, and how recently it was confirmed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConfigStanding {
    /// Its version; 0 if there is none.
    pub version: u64,
    /// Time since its last confirmation.
    pub age: Millis,
}

impl ClusterView {
    /// Returns the standing of the view's configuration at `now`.
    pub fn config_standing(&self, now: Millis) -> ConfigStanding {
        ConfigStanding {
            version: self.config.as_ref().map_or(0, |config| config.version),
            age: self.confirmation.age(now),
        }
    }

    /// Whether the directory lists this incarnation of an upstream.
    pub fn is_listed(&self, incarnation: &UpstreamIncarnation) -> bool {
        let entry = self.upstreams.get(&incarnation.id);
        entry.is_some_and(|entry| entry.incarnation == *incarnation)
    }

    /// Whether a failure domain is evacuated.
    pub fn is_evacuated(&self, failure_domain: &FailureDomain) -> bool {
        self.evacuations.contains_key(failure_domain)
    }

    /// Returns what the directory states of an upstream's cold time, if its service has slow start.
    pub fn cold_entry(&self, incarnation: &UpstreamIncarnation) -> Option<&ColdEntry> {
        let entry = self.cold_entries.get(&incarnation.id);
        entry.filter(|entry| entry.incarnation == *incarnation)
    }
}

/// Groups the upstreams that accept new requests by service, in one pass over the directory. Leaves
/// out those in evacuated failure domains.
pub fn build_pools(
    config: &ServingConfig,
    upstreams: &IndexMap<UpstreamId, UpstreamEntry>,
    evacuations: &IndexMap<FailureDomain, DomainEvacuation>,
) -> IndexMap<ServiceName, ServicePool> {
    let mut pools: IndexMap<ServiceName, ServicePool> = IndexMap::new();
    for entry in upstreams.values() {
        if entry.state == UpstreamState::Draining {
            continue;
        }
        let Some(spec) = config.services.get(&entry.service) else {
            continue;
        };
        let is_evacuated = evacuations.contains_key(&entry.failure_domain);
        let pool = pools.entry(entry.service.clone()).or_default();
        let Some(engine) = &spec.engine else {
            if is_evacuated {
                pool.record_evacuated(None, &entry.failure_domain);
                continue;
            }
            pool.plain.push(route_upstream(entry, entry.slots, None));
            continue;
        };
        let leader_membership = entry
            .membership
            .as_ref()
            .filter(|membership| membership.rank == 0 && membership.state == MemberState::Open);
        if leader_membership.is_none() {
            continue;
        }
        let Some(model) = led_model(entry) else {
            continue;
        };
        if is_evacuated {
            pool.record_evacuated(Some(model), &entry.failure_domain);
            continue;
        }
        let pace = engine
            .models
            .get(&model)
            .map_or(1.0, |model_spec| model_spec.pace);
        let speed = engine.speed.map(|speed| speed.scaled_by_pace(pace));
        let upstream = route_upstream(entry, engine.slots, speed);
        pool.models.entry(model).or_default().push(upstream);
    }
    pools
}

/// Returns the model that a leader's group runs.
fn led_model(entry: &UpstreamEntry) -> Option<ModelName> {
    let group = entry.membership.as_ref()?.group.as_str();
    let named_model = group
        .rsplit_once('.')
        .map(|(model, _)| ModelName::new(model));
    named_model.or_else(|| entry.models.first().cloned())
}

fn route_upstream(entry: &UpstreamEntry, slots: u32, speed: Option<EngineSpeed>) -> RouteUpstream {
    RouteUpstream {
        incarnation: entry.incarnation.clone(),
        addr: entry.addr,
        failure_domain: entry.failure_domain.clone(),
        slots,
        group: entry
            .membership
            .as_ref()
            .map(|membership| membership.group.clone()),
        speed,
    }
}
