//! Tests of relaying a notice to all entry VMs.

use bergamot_feed::PeerDescriptor;
use bergamot_occupancy::OccupancyState;
use bergamot_types::prelude::*;

fn descriptor(vm: usize, domains: usize) -> PeerDescriptor {
    PeerDescriptor {
        vm: format!("vm-{vm}"),
        failure_domain: FailureDomain::from(format!("domain-{}", vm % domains)),
        millicores: if vm < domains { 500 } else { 120 },
    }
}

struct RelayCase {
    name: &'static str,
    vms: usize,
    domains: usize,
    origin: usize,
}

#[test]
fn a_notice_reaches_every_vm_once() {
    let cases = [
        RelayCase {
            name: "from a VM",
            vms: 9,
            domains: 3,
            origin: 7,
        },
        RelayCase {
            name: "from a collector",
            vms: 9,
            domains: 3,
            origin: 1,
        },
        RelayCase {
            name: "one failure domain",
            vms: 4,
            domains: 1,
            origin: 3,
        },
        RelayCase {
            name: "a single VM",
            vms: 1,
            domains: 1,
            origin: 0,
        },
        RelayCase {
            name: "a large fleet",
            vms: 195,
            domains: 5,
            origin: 120,
        },
    ];
    for case in cases {
        let states = (0..case.vms).map(|vm| {
            let mut state = OccupancyState::new(descriptor(vm, case.domains));
            state.set_peers((0..case.vms).map(|vm| descriptor(vm, case.domains)));
            state
        });
        let states: Vec<OccupancyState> = states.collect();
        let vm_name = |vm: usize| format!("vm-{vm}");
        let mut receive_counts = vec![0; case.vms];
        let origin_hops = states[case.origin].origin_hops(Millis(1_000));
        let mut pending_hops: Vec<_> = origin_hops
            .into_iter()
            .map(|hop| (case.origin, hop))
            .collect();
        while let Some((sender, hop)) = pending_hops.pop() {
            let receiver: usize = hop
                .vm
                .trim_start_matches("vm-")
                .parse()
                .expect("the VM name ends in a number");
            receive_counts[receiver] += 1;
            let next_hops = states[receiver].forward_hops(&vm_name(sender), hop.scope);
            pending_hops.extend(next_hops.into_iter().map(|hop| (receiver, hop)));
        }
        for (vm, receive_count) in receive_counts.iter().enumerate() {
            let expected = usize::from(vm != case.origin);
            assert_eq!(*receive_count, expected, "{}: vm {vm}", case.name);
        }
    }
}
