//! Counts calls to the platform and refuses those over the budget.

use bergamot_types::Millis;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// What a call to the platform is for.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A range read.
    Read,
    /// A transaction.
    Write,
    /// Opening a watch.
    Watch,
    /// Reading the VM list.
    VmList,
}

/// A token bucket over all calls of one process.
#[derive(Clone, Debug)]
pub struct CallBudget {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Millis,
    counts: IndexMap<CallKind, u64>,
    refused: u64,
}

impl CallBudget {
    /// A full bucket of `burst` calls that refills at `per_second`.
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            filled_at: Millis::ZERO,
            counts: IndexMap::new(),
            refused: 0,
        }
    }

    /// Takes one call out of the budget, or counts it as refused.
    pub fn take(&mut self, now: Millis, kind: CallKind) -> bool {
        let earned = now.since(self.filled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.filled_at = self.filled_at.max(now);
        if self.tokens < 1.0 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        *self.counts.entry(kind).or_default() += 1;
        true
    }

    /// Calls made since the start, by kind.
    pub fn counts(&self) -> &IndexMap<CallKind, u64> {
        &self.counts
    }

    /// Calls refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
