//! Cost of downtime and of stranded accelerators, and the number of spares that it justifies.

use bergamot_types::Millis;

use crate::options::PlacementOptions;

/// Returns the cost of one second of downtime of a group with this priority.
pub fn downtime_cost(options: &PlacementOptions, priority: u8) -> f64 {
    let urgency = f64::from(10 - priority.min(9)) / 10.0;
    options.downtime_weight * urgency
}

/// A broken group, and a healthy group that could give it VMs.
#[derive(Clone, Copy, Debug)]
pub struct TransferContext {
    /// Priority of the broken group.
    pub broken_priority: u8,
    /// Number of members that the broken group still has.
    pub broken_alive: u32,
    /// Number of members that the broken group lacks.
    pub broken_missing: u32,
    /// Priority of the healthy group.
    pub donor_priority: u8,
    /// Number of members of the healthy group.
    pub donor_size: u32,
}

/// Returns the cost that is saved by moving a healthy group's VMs to the broken group rather than
/// waiting for the platform to replace the lost ones. Negative if the move costs more.
pub fn transfer_gain(options: &PlacementOptions, context: &TransferContext) -> f64 {
    let replacement_secs = options.replacement_time.as_secs_f64();
    let transfer_secs = (options.min_drain + options.load_time).as_secs_f64();
    let saved_secs = (replacement_secs - transfer_secs).max(0.0);
    let saved_cost = downtime_cost(options, context.broken_priority) * saved_secs
        + options.stranded_weight * f64::from(context.broken_alive) * saved_secs;
    let stranded_vms = context.donor_size.saturating_sub(context.broken_missing);
    let added_cost = downtime_cost(options, context.donor_priority) * replacement_secs
        + options.stranded_weight * f64::from(stranded_vms) * replacement_secs;
    saved_cost - added_cost
}

/// Returns the number of free VMs that are worth keeping rather than forming another group of the
/// least urgent model.
///
/// The n-th spare is in use while at least n failed VMs await replacement; their number is assumed
/// to follow a Poisson distribution. A spare is worth keeping while the time it is in use, weighted
/// with the cost of a broken group, outweighs its share of the group that it keeps from forming.
pub fn spare_target(
    options: &PlacementOptions,
    vms: u32,
    size: u32,
    most_urgent: u8,
    least_urgent: u8,
) -> u32 {
    let mean_failures =
        f64::from(vms) * options.failures_per_vm_day * days(options.replacement_time);
    let size = f64::from(size.max(1));
    let gain = downtime_cost(options, most_urgent) + options.stranded_weight * (size - 1.0);
    let price = downtime_cost(options, least_urgent) / size + options.stranded_weight;
    let mut tail_probability = 1.0;
    let mut count_probability = (-mean_failures).exp();
    let mut spares = 0;
    loop {
        tail_probability -= count_probability;
        spares += 1;
        count_probability *= mean_failures / f64::from(spares);
        if tail_probability * gain <= price || spares > vms {
            return spares - 1;
        }
    }
}

fn days(duration: Millis) -> f64 {
    duration.as_secs_f64() / 86_400.0
}
