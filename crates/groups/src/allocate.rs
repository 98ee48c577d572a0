//! Which groups to form next, and which hosts to load weights onto for them.

use bergamot_ports::{EngineSpec, ModelSpec};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::track::UpstreamTrack;

/// A model may take over hosts of another one that has so many times as many groups for its part
/// of the work.
const CONVERT_RATIO: f64 = 1.4;

/// What is to be done with the free upstreams.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Allocation {
    /// Groups whose members can all join now.
    pub form: Vec<(ModelName, Vec<UpstreamId>)>,
    /// Spares to join a group of their own and leave it again: after that they join any group of
    /// the model in 0.2 s instead of the model's warm-up time.
    pub warm: Vec<(UpstreamId, ModelName)>,
    /// Hosts to load a model onto, the most useful first.
    pub stage: Vec<(UpstreamId, ModelName)>,
}

/// The free upstreams of one fabric domain, and how many upstreams it has in all.
#[derive(Debug, Default)]
pub(crate) struct FreePool<'a> {
    pub free: Vec<&'a UpstreamTrack>,
    pub total: usize,
    pub failure_domain: FailureDomain,
    /// Upstreams that run, hold or load each model.
    pub models: IndexMap<ModelName, usize>,
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
    /// Lower is better.
    rank: CandidateRank,
}

/// How good a candidate is, the first field first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct CandidateRank {
    /// The member that holds the group up most.
    slowest: Readiness,
    /// Loads that the members still need.
    loads: usize,
    /// Upstreams of the domain that run or hold another model. What is left of a broken group can
    /// stand in for a member of another only where both run the same model.
    others: usize,
    /// Groups of the model in the same failure domain, so that the loss of one leaves some.
    together: usize,
}

/// What allocation knows beyond the free upstreams.
pub(crate) struct AllocationContext<'a> {
    pub spec: &'a EngineSpec,
    /// One in so many upstreams is kept free for repairs.
    pub spare_divisor: usize,
    /// Groups that serve or form, by model.
    pub groups: IndexMap<ModelName, usize>,
}

impl AllocationContext<'_> {
    /// Groups of the model that the upstreams are enough for, spares left out.
    fn wanted(&self, model: &ModelSpec, total: usize) -> usize {
        let shares = self.spec.models.values().map(|it| it.demand_share);
        let whole: f64 = shares.sum();
        let used = total as f64 * (1.0 - 1.0 / self.spare_divisor as f64);
        let part = used * model.demand_share / whole.max(1e-3);
        (part / model.group_size as f64).ceil() as usize
    }
}

