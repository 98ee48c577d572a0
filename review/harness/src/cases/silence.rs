//! A VM is told to stop while streams are in flight whose servers say nothing for a second.

use std::collections::{HashMap, HashSet};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Clients, Load};
use crate::record::Record;
use crate::server::EVENTS;
use crate::site::{Config, Plan, Site};

/// `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// How long a server says nothing in the middle of a stream. Clients wait for two seconds at least.
const SILENCE: Duration = Duration::from_millis(1_000);
/// The same without trouble.
const USUAL_PAUSE: Duration = Duration::from_millis(50);
/// When the VM is told to stop, after the clients have begun.
const STOPS_AFTER: Duration = Duration::from_secs(6);

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        zones: &["north", "south"],
        vms_per_zone: 2,
        servers_per_zone: 3,
        work: Duration::from_millis(20),
        slots: 6,
        pause: match has_trouble {
            true => SILENCE,
            false => USUAL_PAUSE,
        },
        config: Config {
            version: 1,
            keys: vec!["key-house-1".to_owned()],
            idle_routes: 5,
        },
    };
    let Some(mut site) = Site::start(root, plan)? else {
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
            pause: Duration::from_millis(300),
            clients: 4,
        })
        .collect();
    let began = Instant::now();
    let clients = Clients::start(&loads);
    std::thread::sleep(STOPS_AFTER);
    let stopping = site.vms[0].name.clone();
    let stopped_at = Instant::now();
    site.vms[0].terminate();
    let has_ended = site.vms[0].wait_end(GRACE)?;
    let ended_at = Instant::now();
    std::thread::sleep(Duration::from_secs(1));
    let attempts = clients.finish();

    let mut record = Record::create(folder, began)?;
    record.line(&format!(
        "servers say nothing for a second in the middle of a stream: {has_trouble}"
    ))?;
    record.at(stopped_at, &format!("SIGTERM to {stopping}"))?;
    record.at(
        ended_at,
        &format!("{stopping} has ended by itself: {has_ended}"),
    )?;
    let runs: HashMap<String, (Instant, String)> = site
        .servers
        .iter()
        .flat_map(|server| {
            let runs = server.runs().into_iter();
            runs.map(|run| (run.id, (run.at, server.id().to_owned())))
        })
        .collect();
    let closed: HashSet<String> = site
        .servers
        .iter()
        .flat_map(|server| server.closed_on())
        .map(|(id, _)| id)
        .collect();
    let mut lost = 0;
    let mut lost_otherwise = 0;
    let mut in_flight = 0;
    for attempt in &attempts {
        let took = attempt.ended_at - attempt.sent_at;
        let Some((ran_at, server)) = runs.get(&attempt.id) else {
            let status = attempt.answer.as_ref().map_or(0, |answer| answer.status());
            if attempt.vm != stopping || attempt.sent_at < stopped_at {
                record.at(
                    attempt.sent_at,
                    &format!(
                        "{} to {} did not run, answered {status}",
                        attempt.id, attempt.vm
                    ),
                )?;
            }
            continue;
        };
        // The last sixth of the grace period is excused.
        let is_around_stop = attempt.vm == stopping
            && attempt.ended_at >= stopped_at
            && attempt.ended_at < stopped_at + GRACE * 5 / 6;
        in_flight += usize::from(is_around_stop);
        let text = |message: &crate::http::Message| {
            let body = String::from_utf8_lossy(&message.body);
            format!(
                "{} with {} of {EVENTS} events",
                message.status(),
                body.matches("id: ").count()
            )
        };
        let outcome = match (&attempt.answer, &attempt.partial) {
            (Some(answer), _) => format!("complete {}", text(answer)),
            (None, Some(partial)) => format!("BROKEN OFF: {}", text(partial)),
            (None, None) => "BROKEN OFF: nothing".to_owned(),
        };
        let by_system = match closed.contains(&attempt.id) {
            true => ", the system closed its connection while the server was at work",
            false => "",
        };
        let is_lost = attempt.answer.is_none() && closed.contains(&attempt.id);
        let mark = match (is_lost, is_around_stop) {
            (true, true) => {
                lost += 1;
                "LOST, "
            }
            (true, false) => {
                lost_otherwise += 1;
                ""
            }
            _ => "",
        };
        record.at(attempt.sent_at, &format!("{mark}{} to {} runs at {server} from {:.3} s; {outcome} after {took:.3?}{by_system}", attempt.id, attempt.vm, record.seconds(*ran_at)))?;
    }
    record.result(&format!("{} streams sent; {in_flight} were in flight at the VM that was told to stop, or came later", attempts.len()))?;
    record.result(&format!("of these, ended without a complete answer while their server was at work, before deadline and time-out: {lost}"))?;
    record.result(&format!(
        "the same at other times and VMs, which the rule does not count: {lost_otherwise}"
    ))?;
    Ok(match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
