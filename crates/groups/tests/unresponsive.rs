//! Handling of upstreams that do not answer.

mod support;

use bergamot_groups::{GroupAction, QueryOutcome};
use bergamot_ports::{MemberState, OrderOutcome};
use bergamot_types::prelude::*;

use support::shorthand::*;

/// A coordinator without CPU time to receive the answers must not give up its groups.
#[test]
fn a_paused_coordinator_suspects_no_upstream() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    for round in 0..4 {
        let now = NOW + Millis(round * 1_000);
        planner.record_stall(&incarnation("u1"), true, now);
        for id in ["u1", "u2"] {
            planner.record_query_outcome(
                &incarnation(id),
                &QueryOutcome::Unheard {
                    is_reachable: false,
                },
                now,
            );
        }
        let actions = planner.step(now + Millis(60));
        let orders = actions
            .iter()
            .filter(|action| matches!(action, GroupAction::Order(_)));
        assert_eq!(orders.count(), 0, "{actions:?}");
    }
}

#[test]
fn members_of_an_unresponsive_leader_are_held() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
        upstream("u3", Some("a")),
    ];
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    time_out_queries(&mut planner, "u1", NOW);
    let report = QueryOutcome::Answered(report());
    planner.record_query_outcome(&incarnation("u2"), &report, NOW);
    let now = NOW + Millis(200);
    let actions = planner.step(now);
    let hold = GroupAction::Hold {
        group: GroupId::new("a.7"),
        members: vec![UpstreamId::new("u1"), UpstreamId::new("u2")],
    };
    assert!(actions.contains(&hold), "{actions:?}");
    accept_orders(&mut planner, &actions);
    assert!(!orders(&actions).iter().any(|order| order.starts_with("u2")));
    // No member leaves before the hold is stored.
    let actions = planner.step(now + Millis(100));
    assert!(!orders(&actions).iter().any(|order| order.starts_with("u2")));
    let members = [UpstreamId::new("u1"), UpstreamId::new("u2")];
    planner.record_hold(&GroupId::new("a.7"), &members, true);
    let actions = planner.step(now + Millis(200));
    assert_eq!(
        orders(&actions)
            .iter()
            .filter(|order| *order == "u2: leave")
            .count(),
        1
    );
    let request = actions.iter().find_map(|action| match action {
        GroupAction::Order(request) if request.target.incarnation.as_str() == "u2" => {
            Some(request.clone())
        }
        _ => None,
    });
    planner.record_order_outcome(
        &request.expect("u2 must be ordered to leave"),
        &OrderOutcome::Holds,
    );
    let after_leave = [upstreams[0], upstream("u2", Some("a")), upstreams[2]];
    apply_directory(&after_leave, &mut planner);
    planner.record_query_outcome(&incarnation("u1"), &QueryOutcome::Unreachable, now);
    let actions = planner.step(now + Millis(4_000));
    assert!(
        !orders(&actions).iter().any(|order| order.starts_with("u2")),
        "{actions:?}"
    );
    accept_orders(&mut planner, &actions);
    let actions = planner.step(now + Millis(4_800));
    assert!(
        orders(&actions).contains(&"u2: join a of 2".to_owned()),
        "{actions:?}"
    );
}

/// A coordinator short of CPU still receives most answers, so an upstream that never answers has
/// crashed.
#[test]
fn the_only_unresponsive_upstream_is_suspected_despite_late_timeouts() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let (leader, member_incarnation) = (incarnation("u1"), incarnation("u2"));
    let report = QueryOutcome::Answered(report());
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    let mut ended_in_round = None;
    for round in 1..=4 {
        let now = NOW + Millis(round * 300);
        planner.record_stall(&leader, true, now);
        for _ in 0..10 {
            planner.record_query_outcome(&leader, &report, now);
        }
        planner.record_query_outcome(
            &member_incarnation,
            &QueryOutcome::Unheard {
                is_reachable: false,
            },
            now,
        );
        planner.record_stall(&leader, true, now + Millis(10));
        let actions = planner.step(now + Millis(20));
        if orders(&actions).contains(&"u1: leave".to_owned()) {
            ended_in_round.get_or_insert(round);
        }
    }
    assert_eq!(
        ended_in_round,
        Some(3),
        "a single late timeout is no evidence; two with other answers in between are needed"
    );
}

