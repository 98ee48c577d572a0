//! Distributes the wanted replicas over fabric domains.
//!
//! Every coordinator computes the distribution on its own from the bundle, the VM list and the
//! records. Their inputs may differ for a moment. At worst this forms a surplus group, which is
//! kept for a while and then released.

use bergamot_bundle::ModelSpec;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::record::ModelRef;

/// A model that a fabric domain should run.
#[derive(Clone, PartialEq, Debug)]
pub struct WantedModel {
    /// The model.
    pub model: ModelRef,
    /// Number of VMs in each group.
    pub size: u32,
    /// Number of groups in this fabric domain.
    pub count: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

/// Capacity of a fabric domain.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct DomainCapacity {
    /// Number of VMs that are in groups or could be.
    pub vms: u32,
    /// Number of forming and serving groups by model name, of any version.
    pub groups: IndexMap<ModelName, u32>,
    /// Whether the whole fabric domain is considered lost, so that it gets no groups.
    pub is_lost: bool,
}

/// Returns the reference by which groups name the model.
pub fn model_ref(spec: &ModelSpec) -> ModelRef {
    ModelRef {
        name: spec.name.clone(),
        version: spec.version.clone(),
        adapter: spec.adapter.clone(),
    }
}

/// Distributes the replicas of all models over fabric domains, most urgent models first.
///
/// A fabric domain keeps its groups as far as they are wanted. Each further replica goes to the
/// domain with the most free VMs; rendezvous hashing breaks ties. The cost grows with the product
/// of models, replicas and fabric domains.
pub fn distribute_replicas(
    models: &[ModelSpec],
    domains: &IndexMap<FabricDomain, DomainCapacity>,
) -> IndexMap<FabricDomain, Vec<WantedModel>> {
    let mut free_vms: IndexMap<&FabricDomain, u32> = domains
        .iter()
        .filter(|(_, capacity)| !capacity.is_lost)
        .map(|(fabric, capacity)| (fabric, capacity.vms))
        .collect();
    let mut assignments: IndexMap<FabricDomain, Vec<WantedModel>> = domains
        .keys()
        .map(|fabric| (fabric.clone(), Vec::new()))
        .collect();
    let mut ordered: Vec<&ModelSpec> = models.iter().collect();
    ordered.sort_by_key(|spec| (spec.priority, spec.name.clone()));
    for spec in ordered {
        let counts = distribute_model(spec, domains, &mut free_vms);
        for (fabric, count) in counts {
            let wanted = WantedModel {
                model: model_ref(spec),
                size: spec.vms_per_replica,
                count,
                priority: spec.priority,
            };
            if let Some(assigned) = assignments.get_mut(fabric) {
                assigned.push(wanted);
            }
        }
    }
    assignments
}

fn distribute_model<'a>(
    spec: &ModelSpec,
    domains: &IndexMap<FabricDomain, DomainCapacity>,
    free_vms: &mut IndexMap<&'a FabricDomain, u32>,
) -> IndexMap<&'a FabricDomain, u32> {
    let size = spec.vms_per_replica.max(1);
    let mut remaining = spec.replicas;
    let mut counts: IndexMap<&FabricDomain, u32> = free_vms.keys().map(|f| (*f, 0)).collect();
    let key = hash_bytes(spec.name.as_str().as_bytes());
    for (fabric, free) in free_vms.iter_mut() {
        let existing = domains[*fabric].groups.get(&spec.name).copied();
        let kept = existing.unwrap_or(0).min(remaining).min(*free / size);
        counts[fabric] += kept;
        *free -= kept * size;
        remaining -= kept;
    }
    while remaining > 0 {
        let best = free_vms
            .iter_mut()
            .filter(|(_, free)| **free >= size)
            .max_by_key(|(fabric, free)| (**free, rendezvous_score(key, fabric.as_str())));
        let Some((fabric, free)) = best else {
            break;
        };
        *free -= size;
        counts[fabric] += 1;
        remaining -= 1;
    }
    counts
}
