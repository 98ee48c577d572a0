//! One fleet with one policy, and what came of it.

use bergamot_bundle::ModelSpec;
use bergamot_placement::PlacementOptions;
use serde::Serialize;

use crate::experiment::events::EventRates;

/// One fleet with one policy.
#[derive(Clone, Debug)]
pub struct PlacementCase {
    /// What the row is called.
    pub name: &'static str,
    /// The policy and its weights.
    pub options: PlacementOptions,
    /// Fabric domains.
    pub fabrics: usize,
    /// VMs in each fabric domain.
    pub vms_per_fabric: usize,
    /// What should run.
    pub models: Vec<ModelSpec>,
    /// What befalls the VMs.
    pub rates: EventRates,
    /// Virtual days.
    pub days: f64,
    /// The seed of the event table.
    pub seed: u64,
}

/// What came of it.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize)]
pub struct PlacementResult {
    /// Seconds in which a wanted group did not serve, per group and hour.
    pub downtime_per_group_hour: f64,
    /// Share of healthy accelerator time that was stranded, 0 to 1.
    pub stranded_share: f64,
    /// Writes of records in all.
    pub swaps: u64,
    /// Hours of loading weights in all.
    pub load_hours: f64,
    /// Where the downtime was spent.
    pub causes: DownCauses,
}

/// Downtime of groups by what they were doing, in group-seconds.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize)]
pub struct DownCauses {
    /// In the record as serving, but a member was gone or silent.
    pub unnoticed: f64,
    /// Forming, and lacking members.
    pub lacking: f64,
    /// Forming with all members: joining and loading.
    pub loading: f64,
    /// Draining or being released.
    pub ending: f64,
    /// Not formed at all.
    pub absent: f64,
}
