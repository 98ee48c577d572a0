//! When a caller that is refused should come back.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Weight of a new answer in the mean of answers' lengths: the last twenty count most.
const NEW_WEIGHT: f64 = 0.05;
/// Part of an answer's mean length after which a caller comes back to a full model, at the earliest and the
/// latest. Half of what runs now has ended by the middle of it; drawn, so that those refused together do not come
/// back together.
const RETURN_PARTS: (f64, f64) = (0.4, 0.8);
/// The shortest wait.
const MIN_RETURN: Millis = Millis(300);
/// The longest wait: callers with five seconds give no more than a third of them.
const MAX_RETURN: Millis = Millis(1_500);

/// How long answers take, by model.
///
/// Against a wait of 0.3 s whatever the answers, 0.026 instead of 0.037 are refused for good where the load is as
/// much as the leaders bear (`experiment::serving`).
#[derive(Debug, Default)]
pub struct ReturnTimes {
    /// Mean length of answers, in milliseconds.
    lengths: IndexMap<ModelName, f64>,
}

impl ReturnTimes {
    /// Notes a whole answer of a model that took so long from when it was sent.
    pub fn note_answer(&mut self, model: &ModelName, took: Millis) {
        let took = took.0 as f64;
        match self.lengths.get_mut(model) {
            Some(length) => *length += (took - *length) * NEW_WEIGHT,
            None => {
                self.lengths.insert(model.clone(), took);
            }
        }
    }

    /// When to come back to a model whose leaders are full. `draw` is a random number.
    pub fn when_full(&self, model: Option<&ModelName>, draw: u64) -> Millis {
        let length = model.and_then(|model| self.lengths.get(model));
        let drawn = draw as f64 / u64::MAX as f64;
        let (least, most) = RETURN_PARTS;
        let part = least + (most - least) * drawn;
        let wait = length.map_or(0.0, |length| length * part);
        Millis(wait as u64).max(MIN_RETURN).min(MAX_RETURN)
    }
}
