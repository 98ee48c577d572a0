//! Requests of a VM without upstreams spread over the VMs that take them.

use bergamot_routing::{
    ForwardPeers, MAX_FORWARDED_REQUESTS, PeerCandidate, PeerDecline, has_forward_place,
};
use bergamot_types::prelude::*;

const NOW: Millis = Millis(10_000);

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("vm-{number}")).collect()
}

fn candidates(names: &[String]) -> impl Iterator<Item = PeerCandidate<'_>> {
    names.iter().map(|vm| PeerCandidate {
        vm: vm.as_str(),
        is_near: false,
    })
}

#[test]
fn requests_spread_evenly_over_the_vms_that_take_them() {
    let names = names(20);
    let mut peers = ForwardPeers::default();
    let mut counts = vec![0_u32; names.len()];
    for random in 0..2_000_u64 {
        let chosen = peers.choose(
            candidates(&names),
            &[],
            NOW,
            hash_bytes(&random.to_le_bytes()),
        );
        let chosen = chosen.expect("all VMs take requests").to_owned();
        peers.record_sent(&chosen);
        counts[names
            .iter()
            .position(|vm| *vm == chosen)
            .expect("a known VM")] += 1;
    }
    let (least, most) = (counts.iter().min(), counts.iter().max());
    assert!(least >= Some(&90) && most <= Some(&110), "{counts:?}");
}

#[test]
fn vms_that_declined_or_were_tried_are_left_out_for_a_while() {
    struct ChooseCase {
        name: &'static str,
        declined: &'static [usize],
        tried: &'static [usize],
        later: Millis,
        is_found: bool,
    }
    let cases = [
        ChooseCase {
            name: "one of two is left",
            declined: &[0],
            tried: &[],
            later: Millis::ZERO,
            is_found: true,
        },
        ChooseCase {
            name: "one declined, the other was tried",
            declined: &[0],
            tried: &[1],
            later: Millis::ZERO,
            is_found: false,
        },
        ChooseCase {
            name: "both declined",
            declined: &[0, 1],
            tried: &[],
            later: Millis::ZERO,
            is_found: false,
        },
        ChooseCase {
            name: "both declined long ago",
            declined: &[0, 1],
            tried: &[],
            later: Millis(2_000),
            is_found: true,
        },
    ];
    let names = names(2);
    for case in &cases {
        let mut peers = ForwardPeers::default();
        for number in case.declined {
            peers.record_declined(&names[*number], PeerDecline::Other, NOW);
        }
        let tried: Vec<_> = case.tried.iter().map(|it| names[*it].clone()).collect();
        for random in 0..50 {
            let chosen = peers.choose(candidates(&names), &tried, NOW + case.later, random);
            assert_eq!(chosen.is_some(), case.is_found, "{}", case.name);
        }
    }
}

/// Guards against a VM that takes cut links for a silence of all upstreams, and the reverse.
#[test]
fn upstreams_are_silent_if_every_vm_that_can_be_asked_reaches_none() {
    use PeerDecline::{NotAsked, Other, ReachesNone};
    struct ReachCase {
        name: &'static str,
        declines: [Option<PeerDecline>; 3],
        later: Millis,
        reach_none: bool,
    }
    let case = |name, declines, later, reach_none| ReachCase {
        name,
        declines,
        later: Millis(later),
        reach_none,
    };
    let all = [Some(ReachesNone); 3];
    let cases = [
        case("all say so", all, 0, true),
        case("all said so while others were asked", all, 600, true),
        case("all said so long ago", all, 2_000, false),
        case(
            "one was not asked yet",
            [Some(ReachesNone), Some(ReachesNone), None],
            0,
            false,
        ),
        case(
            "one has crashed",
            [Some(ReachesNone), Some(NotAsked), Some(ReachesNone)],
            0,
            true,
        ),
        case(
            "one has no place left",
            [Some(ReachesNone), Some(ReachesNone), Some(Other)],
            0,
            false,
        ),
        case("none could be asked", [Some(NotAsked); 3], 0, false),
        case("no VM declined", [None; 3], 0, false),
    ];
    let names = names(3);
    for case in &cases {
        let mut peers = ForwardPeers::default();
        for (name, decline) in names.iter().zip(case.declines) {
            if let Some(decline) = decline {
                peers.record_declined(name, decline, NOW);
            }
        }
        let reach_none = peers.reach_none(candidates(&names), NOW + case.later);
        assert_eq!(reach_none, case.reach_none, "{}", case.name);
    }
    let without_others = ForwardPeers::default().reach_none(candidates(&[]), NOW);
    assert!(!without_others, "a VM without others");
}

#[test]
fn less_urgent_requests_leave_places_to_urgent_ones() {
    struct PlaceCase {
        in_flight: usize,
        priority: u8,
        has_place: bool,
    }
    let case = |in_flight, priority, has_place| PlaceCase {
        in_flight,
        priority,
        has_place,
    };
    let cases = [
        case(0, 9, true),
        case(MAX_FORWARDED_REQUESTS / 2, 9, false),
        case(MAX_FORWARDED_REQUESTS / 2, 0, true),
        case(MAX_FORWARDED_REQUESTS - 1, 0, true),
        case(MAX_FORWARDED_REQUESTS, 0, false),
    ];
    for case in &cases {
        let has_place = has_forward_place(case.in_flight, case.priority);
        assert_eq!(
            has_place, case.has_place,
            "{} {}",
            case.in_flight, case.priority
        );
    }
}
