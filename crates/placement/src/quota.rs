//! How the wanted replicas are shared out over fabric domains.
//!
//! Every coordinator works this out alone from the bundle, the VM list and the records. Their
//! views differ for moments; the worst that brings is a surplus group, which is held and then
//! released.

use bergamot_bundle::ModelSpec;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::record::ModelRef;

/// One model as one fabric domain should run it.
#[derive(Clone, PartialEq, Debug)]
pub struct WantedModel {
    /// What to run.
    pub model: ModelRef,
    /// VMs in each group.
    pub size: u32,
    /// Groups here.
    pub count: u32,
    /// 0 is the most urgent.
    pub priority: u8,
}

/// What one fabric domain could hold.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct DomainCapacity {
    /// VMs that could be in groups, including those that are.
    pub vms: u32,
    /// Groups it has or forms, by model name, whatever their version.
    pub groups: IndexMap<ModelName, u32>,
    /// Whether it is thought lost as a whole; it then gets nothing new.
    pub is_lost: bool,
}

/// The model as groups name it.
pub fn model_ref(spec: &ModelSpec) -> ModelRef {
    ModelRef {
        name: spec.name.clone(),
        version: spec.version.clone(),
        adapter: spec.adapter.clone(),
    }
}

/// Shares out the replicas of all models, most urgent first.
///
/// A domain keeps the groups it has as far as they are wanted; the rest go one by one to the
/// domain with the most room, ties by rendezvous score. Costs models x replicas x domains.
pub fn distribute_replicas(
    models: &[ModelSpec],
    domains: &IndexMap<FabricDomain, DomainCapacity>,
) -> IndexMap<FabricDomain, Vec<WantedModel>> {
    let mut room: IndexMap<&FabricDomain, u32> = domains
        .iter()
        .filter(|(_, capacity)| !capacity.is_lost)
        .map(|(fabric, capacity)| (fabric, capacity.vms))
        .collect();
    let mut shares: IndexMap<FabricDomain, Vec<WantedModel>> = domains
        .keys()
        .map(|fabric| (fabric.clone(), Vec::new()))
        .collect();
    let mut ordered: Vec<&ModelSpec> = models.iter().collect();
    ordered.sort_by_key(|spec| (spec.priority, spec.name.clone()));
    for spec in ordered {
        let counts = share_one(spec, domains, &mut room);
        for (fabric, count) in counts {
            let wanted = WantedModel {
                model: model_ref(spec),
                size: spec.vms_per_replica,
                count,
                priority: spec.priority,
            };
            if let Some(share) = shares.get_mut(fabric) {
                share.push(wanted);
            }
        }
    }
    shares
}

fn share_one<'a>(
    spec: &ModelSpec,
    domains: &IndexMap<FabricDomain, DomainCapacity>,
    room: &mut IndexMap<&'a FabricDomain, u32>,
) -> IndexMap<&'a FabricDomain, u32> {
    let size = spec.vms_per_replica.max(1);
    let mut left = spec.replicas;
    let mut counts: IndexMap<&FabricDomain, u32> = room.keys().map(|f| (*f, 0)).collect();
    let key = hash_bytes(spec.name.as_str().as_bytes());
    for (fabric, free) in room.iter_mut() {
        let has = domains[*fabric].groups.get(&spec.name).copied();
        let kept = has.unwrap_or(0).min(left).min(*free / size);
        counts[fabric] += kept;
        *free -= kept * size;
        left -= kept;
    }
    while left > 0 {
        let best = room
            .iter_mut()
            .filter(|(_, free)| **free >= size)
            .max_by_key(|(fabric, free)| (**free, rendezvous_score(key, fabric.as_str())));
        let Some((fabric, free)) = best else {
            break;
        };
        *free -= size;
        counts[fabric] += 1;
        left -= 1;
    }
    counts
}
