//! Prompt parts that requests share.
//!
//! A part can crash every upstream that begins to write an answer on it, whatever else the request
//! contains. The requests then differ from each other, so the crashes count against the part, under
//! a fingerprint of its own. Nearly all parts are harmless and were only present: a part is known to
//! be harmless while complete answers to requests with it arrive.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::fingerprint::RequestPrint;

/// How long a part is known to be harmless after a complete answer.
const HARMLESS_RETENTION: Millis = Millis::from_secs(600);
/// Maximum number of parts that are known to be harmless. Each takes some 50 bytes.
const MAX_HARMLESS_PARTS: usize = 8_192;
/// Maximum number of runs in one record, so that it fits into a datagram.
pub(crate) const MAX_RUNS_PER_RECORD: usize = 40;

/// The prompt parts of a run at one upstream.
#[derive(Clone, Copy, Debug)]
pub struct PartRuns<'a> {
    /// The fingerprints of the parts.
    pub prints: &'a [RequestPrint],
    /// Number of events received from the run.
    pub events: u32,
    /// When the request was sent to the upstream.
    pub sent_at: Millis,
}

/// The parts that complete answers have shown to be harmless, with the time of the last one.
#[derive(Clone, Debug, Default)]
pub(crate) struct HarmlessParts {
    answered_at: IndexMap<RequestPrint, Millis>,
}

impl HarmlessParts {
    /// Whether a complete answer has arrived recently.
    pub(crate) fn contains(&self, part: RequestPrint) -> bool {
        self.answered_at.contains_key(&part)
    }

    /// Records a complete answer to a request with this part. Returns whether the part was not known
    /// to be harmless.
    pub(crate) fn record_answer(&mut self, now: Millis, part: RequestPrint) -> bool {
        if let Some(answered_at) = self.answered_at.get_mut(&part) {
            *answered_at = now;
            return false;
        }
        if self.answered_at.len() >= MAX_HARMLESS_PARTS {
            self.evict();
        }
        self.answered_at.insert(part, now);
        true
    }

    /// Drops parts without a recent answer. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Millis) -> bool {
        let count_before = self.answered_at.len();
        self.answered_at
            .retain(|_, answered_at| now.since(*answered_at) < HARMLESS_RETENTION);
        self.answered_at.len() < count_before
    }

    /// Evicts the quarter of the parts whose last answer is the longest ago.
    fn evict(&mut self) {
        self.answered_at
            .sort_by(|_, answered_a, _, answered_b| answered_b.cmp(answered_a));
        self.answered_at.truncate(MAX_HARMLESS_PARTS * 3 / 4);
    }
}
