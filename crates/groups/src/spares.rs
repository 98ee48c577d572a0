//! Prepares free upstreams that no group needs now.

use bergamot_ports::EngineSpec;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::allocate::{Allocation, FreePool};
use crate::upstream::UpstreamRecord;

/// Warms spares with staged weights that are not about to join a group.
pub(crate) fn warm_spares(free: &[&UpstreamRecord], allocation: &mut Allocation) {
    for record in free {
        let id = &record.entry.incarnation.id;
        let is_joining = allocation
            .form
            .iter()
            .any(|(_, members)| members.contains(id));
        let is_loading = allocation.stage.iter().any(|(staged, _)| staged == id);
        let Some(model) = record.entry.staged.last() else {
            continue;
        };
        let is_cold = record.staging.is_none() && record.warm_model.as_ref() != Some(model);
        if is_cold && !is_joining && !is_loading {
            allocation.warm.push((id.clone(), model.clone()));
        }
    }
}

/// Loads onto cold spares the model that most upstreams of their fabric domain run.
pub(crate) fn stage_spares(
    spec: &EngineSpec,
    pools: &IndexMap<FabricDomain, FreePool<'_>>,
    allocation: &mut Allocation,
) {
    for pool in pools.values() {
        let most_common = pool.models.iter().max_by_key(|(_, count)| **count);
        let model = most_common
            .map(|(model, _)| model)
            .or(spec.models.keys().next());
        let Some(model) = model else {
            continue;
        };
        let cold = pool
            .free
            .iter()
            .filter(|record| record.staging.is_none() && record.entry.staged.is_empty());
        for record in cold {
            let stage = (record.entry.incarnation.id.clone(), model.clone());
            allocation.stage.push(stage);
        }
    }
}
