//! Tests of what entry VMs know about each other's requests: with all datagrams delivered, with
//! lost ones, and with collectors down.

use bergamot_feed::PeerDescriptor;
use bergamot_occupancy::{
    LOAD_REPORT_PERIOD, LeaderCounts, LeaderLoad, OccupancyEvent, OccupancyState, leader_key,
};
use bergamot_types::prelude::*;

/// Periods until each VM knows what every other VM had in flight in the first period.
const SETTLING_PERIODS: u64 = 4;

fn descriptor(vm: usize, domains: usize) -> PeerDescriptor {
    PeerDescriptor {
        vm: format!("vm-{vm}"),
        failure_domain: FailureDomain::from(format!("domain-{}", vm % domains)),
        millicores: if vm < domains { 500 } else { 120 },
    }
}

struct Fleet {
    states: Vec<OccupancyState>,
    is_up: Vec<bool>,
    now: Millis,
    sent_count: usize,
}

impl Fleet {
    fn new(vms: usize, domains: usize) -> Self {
        let states = (0..vms).map(|vm| {
            let mut state = OccupancyState::new(descriptor(vm, domains));
            state.set_peers((0..vms).map(|vm| descriptor(vm, domains)));
            state
        });
        Self {
            states: states.collect(),
            is_up: vec![true; vms],
            now: Millis(1_000),
            sent_count: 0,
        }
    }

    /// Simulates periods in which VM number `n` has `n + 1` requests in flight.
    fn run_periods(&mut self, periods: u64) {
        for _ in 0..periods {
            self.now = self.now + LOAD_REPORT_PERIOD;
            for vm in 0..self.states.len() {
                let mut counts = LeaderCounts::default();
                let load = LeaderLoad {
                    requests: vm as u32 + 1,
                    pending_prompt_tokens: 320,
                };
                counts.add(leader_key(&leader()), load);
                self.handle(vm, OccupancyEvent::Tick(counts));
            }
        }
    }

    fn handle(&mut self, vm: usize, event: OccupancyEvent<'_>) {
        if !self.is_up[vm] {
            return;
        }
        for action in self.states[vm].handle(self.now, event) {
            self.sent_count += 1;
            let receiver = action.vm.trim_start_matches("vm-").parse().unwrap_or(0);
            self.handle(receiver, OccupancyEvent::Received(&action.report));
        }
    }

    fn remote_requests(&self, vm: usize) -> u32 {
        let load = self.states[vm].remote_load_at(leader_key(&leader()), self.now);
        load.requests
    }
}

fn leader() -> UpstreamIncarnation {
    UpstreamIncarnation::new(UpstreamId::new("leader"), None)
}

struct LoadReportCase {
    name: &'static str,
    vms: usize,
    domains: usize,
    /// VMs that are down from the start.
    down_vms: &'static [usize],
    /// Maximum number of datagrams per VM and period.
    max_datagrams: usize,
}

#[test]
fn each_vm_knows_what_the_others_have_in_flight() {
    let cases = [
        LoadReportCase {
            name: "one VM",
            vms: 1,
            domains: 1,
            down_vms: &[],
            max_datagrams: 0,
        },
        LoadReportCase {
            name: "one VM per failure domain",
            vms: 3,
            domains: 3,
            down_vms: &[],
            max_datagrams: 2,
        },
        LoadReportCase {
            name: "a small fleet",
            vms: 8,
            domains: 3,
            down_vms: &[],
            max_datagrams: 2,
        },
        LoadReportCase {
            name: "a large fleet",
            vms: 300,
            domains: 3,
            down_vms: &[],
            max_datagrams: 2,
        },
        LoadReportCase {
            name: "a collector and its successor are down",
            vms: 30,
            domains: 3,
            down_vms: &[1, 4],
            max_datagrams: 2,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.vms, case.domains);
        for vm in case.down_vms {
            fleet.is_up[*vm] = false;
        }
        // Each of the two unresponsive collectors takes four periods to time out.
        fleet.run_periods(8 * case.down_vms.len() as u64 + SETTLING_PERIODS);
        fleet.sent_count = 0;
        fleet.run_periods(1);
        assert!(
            fleet.sent_count <= case.max_datagrams * case.vms,
            "{}",
            case.name
        );
        let is_up = |vm: &usize| !case.down_vms.contains(vm);
        let total_requests: u32 = (0..case.vms).filter(is_up).map(|vm| vm as u32 + 1).sum();
        for vm in (0..case.vms).filter(is_up) {
            assert!(
                fleet.states[vm].is_remote_load_known(fleet.now),
                "{} {vm}",
                case.name
            );
            let expected = total_requests - vm as u32 - 1;
            assert_eq!(fleet.remote_requests(vm), expected, "{} {vm}", case.name);
        }
    }
}

