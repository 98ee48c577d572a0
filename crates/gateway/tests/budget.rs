//! Repeats of all entry VMs together stay within the bound.

use bergamot_gateway::budget::RetryBudget;
use bergamot_ports::ServingBounds;
use bergamot_types::prelude::*;

const BOUNDS: ServingBounds = ServingBounds {
    drain_time: Millis(2_000),
    stop_grace: Millis(8_000),
    revoke_time: None,
    retry_ratio: 0.2,
    retry_window: Millis(10_000),
    retry_reserve: 100.0,
    stall_time: Millis(4_000),
};

struct BudgetCase {
    name: &'static str,
    vms: usize,
    /// Requests at each VM, spread over twenty seconds.
    requests: u64,
}

#[test]
fn no_window_has_more_repeats_than_the_bound_allows() {
    let cases = [
        BudgetCase {
            name: "an idle fleet",
            vms: 8,
            requests: 0,
        },
        BudgetCase {
            name: "a busy fleet",
            vms: 8,
            requests: 2_000,
        },
        BudgetCase {
            name: "many VMs",
            vms: 90,
            requests: 100,
        },
        BudgetCase {
            name: "one VM",
            vms: 1,
            requests: 50,
        },
    ];
    let service = ServiceName::new("s");
    for case in cases {
        let mut budgets: Vec<RetryBudget> =
            (0..case.vms).map(|_| RetryBudget::new(BOUNDS)).collect();
        let mut repeats: Vec<u64> = Vec::new();
        for at in 0..20_000_u64 {
            let now = Millis(100_000 + at);
            for budget in &mut budgets {
                budget.set_bounds(BOUNDS, case.vms);
                if case.requests > 0 && at.is_multiple_of((20_000 / case.requests).max(1)) {
                    budget.record_request(now, &service);
                }
                // Every VM would like to repeat all the time.
                if at.is_multiple_of(10) && budget.try_take(now, &service) {
                    repeats.push(at);
                }
            }
        }
        let in_window = repeats.iter().map(|start| {
            let inside = |at: &&u64| **at >= *start && **at < start + BOUNDS.retry_window.0;
            repeats.iter().filter(inside).count()
        });
        let most = in_window.max().unwrap_or(0) as f64;
        let requests = (case.requests / 2 * case.vms as u64) as f64;
        let bound = requests * BOUNDS.retry_ratio + BOUNDS.retry_reserve;
        assert!(most <= bound, "{}: {most} of {bound}", case.name);
        assert!(most >= bound * 0.5, "{}: {most} of {bound}", case.name);
    }
}

/// How many entry VMs are known from some moment on.
struct KnownCount {
    /// Milliseconds from the start.
    from: u64,
    vms: usize,
}

const fn known(from: u64, vms: usize) -> KnownCount {
    KnownCount { from, vms }
}

struct LapseCase {
    name: &'static str,
    /// Entry VMs that repeat requests, from the start on and from the middle on.
    serving: (usize, usize),
    counts: Vec<KnownCount>,
}

#[test]
fn keys_that_lapse_while_their_vms_serve_give_nobody_a_larger_part() {
    const LENGTH: u64 = 60_000;
    let cases = [
        LapseCase {
            name: "no key is known in the first moment",
            serving: (8, 8),
            counts: vec![known(0, 0), known(1_500, 8)],
        },
        LapseCase {
            name: "all keys lapse in an outage and are written anew",
            serving: (8, 8),
            counts: vec![known(0, 8), known(30_000, 0), known(37_000, 8)],
        },
        LapseCase {
            name: "each VM knows of its own new key first",
            serving: (8, 8),
            counts: vec![
                known(0, 8),
                known(30_000, 1),
                known(33_000, 3),
                known(36_000, 8),
            ],
        },
        LapseCase {
            name: "half of the VMs leave for good",
            serving: (8, 4),
            counts: vec![known(0, 8), known(30_000, 4)],
        },
    ];
    let service = ServiceName::new("s");
    let mut broken: Vec<String> = Vec::new();
    for case in cases {
        let (at_first, later) = case.serving;
        let mut budgets: Vec<RetryBudget> =
            (0..at_first).map(|_| RetryBudget::new(BOUNDS)).collect();
        let mut repeats: Vec<u64> = Vec::new();
        for at in (0..LENGTH).step_by(10) {
            let mut passed = case.counts.iter().filter(|count| count.from <= at);
            let vms = passed.next_back().map_or(0, |count| count.vms);
            if at >= LENGTH / 2 {
                budgets.truncate(later);
            }
            for budget in &mut budgets {
                budget.set_bounds(BOUNDS, vms);
                if budget.try_take(Millis(100_000 + at), &service) {
                    repeats.push(at);
                }
            }
        }
        let in_window = |start: u64| {
            let window = start..start + BOUNDS.retry_window.0;
            repeats.iter().filter(|at| window.contains(at)).count() as f64
        };
        let most = repeats.iter().map(|start| in_window(*start));
        let most = most.fold(0.0, f64::max);
        let bound = BOUNDS.retry_reserve;
        let last = in_window(LENGTH - BOUNDS.retry_window.0);
        if most > bound || last < bound * 0.5 {
            broken.push(format!(
                "{}: {most} of {bound}, {last} at the end",
                case.name
            ));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn a_repeat_that_is_given_back_may_be_taken_again_once() {
    let service = ServiceName::new("s");
    let mut budget = RetryBudget::new(BOUNDS);
    budget.set_bounds(BOUNDS, 1);
    let now = Millis(100_000);
    let take_all = |budget: &mut RetryBudget| {
        let taken = std::iter::from_fn(|| budget.try_take(now, &service).then_some(()));
        taken.count()
    };
    assert_eq!(take_all(&mut budget), 80);
    // None was taken then.
    budget.refund(Millis(99_999), &service);
    assert_eq!(take_all(&mut budget), 0);
    budget.refund(now, &service);
    assert_eq!(take_all(&mut budget), 1);
}
