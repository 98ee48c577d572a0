//! Limits of upstreams, for any number of slots and VMs that an entry may state.

use bergamot_feed::PeerDescriptor;
use bergamot_ports::EngineSpeed;
use bergamot_routing::{RouteUpstream, UpstreamChoice, UpstreamCriteria, UpstreamMonitor};
use bergamot_types::prelude::*;

const NOW: Millis = Millis(10_000);
const SPEED: EngineSpeed = EngineSpeed {
    step_ms: 6.0,
    step_ms_per_request: 0.04,
    steps_per_pass: 7,
    tokens_per_ms: 50.0,
};
const OBJECTIVE: Millis = Millis(500);

fn upstream(slots: u32, is_leader: bool) -> RouteUpstream {
    RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new("u"), None),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new("east"),
        slots,
        group: is_leader.then(|| GroupId::new("g")),
        speed: is_leader.then_some(SPEED),
    }
}

/// Creates the monitor of one of `vm_count` entry VMs, which does not know the others' load.
fn monitor(vm_count: u8, leader: &RouteUpstream) -> UpstreamMonitor {
    let own = PeerDescriptor {
        vm: "vm-0".to_owned(),
        failure_domain: FailureDomain::new("east"),
        millicores: 250,
    };
    let mut monitor = UpstreamMonitor::new(own.clone());
    let peer = PeerDescriptor {
        vm: "vm-1".to_owned(),
        ..own.clone()
    };
    monitor.occupancy.set_peers([own, peer]);
    let vms: Vec<String> = (0..vm_count).map(|index| format!("vm-{index}")).collect();
    let vms: Vec<&str> = vms.iter().map(String::as_str).collect();
    monitor.assign_leaders([leader].into_iter(), &vms, "vm-0");
    monitor
}

fn is_chosen(monitor: &UpstreamMonitor, upstream: &RouteUpstream) -> bool {
    let home = FailureDomain::new("east");
    let criteria = UpstreamCriteria {
        home: &home,
        tried: &[],
        allowed_domains: None,
        idle_connections: &[],
        has_begun_elsewhere: false,
        must_be_sound: false,
        prompt_tokens: 1,
        objective: OBJECTIVE,
        priority: 0,
        random: 1,
        isolation_index: None,
    };
    let pool = std::slice::from_ref(upstream);
    let choice = monitor.choose(pool, &criteria, NOW);
    matches!(choice, UpstreamChoice::Chosen(_))
}

/// Returns how many requests fit at an idle upstream, counted up to `max_count`.
fn count_fitting(monitor: &mut UpstreamMonitor, upstream: &RouteUpstream, max_count: u32) -> u32 {
    let mut count = 0;
    while count < max_count && is_chosen(monitor, upstream) {
        monitor.record_sent(&upstream.incarnation, None, 1, NOW);
        count += 1;
    }
    count
}

struct SlotCase {
    slots: u32,
    is_leader: bool,
    fitting: u32,
}

#[test]
fn an_upstream_with_few_slots_takes_as_many_requests() {
    let case = |slots, is_leader, fitting| SlotCase {
        slots,
        is_leader,
        fitting,
    };
    let cases = [
        case(0, false, 1),
        case(0, true, 1),
        case(1, false, 1),
        case(1, true, 1),
        case(2, false, 2),
        case(2, true, 2),
        case(3, true, 2),
    ];
    for case in cases {
        let upstream = upstream(case.slots, case.is_leader);
        let mut monitor = monitor(8, &upstream);
        let fitting = count_fitting(&mut monitor, &upstream, 9);
        let (slots, is_leader) = (case.slots, case.is_leader);
        assert_eq!(fitting, case.fitting, "{slots} slots, leader: {is_leader}");
    }
}

/// What happens at an upstream.
#[derive(Clone, Copy, Debug, bolero::TypeGenerator)]
enum Step {
    Sent { prompt_tokens: u32 },
    Began { prompt_tokens: u32 },
    FirstEvent { latency: u16 },
    Full,
    Ended { has_begun: bool, prompt_tokens: u32 },
}

fn apply(monitor: &mut UpstreamMonitor, upstream: &RouteUpstream, step: Step) {
    let incarnation = &upstream.incarnation;
    match step {
        Step::Sent { prompt_tokens } => {
            monitor.record_sent(incarnation, None, prompt_tokens, NOW);
        }
        Step::Began { prompt_tokens } => {
            monitor.record_answer_begun(incarnation, prompt_tokens);
        }
        Step::FirstEvent { latency } => {
            let latency = Millis(latency.into());
            monitor.record_first_event(upstream, latency, OBJECTIVE, NOW);
        }
        Step::Full => monitor.lower_limit(upstream),
        Step::Ended {
            has_begun,
            prompt_tokens,
        } => monitor.record_ended(incarnation, has_begun, prompt_tokens),
    }
}

#[test]
fn an_idle_upstream_takes_a_request_whatever_its_slots_and_past() {
    bolero::check!()
        .with_type::<(u32, u8, bool, Vec<Step>)>()
        .for_each(|(slots, vm_count, is_leader, steps)| {
            for slots in [*slots, slots % 4, u32::MAX - slots % 4] {
                let upstream = upstream(slots, *is_leader);
                let mut monitor = monitor(vm_count % 8, &upstream);
                for step in steps {
                    apply(&mut monitor, &upstream, *step);
                    monitor.expected_first_event(&upstream, u32::MAX, NOW);
                }
                for _ in steps {
                    monitor.record_ended(&upstream.incarnation, true, u32::MAX);
                    monitor.record_ended(&upstream.incarnation, false, u32::MAX);
                }
                assert!(is_chosen(&monitor, &upstream), "{slots} slots");
            }
        });
}
