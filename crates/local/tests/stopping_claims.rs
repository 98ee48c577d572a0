//! Claims around the end of a planned stop: of a VM whose callers have left, and of one that owns claims.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bergamot_entry::StopOutcome;
use bergamot_local::{LocalFleet, LocalOptions};
use bergamot_types::Millis;
use hyper::Method;
use indexmap::IndexMap;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{caller, code, confirm, fleet, runs_of, slow_services, streamed, three_domains};

/// Repeats of a request whose claim has no owner for now: each waits for 1.5 s.
const REPEATS: usize = 10;

/// Three failure domains whose roster forgets a VM that is gone within a second.
fn quickly_unlisted() -> LocalOptions {
    LocalOptions {
        list_lag: Duration::from_millis(100),
        tune: |settings| settings.tuning.vm_list_period = Millis(300),
        ..three_domains()
    }
}

/// A request with a key whose caller leaves.
struct LeftCase {
    name: &'static str,
    path: &'static str,
    body: fn() -> String,
    headers: &'static [(&'static str, &'static str)],
}

/// A claimed request runs to its end when its caller has left, also while the VM stops, and a repeat gets its answer.
#[test]
fn a_claimed_request_whose_caller_left_outlasts_the_stop() {
    const KEYS: usize = 6;
    let cases = [
        LeftCase {
            name: "service",
            path: "/services/ring/confirm",
            body: || "lot".to_owned(),
            headers: &[],
        },
        LeftCase {
            name: "model",
            path: "/v1/chat/completions",
            body: || streamed("a long one", 250),
            headers: &[("bergamot-run", "at-most-once")],
        },
    ];
    let mut fleet = fleet(&quickly_unlisted());
    slow_services(&fleet, 500);
    let runtime = fleet.runtime().handle().clone();
    let send = |entry: usize, case: &LeftCase, key: &str, fleet: &LocalFleet| {
        let asked = caller(fleet, entry);
        let (path, body, key) = (case.path, (case.body)(), key.to_owned());
        let headers = case.headers;
        async move {
            let mut headers = headers.to_vec();
            headers.push(("idempotency-key", &key));
            asked.send(Method::POST, path, &headers, body).await
        }
    };
    let mut left = Vec::new();
    for case in &cases {
        for number in 0..KEYS {
            let key = format!("{}-{number}", case.name);
            left.push(runtime.spawn(send(0, case, &key, &fleet)));
        }
    }
    let runs = |fleet: &LocalFleet| {
        let engines = fleet.engines.iter();
        let engines = engines.map(|it| it.engine.runs.list().len()).sum::<usize>();
        let services = fleet.services.iter();
        engines
            + services
                .map(|it| it.service.runs.list().len())
                .sum::<usize>()
    };
    fleet
        .wait_for("all to run", |fleet| runs(fleet) == cases.len() * KEYS)
        .expect("upstreams run them");
    left.into_iter().for_each(|caller| caller.abort());
    let daemon = fleet.entries[0].take().expect("it runs");
    assert_eq!(daemon.stop(|| false), StopOutcome::Graceful);
    fleet.unlist_entry(0);
    slow_services(&fleet, 1);
    let repeat = |case: &LeftCase, key: &str| {
        let reply = runtime.block_on(send(1, case, key, &fleet));
        let reply = reply.expect("there is an answer");
        match code(&reply).as_str() {
            // For as long as the roster names the VM that is gone.
            "claim_unavailable" => None,
            other => Some((reply.status.as_u16(), other.to_owned())),
        }
    };
    let mut refused = Vec::new();
    for case in &cases {
        for number in 0..KEYS {
            let key = format!("{}-{number}", case.name);
            let answer = std::iter::repeat_with(|| repeat(case, &key))
                .take(REPEATS)
                .flatten()
                .next();
            if answer != Some((200, String::new())) {
                refused.push((key, answer));
            }
        }
    }
    assert!(refused.is_empty(), "{refused:?}");
    assert_eq!(runs(&fleet), cases.len() * KEYS, "each ran once");
}

/// Callers of other VMs ask for confirmations while a VM stops that owns some of the claims: whoever is told that a request was not run can
/// repeat it, and it runs once.
#[test]
fn a_stop_of_a_claims_owner_leaves_no_key_undecided() {
    const CALLERS: usize = 48;
    const LONGEST_KEY_PAUSE_US: u64 = 12_000;
    let mut fleet = fleet(&quickly_unlisted());
    let runtime = fleet.runtime().handle().clone();
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let asked = caller(&fleet, 1 + number % 2);
            let is_over = Arc::clone(&is_over);
            runtime.spawn(async move {
                let mut rng = ChaCha8Rng::seed_from_u64(number as u64);
                let mut refused = Vec::new();
                let mut keys = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let key = format!("{number}-{keys}");
                    keys += 1;
                    let reply = confirm(&asked, &key, "lot").await;
                    if reply.status != 200 {
                        refused.push((key, code(&reply)));
                    }
                    let pause = rng.random_range(0..LONGEST_KEY_PAUSE_US);
                    tokio::time::sleep(Duration::from_micros(pause)).await;
                }
                (keys, refused)
            })
        })
        .collect();
    let daemon = fleet.entries[0].take().expect("it runs");
    assert_eq!(daemon.stop(|| false), StopOutcome::Graceful);
    fleet.unlist_entry(0);
    is_over.store(true, Ordering::SeqCst);
    let (mut asked, mut refused) = (0, Vec::new());
    for caller in callers {
        let (keys, few) = runtime.block_on(caller).expect("the caller ends");
        asked += keys;
        refused.extend(few);
    }
    let mut codes = IndexMap::<&str, usize>::new();
    for (_, code) in &refused {
        *codes.entry(code).or_default() += 1;
    }
    println!("keys={asked} refused={codes:?}");
    let mut undecided = Vec::new();
    for (key, first) in &refused {
        let answers = std::iter::repeat_with(|| {
            let reply = runtime.block_on(confirm(&caller(&fleet, 1), key, "lot"));
            code(&reply)
        });
        // For as long as the roster names the VM that is gone, and until word of the end has come round.
        let may_change = ["claim_unavailable", "idempotency_key_in_progress"];
        let last = answers
            .take(REPEATS)
            .find(|code| !may_change.contains(&code.as_str()));
        if last.as_deref() != Some("") || runs_of(&fleet, key) != 1 {
            undecided.push((key, first, last, runs_of(&fleet, key)));
        }
    }
    assert!(undecided.is_empty(), "{undecided:?}");
}
