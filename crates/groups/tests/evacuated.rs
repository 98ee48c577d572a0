//! Guards against groups whose leader gets no requests because its failure domain is evacuated, and
//! against orders that an evacuation does not need.

mod support;

use bergamot_groups::GroupAction;
use bergamot_ports::{GroupOrder, MemberState};
use bergamot_types::prelude::*;

use support::shorthand::*;

/// An upstream in `east`, which is evacuated, if its id begins with `e`, else in `west`.
const fn host(id: &'static str, staged: Option<&'static str>) -> ShortEntry {
    let is_east = id.as_bytes()[0] == b'e';
    ShortEntry {
        failure_domain: if is_east { "east" } else { "west" },
        fabric: if is_east { "east-d0" } else { "west-d0" },
        ..upstream(id, staged)
    }
}

/// The same in a fabric domain that spans both failure domains.
const fn spanning(id: &'static str, staged: Option<&'static str>) -> ShortEntry {
    ShortEntry {
        fabric: "f1",
        ..host(id, staged)
    }
}

const fn grouped(id: &'static str, group: &'static str, rank: usize) -> ShortEntry {
    let state = match rank {
        0 => MemberState::Open,
        _ => MemberState::Ready,
    };
    ShortEntry {
        group: Some((group, rank, state)),
        ..host(id, Some("a"))
    }
}

struct EvacuationCase {
    name: &'static str,
    upstreams: Vec<ShortEntry>,
    /// Orders without and with the evacuation of `east`.
    expected: [&'static [&'static str]; 2],
}

#[test]
fn no_group_is_formed_for_a_leader_that_gets_no_requests() {
    let cases = [
        EvacuationCase {
            name: "ready hosts in the domain",
            upstreams: vec![host("e1", Some("a")), host("e2", Some("a"))],
            expected: [&["e1: join a of 2", "e2: join a of 2"], &[]],
        },
        EvacuationCase {
            name: "ready hosts elsewhere",
            upstreams: vec![host("w1", Some("a")), host("w2", Some("a"))],
            expected: [&["w1: join a of 2", "w2: join a of 2"]; 2],
        },
        EvacuationCase {
            name: "no weights are loaded in the domain, neither for groups nor for spares",
            upstreams: vec![host("e1", None), host("e2", None), host("e3", None)],
            expected: [&["e1: stage a", "e2: stage a"], &[]],
        },
        EvacuationCase {
            name: "no spare warms up in the domain",
            upstreams: vec![host("e1", Some("a"))],
            expected: [&["e1: join a of 1"], &[]],
        },
        EvacuationCase {
            name: "a fabric domain that spans failure domains",
            upstreams: vec![spanning("e1", Some("a")), spanning("w1", Some("a"))],
            expected: [&["e1: join a of 2", "w1: join a of 2"]; 2],
        },
        EvacuationCase {
            name: "no candidate for the leader in such a fabric domain",
            upstreams: vec![
                spanning("e1", Some("a")),
                spanning("e2", Some("a")),
                grouped("w1", "a.7", 0),
                grouped("w2", "a.7", 1),
            ],
            expected: [&["e1: stage b", "e2: stage b"], &[]],
        },
        EvacuationCase {
            name: "the only candidate for the leader has no weights yet",
            upstreams: vec![spanning("e1", Some("a")), spanning("w1", None)],
            expected: [&["e1: join a of 1", "w1: stage a"], &["w1: stage a"]],
        },
        EvacuationCase {
            name: "a group that is about to open is not supply either",
            upstreams: vec![
                ShortEntry {
                    group: Some(("a.7", 0, MemberState::Ready)),
                    ..host("e1", Some("a"))
                },
                grouped("e2", "a.7", 1),
                host("w1", None),
                host("w2", None),
            ],
            expected: [
                &["e1: open", "w1: stage b", "w2: stage b"],
                &["e1: open", "w1: stage a", "w2: stage a"],
            ],
        },
        EvacuationCase {
            name: "an existing group is kept and replaced by spares elsewhere",
            upstreams: vec![
                grouped("e1", "a.7", 0),
                grouped("e2", "a.7", 1),
                grouped("w3", "a.8", 0),
                grouped("w4", "a.8", 1),
                ShortEntry {
                    group: Some(("b.7", 0, MemberState::Open)),
                    ..host("w5", Some("b"))
                },
                ShortEntry {
                    group: Some(("b.7", 1, MemberState::Ready)),
                    ..host("w6", Some("b"))
                },
                host("w1", None),
                host("w2", None),
            ],
            expected: [
                &["w1: stage b", "w2: stage b"],
                &["w1: stage a", "w2: stage a"],
            ],
        },
    ];
    let mut failures = Vec::new();
    for case in cases {
        for (is_evacuated, expected) in [false, true].into_iter().zip(case.expected) {
            let mut planner = planner();
            apply_directory(&case.upstreams, &mut planner);
            let evacuated = is_evacuated.then(|| FailureDomain::new("east"));
            planner.set_evacuated(evacuated);
            let sent_orders = orders(&planner.step(NOW));
            if sent_orders != expected {
                let name = case.name;
                failures.push(format!("{name}, {is_evacuated}: {sent_orders:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// The evacuated host comes first among equally ready ones.
#[test]
fn the_leader_of_a_spanning_group_is_outside_the_evacuated_domain() {
    let mut planner = planner();
    let upstreams = [spanning("e1", Some("a")), spanning("w1", Some("a"))];
    apply_directory(&upstreams, &mut planner);
    planner.set_evacuated([FailureDomain::new("east")]);
    let actions = planner.step(NOW);
    let members = actions.iter().find_map(|action| match action {
        GroupAction::Order(request) => match &request.order {
            GroupOrder::Join { members, .. } => Some(members.clone()),
            _ => None,
        },
        _ => None,
    });
    let expected = ["w1", "e1"].map(UpstreamId::new);
    assert_eq!(members, Some(expected.to_vec()));
}

/// The members have joined already, so giving the group up would only cost more orders. The group
/// does not count as supply of its model, which spares elsewhere load first.
#[test]
fn a_group_that_forms_when_its_domain_is_evacuated_continues_to_form() {
    let mut planner = planner();
    apply_directory(
        &[host("e1", Some("a")), host("e2", Some("a"))],
        &mut planner,
    );
    let actions = planner.step(NOW);
    accept_orders(&mut planner, &actions);
    let group = actions.iter().find_map(|action| match action {
        GroupAction::Order(request) => request.order.group().cloned(),
        _ => None,
    });
    let group = group.expect("a group forms");
    let (_, epoch) = group.as_str().rsplit_once('.').expect("a name with epoch");
    let epoch: u64 = epoch.parse().expect("the epoch is a number");
    let joined = [host("e1", Some("a")), host("e2", Some("a"))];
    let joined = joined.iter().enumerate().map(|(rank, upstream)| {
        let mut entry = entry(upstream, rank);
        entry.membership = Some(bergamot_ports::GroupMembership {
            group: group.clone(),
            epoch,
            rank,
            state: MemberState::Ready,
        });
        entry
    });
    let spares = [host("w1", None), host("w2", None)];
    let spares = spares.iter().enumerate();
    let spares = spares.map(|(index, upstream)| entry(upstream, 2 + index));
    let directory: Vec<_> = joined.chain(spares).collect();
    planner.set_evacuated([FailureDomain::new("east")]);
    planner.set_directory(directory.iter(), 40, NOW);
    let sent_orders = orders(&planner.step(NOW + Millis(600)));
    assert_eq!(sent_orders, ["e1: open", "w1: stage a", "w2: stage a"]);
}
