//! Computes when a rejected caller should return.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Weight of a new answer in the mean answer duration. The last twenty answers count most.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Earliest and latest return to a full model, as fractions of the mean answer duration. Half of
/// the running answers have ended by the middle of the range. The delay is random, so that callers
/// rejected together do not return together.
const RETURN_RANGE: (f64, f64) = (0.4, 0.8);
/// Assumed answer duration of a model without samples: 200 tokens at 6 ms. Without it all callers
/// got the shortest delay when a fleet started and they arrived in crowds, and 1,030 requests were
/// rejected for lack of capacity within 1.2 s (195 VMs; counted from the logs of a day).
const DEFAULT_ANSWER_MS: f64 = 1_200.0;
/// Shortest delay.
const MIN_RETURN_DELAY: Millis = Millis(300);
/// Longest delay. Callers with a deadline of five seconds wait no more than a third of it.
const MAX_RETURN_DELAY: Millis = Millis(1_500);

/// Divisor of a caller's remaining time that gives the longest delay it accepts. A caller that is
/// sent away for longer returns early anyway.
const MAX_DELAY_DIVISOR: u64 = 3;
/// Random fraction of the delay after an outage, so that callers rejected together do not return
/// together.
const RANDOM_FRACTION: f64 = 0.5;
/// Delay if another entry VM may serve the caller: a new connection leads to that VM.
const OTHER_VM_RETURN_DELAY: Millis = Millis(100);

/// Returns the longest delay that a caller with this remaining time accepts.
pub fn longest_delay(time_left: Millis) -> Millis {
    Millis(time_left.0 / MAX_DELAY_DIVISOR)
}

/// A period in which a VM cannot serve, for example because the store is unavailable.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ServingOutage {
    /// How long the outage has lasted.
    pub duration: Millis,
    /// Whether other entry VMs are known to be affected too.
    pub affects_other_vms: bool,
}

impl ServingOutage {
    /// Returns the delay for a caller with this remaining time. `random` is a random number.
    ///
    /// Half of the outages that have lasted for some time last as long again, so this is the delay,
    /// within what the caller accepts. The caller returns once or twice, and fails if it is
    /// rejected again. If only this VM is known to be affected, another one serves the caller at
    /// once.
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

/// Durations of answers, by model.
///
/// Compared with a fixed delay of 0.3 s, 0.026 of requests instead of 0.037 are rejected for good
/// at a load that just fills the leaders (`experiment::serving`).
#[derive(Debug, Default)]
pub struct ReturnDelays {
    /// Mean duration of answers, in milliseconds.
    mean_durations: IndexMap<ModelName, f64>,
}

impl ReturnDelays {
    /// Records the duration of a complete answer, counted from when its request was sent.
    pub fn record_answer(&mut self, model: &ModelName, duration: Millis) {
        let duration = duration.0 as f64;
        match self.mean_durations.get_mut(model) {
            Some(mean_ms) => *mean_ms += (duration - *mean_ms) * SAMPLE_WEIGHT,
            None => {
                self.mean_durations.insert(model.clone(), duration);
            }
        }
    }

    /// Returns the delay for a caller of a model whose leaders are full. Without a model, returns
    /// the delay for a plain service, whose answers are short. `random` is a random number.
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
