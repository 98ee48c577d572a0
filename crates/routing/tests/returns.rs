//! Delays after which rejected callers return.

use bergamot_routing::{ReturnDelays, ServingOutage, longest_delay};
use bergamot_types::prelude::*;

struct ReturnCase {
    name: &'static str,
    duration: u64,
    affects_other_vms: bool,
    time_left: u64,
    /// Shortest and longest delay.
    expected: (u64, u64),
}

#[test]
fn a_caller_returns_neither_during_an_outage_nor_past_its_deadline() {
    let cases = [
        ReturnCase {
            name: "outage that has just begun",
            duration: 100,
            affects_other_vms: true,
            time_left: 6_000,
            expected: (150, 300),
        },
        ReturnCase {
            name: "outage that is expected to last as long again",
            duration: 1_200,
            affects_other_vms: true,
            time_left: 6_000,
            expected: (600, 1_200),
        },
        ReturnCase {
            name: "long outage: longest delay that the caller accepts",
            duration: 4_600,
            affects_other_vms: true,
            time_left: 6_000,
            expected: (1_000, 2_000),
        },
        ReturnCase {
            name: "long outage: caller with little time left",
            duration: 4_600,
            affects_other_vms: true,
            time_left: 600,
            expected: (100, 200),
        },
        ReturnCase {
            name: "another VM serves the caller",
            duration: 4_600,
            affects_other_vms: false,
            time_left: 6_000,
            expected: (100, 100),
        },
    ];
    for case in cases {
        let outage = ServingOutage {
            duration: Millis(case.duration),
            affects_other_vms: case.affects_other_vms,
        };
        let time_left = Millis(case.time_left);
        let random_numbers = [0, u64::MAX / 2, u64::MAX];
        let delays = random_numbers.map(|random| outage.return_delay(time_left, random));
        let range = (delays[2].0, delays[0].0);
        assert_eq!(range, case.expected, "{}", case.name);
        assert!(
            delays
                .iter()
                .all(|delay| *delay <= longest_delay(time_left))
        );
    }
}

/// Guards against callers that return before the store is available. It is unavailable for the
/// first 8 s, and no request is confirmed after 4.6 s. Each caller returns once.
#[test]
fn callers_do_not_return_before_the_store_is_available_again() {
    let outage_end = 8_000;
    let served_share = |delay: &dyn Fn(u64, u64) -> u64| {
        let arrivals = (4_600..outage_end).step_by(2);
        let served = arrivals.filter(|sent| sent + delay(*sent, sent * 7_919) >= outage_end);
        served.count() as f64 / 1_700.0
    };
    let fixed_share = served_share(&|_, _| 800);
    let adaptive_share = served_share(&|arrived_at, random| {
        let outage = ServingOutage {
            duration: Millis(arrived_at),
            affects_other_vms: true,
        };
        let random = hash_bytes(&random.to_le_bytes());
        outage.return_delay(Millis(6_000), random).0
    });
    assert!((0.22..0.25).contains(&fixed_share), "{fixed_share}");
    assert!((0.42..0.46).contains(&adaptive_share), "{adaptive_share}");
}

/// Guards against callers of a full model that return all at once, also before any answer was
/// observed.
#[test]
fn callers_of_a_full_model_do_not_return_together() {
    let model = ModelName::new("m");
    let mut delays = ReturnDelays::default();
    let delay_range = |delays: &ReturnDelays| {
        let extremes = [0, u64::MAX].map(|random| delays.delay_if_full(Some(&model), random));
        (extremes[0].0, extremes[1].0)
    };
    assert_eq!(delay_range(&delays), (480, 960));
    delays.record_answer(&model, Millis(2_000));
    assert_eq!(delay_range(&delays), (800, 1_500));
    assert_eq!(delays.delay_if_full(None, 0), Millis(300));
}
