//! Faulty servers spoil some answers: a wrong byte in the head of a stream hides the signature.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Clients, Load};
use crate::record::Record;
use crate::site::{Config, Plan, Site};

/// How long clients send requests.
const LENGTH: Duration = Duration::from_secs(15);
/// Half of the servers spoil one in twenty answers: 0.05 of them.
const SPOILS_ONE_IN: u64 = 20;

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        zones: &["north", "south"],
        vms_per_zone: 1,
        servers_per_zone: 2,
        work: Duration::from_millis(10),
        spoils_one_in: has_trouble.then_some(SPOILS_ONE_IN),
        pause: Duration::from_millis(50),
        config: Config {
            version: 1,
            keys: vec!["key-house-1".to_owned()],
            idle_routes: 5,
        },
    };
    let Some(site) = Site::start(root, plan)? else {
        return Ok(Verdict::NotRun("a VM is not ready after 10 s".to_owned()));
    };
    let loads: Vec<Load> = site
        .vms
        .iter()
        .map(|vm| Load {
            vm: vm.name.clone(),
            front: vm.front(),
            method: "POST",
            path: "/stream/lot",
            key: "key-house-1".to_owned(),
            deadline_ms: 1_500,
            pause: Duration::from_millis(200),
            clients: 4,
        })
        .collect();
    let began = Instant::now();
    let clients = Clients::start(&loads);
    std::thread::sleep(LENGTH);
    let attempts = clients.finish();
    let mut record = Record::create(folder, began)?;
    let spoiled: usize = site
        .servers
        .iter()
        .map(|server| server.spoiled().len())
        .sum();
    record.line(&format!("half of the servers spoil 0.05 of their answers: {has_trouble}; {spoiled} answers were spoiled"))?;
    let mut unsigned = 0;
    let mut signed = 0;
    for attempt in &attempts {
        let Some(answer) = &attempt.answer else {
            record.at(
                attempt.sent_at,
                &format!("request {} has no complete answer", attempt.id),
            )?;
            continue;
        };
        let stamp = answer.header("response-stamp");
        let is_success = (200..300).contains(&answer.status());
        match (is_success, stamp) {
            (true, None) => unsigned += 1,
            (true, Some(_)) => signed += 1,
            _ => {}
        }
        let body = String::from_utf8_lossy(&answer.body).replace('\n', "|");
        record.at(
            attempt.sent_at,
            &format!(
                "request {} to {} gets {}, Response-Stamp {}, body {body}",
                attempt.id,
                attempt.vm,
                answer.status(),
                stamp.unwrap_or("NONE")
            ),
        )?;
    }
    record.result(&format!(
        "{} requests sent, {signed} successes with a signature",
        attempts.len()
    ))?;
    record.result(&format!(
        "complete successes (2xx) without a Response-Stamp: {unsigned}"
    ))?;
    Ok(match unsigned {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
