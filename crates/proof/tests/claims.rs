//! At most once over all repeats of a caller: several instances of the real claims with delays,
//! losses, doubled messages, lost owners, restarts, partitions and zombies.

mod support;

use bergamot_claims::{
    ClaimAction, ClaimAsk, ClaimAsker, ClaimEvent, ClaimKey, ClaimOptions, ClaimState,
    FinishOutcome, KeptAnswer, Verdict,
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
    Verdict(usize, u64, ClaimKey, ClaimAsker, Verdict),
    Tick(usize, u64),
    /// The request of a granted claim ends.
    RunEnds(usize, u64, ClaimKey, ClaimAsker),
    Caller,
    Chaos,
    /// The platform notices that a node's old run is gone.
    Noticed(usize, u64),
    Roster(usize),
}

#[derive(Clone)]
enum Asked {
    Claim(ClaimAsk),
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
    Verdict(usize, u64, ClaimKey, ClaimAsker),
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
        keep: Millis(60_000),
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
            Message::Verdict(node, incarnation, key, asker, verdict) => {
                self.take_verdict(node, incarnation, key, asker, &verdict);
            }
            Message::Tick(node, incarnation) => {
                if self.is_live(node, incarnation) {
                    self.feed(node, ClaimEvent::Tick);
                    self.wire
                        .at(self.now + Millis(100), Message::Tick(node, incarnation));
                }
            }
            Message::RunEnds(node, incarnation, key, asker) => {
                if self.is_live(node, incarnation) {
                    let answer = Arc::new(KeptAnswer {
                        status: 200,
                        content_type: String::new(),
                        body: None,
                    });
                    self.finish(node, key, asker, FinishOutcome::Answered(answer));
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

    /// A caller sends one of a few keys to any entry VM, also while earlier repeats are out.
    fn call(&mut self) {
        let wait = self.random.random_range(20..200);
        self.wire.at(self.now + Millis(wait), Message::Caller);
        let node = self.random.random_range(0..NODES);
        if !self.nodes[node].is_up || self.nodes[node].paused_until > self.now {
            return;
        }
        // Keys retire after a while, well within the time that answers are kept.
        let generation = u128::from(self.now.0 / 20_000) * KEYS;
        let number = generation + self.random.random_range(0..KEYS);
        let key = ClaimKey::of(&ClientAccount::new("a"), &number.to_string());
        let Some((owner, epoch)) = self.nodes[node].state.owner(key) else {
            return;
        };
        let owner = self.node_of(&owner.clone());
        let incarnation = self.nodes[node].incarnation;
        let attempt = self.nodes[node].next_attempt;
        self.nodes[node].next_attempt += 1;
        let asker = ClaimAsker {
            entry: entry(node),
            incarnation,
            attempt,
        };
        let question = ClaimAsk {
            ask: 0,
            key,
            body: 7,
            asker: asker.clone(),
            epoch,
            grant: GRANT,
        };
        let target = self.nodes[owner].incarnation;
        let message = Message::Ask(node, owner, target, Asked::Claim(question));
        self.send(node, owner, message);
        // The asker gives up after a while: nothing runs, and the owner is told so.
        let late = Message::Verdict(node, incarnation, key, asker, Verdict::Unavailable);
        self.wire.at(self.now + Millis(700), late);
    }

    fn take_ask(&mut self, from: usize, to: usize, incarnation: u64, asked: Asked) {
        if !self.is_live(to, incarnation) {
            return;
        }
        let node = &mut self.nodes[to];
        let ask = node.next_ask;
        node.next_ask += 1;
        let event = match asked {
            Asked::Claim(question) => {
                let asker = question.asker.clone();
                let reply = Reply::Verdict(from, asker.incarnation, question.key, asker);
                node.replies.insert(ask, reply);
                ClaimEvent::Ask(ClaimAsk { ask, ..question })
            }
            Asked::Event(event) => event,
        };
        self.feed(to, event);
    }

    fn take_verdict(
        &mut self,
        node: usize,
        incarnation: u64,
        key: ClaimKey,
        asker: ClaimAsker,
        verdict: &Verdict,
    ) {
        if !self.is_live(node, incarnation) {
            return;
        }
        // Only the first word on an attempt counts.
        let done = self.nodes[node].replies.entry(u64::MAX - asker.attempt);
        let indexmap::map::Entry::Vacant(vacant) = done else {
            return;
        };
        vacant.insert(Reply::Copy(0, 0, 0));
        match verdict {
            Verdict::Granted => {
                self.granted += 1;
                self.execute(node, incarnation, key, asker);
            }
            Verdict::Kept(_) => {
                self.kept += 1;
                if self.started.get(&key).is_none() {
                    self.failure = Some(format!("kept answer of {key:?}, which never ran"));
                }
            }
            Verdict::Unavailable => {
                self.unavailable += 1;
                self.finish(node, key, asker, FinishOutcome::NotRun);
            }
            _ => {}
        }
    }

    fn execute(&mut self, node: usize, incarnation: u64, key: ClaimKey, asker: ClaimAsker) {
        if self.random.random_bool(0.1) {
            // The upstream says that it did not run it.
            self.finish(node, key, asker, FinishOutcome::NotRun);
            return;
        }
        let started = self.started.entry(key).or_default();
        *started += 1;
        if *started > 1 {
            self.failure = Some(format!("{key:?} ran {started} times, at {}", self.now));
        }
        let takes = self.random.random_range(10..1_500);
        let ends = Message::RunEnds(node, incarnation, key, asker);
        self.wire.at(self.now + Millis(takes), ends);
    }

    fn finish(&mut self, node: usize, key: ClaimKey, asker: ClaimAsker, outcome: FinishOutcome) {
        let Some((owner, _)) = self.nodes[node].state.owner(key) else {
            return;
        };
        let owner = self.node_of(&owner.clone());
        let incarnation = self.nodes[owner].incarnation;
        let event = ClaimEvent::Finish {
            key,
            asker,
            outcome,
        };
        // Told more than once, as its answer may be lost.
        for _ in 0..2 {
            self.send(
                node,
                owner,
                Message::Event(owner, incarnation, event.clone()),
            );
        }
    }

    fn feed(&mut self, node: usize, event: ClaimEvent) {
        let now = self.now;
        let shown = self.is_traced.then(|| format!("{event:?}"));
        let actions = self.nodes[node].state.handle(now, event);
        if let Some(shown) = shown {
            let incarnation = self.nodes[node].incarnation;
            println!("{now} entry-{node}/{incarnation} <- {shown} -> {actions:?}");
        }
        for action in actions {
            self.carry_out(node, action);
        }
    }

    fn ask(
        &mut self,
        from: usize,
        to: &EntryId,
        make: impl FnOnce(u64) -> ClaimEvent,
        reply: Reply,
    ) {
        let to = self.node_of(to);
        let node = &mut self.nodes[to];
        let ask = node.next_ask;
        node.next_ask += 1;
        node.replies.insert(ask, reply);
        let incarnation = node.incarnation;
        let event = make(ask);
        self.send(
            from,
            to,
            Message::Ask(from, to, incarnation, Asked::Event(event)),
        );
    }

    fn carry_out(&mut self, node: usize, action: ClaimAction) {
        let incarnation = self.nodes[node].incarnation;
        match action {
            ClaimAction::Verdict { ask, verdict } => {
                if let Some(Reply::Verdict(to, inc, key, asker)) = self.reply(node, ask) {
                    let message = Message::Verdict(to, inc, key, asker, verdict);
                    self.send(node, to, message);
                }
            }
            ClaimAction::SendCopy {
                op,
                to,
                epoch,
                change,
            } => {
                let owner = entry(node);
                self.ask(
                    node,
                    &to,
                    |ask| ClaimEvent::Copy {
                        ask,
                        epoch,
                        owner,
                        change,
                    },
                    Reply::Copy(node, incarnation, op),
                );
            }
            ClaimAction::AnswerCopy { ask, is_held } => {
                if let Some(Reply::Copy(to, inc, op)) = self.reply(node, ask) {
                    let event = ClaimEvent::Copied {
                        op,
                        holder: entry(node),
                        is_held,
                    };
                    self.send(node, to, Message::Event(to, inc, event));
                }
            }
            ClaimAction::SendReplica {
                to,
                epoch,
                slots,
                records,
            } => self.ask(
                node,
                &to,
                |ask| ClaimEvent::Replica {
                    ask,
                    epoch,
                    records,
                },
                Reply::Replica(node, incarnation, epoch, slots),
            ),
            ClaimAction::AnswerReplica { ask, is_held } => {
                if let Some(Reply::Replica(to, inc, epoch, slots)) = self.reply(node, ask)
                    && is_held
                {
                    let event = ClaimEvent::Replicated {
                        holder: entry(node),
                        epoch,
                        slots,
                    };
                    self.send(node, to, Message::Event(to, inc, event));
                }
            }
            ClaimAction::SendCollect { to, epoch, slots } => self.ask(
                node,
                &to,
                |ask| ClaimEvent::Collect {
                    ask,
                    epoch,
                    slots: slots.clone(),
                },
                Reply::Collect(node, incarnation, epoch, slots.clone()),
            ),
            ClaimAction::AnswerCollect { ask, records } => {
                if let (Some(Reply::Collect(to, inc, epoch, slots)), Some(records)) =
                    (self.reply(node, ask), records)
                {
                    let event = ClaimEvent::Collected {
                        holder: entry(node),
                        epoch,
                        slots,
                        records,
                    };
                    self.send(node, to, Message::Event(to, inc, event));
                }
            }
            ClaimAction::Settled(epoch) => self.settle(node, incarnation, epoch),
        }
    }

    fn reply(&mut self, node: usize, ask: u64) -> Option<Reply> {
        self.nodes[node].replies.get(&ask).cloned()
    }

    /// The roster's part: once every member has settled, older epochs are forgotten.
    fn settle(&mut self, node: usize, incarnation: u64, epoch: u64) {
        self.settled.insert((node, incarnation), epoch);
        let all = self.roster.members.iter().map(|member| {
            let node = self.node_of(&member.entry);
            let settled = self.settled.get(&(node, member.incarnation));
            settled.copied().unwrap_or(0)
        });
        let all = all.min().unwrap_or(0);
        if all > self.roster.settled {
            self.roster = self.roster.settled_at(all);
            self.spread_roster();
        }
    }

    fn spread_roster(&mut self) {
        for node in 0..NODES {
            let wait = self.random.random_range(1..1_500);
            self.wire.at(self.now + Millis(wait), Message::Roster(node));
        }
    }

    fn chaos(&mut self) {
        let wait = self.random.random_range(500..4_000);
        self.wire.at(self.now + Millis(wait), Message::Chaos);
        match self.random.random_range(0..10) {
            0..3 => {
                // A daemon dies and starts anew with nothing in memory.
                let node = self.random.random_range(0..NODES);
                let incarnation = self.nodes[node].incarnation;
                self.nodes[node].is_up = false;
                let wait = self.random.random_range(200..5_000);
                let message = Message::Noticed(node, incarnation);
                self.wire.at(self.now + Millis(wait), message);
            }
            3..5 => {
                let node = self.random.random_range(0..NODES);
                let pause = self.random.random_range(200..6_000);
                self.nodes[node].paused_until = self.now + Millis(pause);
            }
            5..7 => {
                self.cut = [Some(0), Some(1), Some(2)]
                    .choose(&mut self.random)
                    .copied()
                    .flatten();
            }
            7..9 => self.cut = None,
            _ => self.weather.loss = self.random.random_range(0.0..0.3),
        }
    }

    /// The platform lists the VM as gone, or its next run joins: either way the old run is out.
    fn notice(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || self.nodes[node].is_up {
            return;
        }
        let next = incarnation + 1;
        self.roster = self.roster.with_member(member(node, next));
        let fresh = &mut self.nodes[node];
        fresh.incarnation = next;
        fresh.is_up = true;
        fresh.paused_until = Millis::ZERO;
        fresh.state = ClaimState::new(entry(node), options());
        fresh.replies.clear();
        self.wire.at(self.now, Message::Tick(node, next));
        self.spread_roster();
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
    expect_caught(Mutation::GrantWithoutCopy, 200, "ran 2 times", run);
}
