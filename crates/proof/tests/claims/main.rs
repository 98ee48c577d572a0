//! At most once over all repeats of a caller: several instances of the real claims with delays,
//! losses, doubled messages, lost owners, restarts, partitions and zombies.

mod actions;
mod calls;
#[path = "../support/mod.rs"]
mod support;
mod trouble;

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
use support::{Weather, Wire, expect_caught, random, seeds};

const NODES: usize = 6;
const KEYS: u128 = 12;
const STEPS: usize = 4_000;
const GRANT: Millis = Millis(3_000);

#[derive(Clone)]
enum Message {
    /// An event for one incarnation of a node.
    Event(usize, u64, ClaimEvent),
    /// A question of `from`, whose answer goes back.
    Ask(usize, usize, u64, Asked),
    /// Verdict for an attempt.
    Verdict(usize, u64, ClaimKey, Claimant, Verdict),
    Tick(usize, u64),
    /// The request of a granted claim ends.
    RunEnds(usize, u64, ClaimKey, Claimant),
    Caller,
    Chaos,
    /// The platform notices that a node's old run is gone.
    Noticed(usize, u64),
    Roster(usize),
}

#[derive(Clone)]
enum Asked {
    Claim(ClaimRequest),
    Event(ClaimEvent),
}

struct Node {
    state: ClaimState,
    incarnation: u64,
    is_up: bool,
    paused_until: Millis,
    next_attempt: u64,
    /// Who waits for the answer to which question.
    replies: IndexMap<u64, Reply>,
    next_ask: u64,
}

#[derive(Clone)]
enum Reply {
    Verdict(usize, u64, ClaimKey, Claimant),
    Copy(usize, u64, u64),
    Replica(usize, u64, u64, Vec<u16>),
    Collect(usize, u64, u64, Vec<u16>),
}

struct World {
    now: Millis,
    random: ChaCha8Rng,
    wire: Wire<Message>,
    weather: Weather,
    nodes: Vec<Node>,
    roster: RosterRecord,
    settled: IndexMap<(usize, u64), u64>,
    cut: Option<usize>,
    /// Executions begun of each key.
    started: IndexMap<ClaimKey, u32>,
    granted: u32,
    kept: u32,
    unavailable: u32,
    failure: Option<String>,
    /// Whether every event is printed; `BERGAMOT_TRACE` asks for it.
    is_traced: bool,
}

fn entry(node: usize) -> EntryId {
    EntryId::from(format!("entry-{node}"))
}

