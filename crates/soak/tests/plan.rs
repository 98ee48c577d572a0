//! A seed says what a run is.

use std::path::PathBuf;

use bergamot_soak::{FaultPlan, SoakOptions};

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
