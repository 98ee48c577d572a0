//! Checks that a claimed key runs at most once across all retries of its caller. Runs several
//! instances of the real claims with delayed, lost and duplicated messages, lost owners, restarts,
//! partitions, and paused VMs that resume with outdated state.

mod actions;
mod calls;
#[path = "../support/mod.rs"]
mod support;
mod system_faults;

use bergamot_claims::{
    ClaimAction, ClaimEvent, ClaimKey, ClaimOptions, ClaimRequest, ClaimState, Claimant,
    FinishOutcome, StoredAnswer, Verdict,
};
use bergamot_roster::{Member, RosterRecord};
use bergamot_types::mutate::Mutation;
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use support::{EventQueue, NetworkOptions, expect_caught, random, seeds};

const DAEMON_COUNT: usize = 6;
const KEY_COUNT: u128 = 12;
const MAX_MESSAGES: usize = 4_000;
const GRANT: Millis = Millis(3_000);

#[derive(Clone)]
enum Message {
    /// An event for one incarnation of a daemon.
    Event(usize, u64, ClaimEvent),
    /// A request from the first daemon to an incarnation of the second, which sends an answer.
    Request(usize, usize, u64, RequestPayload),
    /// The verdict on an attempt.
    Verdict(usize, u64, ClaimKey, Claimant, Verdict),
    Tick(usize, u64),
    /// The request of a granted claim ends.
    RequestEnds(usize, u64, ClaimKey, Claimant),
    CallerRequest,
    /// A fault is injected.
    Fault,
    /// The platform detects that an incarnation of a daemon crashed.
    CrashDetected(usize, u64),
    Roster(usize),
}

#[derive(Clone)]
enum RequestPayload {
    Claim(ClaimRequest),
    Event(ClaimEvent),
}

struct Daemon {
    state: ClaimState,
    incarnation: u64,
    is_up: bool,
    paused_until: Millis,
    next_attempt: u64,
    /// Recipients of answers, by the call id of the request. Also marks finished attempts:
    /// attempt `n` has the key `u64::MAX - n`.
    reply_targets: IndexMap<u64, ReplyTarget>,
    next_call_id: u64,
}

#[derive(Clone)]
enum ReplyTarget {
    Verdict(usize, u64, ClaimKey, Claimant),
    Copy(usize, u64, u64),
    Replica(usize, u64, u64, Vec<u16>),
    Collect(usize, u64, u64, Vec<u16>),
}

struct Simulation {
    now: Millis,
    random: ChaCha8Rng,
    queue: EventQueue<Message>,
    network: NetworkOptions,
    daemons: Vec<Daemon>,
    roster: RosterRecord,
    settled_epochs: IndexMap<(usize, u64), u64>,
    /// The failure domain that cannot reach the others.
    partitioned_domain: Option<usize>,
    /// How often the request of each key started to run.
    run_counts: IndexMap<ClaimKey, u32>,
    granted_count: u32,
    replayed_count: u32,
    unavailable_count: u32,
    failure: Option<String>,
    /// Whether every event is printed, as requested by `BERGAMOT_TRACE`.
    is_traced: bool,
}

fn entry(daemon: usize) -> EntryId {
    EntryId::from(format!("entry-{daemon}"))
}

fn member(daemon: usize, incarnation: u64) -> Member {
    Member {
        entry: entry(daemon),
        vm: VmId::from(format!("vm-{daemon}")),
        incarnation,
        failure_domain: FailureDomain::from(format!("fd-{}", daemon % 3)),
        peer_addr: ([127, 0, 0, 1], 1).into(),
        since: 0,
    }
}