fn member(node: usize, incarnation: u64) -> Member {
    Member {
        entry: entry(node),
        vm: VmId::from(format!("vm-{node}")),
        incarnation,
        failure_domain: FailureDomain::from(format!("fd-{}", node % 3)),
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

impl World {
    fn new(seed: u64) -> Self {
        let mut roster = RosterRecord::default();
        for node in 0..NODES {
            roster = roster.with_member(member(node, 1));
        }
        roster.settled = roster.epoch;
        let nodes = (0..NODES)
            .map(|node| Node {
                state: ClaimState::new(entry(node), options()),
                incarnation: 1,
                is_up: true,
                paused_until: Millis::ZERO,
                next_attempt: 1,
                replies: IndexMap::new(),
                next_ask: 1,
            })
            .collect();
        let mut world = Self {
            now: Millis(1_000),
            random: random(seed),
            wire: Wire::new(),
            weather: Weather {
                loss: 0.05,
                double: 0.05,
                most_delay: 120,
            },
            nodes,
            roster,
            settled: IndexMap::new(),
            cut: None,
            started: IndexMap::new(),
            granted: 0,
            kept: 0,
            unavailable: 0,
            failure: None,
            is_traced: std::env::var_os("BERGAMOT_TRACE").is_some(),
        };
        for node in 0..NODES {
            world.wire.at(Millis(1_000), Message::Roster(node));
            world.wire.at(Millis(1_001), Message::Tick(node, 1));
        }
        world.wire.at(Millis(1_500), Message::Caller);
        world.wire.at(Millis(3_000), Message::Chaos);
        world
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let side = |node: usize| self.cut == Some(node % 3);
        side(a) != side(b)
    }

    fn node_of(&self, entry: &EntryId) -> usize {
        let name = entry.as_str().trim_start_matches("entry-");
        name.parse().expect("nodes are numbered")
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if from != to && self.is_cut(from, to) {
            return;
        }
        let weather = match from == to {
            true => Weather {
                loss: 0.0,
                double: 0.0,
                most_delay: 1,
            },
            false => self.weather,
        };
        self.wire.send(self.now, &mut self.random, weather, message);
    }

    fn run(mut self) -> Result<(u32, u32, u32), String> {
        for _ in 0..STEPS {
            let Some((when, message)) = self.wire.next() else {
                break;
            };
            self.now = self.now.max(when);
            self.step(message);
            if let Some(failure) = self.failure.take() {
                return Err(failure);
            }
        }
        Ok((self.granted, self.kept, self.unavailable))
    }

    fn is_live(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].is_up && self.nodes[node].incarnation == incarnation
    }

    fn step(&mut self, message: Message) {
        if let Some(node) = self.paused(&message) {
            let until = self.nodes[node].paused_until;
            self.wire.at(until, message);
            return;
        }
        match message {
            Message::Event(node, incarnation, event) => {
                if self.is_live(node, incarnation) {
                    self.feed(node, event);
                }
            }
            Message::Ask(from, to, incarnation, asked) => {
                self.take_ask(from, to, incarnation, asked);
            }
            Message::Verdict(node, incarnation, key, claimant, verdict) => {
                self.take_verdict(node, incarnation, key, claimant, &verdict);
            }
            Message::Tick(node, incarnation) => {
                if self.is_live(node, incarnation) {
                    self.feed(node, ClaimEvent::Tick);
                    self.wire
                        .at(self.now + Millis(100), Message::Tick(node, incarnation));
                }
            }
            Message::RunEnds(node, incarnation, key, claimant) => {
                if self.is_live(node, incarnation) {
                    let answer = Arc::new(StoredAnswer {
                        status: 200,
                        content_type: String::new(),
                        body: None,
                    });
                    self.finish(node, key, claimant, FinishOutcome::Answered(answer));
                }
            }
            Message::Caller => self.call(),
            Message::Chaos => self.chaos(),
            Message::Noticed(node, incarnation) => self.notice(node, incarnation),
            Message::Roster(node) => {
                let event = ClaimEvent::Roster(self.roster.clone());
                if self.nodes[node].is_up {
                    self.feed(node, event);
                }
            }
        }
    }

    fn paused(&self, message: &Message) -> Option<usize> {
        let node = match message {
            Message::Event(node, ..)
            | Message::Tick(node, _)
            | Message::Verdict(node, ..)
            | Message::RunEnds(node, ..)
            | Message::Roster(node)
            | Message::Ask(_, node, ..) => *node,
            Message::Caller | Message::Chaos | Message::Noticed(..) => return None,
        };
        (self.nodes[node].paused_until > self.now).then_some(node)
    }
}

fn run(seed: u64) -> Result<(), String> {
    World::new(seed).run().map(|_| ())
}

#[test]
fn a_key_runs_at_most_once() {
    let mut totals = (0, 0, 0);
    let seeds = seeds(60);
    let count = seeds.end - seeds.start;
    for seed in seeds {
        let (granted, kept, unavailable) = World::new(seed)
            .run()
            .unwrap_or_else(|failure| panic!("seed {seed}: {failure}"));
        totals = (totals.0 + granted, totals.1 + kept, totals.2 + unavailable);
    }
    println!(
        "granted={} kept={} unavailable={}",
        totals.0, totals.1, totals.2
    );
    assert!(
        totals.0 > 10 * count as u32 / 4,
        "too little was granted: {totals:?}"
    );
    assert!(totals.1 > 0, "no answer was replayed: {totals:?}");
}

#[test]
fn a_grant_without_a_copy_is_caught() {
    expect_caught(Mutation::GrantWithoutReplica, 200, "ran 2 times", run);
}
