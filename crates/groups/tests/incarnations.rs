//! Upstreams that restart under the same id: nothing known about the earlier incarnation applies to
//! the later one.

mod support;

use bergamot_groups::{GroupAction, GroupOptions, GroupPlanner, QueryOutcome};
use bergamot_ports::{MemberState, OrderOutcome, OrderRequest, UpstreamReport};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use support::shorthand::*;

/// Replaces the directory with one in which the `restarted` upstreams are in their second
/// incarnation.
fn apply_restarts(
    upstreams: &[ShortEntry],
    restarted: &[&str],
    planner: &mut GroupPlanner,
    now: Millis,
) {
    let mut entries: Vec<_> = upstreams
        .iter()
        .enumerate()
        .map(|(index, upstream)| entry(upstream, index))
        .collect();
    for entry in &mut entries {
        if restarted.contains(&entry.incarnation.as_str()) {
            entry.incarnation.started_at = Some(UnixMillis(2));
        }
    }
    planner.set_directory(entries.iter(), 20, now);
}

/// A coordinator that took over from another one.
fn successor() -> GroupPlanner {
    let options = GroupOptions::default();
    GroupPlanner::new(options, spec(), 20, false, IndexMap::new(), NOW)
}

fn requests(actions: &[GroupAction]) -> Vec<OrderRequest> {
    let requests = actions.iter().filter_map(|action| match action {
        GroupAction::Order(request) => Some(request.clone()),
        _ => None,
    });
    requests.collect()
}

#[test]
fn a_restarted_upstream_is_ordered_to_load_again() {
    let upstreams = [
        upstream("u1", None),
        upstream("u2", None),
        upstream("u3", None),
    ];
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    let actions = planner.step(NOW);
    assert_eq!(orders(&actions), ["u1: stage a", "u2: stage a"]);
    accept_orders(&mut planner, &actions);
    // The limit on concurrent loads is reached.
    assert_eq!(
        orders(&planner.step(NOW + Millis(1_000))),
        Vec::<String>::new()
    );
    apply_restarts(&upstreams, &["u1", "u2"], &mut planner, NOW + Millis(2_000));
    let actions = planner.step(NOW + Millis(2_000));
    assert_eq!(orders(&actions), ["u1: stage a", "u2: stage a"]);
}

#[test]
fn a_restart_resets_the_number_of_orders_begun() {
    let upstreams = [upstream("u1", Some("a")), upstream("u2", Some("a"))];
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    let joins = planner.step(NOW);
    apply_restarts(&upstreams, &["u1"], &mut planner, NOW + Millis(100));
    // The outcome of an order to the earlier incarnation.
    accept_orders(&mut planner, &joins);
    let actions = planner.step(NOW + Millis(1_000));
    let joins = requests(&actions);
    let expected: Vec<_> = joins
        .iter()
        .filter(|request| request.target.incarnation.as_str() == "u1")
        .map(|request| (request.target.incarnation.started_at, request.expected))
        .collect();
    assert_eq!(expected, [(Some(UnixMillis(2)), Some(0))], "{actions:?}");
}

#[test]
fn a_restarted_spare_is_warmed_again() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
        member("u3", "a.8", 0, MemberState::Ready),
    ];
    let spare = [upstreams[0], upstreams[1], upstream("u3", Some("a"))];
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    apply_directory(&spare, &mut planner);
    assert_eq!(orders(&planner.step(NOW)), Vec::<String>::new());
    apply_restarts(&spare, &["u3"], &mut planner, NOW + Millis(100));
    let actions = planner.step(NOW + Millis(100));
    assert_eq!(orders(&actions), ["u3: join a of 1"]);
}

#[test]
fn timeouts_and_suspicion_do_not_outlive_an_incarnation() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
        upstream("u3", Some("a")),
        upstream("u4", Some("a")),
    ];
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    for elapsed in [1, 60] {
        planner.record_query_outcome(
            &incarnation("u3"),
            &QueryOutcome::Unreachable,
            NOW + Millis(elapsed),
        );
    }
    apply_restarts(&upstreams, &["u3"], &mut planner, NOW + Millis(100));
    // A query to the earlier incarnation times out now.
    planner.record_query_outcome(
        &incarnation("u3"),
        &QueryOutcome::Unreachable,
        NOW + Millis(110),
    );
    planner.record_query_outcome(&incarnation("u3"), &QueryOutcome::Gone, NOW + Millis(120));
    let actions = planner.step(NOW + Millis(130));
    assert_eq!(orders(&actions), ["u3: stage b", "u4: stage b"]);
    // A suspicion of the leader's earlier incarnation does not apply to the later one.
    apply_restarts(&upstreams, &["u1", "u3"], &mut planner, NOW + Millis(200));
    assert_eq!(
        planner.record_stall(&incarnation("u1"), true, NOW + Millis(210)),
        []
    );
}

