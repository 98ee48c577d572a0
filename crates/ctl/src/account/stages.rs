//! How long the stages of a request took.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::{Serialize, Serializer};

use super::millis;
use crate::log_line::LogLine;

/// The stages of a stream until its first event, each with the field of the log that has its time in milliseconds: from
/// its head to the send that brought the event, the connection, the answer's head, the event, and all of it.
pub const STAGES: [&str; 6] = [
    "planned",
    "connected",
    "head",
    "first_took",
    "first",
    "longest_gap",
];
/// The longest time that is told apart, in milliseconds.
const MOST_MS: u64 = 60_000;

/// Times by stage.
#[derive(Clone, Debug, Default)]
pub struct StageTimes {
    times: IndexMap<&'static str, Histogram<u64>>,
}

impl StageTimes {
    /// Takes in the line about the end of a stream.
    pub fn take(&mut self, line: &LogLine) {
        for stage in STAGES {
            let Some(took) = millis(line, stage) else {
                continue;
            };
            let times = self.times.entry(stage).or_insert_with(|| {
                let times = Histogram::new_with_max(MOST_MS, 3);
                times.expect("the bounds are valid")
            });
            times.saturating_record(took.min(MOST_MS));
        }
    }

    /// The stages that any line told of, with the times below which half, 95 and 99 in 100 stay, in milliseconds.
    pub fn quantiles(&self) -> impl Iterator<Item = (&'static str, [u64; 3])> + '_ {
        self.times.iter().map(|(stage, times)| {
            let at = |part| times.value_at_quantile(part);
            (*stage, [at(0.5), at(0.95), at(0.99)])
        })
    }
}

impl Serialize for StageTimes {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_map(self.quantiles())
    }
}
