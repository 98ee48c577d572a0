//! Single decisions: a directory, and the orders that follow from it.

mod support;

use bergamot_groups::{GroupAction, GroupOptions, GroupPlanner, QueryOutcome};
use bergamot_ports::{EngineSpec, MemberState, OrderOutcome, UpstreamReport};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use support::shorthand::*;

struct DecisionCase {
    name: &'static str,
    upstreams: Vec<ShortEntry>,
    expected: &'static [&'static str],
}

#[test]
fn each_directory_leads_to_the_expected_orders() {
    use MemberState::{Closing, Joining, Open, Ready};
    let cases = [
        DecisionCase {
            name: "upstreams with staged weights form a group",
            upstreams: vec![upstream("u1", Some("a")), upstream("u2", Some("a"))],
            expected: &["u1: join a of 2", "u2: join a of 2"],
        },
        DecisionCase {
            name: "weights are loaded first, up to the limit on concurrent loads",
            upstreams: vec![
                upstream("u1", None),
                upstream("u2", None),
                upstream("u3", None),
            ],
            expected: &["u1: stage a", "u2: stage a"],
        },
        DecisionCase {
            name: "a group whose members are all ready is opened, even if another coordinator formed it",
            upstreams: vec![member("u1", "a.7", 0, Ready), member("u2", "a.7", 1, Ready)],
            expected: &["u1: open"],
        },
        DecisionCase {
            name: "a group that no coordinator is forming and that is not ready is dissolved",
            upstreams: vec![
                member("u1", "a.7", 0, Ready),
                member("u2", "a.7", 1, Joining),
            ],
            expected: &["u1: leave"],
        },
        DecisionCase {
            name: "a complete group is left alone",
            upstreams: vec![member("u1", "a.7", 0, Open), member("u2", "a.7", 1, Ready)],
            expected: &[],
        },
        DecisionCase {
            name: "a group that lost a member is dissolved",
            upstreams: vec![member("u1", "a.7", 0, Open)],
            expected: &["u1: leave"],
        },
        DecisionCase {
            name: "a group with a leaving member stops accepting requests",
            upstreams: vec![
                member("u1", "a.7", 0, Open),
                ShortEntry {
                    is_draining: true,
                    ..member("u2", "a.7", 1, Ready)
                },
            ],
            expected: &["u1: close"],
        },
        DecisionCase {
            name: "a closing group gets time to finish its requests",
            upstreams: vec![
                member("u1", "a.7", 0, Closing),
                ShortEntry {
                    is_draining: true,
                    ..member("u2", "a.7", 1, Ready)
                },
            ],
            expected: &[],
        },
        DecisionCase {
            name: "a spare warms up in a group of its own",
            upstreams: vec![
                member("u1", "a.7", 0, Open),
                member("u2", "a.7", 1, Ready),
                upstream("u3", Some("a")),
            ],
            expected: &["u3: join a of 1"],
        },
        DecisionCase {
            name: "hosts are not converted to a model that has as many groups",
            upstreams: vec![
                member("u1", "a.7", 0, Open),
                member("u2", "a.7", 1, Ready),
                member("u3", "b.7", 0, Open),
                member("u4", "b.7", 1, Ready),
                upstream("u5", Some("a")),
                ShortEntry {
                    fabric: "f2",
                    ..upstream("u6", Some("a"))
                },
            ],
            expected: &["u5: join a of 1", "u6: join a of 1"],
        },
        DecisionCase {
            name: "hosts are converted to a model without groups",
            upstreams: vec![
                member("u1", "a.7", 0, Open),
                member("u2", "a.7", 1, Ready),
                upstream("u3", Some("a")),
                upstream("u4", Some("a")),
            ],
            expected: &["u3: stage b", "u4: stage b"],
        },
        DecisionCase {
            name: "hosts that could serve are not converted while a load elsewhere completes a group of the model with less supply",
            upstreams: vec![
                member("u1", "a.7", 0, Open),
                member("u2", "a.7", 1, Ready),
                member("u3", "a.8", 0, Open),
                member("u4", "a.8", 1, Ready),
                member("v2", "a.9", 0, Open),
                member("v3", "a.9", 1, Ready),
                ShortEntry {
                    fabric: "f2",
                    group: Some(("b.7", 0, Open)),
                    ..upstream("u5", Some("b"))
                },
                ShortEntry {
                    fabric: "f2",
                    group: Some(("b.7", 1, Ready)),
                    ..upstream("u6", Some("b"))
                },
                upstream("u7", Some("a")),
                upstream("u8", Some("a")),
                ShortEntry {
                    fabric: "f2",
                    ..upstream("u9", Some("b"))
                },
                ShortEntry {
                    fabric: "f2",
                    ..upstream("v1", None)
                },
            ],
            expected: &[
                "u7: join a of 2",
                "u8: join a of 2",
                "u9: join b of 1",
                "v1: stage b",
            ],
        },
    ];
    for case in cases {
        let mut planner = planner();
        apply_directory(&case.upstreams, &mut planner);
        let sent_orders = orders(&planner.step(NOW));
        let expected: Vec<&str> = case.expected.to_vec();
        assert_eq!(sent_orders, expected, "{}", case.name);
    }
}

