//! Guards against VMs that accept more connections than they can serve, or turn callers away while
//! they have time for them.

use std::time::Duration;

use bergamot_intake::{IntakeDecision, IntakeState, ThreadPeriod};

const PERIOD: Duration = Duration::from_millis(50);
/// Periods in which a case runs before it is judged, and in which it is judged: 10 s each.
const PERIODS: usize = 200;

/// Connections that arrive at a thread of which each takes a part of its time.
struct IntakeCase {
    name: &'static str,
    /// Connections in each period.
    arriving: u32,
    /// Time that one takes.
    cost: Duration,
    /// Time that the thread is busy besides, in each period.
    other_work: Duration,
    /// Bounds on the connections that are accepted in a period, on average.
    accepted: std::ops::RangeInclusive<f64>,
}

const fn micros(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

const CASES: [IntakeCase; 6] = [
    IntakeCase {
        name: "a thread with time left turns nobody away",
        arriving: 10,
        cost: micros(3_000),
        other_work: micros(0),
        accepted: 10.0..=10.0,
    },
    IntakeCase {
        name: "four times as many as there is time for",
        arriving: 40,
        cost: micros(5_000),
        other_work: micros(0),
        accepted: 6.5..=9.5,
    },
    IntakeCase {
        name: "other work takes half of the time",
        arriving: 40,
        cost: micros(5_000),
        other_work: micros(25_000),
        accepted: 1.5..=4.5,
    },
    IntakeCase {
        name: "ten times as many, each of little work",
        arriving: 500,
        cost: micros(1_000),
        other_work: micros(0),
        accepted: 32.5..=47.5,
    },
    IntakeCase {
        name: "other work takes all of the time: few are accepted, and some",
        arriving: 40,
        cost: micros(1_000),
        other_work: micros(50_000),
        accepted: 0.3..=0.5,
    },
    IntakeCase {
        name: "few callers of a thread that other work makes busy are accepted",
        arriving: 0,
        cost: micros(1_000),
        other_work: micros(50_000),
        accepted: 0.0..=0.0,
    },
];

impl IntakeCase {
    /// Plays some periods and returns the connections accepted in one, on average. Work that does not
    /// fit into a period is left for the next.
    fn play(&self, state: &mut IntakeState, backlog: &mut Duration) -> f64 {
        let mut accepted = 0;
        for _ in 0..PERIODS {
            let decisions = (0..self.arriving).map(|_| state.decide());
            let count = decisions.filter(|decision| *decision == IntakeDecision::Accept);
            let count = count.count() as u32;
            accepted += count;
            *backlog += self.cost * count + self.other_work;
            let busy = (*backlog).min(PERIOD);
            *backlog -= busy;
            state.record_period(ThreadPeriod {
                elapsed: PERIOD,
                parked: PERIOD - busy,
                lateness: Duration::ZERO,
            });
        }
        f64::from(accepted) / PERIODS as f64
    }
}

#[test]
fn a_full_thread_accepts_what_it_has_time_for() {
    for case in CASES {
        let (mut state, mut backlog) = (IntakeState::default(), Duration::ZERO);
        case.play(&mut state, &mut backlog);
        let accepted = case.play(&mut state, &mut backlog);
        assert!(
            case.accepted.contains(&accepted),
            "{}: {accepted} accepted in a period",
            case.name
        );
    }
}

#[test]
fn every_connection_is_accepted_again_once_a_crowd_has_gone() {
    let [calm, crowd, ..] = CASES;
    let (mut state, mut backlog) = (IntakeState::default(), Duration::ZERO);
    crowd.play(&mut state, &mut backlog);
    calm.play(&mut state, &mut backlog);
    let accepted = calm.play(&mut state, &mut backlog);
    assert_eq!(accepted, f64::from(calm.arriving));
}

/// Guards against a bound that outlasts the spike which brought it about, at a load between the two
/// uses by which it is judged.
#[test]
fn a_load_that_was_served_before_a_spike_is_served_again() {
    let [calm, spike, ..] = CASES;
    let loads = [
        ("0.66 of the time", micros(3_300)),
        ("0.76 of the time", micros(3_800)),
        ("0.84 of the time", micros(4_200)),
    ];
    let mut failures = Vec::new();
    for (name, cost) in loads {
        let load = IntakeCase {
            name,
            cost,
            accepted: calm.accepted.clone(),
            ..calm
        };
        let (mut state, mut backlog) = (IntakeState::default(), Duration::ZERO);
        let before = load.play(&mut state, &mut backlog);
        spike.play(&mut state, &mut backlog);
        load.play(&mut state, &mut backlog);
        let after = load.play(&mut state, &mut backlog);
        if after < before {
            failures.push((name, before, after));
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

#[test]
fn a_thread_that_is_denied_the_processor_while_it_waits_is_busy() {
    let period = ThreadPeriod {
        elapsed: Duration::from_millis(100),
        parked: Duration::from_millis(99),
        lateness: Duration::from_millis(50),
    };
    assert_eq!(period.busy(), Duration::from_millis(50));
}