fn best_candidate(
    model: &ModelSpec,
    pools: &IndexMap<FabricDomain, FreePool<'_>>,
    together: &IndexMap<(FailureDomain, ModelName), usize>,
    spare_divisor: usize,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    for (fabric, pool) in pools {
        if pool.free.len() < model.group_size {
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
        let others = pool.models.iter().filter(|(name, _)| **name != model.name);
        let place = (pool.failure_domain.clone(), model.name.clone());
        let rank = CandidateRank {
            slowest: ranked.last().map_or(Readiness::Warm, |(it, _)| *it),
            loads: loads.count(),
            others: others.map(|(_, count)| count).sum(),
            together: together.get(&place).copied().unwrap_or(0),
        };
        // Members that are ready serve now and can be spares later; those that would have to load
        // are kept as spares.
        let spares = pool.total.checked_div(spare_divisor).unwrap_or(0);
        if rank.loads > 0 && pool.free.len() < model.group_size + spares {
            continue;
        }
        let candidate = Candidate {
            fabric: fabric.clone(),
            loads: rank.loads,
            rank,
            members: ranked.iter().map(|(_, it)| it.entry.id.clone()).collect(),
        };
        if best.as_ref().is_none_or(|best| candidate.rank < best.rank) {
            best = Some(candidate);
        }
    }
    best
}

/// Shares the free upstreams out: again and again the model with the fewest groups for its part
/// of the work gets one where it is ready soonest. Costs groups x upstreams.
pub(crate) fn allocate(
    context: &AllocationContext<'_>,
    mut pools: IndexMap<FabricDomain, FreePool<'_>>,
) -> Allocation {
    let mut allocation = Allocation::default();
    let all_free: Vec<&UpstreamTrack> = pools.values().flat_map(|it| it.free.clone()).collect();
    let mut groups = context.groups.clone();
    let total = pools.values().map(|pool| pool.total).sum();
    let mut together: IndexMap<(FailureDomain, ModelName), usize> = IndexMap::new();
    for pool in pools.values() {
        for (model, count) in &pool.models {
            let place = (pool.failure_domain.clone(), model.clone());
            *together.entry(place).or_default() += count;
        }
    }
    let mut open: Vec<&ModelSpec> = context.spec.models.values().collect();
    while !open.is_empty() {
        let Some(index) = neediest(&open, &groups) else {
            break;
        };
        let model = open[index];
        let least = supply(model, &groups);
        let mut others = context.spec.models.values();
        let is_behind = others.any(|other| supply(other, &groups) > least * CONVERT_RATIO);
        let count = groups.entry(model.name.clone()).or_default();
        // Spares are for what is wanted; only more than that leaves some free.
        let divisor = match *count < context.wanted(model, total) {
            true => 0,
            false => context.spare_divisor,
        };
        // A host that holds another model gives it up for good: only where that one has plenty.
        let may_convert = is_behind;
        let candidate = best_candidate(model, &pools, &together, divisor);
        let candidate =
            candidate.filter(|it| may_convert || it.rank.slowest < Readiness::HoldsOther);
        let Some(candidate) = candidate else {
            open.remove(index);
            continue;
        };
        *count += 1;
        reserve(
            &mut pools,
            &mut together,
            &candidate,
            model,
            &mut allocation,
        );
    }
    stage_spares(context.spec, &pools, &mut allocation);
    warm_spares(&all_free, &mut allocation);
    allocation
}

/// Warms what is staged and not about to join a group.
fn warm_spares(free: &[&UpstreamTrack], allocation: &mut Allocation) {
    for track in free {
        let id = &track.entry.id;
        let is_formed = allocation
            .form
            .iter()
            .any(|(_, members)| members.contains(id));
        let is_loaded = allocation.stage.iter().any(|(staged, _)| staged == id);
        let Some(model) = track.entry.staged.last() else {
            continue;
        };
        let is_cold = track.staging.is_none() && track.warm_model.as_ref() != Some(model);
        if is_cold && !is_formed && !is_loaded {
            allocation.warm.push((id.clone(), model.clone()));
        }
    }
}

/// The model with the fewest upstreams in groups for its part of the work.
fn neediest(open: &[&ModelSpec], groups: &IndexMap<ModelName, usize>) -> Option<usize> {
    let indexed = open.iter().enumerate();
    let least = indexed.min_by(|(_, a), (_, b)| {
        let (a, b) = (supply(a, groups), supply(b, groups));
        a.total_cmp(&b)
    });
    least.map(|(index, _)| index)
}

/// Upstreams in groups of the model for its part of the work.
fn supply(model: &ModelSpec, groups: &IndexMap<ModelName, usize>) -> f64 {
    let count = groups.get(&model.name).copied().unwrap_or(0);
    (count * model.group_size) as f64 / model.demand_share.max(1e-3)
}

fn reserve(
    pools: &mut IndexMap<FabricDomain, FreePool<'_>>,
    together: &mut IndexMap<(FailureDomain, ModelName), usize>,
    candidate: &Candidate,
    model: &ModelSpec,
    allocation: &mut Allocation,
) {
    let Some(pool) = pools.get_mut(&candidate.fabric) else {
        return;
    };
    let place = (pool.failure_domain.clone(), model.name.clone());
    *together.entry(place).or_default() += candidate.members.len();
    *pool.models.entry(model.name.clone()).or_default() += candidate.loads;
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

/// Spares hold the model that most of their domain runs.
fn stage_spares(
    spec: &EngineSpec,
    pools: &IndexMap<FabricDomain, FreePool<'_>>,
    allocation: &mut Allocation,
) {
    for pool in pools.values() {
        let most = pool.models.iter().max_by_key(|(_, count)| **count);
        let model = most.map(|(model, _)| model).or(spec.models.keys().next());
        let Some(model) = model else {
            continue;
        };
        let cold = pool
            .free
            .iter()
            .filter(|track| track.staging.is_none() && track.entry.staged.is_empty());
        for track in cold {
            let stage = (track.entry.id.clone(), model.clone());
            allocation.stage.push(stage);
        }
    }
}