/// A spare that could serve is an idle accelerator; the remaining members of a lost group become
/// spares instead.
#[test]
fn upstreams_that_could_serve_are_not_kept_as_spares() {
    let mut upstreams: Vec<ShortEntry> = ["u1", "u2", "u3", "u4", "u5", "u6"]
        .map(|id| upstream(id, Some("a")))
        .to_vec();
    for (id, group, rank, state) in [
        ("u7", "b.7", 0, MemberState::Open),
        ("u8", "b.7", 1, MemberState::Ready),
        ("u9", "b.8", 0, MemberState::Open),
        ("v1", "b.8", 1, MemberState::Ready),
    ] {
        upstreams.push(ShortEntry {
            group: Some((group, rank, state)),
            ..upstream(id, Some("b"))
        });
    }
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    let actions = planner.step(NOW);
    let joins = orders(&actions);
    let joins = joins.iter().filter(|order| order.ends_with("join a of 2"));
    assert_eq!(joins.count(), 6, "{actions:?}");
}

/// On the first start, groups must not be formed from the first listed upstreams: small groups
/// would take all hosts of the first fabric domains.
#[test]
fn the_first_groups_wait_until_the_directory_has_settled() {
    let options = GroupOptions::default();
    let settle_time = options.settle_time;
    let mut planner = GroupPlanner::new(options, spec(), 20, true, IndexMap::new(), NOW);
    apply_directory(
        &[upstream("u1", Some("a")), upstream("u2", Some("a"))],
        &mut planner,
    );
    let early_actions = planner.step(NOW + settle_time.since(Millis(1)));
    assert_eq!(orders(&early_actions), Vec::<String>::new());
    let late_actions = planner.step(NOW + settle_time);
    assert!(!orders(&late_actions).is_empty());
}

#[test]
fn a_member_that_left_by_a_late_order_is_held_while_its_leader_is_open() {
    let open_leader = member("u1", "a.7", 0, MemberState::Open);
    let mut planner = planner();
    apply_directory(
        &[
            open_leader,
            member("u2", "a.7", 1, MemberState::Ready),
            upstream("u3", Some("a")),
        ],
        &mut planner,
    );
    apply_directory(
        &[
            open_leader,
            upstream("u2", Some("a")),
            upstream("u3", Some("a")),
        ],
        &mut planner,
    );
    let is_ordered_to_join = |planner: &mut GroupPlanner, elapsed_ms: u64| {
        let actions = planner.step(NOW + Millis(elapsed_ms));
        accept_orders(planner, &actions);
        orders(&actions)
            .iter()
            .any(|order| order.starts_with("u2: join"))
    };
    assert!(!is_ordered_to_join(&mut planner, 0));
    assert!(!is_ordered_to_join(&mut planner, 4_000));
    assert!(is_ordered_to_join(&mut planner, 5_000));
}

