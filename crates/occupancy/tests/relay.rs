//! The way of a notice to all entry VMs.

use bergamot_feed::PeerDescriptor;
use bergamot_occupancy::OccupancyState;
use bergamot_types::prelude::*;

fn place(vm: usize, domains: usize) -> PeerDescriptor {
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
    from: usize,
}

#[test]
fn a_notice_reaches_every_vm_once() {
    let cases = [
        RelayCase {
            name: "from a VM",
            vms: 9,
            domains: 3,
            from: 7,
        },
        RelayCase {
            name: "from a collector",
            vms: 9,
            domains: 3,
            from: 1,
        },
        RelayCase {
            name: "one failure domain",
            vms: 4,
            domains: 1,
            from: 3,
        },
        RelayCase {
            name: "a VM alone",
            vms: 1,
            domains: 1,
            from: 0,
        },
        RelayCase {
            name: "a large fleet",
            vms: 195,
            domains: 5,
            from: 120,
        },
    ];
    for case in cases {
        let states = (0..case.vms).map(|vm| {
            let mut state = OccupancyState::new(place(vm, case.domains));
            state.set_peers((0..case.vms).map(|vm| place(vm, case.domains)));
            state
        });
        let states: Vec<OccupancyState> = states.collect();
        let name = |vm: usize| format!("vm-{vm}");
        let mut heard = vec![0; case.vms];
        let first = states[case.from].relay_own(Millis(1_000));
        let mut sent: Vec<_> = first.into_iter().map(|hop| (case.from, hop)).collect();
        while let Some((sender, hop)) = sent.pop() {
            let to: usize = hop.vm.trim_start_matches("vm-").parse().expect("a number");
            heard[to] += 1;
            let next = states[to].relay(&name(sender), hop.scope);
            sent.extend(next.into_iter().map(|hop| (to, hop)));
        }
        for (vm, times) in heard.iter().enumerate() {
            let expected = usize::from(vm != case.from);
            assert_eq!(*times, expected, "{}: vm {vm}", case.name);
        }
    }
}
