//! A seed says what a run is.

use std::path::PathBuf;

use bergamot_soak::{FaultKind, FaultPlan, SoakOptions};

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
