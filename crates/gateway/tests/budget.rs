//! Guards against retries of all entry VMs together that exceed the bound.

use bergamot_gateway::budget::RetryBudget;
use bergamot_ports::{ServingBounds, WarmUpBounds};
use bergamot_types::prelude::*;

const BOUNDS: ServingBounds = ServingBounds {
    drain_time: Millis(2_000),
    contact_time: Millis(3_000),
    stop_grace: Millis(8_000),
    revoke_time: None,
    config_apply_time: None,
    retry_ratio: 0.2,
    retry_window: Millis(10_000),
    retry_reserve: 100.0,
    entry_lapse: Millis(3_600),
    stall_time: Millis(4_000),
    warm_up: WarmUpBounds {
        excess: 1.0,
        slack: 0.0,
    },
    evacuation_time: None,
};

/// When the processes of the VMs started.
const STARTED_AT: Millis = Millis(50_000);

struct BudgetCase {
    name: &'static str,
    vms: usize,
    /// Number of requests at each VM, spread over twenty seconds.
    requests: u64,
}

#[test]
fn retries_in_any_window_stay_within_the_bound() {
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
        let mut budgets: Vec<RetryBudget> = (0..case.vms)
            .map(|_| RetryBudget::new(BOUNDS, STARTED_AT))
            .collect();
        let mut retries: Vec<u64> = Vec::new();
        for at in 0..20_000_u64 {
            let now = Millis(100_000 + at);
            for budget in &mut budgets {
                budget.set_bounds(BOUNDS, case.vms);
                if case.requests > 0 && at.is_multiple_of((20_000 / case.requests).max(1)) {
                    budget.record_request(now, &service);
                }
                // Every VM tries to retry all the time.
                if at.is_multiple_of(10) && budget.try_take(now, &service) {
                    retries.push(at);
                }
            }
        }
        let window_counts = retries.iter().map(|start| {
            let inside = |at: &&u64| **at >= *start && **at < start + BOUNDS.retry_window.0;
            retries.iter().filter(inside).count()
        });
        let max_count = window_counts.max().unwrap_or(0) as f64;
        let requests = (case.requests / 2 * case.vms as u64) as f64;
        let bound = requests * BOUNDS.retry_ratio + BOUNDS.retry_reserve;
        assert!(
            max_count <= bound,
            "{}: {max_count} retries exceed the bound of {bound}",
            case.name
        );
        assert!(
            max_count >= bound * 0.5,
            "{}: {max_count} retries use less than half of {bound}",
            case.name
        );
    }
}

/// Number of entry VMs that are known from a given time on.
struct KnownCount {
    /// Time since the start in milliseconds.
    from_ms: u64,
    vms: usize,
}

const fn known_from(from_ms: u64, vms: usize) -> KnownCount {
    KnownCount { from_ms, vms }
}

struct ExpiryCase {
    name: &'static str,
    /// Number of entry VMs that retry requests, from the start on and from the middle on.
    serving: (usize, usize),
    counts: Vec<KnownCount>,
}

