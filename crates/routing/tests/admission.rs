//! Behaviour under overload: goodput remains high, urgent requests go first, accounts take turns.

use std::collections::BTreeMap;

use bergamot_routing::admission::{AccountQuota, PoolOptions};
use bergamot_routing::{AdmissionOutcome, AdmissionQueue, AdmissionRequest};
use bergamot_types::prelude::*;

const SLOTS: usize = 10;
const SERVICE_TIME: Millis = Millis(100);
const DEADLINE: Millis = Millis(1_000);
const SECONDS: u64 = 30;

struct Load {
    account: &'static str,
    priority: u8,
    /// Requests per second.
    rate: u64,
}

/// Returns the number of requests answered in time, by account.
fn answered_in_time(loads: &[Load]) -> BTreeMap<&'static str, u64> {
    let mut queue = AdmissionQueue::new(PoolOptions {
        concurrency: SLOTS,
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
    let mut counts: BTreeMap<&'static str, u64> = BTreeMap::new();
    let mut next_ticket = 0;
    let start = |now: Millis, ticket, running: &mut Vec<(Millis, u64)>| {
        running.push((now + SERVICE_TIME, ticket));
    };
    for ms in 1..SECONDS * 1_000 {
        let now = Millis(ms);
        let (done, unfinished): (Vec<_>, Vec<_>) =
            running.iter().partition(|(ends_at, _)| *ends_at <= now);
        running = unfinished;
        for (_, ticket) in done {
            let (account, deadline) = tickets[&ticket];
            queue.release(&ClientAccount::new(account), SERVICE_TIME);
            if now <= deadline {
                *counts.entry(account).or_default() += 1;
            }
        }
        for load in loads {
            let is_due = (ms * load.rate) / 1_000 != ((ms - 1) * load.rate) / 1_000;
            if !is_due {
                continue;
            }
            next_ticket += 1;
            let deadline = now + DEADLINE;
            tickets.insert(next_ticket, (load.account, deadline));
            let request = AdmissionRequest {
                ticket: next_ticket,
                account: ClientAccount::new(load.account),
                priority: load.priority,
                deadline,
            };
            if queue.admit(now, request) == AdmissionOutcome::Admitted {
                start(now, next_ticket, &mut running);
            }
        }
        for decision in queue.poll(now) {
            if decision.refusal.is_none() {
                start(now, decision.ticket, &mut running);
            }
        }
    }
    counts
}

#[test]
fn overload_does_not_reduce_goodput() {
    // Ten slots with 100 ms per request handle 100 requests a second.
    let goodput_at = |rate| {
        let load = Load {
            account: "a",
            priority: 5,
            rate,
        };
        answered_in_time(&[load])["a"] as f64
    };
    let full_load_goodput = goodput_at(100);
    for rate in [200, 500] {
        let share = goodput_at(rate) / full_load_goodput;
        println!("goodput at {rate} requests/s: {share:.3} of the goodput at 100 requests/s");
        assert!(
            share > 0.9,
            "goodput at {rate} requests/s fell to {share} of the goodput at 100 requests/s"
        );
    }
}

#[test]
fn less_urgent_load_does_not_delay_urgent_requests() {
    let answered = answered_in_time(&[
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
    let sent = 50 * SECONDS;
    assert!(answered["urgent"] * 100 >= sent * 97, "{answered:?}");
}

#[test]
fn a_busy_account_does_not_starve_another() {
    let answered = answered_in_time(&[
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
    let sent = 30 * SECONDS;
    assert!(answered["small"] * 100 >= sent * 90, "{answered:?}");
}
