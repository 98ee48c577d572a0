//! When a VM grants permits, and what a VM does that gets none.

mod support;

use bergamot_types::prelude::*;
use bergamot_warmup::{
    ColdAnswer, ColdClaim, ColdQuestion, ColdStep, ColdVerdict, WarmUpAction, WarmUpEvent,
    WarmUpState,
};
use support::{BOUNDS, CLAIM, entry, incarnation, with_target};

const CHANGE: u64 = 60_000;

fn vm_list(domain: &str, names: &[&str]) -> Vec<(FailureDomain, String)> {
    let domain = FailureDomain::new(domain);
    let vms = names
        .iter()
        .map(|name| (domain.clone(), (*name).to_owned()));
    vms.collect()
}

/// Requests a permit at a VM for an upstream that has been cold all the time.
fn request(state: &mut WarmUpState, now: u64) -> ColdStep {
    with_target(entry(1, 0, 600_000), BOUNDS, |target| {
        state.request_permit(Millis(now), target, CLAIM)
    })
}

fn confirm(state: &mut WarmUpState, at: u64) {
    state.handle(Millis(at), WarmUpEvent::ListConfirmed(Millis(at)));
}

/// Creates a VM whose list is in use and confirmed for a long time.
fn vm(name: &str, names: &[&str]) -> WarmUpState {
    let mut state = WarmUpState::new(name.to_owned(), 1);
    state.set_vms(Millis(1_000), vm_list("east", names));
    for at in (1_000..CHANGE).step_by(1_000) {
        confirm(&mut state, at);
    }
    state.set_vms(Millis(CHANGE - 1), vm_list("east", names));
    state
}

/// Returns the owner among the names, and the one after it is gone.
fn owners() -> (&'static str, &'static str) {
    let mut names = vec!["a", "b", "c"];
    let mut next_owner = || {
        let mut asking = vm("observer", &[&names[..], &["observer"]].concat());
        asking.set_vms(Millis(CHANGE), vm_list("east", &names));
        let ColdStep::Ask { owner, .. } = request(&mut asking, CHANGE) else {
            panic!("another VM owns the permits");
        };
        let index = names.iter().position(|name| *name == owner);
        names.remove(index.expect("the owner is listed"))
    };
    (next_owner(), next_owner())
}

/// Returns the times from [`CHANGE`] on at which a VM grants permits to itself.
fn grants(state: &mut WarmUpState, confirms: bool) -> Vec<u64> {
    let times = (CHANGE..CHANGE + 10_000).step_by(10).filter(|now| {
        if confirms {
            confirm(state, *now);
        }
        request(state, *now) == ColdStep::Granted
    });
    times.collect()
}

#[test]
fn a_new_owner_does_not_grant_while_a_cut_off_owner_still_does() {
    let (old_name, new_name) = owners();
    let mut old = vm(old_name, &["a", "b", "c"]);
    confirm(&mut old, CHANGE);
    let last_old = grants(&mut old, false).pop().expect("the owner grants");
    let mut new = vm(new_name, &["a", "b", "c"]);
    let others: Vec<&str> = ["a", "b", "c"]
        .into_iter()
        .filter(|name| *name != old_name)
        .collect();
    new.set_vms(Millis(CHANGE), vm_list("east", &others));
    let first_new = grants(&mut new, true)[0];
    assert!(
        first_new > last_old,
        "the new owner grants from {first_new}, the old one until {last_old}"
    );
    assert!(first_new < CHANGE + 3_000, "{first_new}");
}

#[test]
fn an_owner_without_a_fresh_list_grants_nothing() {
    let (name, _) = owners();
    let mut owner = vm(name, &["a", "b", "c"]);
    assert!(matches!(
        request(&mut owner, CHANGE + 10_000),
        ColdStep::Later(_)
    ));
}

#[test]
fn an_owner_that_was_suspended_waits_as_a_new_one() {
    let (name, _) = owners();
    let mut owner = vm(name, &["a", "b", "c"]);
    let resumed_at = CHANGE + 5_000;
    confirm(&mut owner, resumed_at);
    assert!(matches!(
        request(&mut owner, resumed_at),
        ColdStep::Later(_)
    ));
}

