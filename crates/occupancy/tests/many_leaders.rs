//! Tests of fleets with more leaders than fit into one datagram.

use bergamot_feed::PeerDescriptor;
use bergamot_occupancy::{
    LOAD_REPORT_PERIOD, LeaderCounts, LeaderLoad, OccupancyAction, OccupancyEvent, OccupancyState,
    leader_key,
};
use bergamot_peer::{MAX_DATAGRAM_BYTES, PeerNotice, frame};
use bergamot_types::prelude::*;

/// Periods until each VM knows what every other VM had in flight in the first period.
const SETTLING_PERIODS: u64 = 4;
const DOMAINS: usize = 5;

struct FleetCase {
    vms: usize,
    leaders: usize,
    /// Leaders that one VM uses; none if it uses all.
    used: Option<usize>,
    /// Requests in flight from one VM, each at another leader that it uses.
    requests_per_vm: usize,
    /// Most datagrams for each VM and period.
    max_datagrams: f64,
}

struct Fleet {
    states: Vec<OccupancyState>,
    leaders: Vec<u32>,
    used: Vec<Vec<u32>>,
    now: Millis,
    datagrams: usize,
    longest_datagram: usize,
}

fn descriptor(vm: usize) -> PeerDescriptor {
    PeerDescriptor {
        vm: format!("vm-{vm}"),
        failure_domain: FailureDomain::from(format!("domain-{}", vm % DOMAINS)),
        millicores: if vm < 50 { 1_000 } else { 120 },
    }
}

fn leader(number: usize) -> u32 {
    let id = UpstreamId::new(&format!("leader-{number}"));
    leader_key(&UpstreamIncarnation::new(id, None))
}

impl Fleet {
    fn new(case: &FleetCase) -> Self {
        let leaders: Vec<u32> = (0..case.leaders).map(leader).collect();
        // Consecutive VMs use consecutive runs of leaders.
        let used_by = |vm: usize| {
            let used = case.used.unwrap_or(case.leaders);
            let indexes = (0..used).map(|index| (vm * used + index) % case.leaders);
            indexes.map(|index| leaders[index]).collect::<Vec<u32>>()
        };
        let used: Vec<Vec<u32>> = (0..case.vms).map(used_by).collect();
        let states = (0..case.vms).map(|vm| {
            let mut state = OccupancyState::new(descriptor(vm));
            state.set_peers((0..case.vms).map(descriptor));
            if case.used.is_some() {
                state.set_used_leaders(used[vm].iter().copied());
            }
            state
        });
        Self {
            states: states.collect(),
            leaders,
            used,
            now: Millis(1_000),
            datagrams: 0,
            longest_datagram: 0,
        }
    }

    fn in_flight(&self, vm: usize, requests: usize) -> LeaderCounts {
        let mut counts = LeaderCounts::default();
        let load = LeaderLoad {
            requests: 1,
            pending_prompt_tokens: 640,
        };
        let used = &self.used[vm];
        for request in 0..requests {
            counts.add(used[(vm / DOMAINS + request) % used.len()], load);
        }
        counts
    }

    fn run_periods(&mut self, periods: u64, requests: usize) {
        for _ in 0..periods {
            self.now = self.now + LOAD_REPORT_PERIOD;
            for vm in 0..self.states.len() {
                let in_flight = self.in_flight(vm, requests);
                let actions = self.states[vm].handle(self.now, OccupancyEvent::Tick(in_flight));
                self.deliver(actions);
            }
        }
    }

    fn deliver(&mut self, actions: Vec<OccupancyAction>) {
        for action in actions {
            let notice = PeerNotice::Load(action.report);
            let bytes = frame::encode(&notice).expect("the notice is encoded");
            self.datagrams += 1;
            self.longest_datagram = self.longest_datagram.max(bytes.len());
            let PeerNotice::Load(report) = notice else {
                unreachable!("the notice is a load report");
            };
            let receiver: usize = action.vm.trim_start_matches("vm-").parse().expect("a VM");
            let event = OccupancyEvent::Received(&report);
            let answers = self.states[receiver].handle(self.now, event);
            self.deliver(answers);
        }
    }

    /// Returns the largest error of what a VM knows of the requests of others at leaders it uses.
    fn largest_error(&self, requests: usize) -> u32 {
        let mut total = LeaderCounts::default();
        for vm in 0..self.states.len() {
            total.add_all(&self.in_flight(vm, requests));
        }
        let errors = (0..self.states.len()).flat_map(|vm| {
            let own = self.in_flight(vm, requests);
            let total = &total;
            self.used[vm].iter().map(move |leader| {
                let others = total.get(*leader).saturating_sub(own.get(*leader));
                let known = self.states[vm].remote_load_at(*leader, self.now);
                known.requests.abs_diff(others.requests)
            })
        });
        errors.max().unwrap_or(0)
    }
}

/// Guards against leaders whose requests no VM knows of because others have more.
#[test]
fn each_vm_knows_the_requests_at_every_leader_that_it_uses() {
    let cases = [
        FleetCase {
            vms: 8,
            leaders: 60,
            used: None,
            requests_per_vm: 40,
            max_datagrams: 4.0,
        },
        FleetCase {
            vms: 986,
            leaders: 250,
            used: Some(17),
            requests_per_vm: 2,
            max_datagrams: 2.2,
        },
        FleetCase {
            vms: 1_972,
            leaders: 500,
            used: Some(17),
            requests_per_vm: 2,
            max_datagrams: 2.2,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new(&case);
        fleet.run_periods(SETTLING_PERIODS, case.requests_per_vm);
        let vms = case.vms;
        let error = fleet.largest_error(case.requests_per_vm);
        assert_eq!(error, 0, "{vms} VMs, {} leaders", fleet.leaders.len());
        let periods = (vms as u64 * SETTLING_PERIODS) as f64;
        let datagrams = fleet.datagrams as f64 / periods;
        assert!(datagrams <= case.max_datagrams, "{vms} VMs: {datagrams:.2}");
        let longest = fleet.longest_datagram;
        assert!(longest <= MAX_DATAGRAM_BYTES, "{vms} VMs: {longest} bytes");
    }
}

/// Requests that have ended are known everywhere in the next periods, also at leaders that need
/// several datagrams.
#[test]
fn leaders_without_requests_count_as_idle_soon() {
    let case = FleetCase {
        vms: 100,
        leaders: 250,
        used: Some(60),
        requests_per_vm: 50,
        max_datagrams: 4.0,
    };
    let mut fleet = Fleet::new(&case);
    fleet.run_periods(SETTLING_PERIODS, case.requests_per_vm);
    assert_eq!(fleet.largest_error(case.requests_per_vm), 0);
    fleet.run_periods(SETTLING_PERIODS, 0);
    assert_eq!(fleet.largest_error(0), 0);
}
