//! When a caller that is refused should come back.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Weight of a new answer in the mean of answers' lengths: the last twenty count most.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Part of an answer's mean length after which a caller comes back to a full model, at the earliest and the
/// latest. Half of what runs now has ended by the middle of it; drawn, so that those refused together do not come
/// back together.
const RETURN_RANGE: (f64, f64) = (0.4, 0.8);
/// Length taken for a model's answers until one was seen, as after the start of a fleet, when callers come back in
/// crowds: 200 tokens at 6 ms. Without it all were told the shortest wait, and 1,030 requests were refused for want
/// of room within 1.2 s of a start (195 VMs; counted from the logs of a day).
const DEFAULT_ANSWER_MS: f64 = 1_200.0;
/// The shortest wait.
const MIN_RETURN_DELAY: Millis = Millis(300);
/// The longest wait: callers with five seconds give no more than a third of them.
const MAX_RETURN_DELAY: Millis = Millis(1_500);

/// Part of the time a caller has left that it gives to a wait at most. Told more, it comes back sooner than it was
/// told.
const MAX_DELAY_DIVISOR: u64 = 3;
/// Part of the wait after an outage that is drawn, so that those refused together do not come back together.
const RANDOM_FRACTION: f64 = 0.5;
/// When to come back to where another entry VM may serve: a new connection leads to it.
const OTHER_VM_RETURN_DELAY: Millis = Millis(100);

/// The longest wait that a caller with so much time left keeps to.
pub fn longest_delay(time_left: Millis) -> Millis {
    Millis(time_left.0 / MAX_DELAY_DIVISOR)
}

/// What keeps a VM from serving for a time, such as a store that is away.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServingOutage {
    /// How long it has lasted.
    pub duration: Millis,
    /// Whether other entry VMs are known to be in it too.
    pub affects_other_vms: bool,
}

impl ServingOutage {
    /// When a caller with so much time left should come back. `draw` is a random number.
    ///
    /// Of outages that have lasted so long half last as long again, so that much is waited, within the caller's
    /// patience: it comes back once or twice, and one that is refused again gets nothing. Where only this VM is
    /// known to be in it, another one serves at once.
    pub fn return_delay(self, time_left: Millis, random: u64) -> Millis {
        let max_delay = longest_delay(time_left);
        if !self.affects_other_vms {
            return OTHER_VM_RETURN_DELAY.min(max_delay);
        }
        let delay = self.duration.max(MIN_RETURN_DELAY).min(max_delay);
        let random_fraction = random as f64 / u64::MAX as f64;
        Millis((delay.0 as f64 * (1.0 - RANDOM_FRACTION * random_fraction)) as u64)
    }
}

/// How long answers take, by model.
///
/// Against a wait of 0.3 s whatever the answers, 0.026 instead of 0.037 are refused for good where the load is as
/// much as the leaders bear (`experiment::serving`).
#[derive(Debug, Default)]
pub struct ReturnDelays {
    /// Mean length of answers, in milliseconds.
    mean_durations: IndexMap<ModelName, f64>,
}

impl ReturnDelays {
    /// Notes a whole answer of a model that took so long from when it was sent.
    pub fn record_answer(&mut self, model: &ModelName, duration: Millis) {
        let duration = duration.0 as f64;
        match self.mean_durations.get_mut(model) {
            Some(mean_ms) => *mean_ms += (duration - *mean_ms) * SAMPLE_WEIGHT,
            None => {
                self.mean_durations.insert(model.clone(), duration);
            }
        }
    }

    /// When to come back to a model whose leaders are full, or to a plain service, whose answers are short, if no
    /// model is asked for. `draw` is a random number.
    pub fn delay_if_full(&self, model: Option<&ModelName>, random: u64) -> Millis {
        let Some(model) = model else {
            return MIN_RETURN_DELAY;
        };
        let mean_ms = self.mean_durations.get(model).copied();
        let mean_ms = mean_ms.unwrap_or(DEFAULT_ANSWER_MS);
        let random_fraction = random as f64 / u64::MAX as f64;
        let (min_fraction, max_fraction) = RETURN_RANGE;
        let fraction = min_fraction + (max_fraction - min_fraction) * random_fraction;
        Millis((mean_ms * fraction) as u64)
            .max(MIN_RETURN_DELAY)
            .min(MAX_RETURN_DELAY)
    }
}