fn options() -> ClaimOptions {
    ClaimOptions {
        retention: Millis(60_000),
        copy_timeout: Millis(300),
        collect_retry: Millis(400),
        max_claims: 10_000,
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut roster = RosterRecord::default();
        for daemon in 0..DAEMON_COUNT {
            roster = roster.with_member(member(daemon, 1));
        }
        roster.settled = roster.epoch;
        let daemons = (0..DAEMON_COUNT)
            .map(|daemon| Daemon {
                state: ClaimState::new(entry(daemon), options()),
                incarnation: 1,
                is_up: true,
                paused_until: Millis::ZERO,
                next_attempt: 1,
                reply_targets: IndexMap::new(),
                next_call_id: 1,
            })
            .collect();
        let mut simulation = Self {
            now: Millis(1_000),
            random: random(seed),
            queue: EventQueue::new(),
            network: NetworkOptions {
                loss_probability: 0.05,
                duplicate_probability: 0.05,
                max_delay_ms: 120,
            },
            daemons,
            roster,
            settled_epochs: IndexMap::new(),
            partitioned_domain: None,
            run_counts: IndexMap::new(),
            granted_count: 0,
            replayed_count: 0,
            unavailable_count: 0,
            failure: None,
            is_traced: std::env::var_os("BERGAMOT_TRACE").is_some(),
        };
        for daemon in 0..DAEMON_COUNT {
            simulation
                .queue
                .schedule(Millis(1_000), Message::Roster(daemon));
            simulation
                .queue
                .schedule(Millis(1_001), Message::Tick(daemon, 1));
        }
        simulation
            .queue
            .schedule(Millis(1_500), Message::CallerRequest);
        simulation.queue.schedule(Millis(3_000), Message::Fault);
        simulation
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let is_cut_off = |daemon: usize| self.partitioned_domain == Some(daemon % 3);
        is_cut_off(a) != is_cut_off(b)
    }

    fn daemon_of(&self, entry: &EntryId) -> usize {
        let number = entry.as_str().trim_start_matches("entry-");
        number.parse().expect("entry ids end with a number")
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from != to && self.is_partitioned(from, to) {
            return;
        }
        let network = match from == to {
            true => NetworkOptions {
                loss_probability: 0.0,
                duplicate_probability: 0.0,
                max_delay_ms: 1,
            },
            false => self.network,
        };
        self.queue
            .send(self.now, &mut self.random, network, message);
    }

    fn run(mut self) -> Result<(u32, u32, u32), String> {
        for _ in 0..MAX_MESSAGES {
            let Some((due_at, message)) = self.queue.pop_next() else {
                break;
            };
            self.now = self.now.max(due_at);
            self.handle_message(message);
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
        }
        Ok((
            self.granted_count,
            self.replayed_count,
            self.unavailable_count,
        ))
    }

    fn is_live(&self, daemon: usize, incarnation: u64) -> bool {
        self.daemons[daemon].is_up && self.daemons[daemon].incarnation == incarnation
    }

    fn handle_message(&mut self, message: Message) {
        if let Some(daemon) = self.paused_recipient(&message) {
            let paused_until = self.daemons[daemon].paused_until;
            self.queue.schedule(paused_until, message);
            return;
        }
        match message {
            Message::Event(daemon, incarnation, event) => {
                if self.is_live(daemon, incarnation) {
                    self.handle_event(daemon, event);
                }
            }
            Message::Request(from, to, incarnation, payload) => {
                self.handle_request(from, to, incarnation, payload);
            }
            Message::Verdict(daemon, incarnation, key, claimant, verdict) => {
                self.handle_verdict(daemon, incarnation, key, claimant, &verdict);
            }
            Message::Tick(daemon, incarnation) => {
                if self.is_live(daemon, incarnation) {
                    self.handle_event(daemon, ClaimEvent::Tick);
                    self.queue
                        .schedule(self.now + Millis(100), Message::Tick(daemon, incarnation));
                }
            }
            Message::RequestEnds(daemon, incarnation, key, claimant) => {
                if self.is_live(daemon, incarnation) {
                    let answer = Arc::new(StoredAnswer {
                        status: 200,
                        content_type: String::new(),
                        body: None,
                    });
                    self.finish(daemon, key, claimant, FinishOutcome::Answered(answer));
                }
            }
            Message::CallerRequest => self.call(),
            Message::Fault => self.inject_fault(),
            Message::CrashDetected(daemon, incarnation) => self.restart(daemon, incarnation),
            Message::Roster(daemon) => {
                let event = ClaimEvent::Roster(self.roster.clone());
                if self.daemons[daemon].is_up {
                    self.handle_event(daemon, event);
                }
            }
        }
    }

    /// Returns the daemon that would handle the message, if it is paused.
    fn paused_recipient(&self, message: &Message) -> Option<usize> {
        let daemon = match message {
            Message::Event(daemon, ..)
            | Message::Tick(daemon, _)
            | Message::Verdict(daemon, ..)
            | Message::RequestEnds(daemon, ..)
            | Message::Roster(daemon)
            | Message::Request(_, daemon, ..) => *daemon,
            Message::CallerRequest | Message::Fault | Message::CrashDetected(..) => return None,
        };
        (self.daemons[daemon].paused_until > self.now).then_some(daemon)
    }
}

fn run(seed: u64) -> Result<(), String> {
    Simulation::new(seed).run().map(|_| ())
}

#[test]
fn a_key_runs_at_most_once() {
    let mut totals = (0, 0, 0);
    let seeds = seeds(60);
    let seed_count = seeds.end - seeds.start;
    for seed in seeds {
        let (granted, replayed, unavailable) = Simulation::new(seed)
            .run()
            .unwrap_or_else(|failure| panic!("seed {seed}: {failure}"));
        totals = (
            totals.0 + granted,
            totals.1 + replayed,
            totals.2 + unavailable,
        );
    }
    println!(
        "granted={} kept={} unavailable={}",
        totals.0, totals.1, totals.2
    );
    assert!(
        totals.0 > 10 * seed_count as u32 / 4,
        "too few claims were granted: {totals:?}"
    );
    assert!(totals.1 > 0, "no answer was replayed: {totals:?}");
}

#[test]
fn a_grant_without_a_copy_is_caught() {
    expect_caught(Mutation::GrantWithoutReplica, 200, "ran 2 times", run);
}
