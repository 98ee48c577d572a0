//! Servers that process one request at a time answer streams.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Clients, Load};
use crate::record::Record;
use crate::server::EVENTS;
use crate::site::{Config, Plan, Site};

/// How long clients send requests.
const LENGTH: Duration = Duration::from_secs(8);

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let slots = match has_trouble {
        true => 1,
        false => 2,
    };
    let plan = Plan {
        zones: &["north", "south"],
        vms_per_zone: 1,
        servers_per_zone: 3,
        work: Duration::from_millis(10),
        slots,
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
            deadline_ms: 5_000,
            pause: Duration::from_millis(400),
            clients: 2,
        })
        .collect();
    let began = Instant::now();
    let clients = Clients::start(&loads);
    std::thread::sleep(LENGTH);
    let attempts = clients.finish();

    let mut record = Record::create(folder, began)?;
    record.line(&format!("servers process {slots} request(s) at a time; a stream has {EVENTS} events; nothing is disturbed"))?;
    let mut runs: HashMap<String, Vec<(Instant, String)>> = HashMap::new();
    for server in &site.servers {
        for run in server.runs() {
            let places = runs.entry(run.id).or_default();
            places.push((run.at, server.id().to_owned()));
        }
    }
    let (mut complete, mut cut_short, mut others) = (0, 0, 0);
    for attempt in &attempts {
        let places = runs.remove(&attempt.id).unwrap_or_default();
        let places: Vec<String> = places
            .iter()
            .map(|(at, server)| format!("{server} at {:.3} s", record.seconds(*at)))
            .collect();
        let outcome = match &attempt.answer {
            Some(answer) => {
                let body = String::from_utf8_lossy(&answer.body);
                let events = body.matches("data: ").count();
                let is_success = answer.status() == 200;
                match (is_success, events == EVENTS) {
                    (true, true) => complete += 1,
                    (true, false) => cut_short += 1,
                    (false, _) => others += 1,
                }
                let mark = if is_success && events < EVENTS {
                    "CUT SHORT: "
                } else {
                    ""
                };
                format!(
                    "{mark}{} that ends as complete, with {events} of {EVENTS} events, Response-Stamp {}",
                    answer.status(),
                    answer.header("response-stamp").unwrap_or("none")
                )
            }
            None => {
                others += 1;
                "no complete answer".to_owned()
            }
        };
        record.at(
            attempt.sent_at,
            &format!(
                "{} to {} runs at {}; {outcome}",
                attempt.id,
                attempt.vm,
                places.join(", ")
            ),
        )?;
    }
    record.result(&format!(
        "{} streams sent: {complete} whole, {others} with another outcome",
        attempts.len()
    ))?;
    record.result(&format!(
        "streams that ended as complete before their last event: {cut_short}"
    ))?;
    Ok(match cut_short {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
