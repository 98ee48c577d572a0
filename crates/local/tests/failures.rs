//! Failures over real sockets: what callers see, and what the upstreams ran.

mod support;

use bergamot_entry::StopOutcome;
use bergamot_local::sample;
use bergamot_standin::fault::FaultSet;
use support::{caller, code, confirm, fleet, runs_of, streamed, text, three_domains, whole};

/// Engines' streams break, answers are lost, requests are refused: callers get whole answers.
#[test]
fn broken_streams_go_on_elsewhere() {
    let fleet = fleet(&three_domains());
    struct BreakCase {
        name: &'static str,
        faults: FaultSet,
    }
    let cases = [
        BreakCase {
            name: "dies after some bytes",
            faults: FaultSet {
                die_after_bytes: Some(700),
                ..FaultSet::default()
            },
        },
        BreakCase {
            name: "loses the answer",
            faults: FaultSet {
                lose_answer: 1,
                ..FaultSet::default()
            },
        },
        BreakCase {
            name: "refuses as not run",
            faults: FaultSet {
                refuse_not_run: 1,
                ..FaultSet::default()
            },
        },
    ];
    for case in cases {
        // Every engine but those of the last failure domain has the fault once.
        for engine in &fleet.engines {
            if engine.fact.failure_domain.as_str() != "fd-3" {
                engine.engine.faults.set(case.faults.clone());
            }
        }
        for number in 0..6 {
            let prompt = format!("{} {number}", case.name);
            let asked = caller(&fleet, number % 3);
            let reply = fleet.runtime().block_on(asked.chat(&prompt, 12));
            let reply = reply.expect("there is an answer");
            assert_eq!(text(&reply), whole(&prompt, 12), "{}", case.name);
        }
        for engine in &fleet.engines {
            engine.engine.faults.set(FaultSet::default());
        }
    }
    assert_eq!(fleet.stop(), StopOutcome::Graceful);
}

/// A confirmation runs at most once, whatever its caller and the services do.
#[test]
fn confirmations_run_at_most_once() {
    let fleet = fleet(&three_domains());
    let runtime = fleet.runtime().handle().clone();
    let callers = [caller(&fleet, 0), caller(&fleet, 1), caller(&fleet, 2)];

    let first = runtime.block_on(confirm(&callers[0], "bid-1", "lot 1"));
    let again = runtime.block_on(confirm(&callers[1], "bid-1", "lot 1"));
    assert_eq!(first.status, 200);
    assert_eq!(first.body, again.body, "a repeat gets the first answer");
    let other = runtime.block_on(confirm(&callers[2], "bid-1", "lot 2"));
    assert_eq!(code(&other), "idempotency_key_reused");
    assert_eq!(runs_of(&fleet, "bid-1"), 1);

    // The service runs it, and its answer is lost: nobody may say that it did not run.
    for service in &fleet.services {
        service.service.faults.set(FaultSet {
            lose_answer: 1,
            ..FaultSet::default()
        });
    }
    let lost = runtime.block_on(confirm(&callers[0], "bid-2", "lot 3"));
    assert_eq!(code(&lost), "upstream_lost");
    let again = runtime.block_on(confirm(&callers[1], "bid-2", "lot 3"));
    assert_eq!(code(&again), "idempotency_key_outcome_unknown");
    assert_eq!(runs_of(&fleet, "bid-2"), 1);

    // Refused as not run by one service: another may run it.
    for service in &fleet.services {
        service.service.faults.set(FaultSet::default());
    }
    fleet.services[0].service.faults.set(FaultSet {
        refuse_not_run: 1,
        ..FaultSet::default()
    });
    let refused = runtime.block_on(confirm(&callers[0], "bid-3", "lot 4"));
    assert_eq!(refused.status, 200);
    assert_eq!(runs_of(&fleet, "bid-3"), 1);
    assert_eq!(fleet.stop(), StopOutcome::Graceful);
}

/// A repeat that comes while the first attempt runs, or while word of its end is on its way to the
/// claim's owner, gets the first answer.
#[test]
fn an_early_repeat_gets_the_first_answer() {
    let fleet = fleet(&three_domains());
    let runtime = fleet.runtime().handle().clone();
    for service in &fleet.services {
        service.service.faults.set(FaultSet {
            delay_ms: 500,
            ..FaultSet::default()
        });
    }
    let (first, again) = (caller(&fleet, 0), caller(&fleet, 1));
    let first = runtime.spawn(async move { confirm(&first, "bid-1", "lot 1").await });
    fleet
        .wait_for("the first attempt to run", |fleet| {
            runs_of(fleet, "bid-1") == 1
        })
        .expect("a service runs it");
    let again = runtime.block_on(confirm(&again, "bid-1", "lot 1"));
    let first = runtime.block_on(first).expect("the caller ends");
    assert_eq!(again.status, 200, "{}", code(&again));
    assert_eq!(first.status, 200);
    assert_eq!(first.body, again.body);
    assert_eq!(runs_of(&fleet, "bid-1"), 1);
}

/// An entry VM that owned claims dies; a repeat at another one never runs the request again.
#[test]
fn a_lost_owner_forgets_nothing() {
    let mut fleet = fleet(&three_domains());
    let runtime = fleet.runtime().handle().clone();
    let keys: Vec<String> = (0..24).map(|number| format!("bid-{number}")).collect();
    for key in &keys {
        let reply = runtime.block_on(confirm(&caller(&fleet, 1), key, "lot"));
        assert_eq!(reply.status, 200);
    }
    fleet.kill_entry(0);
    let mut refused = 0;
    for key in &keys {
        let reply = runtime.block_on(confirm(&caller(&fleet, 1), key, "lot"));
        refused += usize::from(reply.status != 200);
        assert!(
            matches!(
                code(&reply).as_str(),
                "" | "claim_unavailable" | "idempotency_key_in_progress"
            ),
            "{key}: {} {}",
            reply.status,
            code(&reply)
        );
    }
    println!(
        "refused while the owner was lost: {refused} of {}",
        keys.len()
    );
    fleet.unlist_entry(0);
    let fleet = &fleet;
    fleet
        .wait_for("every key is known again", |fleet| {
            keys.iter().all(|key| {
                let reply = runtime.block_on(confirm(&caller(fleet, 2), key, "lot"));
                reply.status == 200
            })
        })
        .expect("the successors take over");
    for key in &keys {
        assert_eq!(runs_of(fleet, key), 1, "{key}");
    }
}

