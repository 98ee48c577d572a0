//! A small fleet over real sockets, and callers.
#![allow(dead_code)]

use std::time::Duration;

use bergamot_local::ask::{LocalCaller, chat_body};
use bergamot_local::{LocalFleet, LocalOptions, sample};
use bergamot_platform::HttpReply;
use bergamot_standin::EngineOptions;
use bergamot_standin::fault::FaultSet;
use hyper::Method;

/// A fleet whose groups serve.
pub fn fleet(options: &LocalOptions) -> LocalFleet {
    bergamot_types::invariant::make_violations_fatal();
    let fleet = LocalFleet::start(options).expect("the fleet starts");
    let document = sample::document("1", options.replicas, options.vms_per_replica);
    fleet.roll(&document).expect("the bundle is rolled");
    fleet
        .wait_serving(options.replicas as usize)
        .expect("all groups serve");
    fleet
}

/// Three failure domains with one entry VM and one group each.
pub fn three_domains() -> LocalOptions {
    LocalOptions {
        failure_domains: 3,
        entries_per_domain: 1,
        engines_per_domain: 3,
        replicas: 3,
        vms_per_replica: 2,
        services: 3,
        engine: EngineOptions {
            token_time: Duration::from_millis(4),
            ..EngineOptions::default()
        },
        ..LocalOptions::default()
    }
}

/// A caller of one entry VM.
pub fn caller(fleet: &LocalFleet, entry: usize) -> LocalCaller {
    let daemon = fleet.entries[entry].as_ref().expect("the entry VM runs");
    LocalCaller::new(&daemon.caller_addr().to_string())
}

/// Asks for a confirmation with a key.
pub async fn confirm(caller: &LocalCaller, key: &str, body: &str) -> HttpReply {
    let headers = [("idempotency-key", key)];
    let path = "/services/ring/confirm";
    let sent = caller.send(Method::POST, path, &headers, body.to_owned());
    sent.await.expect("there is an answer")
}

/// The error code of a refusal.
pub fn code(reply: &HttpReply) -> String {
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    body["error"]["code"].as_str().unwrap_or("").to_owned()
}

/// The text of a chat answer.
pub fn text(reply: &HttpReply) -> String {
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let text = body["choices"][0]["message"]["content"].as_str();
    text.unwrap_or("").to_owned()
}

/// The whole answer to a prompt.
pub fn whole(prompt: &str, tokens: u64) -> String {
    bergamot_standin::generate::whole_text(prompt, tokens)
}

/// The body of a streamed chat.
pub fn streamed(prompt: &str, tokens: u64) -> String {
    chat_body(prompt, tokens, true)
}

/// How often each key ran, over all services.
pub fn runs_of(fleet: &LocalFleet, key: &str) -> usize {
    let services = fleet.services.iter();
    services
        .flat_map(|service| service.service.runs.list())
        .filter(|run| run.idempotency_key == key)
        .count()
}

/// Services take so many times as long as their 2 ms.
pub fn slow_services(fleet: &LocalFleet, slow_factor: u64) {
    for service in &fleet.services {
        service.service.faults.set(FaultSet {
            slow_factor,
            ..FaultSet::default()
        });
    }
}
