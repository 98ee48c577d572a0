//! The gate between the failure domains of a staged roll.
//!
//! The record is in force everywhere at once; what is staged is the replacement of groups. The
//! gate opens failure domains one after another, each when the ones before it are healthy.

use bergamot_types::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// How far the replacement of groups has come in one failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct StageHealth {
    /// Groups wanted there.
    pub wanted: u32,
    /// Groups that serve the new roll.
    pub serving_new: u32,
    /// Groups of the new roll that failed to come up.
    pub failed_new: u32,
}

/// What the gate says about one failure domain.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GateOutcome {
    /// Groups may be replaced there.
    Open,
    /// An earlier failure domain is not done yet.
    Waiting(FailureDomain),
    /// An earlier failure domain failed; the roll stops until the next one.
    Stopped(FailureDomain),
}

/// Decides for one roll in which failure domains groups may be replaced.
#[derive(Clone, Debug, Default)]
pub struct StageGate {
    /// Failed groups that are tolerated in each failure domain.
    pub tolerated_failures: u32,
}

impl StageGate {
    /// The gate's word on `domain`, given the health of all, in rollout order.
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
