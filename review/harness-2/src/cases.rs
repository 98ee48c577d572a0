//! The cases. Each returns whether the rule held; none if the case could not run.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Call, Clients};
use crate::engine::Fleet;
use crate::entry::{Entry, Place};
use crate::http::{Handler, serve};
use crate::judge::count_late;
use crate::proxy::Link;
use crate::record::{Record, millis};
use crate::site::{CONTACT, Departure, KEY, Site, config};
use crate::store::Store;

/// Of two machines with these names in one zone, the first gets the store's changes from the second.
const FOLLOWER: &str = "front-kecskemet-1";
const READER: &str = "front-kecskemet-2";

fn wait_until(limit: Duration, is_true: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_true() {
            return true;
        }
        thread::sleep(millis(50));
    }
    false
}

fn start_clients(clients: &Arc<Clients>, front: std::net::SocketAddr) {
    for number in 0..6 {
        let (method, path) = match number % 3 {
            0 => ("GET", "/read/lot"),
            _ => ("POST", "/bid/lot"),
        };
        let call = Call {
            method,
            path,
            key: KEY,
            pause: millis(20),
        };
        clients.start(front, call);
    }
}

fn place(name: &'static str, link: &Link) -> Place<'static> {
    Place {
        name,
        zone: "kecskemet",
        store: link.addr,
    }
}

/// A machine is cut off from the store, and a runner leaves without a report shortly before the cut
/// ends. Each round has a deployment of its own, in which the machine coordinates the groups and
/// another one of its zone reads the store for it.
pub fn left_while_cut(record: &Arc<Record>, folder: &str, has_trouble: bool) -> Option<bool> {
    const ROUNDS: usize = 5;
    let mut late = 0;
    for _ in 0..ROUNDS {
        late += leave_while_cut(record, folder, has_trouble)?;
    }
    Some(late == 0)
}

/// One round. Returns how many requests broke the rule.
fn leave_while_cut(record: &Arc<Record>, folder: &str, has_trouble: bool) -> Option<usize> {
    const CUT: Duration = Duration::from_millis(4_800);
    let site = Site::start(true).ok()?;
    let link = Link::start(site.store_addr).ok()?;
    let reader_link = Link::start(site.store_addr).ok()?;
    let mut cut_entry = Entry::start(folder, &place(FOLLOWER, &link)).ok()?;
    let leads = wait_until(millis(8_000), || {
        cut_entry.has_logged(&["event=coordinator_begins"])
    });
    let mut reader = Entry::start(folder, &place(READER, &reader_link)).ok()?;
    thread::sleep(millis(4_000));
    if !leads || !cut_entry.is_running() || !reader.is_running() {
        record.say("the machines did not start");
        return None;
    }
    let clients = Arc::new(Clients::default());
    start_clients(&clients, cut_entry.front);
    thread::sleep(millis(1_000));
    let began_at = Instant::now();
    if has_trouble {
        link.cut();
        record.note(&format!("{FOLLOWER} is cut off from the store"));
    }
    sleep_until(began_at + CUT - millis(300));
    let runner = site.next_leaver();
    let acked_at = runner.unregister();
    record.note(&format!("{} leaves without a report", runner.id));
    sleep_until(began_at + CUT);
    let mut in_touch_from = acked_at;
    if has_trouble {
        link.heal();
        in_touch_from = Instant::now() + CONTACT;
        record.note("the cut ends");
    }
    // It continues serving for `drainMs` and a little longer.
    sleep_until(acked_at + millis(4_500));
    runner.exit();
    record.note(&format!("{} exits", runner.id));
    clients.stop();
    thread::sleep(millis(500));
    if !cut_entry.is_running() || !reader.is_running() {
        record.say("a machine's process has ended");
    }
    let departure = Departure {
        acked_at,
        in_touch_from,
        runner,
    };
    Some(count_late(
        record,
        &clients,
        &site.all_runners(),
        &[departure],
    ))
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// The connection on which a machine watches the store goes silent, and a runner reports that it is
/// draining.
pub fn drained_while_silent(record: &Arc<Record>, folder: &str, has_trouble: bool) -> Option<bool> {
    const ROUNDS: usize = 8;
    let site = Site::start(false).ok()?;
    let link = Link::start(site.store_addr).ok()?;
    let mut entry = Entry::start(folder, &place(READER, &link)).ok()?;
    thread::sleep(millis(3_000));
    if !entry.is_running() {
        record.say("the machine did not start");
        return None;
    }
    let clients = Arc::new(Clients::default());
    start_clients(&clients, entry.front);
    let mut departures = Vec::new();
    for _ in 0..ROUNDS {
        thread::sleep(millis(4_500));
        // The machine watches again some time after each change.
        site.wait_after_heartbeat(millis(450));
        let mut in_touch_from = Instant::now();
        if has_trouble {
            let silenced = link.silence_watches();
            in_touch_from = Instant::now() + CONTACT;
            record.note(&format!(
                "{silenced} open connections to the store go silent"
            ));
            if silenced == 0 {
                record.say("no watch was open");
            }
        }
        thread::sleep(millis(700));
        let runner = site.next_leaver();
        let acked_at = runner.drain(site.sequence());
        record.note(&format!("{} reports that it is draining", runner.id));
        sleep_until(acked_at + millis(3_500));
        runner.exit();
        record.note(&format!("{} exits", runner.id));
        site.add_runner().ok()?;
        departures.push(Departure {
            acked_at,
            in_touch_from,
            runner,
        });
    }
    clients.stop();
    thread::sleep(millis(1_000));
    let late = count_late(record, &clients, &site.all_runners(), &departures);
    Some(late == 0)
}

/// Runners of a group are partitioned from the store, one of its other members crashes and starts
/// again under its id, and the machine that coordinates the groups is stopped (planned).
pub fn member_of_two(record: &Arc<Record>, folder: &str, has_trouble: bool) -> Option<bool> {
    const ROUNDS: usize = 4;
    let mut broken = 0;
    for _ in 0..ROUNDS {
        broken += join_two(record, folder, has_trouble)?;
    }
    Some(broken == 0)
}

/// One round, with a deployment of its own. Returns how often the rule was broken.
fn join_two(record: &Arc<Record>, folder: &str, has_trouble: bool) -> Option<usize> {
    /// Two groups of three, and two that are left over.
    const RUNNERS: usize = 8;
    let store = Store::start();
    let served = Arc::clone(&store);
    let handler: Handler = Arc::new(move |request| Some(served.answer(&request)));
    let link = Link::start(serve(handler).ok()?).ok()?;
    store.put("op/config", &config(true));
    let fleet = Fleet::start(&store, record, RUNNERS).ok()?;
    let mut machines = Vec::new();
    for name in [FOLLOWER, READER] {
        machines.push(Entry::start(folder, &place(name, &link)).ok()?);
    }
    if !wait_until(millis(12_000), || fleet.open_groups() == 2) {
        record.say("the groups were not formed");
        return None;
    }
    thread::sleep(millis(2_500));
    let group = fleet.open_group()?;
    let [head, member, other] = group.as_slice() else {
        return None;
    };
    if has_trouble {
        for engine in [head, other] {
            fleet.cut_from_store(engine, true);
        }
        thread::sleep(millis(5_000));
        fleet.crash(member);
    }
    thread::sleep(millis(300));
    let leads = |machine: &&Entry| machine.has_logged(&["event=coordinator_begins"]);
    let coordinator = machines.iter().find(leads)?;
    coordinator.terminate();
    record.note("the machine that coordinates the groups gets SIGTERM");
    thread::sleep(millis(2_700));
    if has_trouble {
        for engine in [head, other] {
            fleet.cut_from_store(engine, false);
        }
    }
    thread::sleep(millis(2_000));
    for machine in &mut machines {
        machine.kill();
    }
    let broken = fleet.broken();
    record.say(&format!(
        "joins while the head of the runner's group was open: {broken}"
    ));
    Some(broken)
}
