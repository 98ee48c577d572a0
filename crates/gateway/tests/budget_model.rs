//! The bound on the retries of all entry VMs together, under random traffic, failures and restarts.

use bergamot_gateway::budget::RetryBudget;
use bergamot_ports::{ServingBounds, WarmUpBounds};
use bergamot_types::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const BOUNDS: ServingBounds = ServingBounds {
    drain_time: Millis(2_000),
    contact_time: Millis(3_000),
    stop_grace: Millis(8_000),
    revoke_time: None,
    config_apply_time: None,
    retry_ratio: 0.2,
    retry_window: Millis(10_000),
    retry_reserve: 134.0,
    entry_lapse: Millis(3_600),
    stall_time: Millis(4_000),
    warm_up: WarmUpBounds {
        excess: 1.0,
        slack: 0.0,
    },
    evacuation_time: None,
};

const STEP_MS: u64 = 20;
const LENGTH_MS: u64 = 60_000;
/// When the processes start, long before the first request.
const STARTED_AT: Millis = Millis(50_000);
const TRAFFIC_FROM: Millis = Millis(100_000);
/// Longest time for which a process that starts knows only its own key.
const MAX_LIST_DELAY_MS: u64 = 1_000;
/// Most retries of one request.
const MAX_RETRIES: u32 = 3;

struct FleetCase {
    vms: usize,
    /// Requests per second at each VM.
    rate: f64,
    seeds: std::ops::Range<u64>,
}

/// One VM: its process, and the time at which it knows all keys.
struct ModelVm {
    budget: RetryBudget,
    up_at: Millis,
    knows_all_at: Millis,
}

impl ModelVm {
    /// Returns the number of VMs whose keys are known. A process that starts learns of them one after
    /// the other.
    fn known_vms(&self, now: Millis, vms: usize) -> usize {
        let learning_time = self.knows_all_at.since(self.up_at).0.max(1);
        let elapsed = now.since(self.up_at).0.min(learning_time);
        1 + (vms - 1) * elapsed as usize / learning_time as usize
    }
}

/// What changes at random moments: how many requests come, how many fail, and who restarts.
struct Disturbances {
    traffic_factor: f64,
    failing_share: f64,
}

/// Requests and retries of all VMs, by step.
struct Counts {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

fn restart(vms: &mut [ModelVm], rng: &mut ChaCha8Rng, now: Millis) {
    let share = rng.random_range(0.1..=1.0);
    let down = Millis(rng.random_range(200..3_000));
    for vm in vms.iter_mut() {
        if rng.random_bool(share) {
            vm.up_at = now + down;
            vm.knows_all_at = vm.up_at + Millis(rng.random_range(0..MAX_LIST_DELAY_MS));
            vm.budget = RetryBudget::new(BOUNDS, vm.up_at);
        }
    }
}

fn play(case: &FleetCase, seed: u64) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let service = ServiceName::new("s");
    let mut vms: Vec<ModelVm> = (0..case.vms)
        .map(|_| ModelVm {
            budget: RetryBudget::new(BOUNDS, STARTED_AT),
            up_at: STARTED_AT,
            knows_all_at: STARTED_AT,
        })
        .collect();
    let mut disturbances = Disturbances {
        traffic_factor: 1.0,
        failing_share: 0.0,
    };
    let mut counts = Counts {
        requests: Vec::new(),
        retries: Vec::new(),
    };
    for at in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let now = TRAFFIC_FROM + Millis(at);
        if at.is_multiple_of(1_000) {
            if rng.random_bool(0.2) {
                disturbances.traffic_factor = rng.random_range(0.5..2.0);
            }
            if rng.random_bool(0.3) {
                let shares = [0.0, 0.05, 0.5, 1.0];
                disturbances.failing_share = shares[rng.random_range(0..shares.len())];
            }
            if rng.random_bool(0.25) {
                restart(&mut vms, &mut rng, now);
            }
        }
        let (mut requests, mut retries) = (0, 0);
        let per_step = case.rate * disturbances.traffic_factor * STEP_MS as f64 / 1_000.0;
        for vm in &mut vms {
            let mut arrivals = per_step.floor() as u64;
            arrivals += u64::from(rng.random_bool(per_step.fract()));
            requests += arrivals;
            if now < vm.up_at {
                continue;
            }
            vm.budget.set_bounds(BOUNDS, vm.known_vms(now, case.vms));
            for _ in 0..arrivals {
                vm.budget.record_request(now, &service);
                let mut left = MAX_RETRIES;
                while left > 0
                    && rng.random_bool(disturbances.failing_share)
                    && vm.budget.try_take(now, &service)
                {
                    left -= 1;
                    retries += 1;
                }
            }
        }
        counts.requests.push(requests);
        counts.retries.push(retries);
    }
    counts
}

/// Returns the worst window's number of retries above the bound, as the users word it: the requests
/// are those of the window, of the one before it or of the one half a window before it.
fn worst_excess(counts: &Counts) -> f64 {
    let window = (BOUNDS.retry_window.0 / STEP_MS) as usize;
    // A window may begin before the traffic.
    let sum = |values: &[u64], from: i64| -> f64 {
        let until = (from + window as i64).max(0) as usize;
        let from = from.max(0) as usize;
        values[from..until].iter().sum::<u64>() as f64
    };
    let starts = 0..counts.retries.len() - window;
    let excesses = starts.map(|start| {
        let start = start as i64;
        let earlier = [0, window / 2, window].map(|steps| start - steps as i64);
        let requests = earlier.into_iter().map(|from| sum(&counts.requests, from));
        let requests = requests.fold(0.0, f64::max);
        let bound = requests * BOUNDS.retry_ratio + BOUNDS.retry_reserve;
        sum(&counts.retries, start) - bound
    });
    excesses.fold(f64::MIN, f64::max)
}

/// Guards against retries beyond the bound after restarts at any fleet size, and against VMs that
/// hardly use it.
#[test]
fn retries_of_all_vms_stay_within_the_bound_whatever_restarts() {
    let cases = [
        FleetCase {
            vms: 8,
            rate: 20.0,
            seeds: 0..400,
        },
        FleetCase {
            vms: 8,
            rate: 1.0,
            seeds: 100..500,
        },
        // Traffic falls within the first windows.
        FleetCase {
            vms: 8,
            rate: 20.0,
            seeds: 1_573..1_574,
        },
        FleetCase {
            vms: 8,
            rate: 20.0,
            seeds: 1_818..1_819,
        },
        FleetCase {
            vms: 8,
            rate: 20.0,
            seeds: 3_536..3_537,
        },
        FleetCase {
            vms: 195,
            rate: 3.0,
            seeds: 200..206,
        },
        FleetCase {
            vms: 986,
            rate: 0.7,
            seeds: 300..302,
        },
    ];
    let mut failures: Vec<String> = Vec::new();
    for case in cases {
        let mut total = 0;
        for seed in case.seeds.clone() {
            let counts = play(&case, seed);
            total += counts.retries.iter().sum::<u64>();
            let excess = worst_excess(&counts);
            if excess > 0.0 {
                failures.push(format!("{} VMs, seed {seed}: {excess:.0}", case.vms));
            }
        }
        assert!(total > 0, "{} VMs: no retry was sent", case.vms);
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
