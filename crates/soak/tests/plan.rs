//! A seed says what a run is.

use std::path::PathBuf;

use bergamot_soak::{FaultKind, FaultPlan, SilenceStart, SoakOptions};

#[test]
fn a_seed_draws_the_same_faults_each_time_and_they_overlap() {
    let options = SoakOptions::usual(PathBuf::new(), PathBuf::new());
    let mut overlapping = 0;
    for seed in 0..50 {
        let plan = FaultPlan::draw(seed, &options);
        assert_eq!(plan, FaultPlan::draw(seed, &options));
        let drawn =
            options.faults + options.harmful + options.said + options.stops + options.restores;
        assert_eq!(plan.faults.len(), drawn);
        let pairs = plan.faults.windows(2);
        overlapping += pairs
            .filter(|pair| pair[0].at + pair[0].length > pair[1].at)
            .count();
    }
    assert!(overlapping > 50 * options.faults / 2, "{overlapping}");
}

/// Recorded seeds would no longer play what they played when they were found.
#[test]
fn evacuations_and_cold_upstreams_leave_the_other_faults_of_a_seed_as_they_were() {
    let usual = SoakOptions::usual(PathBuf::new(), PathBuf::new());
    let options = SoakOptions {
        evacuations: 3,
        cold: 4,
        ..usual.clone()
    };
    let mut late_runs = 0;
    for seed in 0..50 {
        let before = FaultPlan::draw(seed, &usual).faults;
        let after = FaultPlan::draw(seed, &options).faults;
        assert_eq!(
            after.len(),
            before.len() + options.evacuations + options.cold
        );
        let mut rest = after.iter();
        let is_kept = before.iter().all(|fault| rest.any(|it| it == fault));
        assert!(is_kept, "seed {seed}");
        let mut evacuations = after
            .iter()
            .filter(|it| matches!(it.kind, FaultKind::Evacuates(_)));
        late_runs += usize::from(evacuations.all(|it| it.at > options.length));
    }
    assert!((5..30).contains(&late_runs), "{late_runs}");
}

/// Recorded seeds would no longer play what they played when they were found.
#[test]
fn silences_leave_the_other_faults_of_a_seed_as_they_were() {
    let usual = SoakOptions::usual(PathBuf::new(), PathBuf::new());
    let options = SoakOptions {
        silences: 8,
        ..usual.clone()
    };
    for seed in 0..50 {
        let before = FaultPlan::draw(seed, &usual).faults;
        let after = FaultPlan::draw(seed, &options).faults;
        // Each comes with a new configuration.
        assert_eq!(after.len(), before.len() + 2 * options.silences);
        let mut rest = after.iter();
        let is_kept = before.iter().all(|fault| rest.any(|it| it == fault));
        assert!(is_kept, "seed {seed}");
        let silences = after.iter().filter_map(|fault| match fault.kind {
            FaultKind::Silence(_, start) => Some((fault.length.as_millis(), start)),
            _ => None,
        });
        let silences: Vec<_> = silences.collect();
        assert_eq!(silences.len(), options.silences);
        assert!(silences.iter().all(|(ms, _)| (500..2_000).contains(ms)));
        let after_start = silences
            .iter()
            .filter(|(_, start)| matches!(start, SilenceStart::AfterStart(_)));
        assert_eq!(after_start.count(), options.silences / 4, "seed {seed}");
    }
}