#[test]
fn a_fenced_order_stops_the_coordinator() {
    let upstreams = [member("u1", "a.7", 0, MemberState::Open)];
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    let actions = planner.step(NOW);
    let Some(GroupAction::Order(request)) = actions.into_iter().next() else {
        panic!("u1 must be ordered to leave");
    };
    planner.record_order_outcome(&request, &OrderOutcome::Fenced);
    assert!(planner.is_fenced());
    assert_eq!(planner.step(NOW + Millis(1_000)), Vec::new());
}

#[test]
fn a_successor_queries_upstreams_before_it_orders_them() {
    let mut planner = GroupPlanner::new(
        GroupOptions::default(),
        spec(),
        20,
        false,
        IndexMap::new(),
        NOW,
    );
    apply_directory(
        &[upstream("u1", Some("a")), upstream("u2", Some("a"))],
        &mut planner,
    );
    let actions = planner.step(NOW);
    assert_eq!(orders(&actions), Vec::<String>::new());
    for id in ["u1", "u2"] {
        let report = UpstreamReport {
            orders_begun: 5,
            ..report()
        };
        planner.record_query_outcome(&incarnation(id), &QueryOutcome::Answered(report), NOW);
    }
    let actions = planner.step(NOW + Millis(100));
    let expected: Vec<Option<u64>> = actions
        .iter()
        .filter_map(|action| match action {
            GroupAction::Order(request) => Some(request.expected),
            _ => None,
        })
        .collect();
    assert_eq!(expected, [Some(5), Some(5)]);
}

#[test]
fn loads_do_not_exceed_the_rate_of_the_weight_store() {
    let mut planner = planner();
    planner.set_spec(EngineSpec {
        loads_per_second: 0.6,
        parallel_loads: 9,
        ..spec()
    });
    let cold: Vec<ShortEntry> = ["u1", "u2", "u3", "u4", "u5", "u6"]
        .into_iter()
        .map(|id| upstream(id, None))
        .collect();
    apply_directory(&cold, &mut planner);
    let mut orders_after = |elapsed_ms: u64| {
        let actions = planner.step(NOW + Millis(elapsed_ms));
        accept_orders(&mut planner, &actions);
        orders(&actions).len()
    };
    // Three loads in five seconds.
    assert_eq!(
        (
            orders_after(0),
            orders_after(1_000),
            orders_after(4_900),
            orders_after(5_100)
        ),
        (3, 0, 0, 3)
    );
}

/// Guards against a member that is ordered into a group that forms although it joined another one
/// meanwhile, by an order that an earlier coordinator had sent. That group is opened.
#[test]
fn a_group_is_given_up_if_a_member_joins_another_one_by_an_earlier_order() {
    let broken = [
        member("u1", "a.7", 0, MemberState::Broken),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let joined = [
        member("u1", "a.8", 0, MemberState::Ready),
        member("u2", "a.8", 1, MemberState::Ready),
    ];
    let open = [member("u1", "a.8", 0, MemberState::Open), joined[1]];
    let mut planner = planner();
    apply_directory(&broken, &mut planner);
    let actions = planner.step(NOW);
    assert_eq!(orders(&actions), ["u1: join a of 2", "u2: join a of 2"]);
    for action in &actions {
        if let GroupAction::Order(request) = action {
            planner.record_order_outcome(request, &OrderOutcome::Unfit);
        }
    }
    for (directory, elapsed) in [(&joined, 600), (&open, 1_200)] {
        apply_directory(directory, &mut planner);
        for id in ["u1", "u2"] {
            let answer = QueryOutcome::Answered(report());
            planner.record_query_outcome(&incarnation(id), &answer, NOW + Millis(elapsed));
        }
        let actions = planner.step(NOW + Millis(elapsed));
        let joins: Vec<String> = orders(&actions);
        let joins = joins.into_iter().filter(|order| order.contains("join"));
        assert_eq!(joins.collect::<Vec<_>>(), Vec::<String>::new());
    }
}