#[test]
fn a_restarted_member_is_held_until_its_old_group_has_broken() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
        upstream("u3", Some("a")),
    ];
    let upstreams_after_restart = [upstreams[0], upstream("u2", Some("a")), upstreams[2]];
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    apply_restarts(&upstreams_after_restart, &["u2"], &mut planner, NOW);
    let actions = planner.step(NOW);
    assert!(
        orders(&actions).contains(&"u1: leave".to_owned()),
        "{actions:?}"
    );
    let is_ordered =
        |actions: &[GroupAction]| orders(actions).iter().any(|order| order.starts_with("u2"));
    assert!(!is_ordered(&actions), "{actions:?}");
    let actions = planner.step(NOW + Millis(4_000));
    assert!(!is_ordered(&actions), "{actions:?}");
    accept_orders(&mut planner, &actions);
    let actions = planner.step(NOW + Millis(4_500));
    assert!(is_ordered(&actions), "{actions:?}");
}

#[test]
fn members_of_a_restarted_leader_are_free_immediately() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    let upstreams_after_restart = [upstream("u1", Some("a")), upstreams[1]];
    apply_restarts(&upstreams_after_restart, &["u1"], &mut planner, NOW);
    let actions = planner.step(NOW);
    assert_eq!(orders(&actions), ["u1: join a of 2", "u2: join a of 2"]);
}

/// An upstream that is cut off from the store reports its restart before its entry can show it.
#[test]
fn a_restart_report_is_not_undone_by_an_older_entry() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
        upstream("u3", Some("a")),
    ];
    let mut planner = planner();
    apply_directory(&upstreams, &mut planner);
    let restart_report = UpstreamReport {
        born: Some(UnixMillis(2)),
        ..report()
    };
    planner.record_query_outcome(
        &incarnation("u2"),
        &QueryOutcome::Answered(restart_report),
        NOW,
    );
    let actions = planner.step(NOW);
    assert!(
        orders(&actions).contains(&"u1: leave".to_owned()),
        "{actions:?}"
    );
    // The entry of the earlier incarnation is read again, and a delayed answer of that incarnation
    // arrives.
    apply_directory(&upstreams, &mut planner);
    let old_answer = QueryOutcome::Answered(report());
    planner.record_query_outcome(&incarnation("u2"), &old_answer, NOW + Millis(10));
    let request = requests(&actions).remove(0);
    planner.record_order_outcome(&request, &OrderOutcome::Unknown("lost".to_owned()));
    planner.record_query_outcome(&incarnation("u1"), &old_answer, NOW + Millis(20));
    let actions = planner.step(NOW + Millis(600));
    assert!(
        orders(&actions).contains(&"u1: leave".to_owned()),
        "{actions:?}"
    );
}

/// A coordinator ordered u2 to leave and took note of it in the store, which was restored to an
/// older copy. Its successor sees no trace of the group that u2 was in.
#[test]
fn a_member_whose_hold_a_restore_has_lost_is_not_used_while_its_leader_may_be_open() {
    let upstreams = [
        member("u1", "a.7", 0, MemberState::Open),
        upstream("u2", Some("a")),
        upstream("u3", Some("a")),
    ];
    for has_lost_holds in [false, true] {
        let mut planner = successor();
        if has_lost_holds {
            planner.expect_lost_holds();
        }
        apply_directory(&upstreams, &mut planner);
        for id in ["u2", "u3"] {
            let report = UpstreamReport {
                orders_begun: 5,
                ..report()
            };
            planner.record_query_outcome(&incarnation(id), &QueryOutcome::Answered(report), NOW);
        }
        let first_use = [100, 4_300, 4_500].into_iter().find(|elapsed_ms| {
            let actions = planner.step(NOW + Millis(*elapsed_ms));
            orders(&actions).iter().any(|order| order.contains("join"))
        });
        let expected = if has_lost_holds { 4_500 } else { 100 };
        assert_eq!(first_use, Some(expected), "{has_lost_holds}");
    }
}