/// Guards against VMs that take a larger share of the reserve because the keys of other VMs
/// expired, although these VMs still serve.
#[test]
fn expired_keys_of_serving_vms_do_not_enlarge_the_shares() {
    const LENGTH_MS: u64 = 60_000;
    let cases = [
        ExpiryCase {
            name: "no key is known at the start",
            serving: (8, 8),
            counts: vec![known_from(0, 0), known_from(1_500, 8)],
        },
        ExpiryCase {
            name: "all keys expire in an outage and are written again",
            serving: (8, 8),
            counts: vec![
                known_from(0, 8),
                known_from(30_000, 0),
                known_from(37_000, 8),
            ],
        },
        ExpiryCase {
            name: "each VM learns of its own new key first",
            serving: (8, 8),
            counts: vec![
                known_from(0, 8),
                known_from(30_000, 1),
                known_from(33_000, 3),
                known_from(36_000, 8),
            ],
        },
        ExpiryCase {
            name: "half of the VMs leave for good",
            serving: (8, 4),
            counts: vec![known_from(0, 8), known_from(30_000, 4)],
        },
    ];
    let service = ServiceName::new("s");
    let mut failures: Vec<String> = Vec::new();
    for case in cases {
        let (vms_at_start, vms_later) = case.serving;
        let mut budgets: Vec<RetryBudget> = (0..vms_at_start)
            .map(|_| RetryBudget::new(BOUNDS, STARTED_AT))
            .collect();
        let mut retries: Vec<u64> = Vec::new();
        for at in (0..LENGTH_MS).step_by(10) {
            let mut past_counts = case.counts.iter().filter(|count| count.from_ms <= at);
            let vms = past_counts.next_back().map_or(0, |count| count.vms);
            if at >= LENGTH_MS / 2 {
                budgets.truncate(vms_later);
            }
            for budget in &mut budgets {
                budget.set_bounds(BOUNDS, vms);
                if budget.try_take(Millis(100_000 + at), &service) {
                    retries.push(at);
                }
            }
        }
        let count_in_window = |start: u64| {
            let window = start..start + BOUNDS.retry_window.0;
            retries
                .iter()
                .filter(|sent_at| window.contains(sent_at))
                .count() as f64
        };
        let max_count = retries.iter().map(|start| count_in_window(*start));
        let max_count = max_count.fold(0.0, f64::max);
        let bound = BOUNDS.retry_reserve;
        let last_count = count_in_window(LENGTH_MS - BOUNDS.retry_window.0);
        if max_count > bound || last_count < bound * 0.5 {
            failures.push(format!(
                "{}: {max_count} retries with a bound of {bound}, {last_count} in the last window",
                case.name
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

struct StartCase {
    name: &'static str,
    is_first_start: bool,
    /// Whether a process retries one of three requests.
    retries: bool,
}

/// Guards against a fleet that cannot retry after its first start, and against one that retries too
/// much while its VMs do not know each other.
#[test]
fn processes_retry_at_once_only_if_no_vm_has_served_before() {
    const VMS: usize = 8;
    let cases = [
        StartCase {
            name: "first start",
            is_first_start: true,
            retries: true,
        },
        StartCase {
            name: "restart",
            is_first_start: false,
            retries: false,
        },
    ];
    let service = ServiceName::new("s");
    for case in cases {
        let mut total = 0;
        for _ in 0..VMS {
            let mut budget = RetryBudget::new(BOUNDS, STARTED_AT);
            if case.is_first_start {
                budget.record_first_start();
            }
            budget.set_bounds(BOUNDS, 1);
            let now = STARTED_AT + Millis(1_000);
            (0..3).for_each(|_| budget.record_request(now, &service));
            let taken = std::iter::from_fn(|| budget.try_take(now, &service).then_some(()));
            let taken_count = taken.count();
            assert_eq!(taken_count > 0, case.retries, "{}", case.name);
            total += taken_count;
        }
        let bound = BOUNDS.retry_reserve + (3 * VMS) as f64 * BOUNDS.retry_ratio;
        assert!(total as f64 <= bound, "{}: {total}", case.name);
    }
}

struct JoinCase {
    name: &'static str,
    /// Number of VMs that the process knows of when it starts.
    known_vms: usize,
    retries: usize,
}

const fn join(name: &'static str, known_vms: usize, retries: usize) -> JoinCase {
    JoinCase {
        name,
        known_vms,
        retries,
    }
}

/// Guards against a VM that starts beside others and cannot retry until it has served for a while.
#[test]
fn a_vm_that_starts_beside_others_may_retry_its_first_requests() {
    let cases = [
        join("one other VM", 2, 5),
        join("seven other VMs", 8, 1),
        join("more VMs than the reserve has retries for", 195, 0),
        join("other VMs that are not known yet", 1, 0),
    ];
    let service = ServiceName::new("s");
    for case in cases {
        let mut budget = RetryBudget::new(BOUNDS, STARTED_AT);
        budget.set_bounds(BOUNDS, case.known_vms);
        let now = STARTED_AT + Millis(14);
        budget.record_request(now, &service);
        let taken = std::iter::from_fn(|| budget.try_take(now, &service).then_some(()));
        assert_eq!(taken.count(), case.retries, "{}", case.name);
    }
}

#[test]
fn a_refunded_retry_can_be_taken_only_once() {
    let service = ServiceName::new("s");
    let mut budget = RetryBudget::new(BOUNDS, STARTED_AT);
    budget.set_bounds(BOUNDS, 1);
    let now = Millis(100_000);
    let take_all = |budget: &mut RetryBudget| {
        let taken = std::iter::from_fn(|| budget.try_take(now, &service).then_some(()));
        taken.count()
    };
    assert_eq!(take_all(&mut budget), 80);
    // No retry was taken at this time.
    budget.refund(Millis(99_999), &service);
    assert_eq!(take_all(&mut budget), 0);
    budget.refund(now, &service);
    assert_eq!(take_all(&mut budget), 1);
}

/// A moment at which processes are killed. Others start in their place.
struct KillStep {
    at_ms: u64,
    /// The VMs of these numbers.
    vms: std::ops::Range<usize>,
}

struct RestartCase {
    name: &'static str,
    /// Time between two requests at each VM.
    request_period_ms: u64,
    kills: Vec<KillStep>,
    /// Number of VMs that a process knows of in its first three seconds.
    known_at_start: usize,
}

/// Guards against processes that start with the full budget although the retries of their
/// predecessors still count towards the bound.
#[test]
fn processes_that_restart_do_not_exceed_the_bound_on_retries() {
    const VMS: usize = 8;
    const LENGTH_MS: u64 = 60_000;
    const FIRST_FAILURE_MS: u64 = 20_000;
    const LIST_DELAY: Millis = Millis(3_000);
    let kill = |at_ms, vms| KillStep { at_ms, vms };
    let cases = [
        RestartCase {
            name: "all processes restart once, in a busy fleet",
            request_period_ms: 50,
            kills: vec![kill(20_500, 0..8)],
            known_at_start: 8,
        },
        RestartCase {
            name: "half of the processes restart three times, in a fleet with little traffic",
            request_period_ms: 1_000,
            kills: vec![kill(21_000, 0..4), kill(24_000, 2..6), kill(27_000, 4..8)],
            known_at_start: 8,
        },
        RestartCase {
            name: "all processes restart twice, in a fleet with little traffic",
            request_period_ms: 1_000,
            kills: vec![kill(21_000, 0..8), kill(25_000, 0..8)],
            known_at_start: 8,
        },
        RestartCase {
            name: "processes restart in turn",
            request_period_ms: 50,
            kills: (0..VMS)
                .map(|vm| kill(21_000 + vm as u64 * 1_500, vm..vm + 1))
                .collect(),
            known_at_start: 8,
        },
        RestartCase {
            name: "a process that starts knows only its own key",
            request_period_ms: 1_000,
            kills: vec![kill(25_000, 0..2), kill(35_500, 2..4)],
            known_at_start: 1,
        },
    ];
    let service = ServiceName::new("s");
    let mut failures: Vec<String> = Vec::new();
    for case in cases {
        let mut started: Vec<Millis> = vec![STARTED_AT; VMS];
        let mut budgets: Vec<RetryBudget> = (0..VMS)
            .map(|_| RetryBudget::new(BOUNDS, STARTED_AT))
            .collect();
        let mut retries: Vec<u64> = Vec::new();
        for at in (0..LENGTH_MS).step_by(10) {
            let now = Millis(100_000 + at);
            for step in case.kills.iter().filter(|step| step.at_ms == at) {
                for vm in step.vms.clone() {
                    started[vm] = now;
                    budgets[vm] = RetryBudget::new(BOUNDS, now);
                }
            }
            for (budget, start) in budgets.iter_mut().zip(&started) {
                let is_new = *start > STARTED_AT && now.since(*start) < LIST_DELAY;
                budget.set_bounds(BOUNDS, if is_new { case.known_at_start } else { VMS });
                if at.is_multiple_of(case.request_period_ms) {
                    budget.record_request(now, &service);
                }
                // From the first failure on, every request is retried as often as allowed.
                if at >= FIRST_FAILURE_MS && budget.try_take(now, &service) {
                    retries.push(at);
                }
            }
        }
        let window = BOUNDS.retry_window.0;
        let requests = (VMS as u64 * window / case.request_period_ms) as f64;
        let bound = requests * BOUNDS.retry_ratio + BOUNDS.retry_reserve;
        let count_from = |start: u64| {
            let in_window = |at: &&u64| **at >= start && **at < start + window;
            retries.iter().filter(in_window).count() as f64
        };
        let max_count = retries.iter().map(|start| count_from(*start));
        let max_count = max_count.fold(0.0, f64::max);
        let last_count = count_from(LENGTH_MS - window);
        if max_count > bound || last_count < bound * 0.5 {
            failures.push(format!(
                "{}: {max_count} retries with a bound of {bound}, {last_count} in the last window",
                case.name
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