/// Guards against routing by expired reports: a VM that receives no reports must not count old
/// ones, and must say that the remote load is unknown.
#[test]
fn expired_reports_are_not_counted() {
    let mut fleet = Fleet::new(8, 2);
    fleet.run_periods(SETTLING_PERIODS);
    assert!(fleet.states[7].is_remote_load_known(fleet.now));
    fleet.is_up = vec![false; 8];
    fleet.is_up[7] = true;
    fleet.run_periods(7);
    assert!(!fleet.states[7].is_remote_load_known(fleet.now));
    fleet.run_periods(20);
    assert!(
        fleet.states[7].is_remote_load_known(fleet.now),
        "the VM becomes its own collector"
    );
    assert_eq!(fleet.remote_requests(7), 0);
}

struct UnlistedCase {
    name: &'static str,
    /// VMs whose records the other VMs do not have.
    unlisted_vms: &'static [usize],
    /// VMs that do not know yet that their own records are gone.
    unaware_vms: &'static [usize],
}

/// Guards against requests that no other failure domain knows of because a collector that misses its
/// own record in a newer list stops summing, while the others of its domain still report to it.
#[test]
fn a_collector_that_alone_misses_its_record_goes_on_summing() {
    const VMS: usize = 30;
    const DOMAINS: usize = 3;
    let mut fleet = Fleet::new(VMS, DOMAINS);
    fleet.run_periods(SETTLING_PERIODS);
    fleet.states[0].set_peers((1..VMS).map(|vm| descriptor(vm, DOMAINS)));
    fleet.run_periods(6 + SETTLING_PERIODS);
    let total: u32 = (1..=VMS as u32).sum();
    for vm in 0..VMS {
        assert_eq!(fleet.remote_requests(vm) + vm as u32 + 1, total, "vm-{vm}");
    }
}

/// Guards against leaders that are overloaded because a collector whose key the store has dropped
/// goes on reporting its own requests as the sum of its failure domain: of 600 requests in flight the
/// other domains knew 350.
#[test]
fn a_collector_without_a_record_does_not_hide_the_sum_of_its_failure_domain() {
    const VMS: usize = 30;
    const DOMAINS: usize = 3;
    let cases = [
        UnlistedCase {
            name: "the first collector of a domain",
            unlisted_vms: &[0],
            unaware_vms: &[],
        },
        UnlistedCase {
            name: "it does not know of it",
            unlisted_vms: &[0],
            unaware_vms: &[0],
        },
        UnlistedCase {
            name: "a third of all VMs",
            unlisted_vms: &[0, 4, 7, 10, 13, 16, 19, 22, 25, 28],
            unaware_vms: &[],
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(VMS, DOMAINS);
        fleet.run_periods(SETTLING_PERIODS);
        for vm in (0..VMS).filter(|vm| !case.unaware_vms.contains(vm)) {
            let listed = (0..VMS).filter(|vm| !case.unlisted_vms.contains(vm));
            fleet.states[vm].set_peers(listed.map(|vm| descriptor(vm, DOMAINS)));
        }
        // Reports to the former collectors expire after six periods, and their sums six periods later.
        fleet.run_periods(6 + 6 + SETTLING_PERIODS);
        let total: u32 = (1..=VMS as u32).sum();
        for vm in (0..VMS).filter(|vm| !case.unaware_vms.contains(vm)) {
            let known = fleet.remote_requests(vm) + vm as u32 + 1;
            // An unaware collector of the same domain is not counted there, as only the collectors
            // of other domains get its sum.
            let unaware: u32 = case.unaware_vms.iter().map(|vm| *vm as u32 + 1).sum();
            let least = total - unaware;
            assert!((least..=total).contains(&known), "{}: {known}", case.name);
        }
    }
}
