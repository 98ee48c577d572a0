//! What downtime and stranded accelerators cost, and how many spares that justifies.

use bergamot_types::Millis;

use crate::options::PlacementOptions;

/// Cost of one second of downtime of one group of this priority.
pub fn downtime_cost(options: &PlacementOptions, priority: u8) -> f64 {
    let urgency = f64::from(10 - priority.min(9)) / 10.0;
    options.downtime_weight * urgency
}

/// A broken group and a healthy one it could take VMs from.
#[derive(Clone, Copy, Debug)]
pub struct StealContext {
    /// Priority of the broken group.
    pub broken_priority: u8,
    /// Members it still has.
    pub broken_alive: u32,
    /// Members it lacks.
    pub broken_missing: u32,
    /// Priority of the healthy group.
    pub donor_priority: u8,
    /// Members of the healthy group.
    pub donor_size: u32,
}

/// What taking a healthy group's VMs saves over waiting for the platform; negative if it costs.
pub fn steal_gain(options: &PlacementOptions, context: &StealContext) -> f64 {
    let wait = options.replacement_time.as_secs_f64();
    let switch = (options.min_drain + options.load_time).as_secs_f64();
    let saved_time = (wait - switch).max(0.0);
    let saved = downtime_cost(options, context.broken_priority) * saved_time
        + options.stranded_weight * f64::from(context.broken_alive) * saved_time;
    let left_over = context.donor_size.saturating_sub(context.broken_missing);
    let spent = downtime_cost(options, context.donor_priority) * wait
        + options.stranded_weight * f64::from(left_over) * wait;
    saved - spent
}

/// Free VMs worth keeping instead of forming one more group of the least urgent model.
///
/// The n-th spare is in use while n or more failures await replacement (taken as Poisson). It
/// pays while that use, at the cost of a broken group, outweighs its share of the group it keeps
/// from forming.
pub fn spare_target(options: &PlacementOptions, vms: u32, size: u32, urgent: u8, least: u8) -> u32 {
    let outstanding = f64::from(vms) * options.failures_per_vm_day * days(options.replacement_time);
    let size = f64::from(size.max(1));
    let gain = downtime_cost(options, urgent) + options.stranded_weight * (size - 1.0);
    let price = downtime_cost(options, least) / size + options.stranded_weight;
    let mut at_least = 1.0;
    let mut term = (-outstanding).exp();
    let mut spares = 0;
    loop {
        at_least -= term;
        spares += 1;
        term *= outstanding / f64::from(spares);
        if at_least * gain <= price || spares > vms {
            return spares - 1;
        }
    }
}

fn days(span: Millis) -> f64 {
    span.as_secs_f64() / 86_400.0
}
