//! Stages a roll by failure domain.
//!
//! The roll record takes effect everywhere at once; only the replacement of groups is staged. The
//! gate opens one failure domain after another, each once the earlier ones are healthy.

use bergamot_types::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Progress of the replacement of groups in one failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct StageHealth {
    /// Number of groups wanted in the failure domain.
    pub wanted: u32,
    /// Number of groups of the new roll that serve.
    pub serving_new: u32,
    /// Number of groups of the new roll that failed to form.
    pub failed_new: u32,
}

/// Whether groups of one failure domain may be replaced.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GateOutcome {
    /// Groups may be replaced.
    Open,
    /// This earlier failure domain has not completed its replacements.
    Waiting(FailureDomain),
    /// Too many groups failed in this earlier failure domain. The roll stops; only a later roll
    /// resumes replacements.
    Stopped(FailureDomain),
}

/// Decides in which failure domains a roll may replace groups.
#[derive(Clone, Debug, Default)]
pub struct StageGate {
    /// Number of failed groups that are tolerated in each failure domain.
    pub tolerated_failures: u32,
}

impl StageGate {
    /// Returns whether groups of `domain` may be replaced. `health` lists the failure domains in
    /// rollout order.
    pub fn outcome(
        &self,
        domain: &FailureDomain,
        health: &IndexMap<FailureDomain, StageHealth>,
    ) -> GateOutcome {
        for (earlier, stage) in health {
            if earlier == domain {
                return GateOutcome::Open;
            }
            if stage.failed_new > self.tolerated_failures {
                return GateOutcome::Stopped(earlier.clone());
            }
            if stage.serving_new < stage.wanted {
                return GateOutcome::Waiting(earlier.clone());
            }
        }
        GateOutcome::Open
    }
}
