//! Single decisions: what the directory says, and the orders that follow from it.

use bergamot_groups::{AskOutcome, GroupAction, GroupOptions, GroupPlanner};
use bergamot_ports::{
    EngineSpec, GroupMembership, GroupOrder, MemberState, ModelSpec, OrderOutcome, UpstreamEntry,
    UpstreamReport, UpstreamState,
};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

const NOW: Millis = Millis(100_000);

fn spec() -> EngineSpec {
    let model = |name: &str, size| ModelSpec {
        name: ModelName::new(name),
        group_size: size,
        demand_share: 0.5,
        pace: 1.0,
        load_time: Millis(16_000),
        warmup_time: Millis(1_600),
    };
    EngineSpec {
        slots: 8,
        models: [model("a", 2), model("b", 2)]
            .into_iter()
            .map(|it| (it.name.clone(), it))
            .collect::<IndexMap<_, _>>(),
        loads_per_second: 4.0,
        parallel_loads: 2,
        open_time: Millis(300),
    }
}

/// An upstream in short: id, fabric domain, staged model, group with rank and state, draining.
#[derive(Clone, Copy)]
struct Up {
    id: &'static str,
    fabric: &'static str,
    staged: Option<&'static str>,
    group: Option<(&'static str, usize, MemberState)>,
    is_draining: bool,
}

const fn up(id: &'static str, staged: Option<&'static str>) -> Up {
    Up {
        id,
        fabric: "f1",
        staged,
        group: None,
        is_draining: false,
    }
}

const fn member(id: &'static str, group: &'static str, rank: usize, state: MemberState) -> Up {
    Up {
        group: Some((group, rank, state)),
        ..up(id, Some("a"))
    }
}

fn entry(up: &Up, index: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::new(up.id),
        service: ServiceName::new("engines"),
        addr: ([10, 0, 0, 1], 9_000 + index as u16).into(),
        failure_domain: FailureDomain::new("east"),
        fabric: Some(FabricDomain::new(up.fabric)),
        state: match up.is_draining {
            true => UpstreamState::Draining,
            false => UpstreamState::Ready,
        },
        slots: 8,
        staged: up.staged.map(ModelName::new).into_iter().collect(),
        models: Vec::new(),
        membership: up.group.map(|(group, rank, state)| GroupMembership {
            group: GroupId::new(group),
            epoch: 7,
            rank,
            state,
        }),
    }
}

fn planner() -> GroupPlanner {
    let mut planner = GroupPlanner::new(
        GroupOptions::default(),
        spec(),
        20,
        true,
        IndexSet::new(),
        NOW,
    );
    planner.note_traffic();
    planner
}

fn show(ups: &[Up], planner: &mut GroupPlanner) {
    let entries: Vec<UpstreamEntry> = ups
        .iter()
        .enumerate()
        .map(|(index, up)| entry(up, index))
        .collect();
    planner.set_directory(entries.iter(), 30, NOW);
}

/// Orders in short: who and what.
fn orders(actions: &[GroupAction]) -> Vec<String> {
    let mut shown: Vec<String> = actions
        .iter()
        .filter_map(|action| match action {
            GroupAction::Order(request) => {
                let what = match &request.order {
                    GroupOrder::Join { model, members, .. } => {
                        format!("join {model} of {}", members.len())
                    }
                    GroupOrder::Stage { model } => format!("stage {model}"),
                    other => other.as_str().to_owned(),
                };
                Some(format!("{}: {what}", request.target.id))
            }
            GroupAction::Ask(_) | GroupAction::Hold { .. } => None,
        })
        .collect();
    shown.sort();
    shown
}

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
    ];
    for case in cases {
        let mut planner = planner();
        show(&case.ups, &mut planner);
        let shown = orders(&planner.step(NOW));
        let expected: Vec<&str> = case.expected.to_vec();
        assert_eq!(shown, expected, "{}", case.name);
    }
}

/// Says that all orders have begun.
fn obey(planner: &mut GroupPlanner, actions: &[GroupAction]) {
    for action in actions {
        if let GroupAction::Order(request) = action {
            planner.note_order(request, &OrderOutcome::Begun);
        }
    }
}

fn quiet(planner: &mut GroupPlanner, id: &str, now: Millis) {
    let id = UpstreamId::new(id);
    planner.note_quiet(&id, now);
    planner.note_report(&id, &AskOutcome::Silent, now);
    let actions = planner.step(now + Millis(60));
    obey(planner, &actions);
    planner.note_report(&id, &AskOutcome::Silent, now + Millis(60));
}

/// A coordinator that had no processor time for the answers must not take its groups for lost.
#[test]
fn a_coordinator_that_stood_still_suspects_nobody() {
    let ups = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let mut planner = planner();
    show(&ups, &mut planner);
    for round in 0..4 {
        let now = NOW + Millis(round * 1_000);
        planner.note_quiet(&UpstreamId::new("u1"), now);
        for id in ["u1", "u2"] {
            planner.note_report(&UpstreamId::new(id), &AskOutcome::Unheard, now);
        }
        let actions = planner.step(now + Millis(60));
        let orders = actions
            .iter()
            .filter(|it| matches!(it, GroupAction::Order(_)));
        assert_eq!(orders.count(), 0, "{actions:?}");
    }
}

