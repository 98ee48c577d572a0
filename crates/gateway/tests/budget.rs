//! Repeats of all entry VMs together stay within the bound.

use bergamot_gateway::budget::RepeatBudget;
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
        let mut budgets: Vec<RepeatBudget> =
            (0..case.vms).map(|_| RepeatBudget::new(BOUNDS)).collect();
        let mut repeats: Vec<u64> = Vec::new();
        for at in 0..20_000_u64 {
            let now = Millis(100_000 + at);
            for budget in &mut budgets {
                budget.set_bounds(BOUNDS, case.vms);
                if case.requests > 0 && at.is_multiple_of((20_000 / case.requests).max(1)) {
                    budget.note_request(now, &service);
                }
                // Every VM would like to repeat all the time.
                if at.is_multiple_of(10) && budget.take(now, &service) {
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
