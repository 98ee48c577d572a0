//! What is asked of each model, and the parts of the upstreams that it needs.

use bergamot_ports::EngineSpec;
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Time after which a request counts a third of a new one. Long against bursts of some seconds, short
/// against a day's changes.
const MEMORY: Millis = Millis(20_000);
/// Requests that the declared shares count as much as. A VM that sees 20 requests a second goes by what it sees for
/// four fifths, one that sees six for a half.
const DECLARED_WEIGHT: f64 = 100.0;
/// Factor by which what a model needs must differ from what is declared to go before it. What one VM sees is off by
/// a tenth or so, and callers who come back count twice; following that cost 0.013 of the worth of four days whose
/// declared shares are right (two plays each).
const CLEAR_FACTOR: f64 = 1.25;
/// Weight of a new answer in the mean of answers' lengths.
const NEW_WEIGHT: f64 = 0.05;

/// What is asked of one model, as seen lately.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct ModelDemand {
    /// Requests, the recent ones in full.
    pub requests: f64,
    /// Tokens of their prompts.
    pub prompt_tokens: f64,
    /// Events of an answer on the mean; none before the first whole answer.
    pub events: Option<f64>,
}

/// Counts what callers ask of each model, served or not.
#[derive(Debug, Default)]
pub struct DemandMeter {
    uses: IndexMap<ModelName, ModelDemand>,
    faded_at: Millis,
}

impl DemandMeter {
    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Millis, model: &ModelName, prompt_tokens: u32) {
        self.fade(now);
        let asked = self.uses.entry(model.clone()).or_default();
        asked.requests += 1.0;
        asked.prompt_tokens += f64::from(prompt_tokens);
    }

    /// Notes how many events a whole answer had.
    pub fn record_answer(&mut self, model: &ModelName, events: u64) {
        let asked = self.uses.entry(model.clone()).or_default();
        let events = events as f64;
        let mean = asked.events.get_or_insert(events);
        *mean += (events - *mean) * NEW_WEIGHT;
    }

    /// What is asked of each model.
    pub fn demands(&mut self, now: Millis) -> IndexMap<ModelName, ModelDemand> {
        self.fade(now);
        self.uses.clone()
    }

    fn fade(&mut self, now: Millis) {
        let passed = now.since(self.faded_at).0 as f64;
        let factor = (-passed / MEMORY.0 as f64).exp();
        for asked in self.uses.values_mut() {
            asked.requests *= factor;
            asked.prompt_tokens *= factor;
        }
        self.faded_at = self.faded_at.max(now);
    }
}

/// The part of the upstreams that each model needs: what is asked of it where that has been seen, and what
/// the configuration declares in so far as little has. None where that is about what is declared, or the engines'
/// speed is not known.
///
/// Where 86 in 100 requests are for a model with 43 in 100 of the declared work it gains 0.046 of a day's worth (57
/// upstreams, three days).
pub(crate) fn needed_shares(
    spec: &EngineSpec,
    uses: &IndexMap<ModelName, ModelDemand>,
) -> Option<IndexMap<ModelName, f64>> {
    let speed = spec.speed?;
    let mut needs = IndexMap::new();
    let mut requests = 0.0;
    for model in spec.models.values() {
        let asked = uses.get(&model.name).copied().unwrap_or_default();
        let speed = speed.scaled_by_pace(model.pace);
        let slots = f64::from(spec.slots.max(1));
        let reading = asked.prompt_tokens / speed.tokens_per_ms;
        let writing = asked.requests * asked.events.unwrap_or(1.0) * speed.pass_ms(slots) / slots;
        requests += asked.requests;
        needs.insert(
            model.name.clone(),
            (reading + writing) * model.group_size as f64,
        );
    }
    let whole: f64 = needs.values().sum();
    let declared: f64 = spec.models.values().map(|it| it.demand_share).sum();
    if whole <= 0.0 || declared <= 0.0 {
        return None;
    }
    let seen = requests / (requests + DECLARED_WEIGHT);
    let mut is_clear = false;
    for (name, need) in &mut needs {
        let declared_share = spec.models[name].demand_share / declared;
        *need = *need / whole * seen + declared_share * (1.0 - seen);
        let factor = *need / declared_share.max(1e-3);
        is_clear |= !(1.0 / CLEAR_FACTOR..=CLEAR_FACTOR).contains(&factor);
    }
    is_clear.then_some(needs)
}
