//! Upstreams that start again under their id: nothing of the earlier run counts for the later one.

mod support;

use bergamot_groups::{GroupAction, GroupPlanner, QueryOutcome};
use bergamot_ports::{MemberState, OrderOutcome, OrderRequest, UpstreamReport};
use bergamot_types::prelude::*;

use support::short::*;

/// Shows a directory in which these upstreams are in their second run.
fn show_again(ups: &[Up], restarted: &[&str], planner: &mut GroupPlanner, now: Millis) {
    let mut entries: Vec<_> = ups.iter().enumerate().map(|(i, up)| entry(up, i)).collect();
    for entry in &mut entries {
        if restarted.contains(&entry.incarnation.as_str()) {
            entry.incarnation.started_at = Some(UnixMillis(2));
        }
    }
    planner.set_directory(entries.iter(), 20, now);
}

fn requests(actions: &[GroupAction]) -> Vec<OrderRequest> {
    let requests = actions.iter().filter_map(|action| match action {
        GroupAction::Order(request) => Some(request.clone()),
        _ => None,
    });
    requests.collect()
}

#[test]
fn a_load_ends_with_the_run_that_began_it() {
    let ups = [up("u1", None), up("u2", None), up("u3", None)];
    let mut planner = planner();
    show(&ups, &mut planner);
    let actions = planner.step(NOW);
    assert_eq!(orders(&actions), ["u1: stage a", "u2: stage a"]);
    obey(&mut planner, &actions);
    // As many as may load side by side do.
    assert_eq!(
        orders(&planner.step(NOW + Millis(1_000))),
        Vec::<String>::new()
    );
    show_again(&ups, &["u1", "u2"], &mut planner, NOW + Millis(2_000));
    let actions = planner.step(NOW + Millis(2_000));
    assert_eq!(orders(&actions), ["u1: stage a", "u2: stage a"]);
}

#[test]
fn the_count_of_orders_starts_anew() {
    let ups = [up("u1", Some("a")), up("u2", Some("a"))];
    let mut planner = planner();
    show(&ups, &mut planner);
    let joins = planner.step(NOW);
    show_again(&ups, &["u1"], &mut planner, NOW + Millis(100));
    // The answer to what was meant for the earlier run.
    obey(&mut planner, &joins);
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
fn a_spare_is_warm_in_one_run_only() {
    let ups = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
        member("u3", "a.8", 0, MemberState::Ready),
    ];
    let spare = [ups[0], ups[1], up("u3", Some("a"))];
    let mut planner = planner();
    show(&ups, &mut planner);
    show(&spare, &mut planner);
    assert_eq!(orders(&planner.step(NOW)), Vec::<String>::new());
    show_again(&spare, &["u3"], &mut planner, NOW + Millis(100));
    let actions = planner.step(NOW + Millis(100));
    assert_eq!(orders(&actions), ["u3: join a of 1"]);
}

#[test]
fn silence_and_suspicion_end_with_the_run() {
    let ups = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
        up("u3", Some("a")),
        up("u4", Some("a")),
    ];
    let mut planner = planner();
    show(&ups, &mut planner);
    for after in [1, 60] {
        planner.record_query_outcome(
            &incarnation("u3"),
            &QueryOutcome::Silent,
            NOW + Millis(after),
        );
    }
    show_again(&ups, &["u3"], &mut planner, NOW + Millis(100));
    // A question to the earlier run that runs out of time now.
    planner.record_query_outcome(&incarnation("u3"), &QueryOutcome::Silent, NOW + Millis(110));
    planner.record_query_outcome(&incarnation("u3"), &QueryOutcome::Gone, NOW + Millis(120));
    let actions = planner.step(NOW + Millis(130));
    assert_eq!(orders(&actions), ["u3: stage b", "u4: stage b"]);
    // Doubts about a leader's earlier run say nothing of the later one.
    show_again(&ups, &["u1", "u3"], &mut planner, NOW + Millis(200));
    assert_eq!(
        planner.record_stall(&incarnation("u1"), true, NOW + Millis(210)),
        []
    );
}

#[test]
fn a_restarted_member_ends_its_group_and_is_held_until_that_has_broken() {
    let ups = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
        up("u3", Some("a")),
    ];
    let after = [ups[0], up("u2", Some("a")), ups[2]];
    let mut planner = planner();
    show(&ups, &mut planner);
    show_again(&after, &["u2"], &mut planner, NOW);
    let actions = planner.step(NOW);
    assert!(
        orders(&actions).contains(&"u1: leave".to_owned()),
        "{actions:?}"
    );
    let is_used = |actions: &[GroupAction]| orders(actions).iter().any(|it| it.starts_with("u2"));
    assert!(!is_used(&actions), "{actions:?}");
    let actions = planner.step(NOW + Millis(4_000));
    assert!(!is_used(&actions), "{actions:?}");
    obey(&mut planner, &actions);
    let actions = planner.step(NOW + Millis(4_500));
    assert!(is_used(&actions), "{actions:?}");
}

#[test]
fn a_restarted_leader_frees_its_members_at_once() {
    let ups = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
    ];
    let mut planner = planner();
    show(&ups, &mut planner);
    let after = [up("u1", Some("a")), ups[1]];
    show_again(&after, &["u1"], &mut planner, NOW);
    let actions = planner.step(NOW);
    assert_eq!(orders(&actions), ["u1: join a of 2", "u2: join a of 2"]);
}

/// Behind a cut from the store an upstream reports its restart before its entry can show it.
#[test]
fn a_report_shows_a_restart_before_the_entry_does() {
    let ups = [
        member("u1", "a.7", 0, MemberState::Open),
        member("u2", "a.7", 1, MemberState::Ready),
        up("u3", Some("a")),
    ];
    let mut planner = planner();
    show(&ups, &mut planner);
    let restarted = UpstreamReport {
        born: Some(UnixMillis(2)),
        ..report()
    };
    planner.record_query_outcome(&incarnation("u2"), &QueryOutcome::Answered(restarted), NOW);
    let actions = planner.step(NOW);
    assert!(
        orders(&actions).contains(&"u1: leave".to_owned()),
        "{actions:?}"
    );
    // The entry of the earlier run is read again, and so is an answer of it that was on its way.
    show(&ups, &mut planner);
    let old = QueryOutcome::Answered(report());
    planner.record_query_outcome(&incarnation("u2"), &old, NOW + Millis(10));
    let request = requests(&actions).remove(0);
    planner.record_order_outcome(&request, &OrderOutcome::Unknown("lost".to_owned()));
    planner.record_query_outcome(&incarnation("u1"), &old, NOW + Millis(20));
    let actions = planner.step(NOW + Millis(600));
    assert!(
        orders(&actions).contains(&"u1: leave".to_owned()),
        "{actions:?}"
    );
}
