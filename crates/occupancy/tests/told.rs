//! What entry VMs know of each other's requests when datagrams go through, get lost, or a collector is gone.

use bergamot_feed::PeerDescriptor;
use bergamot_occupancy::{
    LeaderCounts, LeaderLoad, OccupancyEvent, OccupancyState, TELL_PERIOD, leader_key,
};
use bergamot_types::prelude::*;

/// Periods after which each VM has heard of what every other one had in flight at the first.
const SETTLED: u64 = 4;

fn place(vm: usize, domains: usize) -> PeerDescriptor {
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
    sent: usize,
}

impl Fleet {
    fn new(vms: usize, domains: usize) -> Self {
        let states = (0..vms).map(|vm| {
            let mut state = OccupancyState::new(place(vm, domains));
            state.set_peers((0..vms).map(|vm| place(vm, domains)));
            state
        });
        Self {
            states: states.collect(),
            is_up: vec![true; vms],
            now: Millis(1_000),
            sent: 0,
        }
    }

    /// Plays so many periods in which VM number `n` has `n + 1` requests in flight.
    fn play(&mut self, periods: u64) {
        for _ in 0..periods {
            self.now = self.now + TELL_PERIOD;
            for vm in 0..self.states.len() {
                let mut counts = LeaderCounts::default();
                let load = LeaderLoad {
                    requests: vm as u32 + 1,
                    unread: 320,
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
            self.sent += 1;
            let to = action.vm.trim_start_matches("vm-").parse().unwrap_or(0);
            self.handle(to, OccupancyEvent::Received(&action.notice));
        }
    }

    fn others(&self, vm: usize) -> u32 {
        let load = self.states[vm].others_at(leader_key(&leader()), self.now);
        load.requests
    }
}

fn leader() -> UpstreamIncarnation {
    UpstreamIncarnation::new(UpstreamId::new("leader"), None)
}

struct ToldCase {
    name: &'static str,
    vms: usize,
    domains: usize,
    /// VMs that are gone from the start.
    gone: &'static [usize],
    /// Datagrams a period at most, for each VM.
    datagrams: usize,
}

#[test]
fn each_vm_knows_what_the_others_have_in_flight() {
    let cases = [
        ToldCase {
            name: "one VM",
            vms: 1,
            domains: 1,
            gone: &[],
            datagrams: 0,
        },
        ToldCase {
            name: "one in each failure domain",
            vms: 3,
            domains: 3,
            gone: &[],
            datagrams: 2,
        },
        ToldCase {
            name: "a small fleet",
            vms: 8,
            domains: 3,
            gone: &[],
            datagrams: 2,
        },
        ToldCase {
            name: "a large one",
            vms: 300,
            domains: 3,
            gone: &[],
            datagrams: 2,
        },
        ToldCase {
            name: "a collector and its successor are gone",
            vms: 30,
            domains: 3,
            gone: &[1, 4],
            datagrams: 2,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.vms, case.domains);
        for vm in case.gone {
            fleet.is_up[*vm] = false;
        }
        // Two collectors that are silent cost four periods each before they are given up.
        fleet.play(8 * case.gone.len() as u64 + SETTLED);
        fleet.sent = 0;
        fleet.play(1);
        assert!(fleet.sent <= case.datagrams * case.vms, "{}", case.name);
        let up = |vm: &usize| !case.gone.contains(vm);
        let whole: u32 = (0..case.vms).filter(up).map(|vm| vm as u32 + 1).sum();
        for vm in (0..case.vms).filter(up) {
            assert!(fleet.states[vm].is_known(fleet.now), "{} {vm}", case.name);
            let expected = whole - vm as u32 - 1;
            assert_eq!(fleet.others(vm), expected, "{} {vm}", case.name);
        }
    }
}

/// What was told a while ago does not count, and a VM that hears nothing says that it does not know.
#[test]
fn old_news_does_not_count() {
    let mut fleet = Fleet::new(8, 2);
    fleet.play(SETTLED);
    assert!(fleet.states[7].is_known(fleet.now));
    fleet.is_up = vec![false; 8];
    fleet.is_up[7] = true;
    fleet.play(7);
    assert!(!fleet.states[7].is_known(fleet.now));
    fleet.play(20);
    assert!(fleet.states[7].is_known(fleet.now), "it collects itself");
    assert_eq!(fleet.others(7), 0);
}
