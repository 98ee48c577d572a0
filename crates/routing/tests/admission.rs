//! Overload: goodput stays, the urgent go first, accounts take turns.

use std::collections::BTreeMap;

use bergamot_routing::admission::{AccountQuota, PoolOptions};
use bergamot_routing::{AdmissionOutcome, AdmissionQueue, AdmissionRequest};
use bergamot_types::prelude::*;

const PLACES: usize = 10;
const SERVICE: Millis = Millis(100);
const DEADLINE: Millis = Millis(1_000);
const SECONDS: u64 = 30;

struct Load {
    account: &'static str,
    priority: u8,
    /// Requests per second.
    rate: u64,
}

/// Answered in time, by account.
fn run(loads: &[Load]) -> BTreeMap<&'static str, u64> {
    let mut queue = AdmissionQueue::new(PoolOptions {
        concurrency: PLACES,
        queue: 200,
    });
    for load in loads {
        let quota = AccountQuota {
            rate: 1e6,
            concurrency: 1e6,
        };
        queue.set_quota(Millis(0), &ClientAccount::new(load.account), quota);
    }
    let mut tickets: BTreeMap<u64, (&'static str, Millis)> = BTreeMap::new();
    let mut running: Vec<(Millis, u64)> = Vec::new();
    let mut good: BTreeMap<&'static str, u64> = BTreeMap::new();
    let mut next = 0;
    let start = |now: Millis, ticket, running: &mut Vec<(Millis, u64)>| {
        running.push((now + SERVICE, ticket));
    };
    for ms in 1..SECONDS * 1_000 {
        let now = Millis(ms);
        let (done, still): (Vec<_>, Vec<_>) = running.iter().partition(|(end, _)| *end <= now);
        running = still;
        for (_, ticket) in done {
            let (account, deadline) = tickets[&ticket];
            queue.release(&ClientAccount::new(account), SERVICE);
            if now <= deadline {
                *good.entry(account).or_default() += 1;
            }
        }
        for load in loads {
            let is_due = (ms * load.rate) / 1_000 != ((ms - 1) * load.rate) / 1_000;
            if !is_due {
                continue;
            }
            next += 1;
            let deadline = now + DEADLINE;
            tickets.insert(next, (load.account, deadline));
            let request = AdmissionRequest {
                ticket: next,
                account: ClientAccount::new(load.account),
                priority: load.priority,
                deadline,
            };
            if queue.ask(now, request) == AdmissionOutcome::Admitted {
                start(now, next, &mut running);
            }
        }
        for decided in queue.poll(now) {
            if decided.refusal.is_none() {
                start(now, decided.ticket, &mut running);
            }
        }
    }
    good
}

#[test]
fn goodput_stays_under_overload() {
    // Ten places of 100 ms carry 100 requests a second.
    let at = |rate| {
        let load = Load {
            account: "a",
            priority: 5,
            rate,
        };
        run(&[load])["a"] as f64
    };
    let once = at(100);
    for rate in [200, 500] {
        let share = at(rate) / once;
        println!("goodput at {rate} a second: {share:.3} of that at 100");
        assert!(share > 0.9, "goodput at {rate} fell to {share}");
    }
}

#[test]
fn the_urgent_go_first() {
    let good = run(&[
        Load {
            account: "urgent",
            priority: 0,
            rate: 50,
        },
        Load {
            account: "batch",
            priority: 9,
            rate: 500,
        },
    ]);
    let wanted = 50 * SECONDS;
    assert!(good["urgent"] * 100 >= wanted * 97, "{good:?}");
}

#[test]
fn no_account_starves_another() {
    let good = run(&[
        Load {
            account: "large",
            priority: 5,
            rate: 500,
        },
        Load {
            account: "small",
            priority: 5,
            rate: 30,
        },
    ]);
    let wanted = 30 * SECONDS;
    assert!(good["small"] * 100 >= wanted * 90, "{good:?}");
}
