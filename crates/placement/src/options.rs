//! What operators can set about groups.

use bergamot_types::Millis;
use serde::{Deserialize, Serialize};

/// How a broken group is repaired.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepairPolicy {
    /// The way that costs least by the two weights.
    #[default]
    LeastCost,
    /// Dissolve the group and form one anew from whatever is free. The baseline.
    RebuildFirstFit,
}

/// Weights, times and bounds.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementOptions {
    /// How a broken group is repaired.
    pub policy: RepairPolicy,
    /// Cost of one second of one group's downtime, for the most urgent priority.
    pub downtime_weight: f64,
    /// Cost of one second of one stranded accelerator.
    pub stranded_weight: f64,
    /// Silence after which a member counts as dead.
    pub unreachable_after: Millis,
    /// Age up to which a report counts.
    pub report_max_age: Millis,
    /// Share of the fabric domain's VMs that must be silent at once to count as its loss.
    pub storm_share: f64,
    /// The least time between the decision to drain and the release, for all to learn of it.
    pub min_drain: Millis,
    /// The most time a drain may take.
    pub max_drain: Millis,
    /// VMs that may load weights at once, so that the weight store is not swamped.
    pub parallel_loads: usize,
    /// How long a confirmed term allows orders to go out.
    pub confirm_bound: Millis,
    /// How long an order may be on its way.
    pub order_timeout: Millis,
    /// How long a VM must have been heard without a gap before it enters a group again.
    pub flap_hold: Millis,
    /// How long the platform takes to replace a lost VM, for the cost of waiting.
    pub replacement_time: Millis,
    /// How long a VM takes to load weights it does not hold.
    pub load_time: Millis,
    /// Failures per VM and day, for the number of spares.
    pub failures_per_vm_day: f64,
    /// Time a surplus group is kept, so that a short loss elsewhere does not cost two moves.
    pub surplus_hold: Millis,
    /// Whether free VMs hold the weights of the models most likely to need them.
    pub warm_spares: bool,
    /// Models whose weights one free VM holds.
    pub models_per_spare: usize,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            policy: RepairPolicy::LeastCost,
            downtime_weight: 1.0,
            stranded_weight: 0.05,
            unreachable_after: Millis(4_000),
            report_max_age: Millis(3_000),
            storm_share: 0.5,
            min_drain: Millis(5_000),
            max_drain: Millis(120_000),
            parallel_loads: 16,
            confirm_bound: Millis(2_000),
            order_timeout: Millis(1_000),
            flap_hold: Millis(20_000),
            replacement_time: Millis(300_000),
            load_time: Millis(30_000),
            failures_per_vm_day: 0.0036,
            surplus_hold: Millis(60_000),
            warm_spares: true,
            models_per_spare: 3,
        }
    }
}