/// The key-value service is out: requests and confirmations go on, and a roll is refused.
#[test]
fn an_outage_of_the_key_value_service_stops_no_request() {
    let mut fleet = fleet(&three_domains());
    let runtime = fleet.runtime().handle().clone();
    fleet.kv.faults.set(FaultSet {
        outage: true,
        ..FaultSet::default()
    });
    for number in 0..6 {
        let prompt = format!("outage {number}");
        let asked = caller(&fleet, number % 3);
        let reply = runtime.block_on(asked.chat(&prompt, 4)).expect("answered");
        assert_eq!(text(&reply), whole(&prompt, 4));
        let reply = runtime.block_on(confirm(&asked, &format!("bid-{number}"), "lot"));
        assert_eq!(reply.status, 200);
    }
    let refused = fleet.roll(&sample::document("2", 3, 2));
    assert!(refused.is_err(), "a roll is refused during an outage");

    // A VM that starts now learns bundle, roster and groups from its peers.
    fleet.kill_entry(2);
    fleet.restart_entry(2).expect("the entry VM starts");
    fleet
        .wait_for("the new entry VM to serve", |fleet| {
            let entry = fleet.entries[2].as_ref();
            entry.is_some_and(|entry| entry.is_ready() && entry.routable_groups() == 3)
        })
        .expect("peers tell it everything");
    let asked = caller(&fleet, 2);
    let reply = runtime
        .block_on(asked.chat("from peers", 4))
        .expect("answered");
    assert_eq!(text(&reply), whole("from peers", 4));

    fleet.kv.faults.set(FaultSet::default());
    let number = fleet.roll(&sample::document("2", 3, 2)).expect("rolled");
    assert_eq!(number, 2);
}

/// A member of a group dies: the group gets a spare, and callers see no error meanwhile.
#[test]
fn a_lost_member_is_replaced() {
    let fleet = fleet(&three_domains());
    let runtime = fleet.runtime().handle().clone();
    let victim = &fleet.engines[0];
    victim.engine.faults.set(FaultSet {
        dead: true,
        ..FaultSet::default()
    });
    for number in 0..20 {
        let prompt = format!("loss {number}");
        let asked = caller(&fleet, number % 3);
        let reply = runtime.block_on(asked.chat(&prompt, 6)).expect("answered");
        assert_eq!(text(&reply), whole(&prompt, 6));
    }
    fleet.wait_serving(3).expect("the group is whole again");
    assert_eq!(fleet.stop(), StopOutcome::Graceful);
}

/// Engines hang in the middle of streams: the streams go on elsewhere, long before the idle timeout.
#[test]
fn streams_leave_engines_that_hang() {
    let options = bergamot_local::LocalOptions {
        tune: |settings| settings.tuning.stream_idle = bergamot_types::Millis(600_000),
        ..three_domains()
    };
    let fleet = fleet(&options);
    let runtime = fleet.runtime().handle().clone();
    let streams: Vec<_> = (0..6)
        .map(|number| {
            let asked = caller(&fleet, number % 3);
            runtime.spawn(async move {
                let prompt = format!("hang {number}");
                let reply = asked.chat(&prompt, 300).await.expect("answered");
                text(&reply) == whole(&prompt, 300)
            })
        })
        .collect();
    fleet
        .wait_for("the streams to begin", |fleet| {
            let engines = fleet.engines.iter();
            engines.map(|e| e.engine.runs.list().len()).sum::<usize>() == 6
        })
        .expect("engines run them");
    for engine in &fleet.engines {
        if engine.fact.failure_domain.as_str() != "fd-3" {
            engine.engine.faults.set(FaultSet {
                hang: true,
                ..FaultSet::default()
            });
        }
    }
    for stream in streams {
        assert!(
            runtime.block_on(stream).expect("the caller ends"),
            "a whole answer"
        );
    }
    for engine in &fleet.engines {
        engine.engine.faults.set(FaultSet::default());
    }
}

/// A planned stop of an entry VM cuts no stream.
#[test]
fn a_planned_stop_cuts_nothing() {
    let mut fleet = fleet(&three_domains());
    let runtime = fleet.runtime().handle().clone();
    let asked = caller(&fleet, 0);
    let stream = runtime.spawn(async move {
        let path = "/v1/chat/completions";
        let sent = asked.send(hyper::Method::POST, path, &[], streamed("a long one", 300));
        sent.await.expect("there is an answer")
    });
    fleet
        .wait_for("the stream to begin", |fleet| {
            let engines = fleet.engines.iter();
            engines.map(|e| e.engine.runs.list().len()).sum::<usize>() > 0
        })
        .expect("an engine runs it");
    let daemon = fleet.entries[0].take().expect("the entry VM runs");
    assert_eq!(daemon.stop(|| false), StopOutcome::Graceful);
    let reply = runtime.block_on(stream).expect("the caller ends");
    let body = String::from_utf8_lossy(&reply.body);
    assert!(body.contains("-299 "), "the last token arrived");
    assert!(body.ends_with("data: [DONE]\n\n"), "the stream has its end");
}
