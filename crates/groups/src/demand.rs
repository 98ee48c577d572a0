//! Demand for each model, and the shares of the upstreams that follow from it.

use bergamot_ports::EngineSpec;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Time after which a request counts one e-th, about a third. Long compared to bursts of some
/// seconds, short compared to changes over a day.
const DECAY_TIME: Millis = Millis(20_000);
/// Number of requests that the declared shares weigh as much as. A VM with 20 requests a second
/// gives four fifths of the weight to observed demand, one with six requests a second a half.
const DECLARED_WEIGHT_REQUESTS: f64 = 100.0;
/// Minimum ratio between a model's needed and declared share at which the needed share is used.
/// What one VM observes is off by about a tenth, and returning callers count twice; following such
/// differences cost 0.013 of the score on four days whose declared shares are right (two runs
/// each).
const MIN_SHARE_RATIO: f64 = 1.25;
/// Weight of a new answer in the moving average of answer lengths.
const ANSWER_WEIGHT: f64 = 0.05;

/// Recent demand for one model.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct ModelDemand {
    /// Number of requests, with exponential decay.
    pub requests: f64,
    /// Number of prompt tokens, with the same decay.
    pub prompt_tokens: f64,
    /// Average number of events in an answer; none before the first complete answer.
    pub mean_events: Option<f64>,
    /// Number of those requests that may be processed in one region only, by region, with the same
    /// decay.
    pub bound: IndexMap<Region, f64>,
}

/// Measures the demand for each model, whether its requests are served or not.
#[derive(Debug, Default)]
pub struct DemandMeter {
    demands: IndexMap<ModelName, ModelDemand>,
    decayed_at: Millis,
}

impl DemandMeter {
    /// Records a caller's request.
    pub fn record_request(&mut self, now: Millis, model: &ModelName, prompt_tokens: u32) {
        self.decay(now);
        let demand = self.demands.entry(model.clone()).or_default();
        demand.requests += 1.0;
        demand.prompt_tokens += f64::from(prompt_tokens);
    }

    /// Records that a request, recorded before, may be processed in one region only.
    pub fn record_bound(&mut self, model: &ModelName, region: &Region) {
        let demand = self.demands.entry(model.clone()).or_default();
        *demand.bound.entry(region.clone()).or_default() += 1.0;
    }

    /// Records the number of events of a complete answer.
    pub fn record_answer(&mut self, model: &ModelName, events: u64) {
        let demand = self.demands.entry(model.clone()).or_default();
        let events = events as f64;
        let mean = demand.mean_events.get_or_insert(events);
        *mean += (events - *mean) * ANSWER_WEIGHT;
    }

    /// Returns the demand for each model.
    pub fn demands(&mut self, now: Millis) -> IndexMap<ModelName, ModelDemand> {
        self.decay(now);
        self.demands.clone()
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = now.since(self.decayed_at).0 as f64;
        let factor = (-elapsed / DECAY_TIME.0 as f64).exp();
        for demand in self.demands.values_mut() {
            demand.requests *= factor;
            demand.prompt_tokens *= factor;
            for bound in demand.bound.values_mut() {
                *bound *= factor;
            }
        }
        self.decayed_at = self.decayed_at.max(now);
    }
}

/// Returns the share of the upstreams that each model needs: a mean of observed and declared
/// demand, in which observed demand weighs more the more requests were seen. Returns none if the
/// result is close to the declared shares, or if the speed of the engines is unknown.
///
/// Gains 0.046 of a day's score where 86 of 100 requests are for a model with 43 of 100 parts of
/// the declared load (57 upstreams, three days).
pub(crate) fn needed_shares(
    spec: &EngineSpec,
    demands: &IndexMap<ModelName, ModelDemand>,
) -> Option<IndexMap<ModelName, f64>> {
    let speed = spec.speed?;
    let mut needs = IndexMap::new();
    let mut requests = 0.0;
    for model in spec.models.values() {
        let demand = demands.get(&model.name).cloned().unwrap_or_default();
        let speed = speed.scaled_by_pace(model.pace);
        let slots = f64::from(spec.slots.max(1));
        let prompt_ms = demand.prompt_tokens / speed.tokens_per_ms;
        let answer_ms =
            demand.requests * demand.mean_events.unwrap_or(1.0) * speed.pass_ms(slots) / slots;
        requests += demand.requests;
        needs.insert(
            model.name.clone(),
            (prompt_ms + answer_ms) * model.group_size as f64,
        );
    }
    let total_need: f64 = needs.values().sum();
    let total_declared: f64 = spec.models.values().map(|model| model.demand_share).sum();
    if total_need <= 0.0 || total_declared <= 0.0 {
        return None;
    }
    let observed_weight = requests / (requests + DECLARED_WEIGHT_REQUESTS);
    let mut is_distinct = false;
    for (name, need) in &mut needs {
        let declared_share = spec.models[name].demand_share / total_declared;
        *need = *need / total_need * observed_weight + declared_share * (1.0 - observed_weight);
        let ratio = *need / declared_share.max(1e-3);
        is_distinct |= !(1.0 / MIN_SHARE_RATIO..=MIN_SHARE_RATIO).contains(&ratio);
    }
    is_distinct.then_some(needs)
}
