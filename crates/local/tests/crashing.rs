//! A request under which three upstreams have ended is refused by all entry VMs.

mod support;

use std::time::{Duration, Instant};

use bergamot_entry::StopOutcome;
use bergamot_local::{LocalFleet, LocalOptions};
use bergamot_standin::fault::FaultSet;
use support::{caller, code, confirm, fleet, three_domains};

/// Makes a call take 200 ms, so that there is time to end the process that runs it.
const SLOW: u64 = 100;

/// Ends each service that has begun to run something, until the fleet has ended `most` of them or the time is over.
fn end_what_runs(fleet: &LocalFleet, ended: &mut Vec<usize>, until: Instant) {
    while Instant::now() < until {
        for (index, service) in fleet.services.iter().enumerate() {
            let has_run = !service.service.runs.list().is_empty();
            if has_run && !ended.contains(&index) {
                service.process.abort();
                ended.push(index);
            }
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_request_that_ends_three_services_is_refused_everywhere() {
    let options = LocalOptions {
        services: 7,
        ..three_domains()
    };
    let fleet = fleet(&options);
    for service in &fleet.services {
        service.service.faults.set(FaultSet {
            slow_factor: SLOW,
            ..FaultSet::default()
        });
    }
    let mut ended = Vec::new();
    let mut codes = Vec::new();
    for call in 0..5 {
        let asked = caller(&fleet, call % 3);
        // The caller names a new operation each time; path and body stay the same.
        let key = format!("operation-{call}");
        let handle = fleet.runtime().handle().clone();
        let reply = std::thread::spawn(move || {
            handle.block_on(async move { code(&confirm(&asked, &key, "harmful").await) })
        });
        let until = Instant::now() + Duration::from_millis(600);
        end_what_runs(&fleet, &mut ended, until);
        codes.push(reply.join().expect("there is an answer"));
    }
    let lost = "upstream_lost".to_owned();
    let held = "request_quarantined".to_owned();
    assert_eq!(codes, [&lost, &lost, &lost, &held, &held].map(Clone::clone));
    assert_eq!(ended.len(), 3, "{codes:?}");
    // Another request is served.
    let asked = caller(&fleet, 0);
    let other = fleet
        .runtime()
        .block_on(confirm(&asked, "other", "healthy"));
    assert_eq!(other.status, 200);
    assert_eq!(fleet.stop(), StopOutcome::Graceful);
}