#[test]
fn a_domain_without_vms_has_no_owner() {
    let mut state = WarmUpState::new("a".to_owned(), 1);
    state.set_vms(Millis(1_000), vm_list("west", &["a"]));
    assert!(matches!(request(&mut state, CHANGE), ColdStep::NoOwner(_)));
}

#[test]
fn a_late_answer_resolves_nothing() {
    let (_, name) = owners();
    let mut asking = vm(name, &["a", "b", "c"]);
    let ColdStep::Ask { question, .. } = request(&mut asking, CHANGE) else {
        panic!("another VM owns the permits");
    };
    let actions = asking.handle(Millis(CHANGE + 50), WarmUpEvent::TimedOut(question.number));
    assert!(matches!(
        actions[..],
        [WarmUpAction::BackOff {
            wait: Millis(500),
            ..
        }]
    ));
    let answer = ColdAnswer {
        number: question.number,
        verdict: ColdVerdict::Granted,
    };
    let late = asking.handle(Millis(CHANGE + 60), WarmUpEvent::PermitAnswered(&answer));
    assert_eq!(late, []);
    // The owner is not asked again before the back-off ends.
    assert_eq!(
        request(&mut asking, CHANGE + 100),
        ColdStep::Later(Millis(450))
    );
}

#[test]
fn a_request_that_has_waited_for_an_owner_asks_no_other() {
    let (_, name) = owners();
    let mut asking = vm(name, &["a", "b", "c"]);
    let claim = ColdClaim {
        may_ask: false,
        ..CLAIM
    };
    let step = with_target(entry(1, 0, 600_000), BOUNDS, |target| {
        asking.request_permit(Millis(CHANGE), target, claim)
    });
    assert_eq!(step, ColdStep::NotAsked);
}

#[test]
fn an_upstream_unknown_to_the_owner_gets_no_permit() {
    let (name, _) = owners();
    let mut owner = vm(name, &["a", "b", "c"]);
    confirm(&mut owner, CHANGE);
    let question = ColdQuestion {
        vm: "b".to_owned(),
        number: 7,
        incarnation: incarnation(),
    };
    let event = WarmUpEvent::PermitRequested(&question, None);
    let actions = owner.handle(Millis(CHANGE), event);
    let answer = ColdAnswer {
        number: 7,
        verdict: ColdVerdict::Later(Millis(250)),
    };
    let vm = "b".to_owned();
    assert_eq!(actions, [WarmUpAction::Answer { vm, answer }]);
}

/// Guards against gates that stay closed after the upstream has become warm.
#[test]
fn no_wait_outlasts_the_cold_time() {
    const COLD_LEFT: Millis = Millis(30);
    let request_at = |state: &mut WarmUpState, now: u64| {
        with_target(entry(1, CHANGE, COLD_LEFT.0), BOUNDS, |target| {
            state.request_permit(Millis(now), target, CLAIM)
        })
    };
    let (owner_name, other_name) = owners();
    let mut without_owner = vm(other_name, &["a", "b", "c"]);
    without_owner.set_vms(Millis(CHANGE), vm_list("west", &["a"]));
    let no_owner = request_at(&mut without_owner, CHANGE);
    assert_eq!(no_owner, ColdStep::NoOwner(COLD_LEFT));
    let mut outdated_owner = vm(owner_name, &["a", "b", "c"]);
    let denied_at = CHANGE + 10;
    outdated_owner.set_vms(Millis(denied_at), vm_list("east", &["a", "b", "c"]));
    let steps: Vec<ColdStep> = (0..20)
        .map(|_| request_at(&mut outdated_owner, denied_at))
        .collect();
    assert_eq!(steps.last(), Some(&ColdStep::Later(Millis(20))));
    let mut asking = vm(other_name, &["a", "b", "c"]);
    let ColdStep::Ask { question, .. } = request_at(&mut asking, CHANGE) else {
        panic!("another VM owns the permits");
    };
    let timed_out = WarmUpEvent::TimedOut(question.number);
    let actions = asking.handle(Millis(CHANGE + 10), timed_out);
    assert!(matches!(
        actions[..],
        [WarmUpAction::BackOff {
            wait: Millis(20),
            ..
        }]
    ));
    let silent = request_at(&mut asking, CHANGE + 15);
    assert_eq!(silent, ColdStep::Later(Millis(15)));
}
