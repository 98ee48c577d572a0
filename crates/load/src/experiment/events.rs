//! What befalls the VMs, as a table drawn from a seed.

use bergamot_types::{Millis, VmId};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// One thing that befalls VMs.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// A VM dies; the platform lists it for a while yet and then gives a new one.
    Fail(VmId),
    /// The platform says that a VM will be taken away, gives a new one, and takes it.
    Replace(VmId),
    /// A VM stands still for this long and comes back as it was.
    Pause(VmId, Millis),
    /// Every VM of a fabric domain goes dark for this long; the platform keeps listing them.
    Dark(usize, Millis),
}

/// How often what happens.
#[derive(Clone, Copy, Debug)]
pub struct EventRates {
    /// Failures per VM and day. 17 a day on 4,800 VMs.
    pub fails: f64,
    /// Replacements per VM and day. 150 a day on 4,800 VMs.
    pub replaces: f64,
    /// Pauses per VM and day.
    pub pauses: f64,
    /// Racks or switches lost per fabric domain and day, eight VMs each.
    pub racks: f64,
    /// Losses of a whole fabric domain per day.
    pub darks: f64,
}

impl Default for EventRates {
    fn default() -> Self {
        Self {
            fails: 17.0 / 4_800.0,
            replaces: 150.0 / 4_800.0,
            pauses: 0.05,
            racks: 1.0 / 45.0,
            darks: 1.0 / 30.0,
        }
    }
}

/// VMs that one rack or switch takes with it.
const RACK_VMS: usize = 8;
const DAY_MS: f64 = 86_400_000.0;

/// Draws the events of `days` for fabric domains of these VMs, in the order of time.
pub fn draw(
    random: &mut ChaCha8Rng,
    rates: &EventRates,
    fabrics: &[Vec<VmId>],
    days: f64,
) -> Vec<(Millis, FleetEvent)> {
    let mut events = Vec::new();
    let vms: Vec<&VmId> = fabrics.iter().flatten().collect();
    let times = |random: &mut ChaCha8Rng, per_day: f64| -> Vec<Millis> {
        let mut times = Vec::new();
        let mut at = 0.0;
        loop {
            let unit: f64 = random.random_range(f64::EPSILON..1.0);
            at += -unit.ln() / per_day.max(1e-9) * DAY_MS;
            if at >= days * DAY_MS {
                return times;
            }
            times.push(Millis(at as u64));
        }
    };
    let any = |random: &mut ChaCha8Rng| vms.choose(random).map(|vm| (*vm).clone());
    let count = vms.len() as f64;
    for at in times(random, rates.fails * count) {
        events.extend(any(random).map(|vm| (at, FleetEvent::Fail(vm))));
    }
    for at in times(random, rates.replaces * count) {
        events.extend(any(random).map(|vm| (at, FleetEvent::Replace(vm))));
    }
    for at in times(random, rates.pauses * count) {
        let span = Millis(random.random_range(2_000..60_000));
        events.extend(any(random).map(|vm| (at, FleetEvent::Pause(vm, span))));
    }
    for at in times(random, rates.racks * fabrics.len() as f64) {
        let fabric = &fabrics[random.random_range(0..fabrics.len())];
        let start = random.random_range(0..fabric.len());
        let rack = (0..RACK_VMS.min(fabric.len())).map(|i| &fabric[(start + i) % fabric.len()]);
        events.extend(rack.map(|vm| (at, FleetEvent::Fail(vm.clone()))));
    }
    for at in times(random, rates.darks) {
        let span = Millis(random.random_range(300_000..1_800_000));
        let fabric = random.random_range(0..fabrics.len());
        events.push((at, FleetEvent::Dark(fabric, span)));
    }
    events.sort_by_key(|(at, _)| *at);
    events
}