/// A member that is cut off from the coordinator and from the store may still work in its group.
#[test]
fn an_unresponsive_member_is_lost_only_if_its_group_stalls() {
    struct UnresponsiveCase {
        name: &'static str,
        is_listed: bool,
        /// What the member's missing answers show.
        outcome: QueryOutcome,
        /// Set if a stall of the leader is suspected after the member stopped answering; the value
        /// is whether the stall is certain.
        stall: Option<bool>,
        /// Time since then in milliseconds.
        elapsed_ms: u64,
        ends_group: bool,
    }
    let case = |name, is_listed, stall, elapsed_ms, ends_group| UnresponsiveCase {
        name,
        is_listed,
        outcome: QueryOutcome::Unreachable,
        stall,
        elapsed_ms,
        ends_group,
    };
    let cases = [
        case("requests make progress", true, None, 1_000, false),
        case(
            "requests make progress, member not listed",
            false,
            None,
            1_000,
            false,
        ),
        case(
            "requests are certainly stalled",
            true,
            Some(true),
            1_000,
            true,
        ),
        case(
            "requests are certainly stalled, member not listed",
            false,
            Some(true),
            1_000,
            true,
        ),
        case(
            "stall only suspected: the leader may be overloaded",
            true,
            Some(false),
            1_000,
            false,
        ),
        case(
            "stall only suspected, but the group would have broken",
            true,
            Some(false),
            4_000,
            true,
        ),
        case(
            "no stall seen, but the group would have broken",
            true,
            None,
            4_000,
            true,
        ),
        UnresponsiveCase {
            outcome: QueryOutcome::Silent,
            ..case(
                "certainly stalled, but the member accepts connections",
                true,
                Some(true),
                1_000,
                false,
            )
        },
        UnresponsiveCase {
            outcome: QueryOutcome::Silent,
            ..case(
                "the member accepts connections, but the group would have broken",
                true,
                Some(true),
                4_000,
                true,
            )
        },
    ];
    for case in cases {
        let upstreams = [
            member("u1", "a.7", 0, MemberState::Open),
            member("u2", "a.7", 1, MemberState::Ready),
        ];
        let mut planner = planner();
        apply_directory(&upstreams, &mut planner);
        let report = QueryOutcome::Answered(report());
        planner.record_stall(&incarnation("u1"), true, NOW);
        planner.record_query_outcome(&incarnation("u1"), &report, NOW);
        for elapsed in [1, 60] {
            let now = NOW + Millis(elapsed);
            planner.record_query_outcome(&incarnation("u2"), &case.outcome, now);
        }
        if !case.is_listed {
            apply_directory(&upstreams[..1], &mut planner);
        }
        if let Some(is_certain) = case.stall {
            planner.record_stall(&incarnation("u1"), is_certain, NOW + Millis(200));
            planner.record_query_outcome(&incarnation("u1"), &report, NOW + Millis(201));
        }
        let actions = planner.step(NOW + Millis(1 + case.elapsed_ms));
        let ends_group = orders(&actions).contains(&"u1: leave".to_owned());
        assert_eq!(ends_group, case.ends_group, "{}: {actions:?}", case.name);
    }
}

/// A failure domain that is cut off continues to serve; its groups must be complete when it is
/// reachable again.
#[test]
fn an_unreachable_group_is_left_alone() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let (leader, member_incarnation) = (incarnation("u1"), incarnation("u2"));
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    for id in [&leader, &member_incarnation] {
        time_out_queries(&mut planner, id.as_str(), NOW);
    }
    for round in 0..20 {
        let actions = planner.step(NOW + Millis(100 + 500 * round));
        let has_other_action = actions
            .iter()
            .any(|action| !matches!(action, GroupAction::Query(_)));
        assert!(!has_other_action, "round {round}: {actions:?}");
    }
    // The member answers first: the leader is queried once more before a member is ordered to
    // leave.
    let now = NOW + Millis(12_000);
    let report = QueryOutcome::Answered(report());
    planner.record_query_outcome(&member_incarnation, &report, now);
    planner.record_hold(
        &GroupId::new("a.7"),
        &[leader.id.clone(), member_incarnation.id],
        true,
    );
    let actions = planner.step(now);
    assert_eq!(orders(&actions), Vec::<String>::new(), "{actions:?}");
    planner.record_query_outcome(&leader, &report, now + Millis(100));
    let actions = planner.step(now + Millis(100));
    assert_eq!(orders(&actions), Vec::<String>::new(), "{actions:?}");
}

