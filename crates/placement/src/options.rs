//! Placement settings.

use bergamot_types::Millis;
use serde::{Deserialize, Serialize};

/// How a broken group is repaired.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepairPolicy {
    /// Chooses the repair with the lowest cost of downtime and stranded accelerators.
    #[default]
    LeastCost,
    /// Dissolves the group and forms a new one from any free VMs. Serves as the baseline.
    RebuildFirstFit,
}

/// Settings of the coordinator of a fabric domain.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementOptions {
    /// How a broken group is repaired.
    pub policy: RepairPolicy,
    /// Cost of one second of downtime of a group with the most urgent priority.
    pub downtime_weight: f64,
    /// Cost of one second of one stranded accelerator.
    pub stranded_weight: f64,
    /// How long a member may leave queries unanswered before it counts as dead.
    pub unreachable_after: Millis,
    /// Maximum age of a report that decisions rely on.
    pub report_max_age: Millis,
    /// If more than this share of the fabric domain's VMs is unresponsive at once, the whole domain
    /// counts as lost.
    pub storm_share: f64,
    /// Minimum time between the decision to drain a group and its release, so that all senders
    /// learn of the drain.
    pub min_drain: Millis,
    /// Maximum duration of a drain.
    pub max_drain: Millis,
    /// Maximum number of VMs that load weights at once, so that the weight store is not overloaded.
    pub parallel_loads: usize,
    /// How long after the confirmation of its term a coordinator may send orders.
    pub confirm_bound: Millis,
    /// How long an order may be in flight.
    pub order_timeout: Millis,
    /// How long a VM that was unresponsive must answer without a gap before it may join a group
    /// again.
    pub flap_hold: Millis,
    /// Expected time in which the platform replaces a lost VM, for the cost of waiting.
    pub replacement_time: Millis,
    /// Expected time in which a VM loads weights that it does not hold in memory.
    pub load_time: Millis,
    /// Expected failures per VM and day, for the number of spares.
    pub failures_per_vm_day: f64,
    /// How long a surplus group is kept, so that a short loss elsewhere does not cause two moves.
    pub surplus_hold: Millis,
    /// Whether free VMs preload the weights of the models that most likely need a replacement.
    pub warm_spares: bool,
    /// Number of models whose weights one free VM holds.
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
