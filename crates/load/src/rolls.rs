//! How soon a roll is in force everywhere.

use std::time::{Duration, Instant};

use bergamot_local::{LocalFleet, LocalOptions, sample};
use hdrhistogram::Histogram;

/// Rolls measured.
const ROLLS: u64 = 20;
/// Time between two rolls, so that each meets the entry VMs at another point of their periods.
const PAUSE: Duration = Duration::from_millis(330);

/// Rolls bundles over nine entry VMs in three failure domains.
///
/// # Errors
/// When the fleet does not come up or a roll is refused.
pub fn rolls() -> anyhow::Result<Vec<String>> {
    let options = LocalOptions {
        entries_per_domain: 3,
        ..LocalOptions::default()
    };
    let fleet = LocalFleet::start(&options)?;
    // Only the accounts' limits change: no group is replaced.
    let mut document = sample::document("1", options.replicas, options.vms_per_replica);
    fleet.roll(&document)?;
    fleet.wait_serving(options.replicas as usize)?;
    let mut taken: Histogram<u64> = Histogram::new(3)?;
    for step in 0..ROLLS {
        std::thread::sleep(PAUSE);
        document.accounts[0].concurrency = 1_000 + step as u32;
        let number = fleet.roll(&document)?;
        let started = Instant::now();
        fleet.wait_for("the roll", |fleet| {
            fleet.running().all(|entry| entry.roll_number() >= number)
        })?;
        taken.record(started.elapsed().as_millis() as u64)?;
    }
    fleet.stop();
    Ok(vec![format!(
        "{ROLLS} rolls on 9 entry VMs, ms from the swap until in force on all: \
         p50 {} p95 {} most {}",
        taken.value_at_quantile(0.5),
        taken.value_at_quantile(0.95),
        taken.max()
    )])
}
