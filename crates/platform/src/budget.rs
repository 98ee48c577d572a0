//! Limits the rate of calls to the platform and counts them.

use bergamot_types::Millis;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The kind of a call to the platform.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A range read.
    Read,
    /// A transaction.
    Write,
    /// The start of a watch.
    Watch,
    /// A read of the VM list.
    VmList,
}

/// Token bucket for all calls of one process.
#[derive(Clone, Debug)]
pub struct CallBudget {
    calls_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Millis,
    counts: IndexMap<CallKind, u64>,
    refused: u64,
}

impl CallBudget {
    /// Creates a full bucket of `burst` calls that refills at `calls_per_second`.
    pub fn new(calls_per_second: f64, burst: f64) -> Self {
        Self {
            calls_per_second,
            burst,
            tokens: burst,
            refilled_at: Millis::ZERO,
            counts: IndexMap::new(),
            refused: 0,
        }
    }

    /// Takes one call from the budget and returns true. If the budget is used up, counts the call
    /// as refused and returns false.
    pub fn take(&mut self, now: Millis, kind: CallKind) -> bool {
        let refilled_tokens = now.since(self.refilled_at).as_secs_f64() * self.calls_per_second;
        self.tokens = (self.tokens + refilled_tokens).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1.0 {
            self.refused += 1;
            return false;
        }
        self.tokens -= 1.0;
        *self.counts.entry(kind).or_default() += 1;
        true
    }

    /// Returns the number of calls made so far, by kind.
    pub fn counts(&self) -> &IndexMap<CallKind, u64> {
        &self.counts
    }

    /// Returns the number of calls refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
