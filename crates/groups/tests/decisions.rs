//! Single decisions: what the directory says, and the orders that follow from it.

mod support;

use bergamot_groups::{GroupAction, GroupOptions, GroupPlanner, QueryOutcome};
use bergamot_ports::{EngineSpec, MemberState, OrderOutcome, UpstreamReport};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use support::short::*;

struct DecisionCase {
    name: &'static str,
    ups: Vec<Up>,
    expected: &'static [&'static str],
}

#[test]
fn the_directory_leads_to_orders() {
    use MemberState::{Closing, Joining, Open, Ready};
    let cases = [
        DecisionCase {
            name: "members that hold the weights form a group",
            ups: vec![up("u1", Some("a")), up("u2", Some("a"))],
            expected: &["u1: join a of 2", "u2: join a of 2"],
        },
        DecisionCase {
            name: "weights are loaded first, so many at once",
            ups: vec![up("u1", None), up("u2", None), up("u3", None)],
            expected: &["u1: stage a", "u2: stage a"],
        },
        DecisionCase {
            name: "a group whose members are all ready is opened, whoever formed it",
            ups: vec![member("u1", "a.7", 0, Ready), member("u2", "a.7", 1, Ready)],
            expected: &["u1: open"],
        },
        DecisionCase {
            name: "a group of which one member still joins is not needed by anybody",
            ups: vec![
                member("u1", "a.7", 0, Ready),
                member("u2", "a.7", 1, Joining),
            ],
            expected: &["u1: leave"],
        },
        DecisionCase {
            name: "a whole group is left alone",
            ups: vec![member("u1", "a.7", 0, Open), member("u2", "a.7", 1, Ready)],
            expected: &[],
        },
        DecisionCase {
            name: "a group that lost a member ends",
            ups: vec![member("u1", "a.7", 0, Open)],
            expected: &["u1: leave"],
        },
        DecisionCase {
            name: "a group with a member that leaves ends what is in flight",
            ups: vec![
                member("u1", "a.7", 0, Open),
                Up {
                    is_draining: true,
                    ..member("u2", "a.7", 1, Ready)
                },
            ],
            expected: &["u1: close"],
        },
        DecisionCase {
            name: "and is given time for it",
            ups: vec![
                member("u1", "a.7", 0, Closing),
                Up {
                    is_draining: true,
                    ..member("u2", "a.7", 1, Ready)
                },
            ],
            expected: &[],
        },
        DecisionCase {
            name: "a spare warms up on its own",
            ups: vec![
                member("u1", "a.7", 0, Open),
                member("u2", "a.7", 1, Ready),
                up("u3", Some("a")),
            ],
            expected: &["u3: join a of 1"],
        },
        DecisionCase {
            name: "hosts are not turned over to another model that has as many groups",
            ups: vec![
                member("u1", "a.7", 0, Open),
                member("u2", "a.7", 1, Ready),
                member("u3", "b.7", 0, Open),
                member("u4", "b.7", 1, Ready),
                up("u5", Some("a")),
                Up {
                    fabric: "f2",
                    ..up("u6", Some("a"))
                },
            ],
            expected: &["u5: join a of 1", "u6: join a of 1"],
        },
        DecisionCase {
            name: "but to one that has none",
            ups: vec![
                member("u1", "a.7", 0, Open),
                member("u2", "a.7", 1, Ready),
                up("u3", Some("a")),
                up("u4", Some("a")),
            ],
            expected: &["u3: stage b", "u4: stage b"],
        },
        DecisionCase {
            name: "nor while they could serve, and a load elsewhere completes a group of the shorter model",
            ups: vec![
                member("u1", "a.7", 0, Open),
                member("u2", "a.7", 1, Ready),
                member("u3", "a.8", 0, Open),
                member("u4", "a.8", 1, Ready),
                member("v2", "a.9", 0, Open),
                member("v3", "a.9", 1, Ready),
                Up {
                    fabric: "f2",
                    group: Some(("b.7", 0, Open)),
                    ..up("u5", Some("b"))
                },
                Up {
                    fabric: "f2",
                    group: Some(("b.7", 1, Ready)),
                    ..up("u6", Some("b"))
                },
                up("u7", Some("a")),
                up("u8", Some("a")),
                Up {
                    fabric: "f2",
                    ..up("u9", Some("b"))
                },
                Up {
                    fabric: "f2",
                    ..up("v1", None)
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
        show(&case.ups, &mut planner);
        let shown = orders(&planner.step(NOW));
        let expected: Vec<&str> = case.expected.to_vec();
        assert_eq!(shown, expected, "{}", case.name);
    }
}

/// A spare that could serve is a stranded accelerator; what is left of a lost group is the spare.
#[test]
fn ready_upstreams_are_not_held_back() {
    let mut ups: Vec<Up> = ["u1", "u2", "u3", "u4", "u5", "u6"]
        .map(|id| up(id, Some("a")))
        .to_vec();
    for (id, group, rank, state) in [
        ("u7", "b.7", 0, MemberState::Open),
        ("u8", "b.7", 1, MemberState::Ready),
        ("u9", "b.8", 0, MemberState::Open),
        ("v1", "b.8", 1, MemberState::Ready),
    ] {
        ups.push(Up {
            group: Some((group, rank, state)),
            ..up(id, Some("b"))
        });
    }
    let mut planner = planner();
    show(&ups, &mut planner);
    let actions = planner.step(NOW);
    let joins = orders(&actions);
    let joins = joins.iter().filter(|it| it.ends_with("join a of 2"));
    assert_eq!(joins.count(), 6, "{actions:?}");
}

/// What is listed first at the first start decides nothing: small groups would take all hosts of
/// the first fabric domains.
#[test]
fn the_first_groups_wait_for_the_directory() {
    let options = GroupOptions::default();
    let settle = options.settle_time;
    let mut planner = GroupPlanner::new(options, spec(), 20, true, IndexMap::new(), NOW);
    show(&[up("u1", Some("a")), up("u2", Some("a"))], &mut planner);
    let early = planner.step(NOW + settle.since(Millis(1)));
    assert_eq!(orders(&early), Vec::<String>::new());
    let late = planner.step(NOW + settle);
    assert!(!orders(&late).is_empty());
}

#[test]
fn a_member_that_left_by_a_late_order_is_held_while_its_leader_is_open() {
    let open = member("u1", "a.7", 0, MemberState::Open);
    let mut planner = planner();
    show(
        &[
            open,
            member("u2", "a.7", 1, MemberState::Ready),
            up("u3", Some("a")),
        ],
        &mut planner,
    );
    show(
        &[open, up("u2", Some("a")), up("u3", Some("a"))],
        &mut planner,
    );
    let is_used = |planner: &mut GroupPlanner, after: u64| {
        let actions = planner.step(NOW + Millis(after));
        obey(planner, &actions);
        orders(&actions)
            .iter()
            .any(|order| order.starts_with("u2: join"))
    };
    assert!(!is_used(&mut planner, 0));
    assert!(!is_used(&mut planner, 4_000));
    assert!(is_used(&mut planner, 5_000));
}

#[test]
fn a_refused_fencing_number_ends_the_term() {
    let ups = [member("u1", "a.7", 0, MemberState::Open)];
    let mut planner = planner();
    show(&ups, &mut planner);
    let actions = planner.step(NOW);
    let Some(GroupAction::Order(request)) = actions.into_iter().next() else {
        panic!("it is ordered to leave");
    };
    planner.record_order_outcome(&request, &OrderOutcome::Fenced);
    assert!(planner.is_fenced());
    assert_eq!(planner.step(NOW + Millis(1_000)), Vec::new());
}

#[test]
fn a_coordinator_that_takes_over_asks_before_it_orders() {
    let mut planner = GroupPlanner::new(
        GroupOptions::default(),
        spec(),
        20,
        false,
        IndexMap::new(),
        NOW,
    );
    show(&[up("u1", Some("a")), up("u2", Some("a"))], &mut planner);
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
fn loads_keep_to_the_weight_stores_rate() {
    let mut planner = planner();
    planner.set_spec(EngineSpec {
        loads_per_second: 0.6,
        parallel_loads: 9,
        ..spec()
    });
    let cold: Vec<Up> = ["u1", "u2", "u3", "u4", "u5", "u6"]
        .into_iter()
        .map(|id| up(id, None))
        .collect();
    show(&cold, &mut planner);
    let mut count = |after: u64| {
        let actions = planner.step(NOW + Millis(after));
        obey(&mut planner, &actions);
        orders(&actions).len()
    };
    // Three in five seconds.
    assert_eq!(
        (count(0), count(1_000), count(4_900), count(5_100)),
        (3, 0, 0, 3)
    );
}
