//! Which groups to form next, and which hosts to load weights onto for them.

use bergamot_ports::{EngineSpec, ModelSpec};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::track::UpstreamTrack;

/// What is to be done with the free upstreams.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Allocation {
    /// Groups whose members can all join now.
    pub form: Vec<(ModelName, Vec<UpstreamId>)>,
    /// Hosts to load a model onto, the most useful first.
    pub stage: Vec<(UpstreamId, ModelName)>,
}

/// The free upstreams of one fabric domain, and how many upstreams it has in all.
#[derive(Debug, Default)]
pub(crate) struct FreePool<'a> {
    pub free: Vec<&'a UpstreamTrack>,
    pub total: usize,
}

/// How far a member is from joining a group of the model.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Readiness {
    Warm,
    Staged,
    Staging,
    Cold,
    /// It holds another model, which a load would replace.
    HoldsOther,
    StagingOther,
}

fn readiness(track: &UpstreamTrack, model: &ModelName) -> Readiness {
    if let Some((staging, _)) = &track.staging {
        return match staging == model {
            true => Readiness::Staging,
            false => Readiness::StagingOther,
        };
    }
    if track.holds(model) {
        return match track.warm_model.as_ref() == Some(model) {
            true => Readiness::Warm,
            false => Readiness::Staged,
        };
    }
    match track.entry.staged.is_empty() {
        true => Readiness::Cold,
        false => Readiness::HoldsOther,
    }
}

/// Members for one more group of the model in one domain, with the loads they still need.
struct Candidate {
    fabric: FabricDomain,
    members: Vec<UpstreamId>,
    loads: usize,
    slowest: Readiness,
}

fn best_candidate(
    model: &ModelSpec,
    pools: &IndexMap<FabricDomain, FreePool<'_>>,
    spare_divisor: usize,
    is_needed: bool,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    for (fabric, pool) in pools {
        // The first group of a model goes before spares.
        let spares = match is_needed {
            true => 0,
            false => pool.total / spare_divisor,
        };
        if pool.free.len() < model.group_size + spares {
            continue;
        }
        let mut ranked: Vec<(Readiness, &UpstreamTrack)> = pool
            .free
            .iter()
            .map(|track| (readiness(track, &model.name), *track))
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.entry.id.cmp(&b.1.entry.id)));
        ranked.truncate(model.group_size);
        let loads = ranked.iter().filter(|(it, _)| *it > Readiness::Staged);
        let candidate = Candidate {
            fabric: fabric.clone(),
            loads: loads.count(),
            slowest: ranked.last().map_or(Readiness::Warm, |(it, _)| *it),
            members: ranked.iter().map(|(_, it)| it.entry.id.clone()).collect(),
        };
        let is_better = best.as_ref().is_none_or(|best| {
            (candidate.slowest, candidate.loads) < (best.slowest, best.loads)
        });
        if is_better {
            best = Some(candidate);
        }
    }
    best
}

/// Shares the free upstreams out: again and again the model with the fewest groups for its part
/// of the work gets one where it is ready soonest. Costs groups x upstreams.
pub(crate) fn allocate(
    spec: &EngineSpec,
    mut pools: IndexMap<FabricDomain, FreePool<'_>>,
    mut groups: IndexMap<ModelName, usize>,
    spare_divisor: usize,
) -> Allocation {
    let mut allocation = Allocation::default();
    let mut open: Vec<&ModelSpec> = spec.models.values().collect();
    while !open.is_empty() {
        let Some(index) = neediest(&open, &groups) else {
            break;
        };
        let model = open[index];
        let count = groups.entry(model.name.clone()).or_default();
        let candidate = best_candidate(model, &pools, spare_divisor, *count == 0);
        let Some(candidate) = candidate else {
            open.remove(index);
            continue;
        };
        *count += 1;
        reserve(&mut pools, &candidate, model, &mut allocation);
    }
    stage_spares(spec, &pools, &mut allocation);
    allocation
}

/// The model with the fewest groups for its part of the work.
fn neediest(open: &[&ModelSpec], groups: &IndexMap<ModelName, usize>) -> Option<usize> {
    let supply = |model: &ModelSpec| {
        let count = groups.get(&model.name).copied().unwrap_or(0) as f64;
        count / model.demand_share.max(1e-3)
    };
    let indexed = open.iter().enumerate();
    let least = indexed.min_by(|(_, a), (_, b)| supply(a).total_cmp(&supply(b)));
    least.map(|(index, _)| index)
}

fn reserve(
    pools: &mut IndexMap<FabricDomain, FreePool<'_>>,
    candidate: &Candidate,
    model: &ModelSpec,
    allocation: &mut Allocation,
) {
    let Some(pool) = pools.get_mut(&candidate.fabric) else {
        return;
    };
    for track in &pool.free {
        let id = &track.entry.id;
        let lacks = readiness(track, &model.name) > Readiness::Staging;
        let can_stage = lacks && track.staging.is_none();
        if can_stage && candidate.members.contains(id) {
            allocation.stage.push((id.clone(), model.name.clone()));
        }
    }
    pool.free
        .retain(|track| !candidate.members.contains(&track.entry.id));
    if candidate.loads == 0 {
        let form = (model.name.clone(), candidate.members.clone());
        allocation.form.push(form);
    }
}

/// Spares hold the weights of the models in turn, the larger groups' first, as those are the
/// likeliest to lose a member.
fn stage_spares(
    spec: &EngineSpec,
    pools: &IndexMap<FabricDomain, FreePool<'_>>,
    allocation: &mut Allocation,
) {
    let mut models: Vec<&ModelSpec> = spec.models.values().collect();
    models.sort_by_key(|model| std::cmp::Reverse(model.group_size));
    if models.is_empty() {
        return;
    }
    for pool in pools.values() {
        let cold = pool.free.iter().filter(|track| {
            track.staging.is_none() && track.entry.staged.is_empty()
        });
        for (index, track) in cold.enumerate() {
            let model = models[index % models.len()];
            let stage = (track.entry.id.clone(), model.name.clone());
            allocation.stage.push(stage);
        }
    }
}
