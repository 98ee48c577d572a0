//! Which groups to form next, and which hosts to load weights onto for them.

use bergamot_ports::{EngineSpec, ModelSpec};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::track::UpstreamTrack;

/// A model may take over hosts of another one that has so many times as many groups for its part
/// of the work.
const CONVERT_RATIO: f64 = 1.4;

/// A model that has so many times less than another one goes first, with hosts that could serve the other
/// at once. Below it what is ready serves: with six loads of 12 to 16 s at a time, a host that changes its
/// model is missing for longer than a shortage lasts.
const STARVED_RATIO: f64 = 4.0;

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
    /// Lower is better.
    rank: CandidateRank,
}

impl Candidate {
    /// Whether all members could join now.
    fn is_ready(&self) -> bool {
        self.rank.slowest <= Readiness::Staged
    }
}

/// How good a candidate is, the first field first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct CandidateRank {
    /// Whether a member would give up another model for good.
    converts: bool,
    /// Loads that are still to begin.
    loads: usize,
    /// The member that holds the group up most.
    slowest: Readiness,
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
        ranked.sort_by(|a, b| {
            a.0.cmp(&b.0)
                .then_with(|| a.1.entry.incarnation.id.cmp(&b.1.entry.incarnation.id))
        });
        ranked.truncate(model.group_size);
        let slowest = ranked.last().map_or(Readiness::Warm, |(it, _)| *it);
        let loads = ranked.iter().filter(|(it, _)| *it > Readiness::Staging);
        let others = pool.models.iter().filter(|(name, _)| **name != model.name);
        let place = (pool.failure_domain.clone(), model.name.clone());
        let rank = CandidateRank {
            converts: slowest >= Readiness::HoldsOther,
            loads: loads.count(),
            slowest,
            others: others.map(|(_, count)| count).sum(),
            together: together.get(&place).copied().unwrap_or(0),
        };
        // Members that are ready serve now and can be spares later; those that would have to load
        // are kept as spares.
        let spares = pool.total.checked_div(spare_divisor).unwrap_or(0);
        let candidate = Candidate {
            fabric: fabric.clone(),
            rank,
            members: ranked
                .iter()
                .map(|(_, it)| it.entry.incarnation.id.clone())
                .collect(),
        };
        if !candidate.is_ready() && pool.free.len() < model.group_size + spares {
            continue;
        }
        if best.as_ref().is_none_or(|best| candidate.rank < best.rank) {
            best = Some(candidate);
        }
    }
    best
}

/// How urgent the next group of a model is, the first field first; lower is more urgent.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
struct PlanOrder {
    /// Whether a host gives up another model for good.
    converts: bool,
    /// Whether weights must be loaded first.
    needs_load: bool,
    /// Part of the group that is still to be loaded, times the square of what the model has for its part of
    /// the work. The weight store is what a fleet under losses waits for, so a load that completes a group
    /// goes before several for one, unless the model is much shorter.
    load_cost: f64,
    /// What the model has for its part of the work.
    supply: f64,
}

/// The group that is planned next: of all models the most urgent one.
fn next_group<'a>(
    context: &AllocationContext<'a>,
    pools: &IndexMap<FabricDomain, FreePool<'_>>,
    together: &IndexMap<(FailureDomain, ModelName), usize>,
    groups: &IndexMap<ModelName, usize>,
) -> Option<(&'a ModelSpec, Candidate)> {
    let total = pools.values().map(|pool| pool.total).sum();
    let mut best: Option<(PlanOrder, &ModelSpec, Candidate)> = None;
    for model in context.spec.models.values() {
        let count = groups.get(&model.name).copied().unwrap_or(0);
        // Spares are for what is wanted; only more than that leaves some free.
        let divisor = match count < context.wanted(model, total) {
            true => 0,
            false => context.spare_divisor,
        };
        let Some(candidate) = best_candidate(model, pools, together, divisor) else {
            continue;
        };
        let own = supply(model, groups);
        let most = context.spec.models.values();
        let most = most.map(|it| supply(it, groups)).fold(0.0, f64::max);
        // A host that holds another model gives it up for good: only where that one has plenty.
        if candidate.rank.converts && most <= own * CONVERT_RATIO {
            continue;
        }
        let is_starved = most > own * STARVED_RATIO;
        let order = PlanOrder {
            converts: candidate.rank.converts && !is_starved,
            needs_load: !candidate.is_ready() && !is_starved,
            load_cost: candidate.rank.loads as f64 / model.group_size as f64 * own * own,
            supply: own,
        };
        if best.as_ref().is_none_or(|(best, _, _)| order < *best) {
            best = Some((order, model, candidate));
        }
    }
    best.map(|(_, model, candidate)| (model, candidate))
}

/// Shares the free upstreams out, one group after another: what is ready serves, then what needs the
/// fewest loads for the model that is shortest. Costs groups x upstreams.
///
/// Gains 0.012 of the worth of days with trouble against the shortest model first with whatever it needs (57
/// upstreams in domains of nine, two lost each 3 s; five days, five plays after and two before).
pub(crate) fn allocate(
    context: &AllocationContext<'_>,
    mut pools: IndexMap<FabricDomain, FreePool<'_>>,
) -> Allocation {
    let mut allocation = Allocation::default();
    let all_free: Vec<&UpstreamTrack> = pools.values().flat_map(|it| it.free.clone()).collect();
    let mut groups = context.groups.clone();
    let mut together: IndexMap<(FailureDomain, ModelName), usize> = IndexMap::new();
    for pool in pools.values() {
        for (model, count) in &pool.models {
            let place = (pool.failure_domain.clone(), model.clone());
            *together.entry(place).or_default() += count;
        }
    }
    while let Some((model, candidate)) = next_group(context, &pools, &together, &groups) {
        *groups.entry(model.name.clone()).or_default() += 1;
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
        let id = &track.entry.incarnation.id;
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
    *pool.models.entry(model.name.clone()).or_default() += candidate.rank.loads;
    for track in &pool.free {
        let id = &track.entry.incarnation.id;
        let lacks = readiness(track, &model.name) > Readiness::Staging;
        let can_stage = lacks && track.staging.is_none();
        if can_stage && candidate.members.contains(id) {
            allocation.stage.push((id.clone(), model.name.clone()));
        }
    }
    pool.free
        .retain(|track| !candidate.members.contains(&track.entry.incarnation.id));
    if candidate.is_ready() {
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
            let stage = (track.entry.incarnation.id.clone(), model.clone());
            allocation.stage.push(stage);
        }
    }
}