/// A stored hold expires after some seconds, whether members left under it or not.
#[test]
fn an_expired_hold_is_stored_again_before_members_leave() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let group = GroupId::new("a.7");
    let members = [UpstreamId::new("u1"), UpstreamId::new("u2")];
    let hold = GroupAction::Hold {
        group: group.clone(),
        members: members.to_vec(),
    };
    let is_for_u2 = |order: &String| order.starts_with("u2");
    let answer = QueryOutcome::Answered(report());
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    time_out_queries(&mut planner, "u1", NOW);
    planner.record_query_outcome(&incarnation("u2"), &answer, NOW);
    let actions = planner.step(NOW + Millis(200));
    assert!(actions.contains(&hold), "{actions:?}");
    accept_orders(&mut planner, &actions);
    planner.record_hold(&group, &members, true);
    // The leader answers again before any member was ordered to leave.
    planner.record_query_outcome(&incarnation("u1"), &answer, NOW + Millis(300));
    let actions = planner.step(NOW + Millis(400));
    assert_eq!(
        orders(&actions)
            .iter()
            .filter(|order| is_for_u2(order))
            .count(),
        0
    );
    // A minute later the stored hold has expired, so a VM that took over would not find it.
    let later = NOW + Millis(60_000);
    time_out_queries(&mut planner, "u1", later);
    planner.record_query_outcome(&incarnation("u2"), &answer, later);
    let actions = planner.step(later + Millis(200));
    assert!(actions.contains(&hold), "{actions:?}");
    assert_eq!(
        orders(&actions)
            .iter()
            .filter(|order| is_for_u2(order))
            .count(),
        0
    );
    accept_orders(&mut planner, &actions);
    planner.record_hold(&group, &members, true);
    let actions = planner.step(later + Millis(300));
    assert!(
        orders(&actions).contains(&"u2: leave".to_owned()),
        "{actions:?}"
    );
}

/// Guards against answers that are cut at a leader that is silent for a moment, because members of
/// its group are ordered to leave.
#[test]
fn members_of_a_silent_leader_stay_until_the_group_would_have_broken() {
    let upstreams = [
        member("u2", "a.7", 1, MemberState::Ready),
        member("u1", "a.7", 0, MemberState::Open),
    ];
    struct SilentLeaderCase {
        name: &'static str,
        outcome: QueryOutcome,
        is_listed: bool,
        /// Time since the first missing answer in milliseconds.
        elapsed_ms: u64,
        leaves: bool,
    }
    let case = |name, outcome, is_listed, elapsed_ms, leaves| SilentLeaderCase {
        name,
        outcome,
        is_listed,
        elapsed_ms,
        leaves,
    };
    let (silent, gone) = (QueryOutcome::Silent, QueryOutcome::Unreachable);
    let cases = [
        case("not reachable", gone.clone(), true, 500, true),
        case("not reachable nor listed", gone, false, 500, true),
        case("silent", silent.clone(), true, 3_900, false),
        case("silent, not listed", silent.clone(), false, 3_900, false),
        case("silent for too long", silent.clone(), true, 4_000, true),
        case("silent too long, not listed", silent, false, 4_000, true),
    ];
    for case in cases {
        let mut planner = planner();
        apply_directory(&upstreams, &mut planner);
        // The leader is known before it falls silent.
        let actions = planner.step(NOW);
        accept_orders(&mut planner, &actions);
        planner.record_stall(&incarnation("u1"), true, NOW);
        for elapsed in [0, 60] {
            let now = NOW + Millis(elapsed);
            planner.record_query_outcome(&incarnation("u1"), &case.outcome, now);
        }
        planner.record_stall(&incarnation("u1"), true, NOW + Millis(100));
        if !case.is_listed {
            apply_directory(&upstreams[..1], &mut planner);
        }
        let members = ["u1", "u2"].map(UpstreamId::new);
        planner.record_hold(&GroupId::new("a.7"), &members, true);
        let now = NOW + Millis(case.elapsed_ms);
        let mut leaves = false;
        for step in 0..3 {
            let report = QueryOutcome::Answered(report());
            planner.record_query_outcome(&incarnation("u2"), &report, NOW);
            let actions = planner.step(now + Millis(step));
            leaves |= orders(&actions).contains(&"u2: leave".to_owned());
            accept_orders(&mut planner, &actions);
            planner.record_hold(&GroupId::new("a.7"), &members, true);
        }
        assert_eq!(leaves, case.leaves, "{}", case.name);
    }
}