#[test]
fn members_of_a_leader_that_does_not_answer_are_held() {
    let ups = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
        up("u3", Some("a")),
    ];
    let mut planner = planner();
    show(&ups, &mut planner);
    quiet(&mut planner, "u1", NOW);
    let report = AskOutcome::Answered(UpstreamReport::default());
    planner.note_report(&UpstreamId::new("u2"), &report, NOW);
    let now = NOW + Millis(200);
    let actions = planner.step(now);
    let hold = GroupAction::Hold {
        group: GroupId::new("a.7"),
        members: vec![UpstreamId::new("u1"), UpstreamId::new("u2")],
    };
    assert!(actions.contains(&hold), "{actions:?}");
    obey(&mut planner, &actions);
    assert!(!orders(&actions).iter().any(|order| order.starts_with("u2")));
    // Not before the hold is kept.
    let actions = planner.step(now + Millis(100));
    assert!(!orders(&actions).iter().any(|order| order.starts_with("u2")));
    let held = [UpstreamId::new("u1"), UpstreamId::new("u2")];
    planner.note_hold(&GroupId::new("a.7"), &held, true);
    let actions = planner.step(now + Millis(200));
    assert_eq!(
        orders(&actions)
            .iter()
            .filter(|it| *it == "u2: leave")
            .count(),
        1
    );
    let request = actions.iter().find_map(|action| match action {
        GroupAction::Order(request) if request.target.id.as_str() == "u2" => Some(request.clone()),
        _ => None,
    });
    planner.note_order(&request.expect("it was ordered"), &OrderOutcome::Holds);
    let left = [ups[0], up("u2", Some("a")), ups[2]];
    show(&left, &mut planner);
    planner.note_report(&UpstreamId::new("u1"), &AskOutcome::Silent, now);
    let actions = planner.step(now + Millis(4_000));
    assert!(
        !orders(&actions).iter().any(|order| order.starts_with("u2")),
        "{actions:?}"
    );
    obey(&mut planner, &actions);
    let actions = planner.step(now + Millis(4_800));
    assert!(
        orders(&actions).contains(&"u2: join a of 2".to_owned()),
        "{actions:?}"
    );
}

/// A member that is cut off from us, and from the store, may work in its group all the same.
#[test]
fn a_silent_member_is_lost_when_requests_stand_still() {
    struct SilentCase {
        name: &'static str,
        is_listed: bool,
        /// Whether requests stand still after the member was found silent.
        stands_still: bool,
        /// Time since then.
        after: u64,
        ends: bool,
    }
    let case = |name, is_listed, stands_still, after, ends| SilentCase {
        name,
        is_listed,
        stands_still,
        after,
        ends,
    };
    let cases = [
        case("the requests move", true, false, 1_000, false),
        case("it is not listed either", false, false, 1_000, false),
        case("they stand still", true, true, 1_000, true),
        case("not listed, and they stand still", false, true, 1_000, true),
        case("a dead one would have broken it", true, false, 4_000, true),
    ];
    for case in cases {
        let ups = [
            member("u1", "a.7", 0, MemberState::Open),
            member("u2", "a.7", 1, MemberState::Ready),
        ];
        let mut planner = planner();
        show(&ups, &mut planner);
        let report = AskOutcome::Answered(UpstreamReport::default());
        planner.note_quiet(&UpstreamId::new("u1"), NOW);
        planner.note_report(&UpstreamId::new("u1"), &report, NOW);
        for after in [1, 60] {
            let at = NOW + Millis(after);
            planner.note_report(&UpstreamId::new("u2"), &AskOutcome::Silent, at);
        }
        if !case.is_listed {
            show(&ups[..1], &mut planner);
        }
        if case.stands_still {
            planner.note_quiet(&UpstreamId::new("u1"), NOW + Millis(200));
            planner.note_report(&UpstreamId::new("u1"), &report, NOW + Millis(201));
        }
        let actions = planner.step(NOW + Millis(1 + case.after));
        let ends = orders(&actions).contains(&"u1: leave".to_owned());
        assert_eq!(ends, case.ends, "{}: {actions:?}", case.name);
    }
}

/// A failure domain that is cut off goes on by itself: when it is back its groups are whole.
#[test]
fn a_group_that_is_out_of_reach_is_left_alone() {
    let ups = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let (leader, other) = (UpstreamId::new("u1"), UpstreamId::new("u2"));
    let mut planner = planner();
    show(&ups, &mut planner);
    for id in [&leader, &other] {
        quiet(&mut planner, id.as_str(), NOW);
    }
    for round in 0..20 {
        let actions = planner.step(NOW + Millis(100 + 500 * round));
        let has_more = actions.iter().any(|it| !matches!(it, GroupAction::Ask(_)));
        assert!(!has_more, "round {round}: {actions:?}");
    }
    // The member is heard of first: the leader is asked once more before anybody leaves.
    let now = NOW + Millis(12_000);
    let report = AskOutcome::Answered(UpstreamReport::default());
    planner.note_report(&other, &report, now);
    planner.note_hold(&GroupId::new("a.7"), &[leader.clone(), other], true);
    let actions = planner.step(now);
    assert_eq!(orders(&actions), Vec::<String>::new(), "{actions:?}");
    planner.note_report(&leader, &report, now + Millis(100));
    let actions = planner.step(now + Millis(100));
    assert_eq!(orders(&actions), Vec::<String>::new(), "{actions:?}");
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
    let mut planner = GroupPlanner::new(options, spec(), 20, true, IndexSet::new(), NOW);
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
    planner.note_order(&request, &OrderOutcome::Fenced);
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
        IndexSet::new(),
        NOW,
    );
    show(&[up("u1", Some("a")), up("u2", Some("a"))], &mut planner);
    let actions = planner.step(NOW);
    assert_eq!(orders(&actions), Vec::<String>::new());
    for id in ["u1", "u2"] {
        let report = UpstreamReport {
            orders_begun: 5,
            ..UpstreamReport::default()
        };
        planner.note_report(&UpstreamId::new(id), &AskOutcome::Answered(report), NOW);
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
