//! What follows from upstreams that do not answer.

mod support;

use bergamot_groups::{GroupAction, QueryOutcome};
use bergamot_ports::{MemberState, OrderOutcome};
use bergamot_types::prelude::*;

use support::short::*;

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
        planner.record_stall(&incarnation("u1"), true, now);
        for id in ["u1", "u2"] {
            planner.record_query_outcome(&incarnation(id), &QueryOutcome::Unheard, now);
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
    let report = QueryOutcome::Answered(report());
    planner.record_query_outcome(&incarnation("u2"), &report, NOW);
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
    planner.record_hold(&GroupId::new("a.7"), &held, true);
    let actions = planner.step(now + Millis(200));
    assert_eq!(
        orders(&actions)
            .iter()
            .filter(|it| *it == "u2: leave")
            .count(),
        1
    );
    let request = actions.iter().find_map(|action| match action {
        GroupAction::Order(request) if request.target.incarnation.as_str() == "u2" => {
            Some(request.clone())
        }
        _ => None,
    });
    planner.record_order_outcome(&request.expect("it was ordered"), &OrderOutcome::Holds);
    let left = [ups[0], up("u2", Some("a")), ups[2]];
    show(&left, &mut planner);
    planner.record_query_outcome(&incarnation("u1"), &QueryOutcome::Silent, now);
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

/// A coordinator short of processor hears most answers all the same: one that never answers is dead.
#[test]
fn an_upstream_that_alone_does_not_answer_is_suspected_late_or_not() {
    let ups = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let (leader, other) = (incarnation("u1"), incarnation("u2"));
    let report = QueryOutcome::Answered(report());
    let mut planner = planner();
    show(&ups, &mut planner);
    let mut ended_after = None;
    for round in 1..=4 {
        let now = NOW + Millis(round * 300);
        planner.record_stall(&leader, true, now);
        for _ in 0..10 {
            planner.record_query_outcome(&leader, &report, now);
        }
        planner.record_query_outcome(&other, &QueryOutcome::Unheard, now);
        planner.record_stall(&leader, true, now + Millis(10));
        let actions = planner.step(now + Millis(20));
        if orders(&actions).contains(&"u1: leave".to_owned()) {
            ended_after.get_or_insert(round);
        }
    }
    assert_eq!(
        ended_after,
        Some(3),
        "the first says nothing, two are needed"
    );
}

/// A member that is cut off from us, and from the store, may work in its group all the same.
#[test]
fn a_silent_member_is_lost_when_requests_stand_still() {
    struct SilentCase {
        name: &'static str,
        is_listed: bool,
        /// Whether nothing comes from the leader after the member was found silent, and if so, whether
        /// requests stand still for certain.
        quiet: Option<bool>,
        /// Time since then.
        after: u64,
        ends: bool,
    }
    let case = |name, is_listed, quiet, after, ends| SilentCase {
        name,
        is_listed,
        quiet,
        after,
        ends,
    };
    let cases = [
        case("the requests move", true, None, 1_000, false),
        case("it is not listed either", false, None, 1_000, false),
        case("they stand still", true, Some(true), 1_000, true),
        case(
            "not listed, and they stand still",
            false,
            Some(true),
            1_000,
            true,
        ),
        case("it is overloaded", true, Some(false), 1_000, false),
        case(
            "a dead one was overloaded first",
            true,
            Some(false),
            4_000,
            true,
        ),
        case("a dead one would have broken it", true, None, 4_000, true),
    ];
    for case in cases {
        let ups = [
            member("u1", "a.7", 0, MemberState::Open),
            member("u2", "a.7", 1, MemberState::Ready),
        ];
        let mut planner = planner();
        show(&ups, &mut planner);
        let report = QueryOutcome::Answered(report());
        planner.record_stall(&incarnation("u1"), true, NOW);
        planner.record_query_outcome(&incarnation("u1"), &report, NOW);
        for after in [1, 60] {
            let at = NOW + Millis(after);
            planner.record_query_outcome(&incarnation("u2"), &QueryOutcome::Silent, at);
        }
        if !case.is_listed {
            show(&ups[..1], &mut planner);
        }
        if let Some(is_certain) = case.quiet {
            planner.record_stall(&incarnation("u1"), is_certain, NOW + Millis(200));
            planner.record_query_outcome(&incarnation("u1"), &report, NOW + Millis(201));
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
    let (leader, other) = (incarnation("u1"), incarnation("u2"));
    let mut planner = planner();
    show(&ups, &mut planner);
    for id in [&leader, &other] {
        quiet(&mut planner, id.as_str(), NOW);
    }
    for round in 0..20 {
        let actions = planner.step(NOW + Millis(100 + 500 * round));
        let has_more = actions
            .iter()
            .any(|it| !matches!(it, GroupAction::Query(_)));
        assert!(!has_more, "round {round}: {actions:?}");
    }
    // The member is heard of first: the leader is asked once more before anybody leaves.
    let now = NOW + Millis(12_000);
    let report = QueryOutcome::Answered(report());
    planner.record_query_outcome(&other, &report, now);
    planner.record_hold(&GroupId::new("a.7"), &[leader.id.clone(), other.id], true);
    let actions = planner.step(now);
    assert_eq!(orders(&actions), Vec::<String>::new(), "{actions:?}");
    planner.record_query_outcome(&leader, &report, now + Millis(100));
    let actions = planner.step(now + Millis(100));
    assert_eq!(orders(&actions), Vec::<String>::new(), "{actions:?}");
}

/// A note of held members ends some seconds after it was kept, whether they left by it or not.
#[test]
fn members_are_held_anew_when_their_leader_is_silent_once_more() {
    let ups = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let group = GroupId::new("a.7");
    let held = [UpstreamId::new("u1"), UpstreamId::new("u2")];
    let hold = GroupAction::Hold {
        group: group.clone(),
        members: held.to_vec(),
    };
    let is_u2 = |order: &String| order.starts_with("u2");
    let answer = QueryOutcome::Answered(report());
    let mut planner = planner();
    show(&ups, &mut planner);
    quiet(&mut planner, "u1", NOW);
    planner.record_query_outcome(&incarnation("u2"), &answer, NOW);
    let actions = planner.step(NOW + Millis(200));
    assert!(actions.contains(&hold), "{actions:?}");
    obey(&mut planner, &actions);
    planner.record_hold(&group, &held, true);
    // The leader is back before anybody was told to leave.
    planner.record_query_outcome(&incarnation("u1"), &answer, NOW + Millis(300));
    let actions = planner.step(NOW + Millis(400));
    assert_eq!(orders(&actions).iter().filter(|it| is_u2(it)).count(), 0);
    // A minute later no VM that took over would find what was kept.
    let later = NOW + Millis(60_000);
    quiet(&mut planner, "u1", later);
    planner.record_query_outcome(&incarnation("u2"), &answer, later);
    let actions = planner.step(later + Millis(200));
    assert!(actions.contains(&hold), "{actions:?}");
    assert_eq!(orders(&actions).iter().filter(|it| is_u2(it)).count(), 0);
    obey(&mut planner, &actions);
    planner.record_hold(&group, &held, true);
    let actions = planner.step(later + Millis(300));
    assert!(
        orders(&actions).contains(&"u2: leave".to_owned()),
        "{actions:?}"
    );
}
