//! Groups, evidence and bundles: several instances of the real control state with delayed, lost,
//! doubled and reordered messages, pauses, zombies, partitions, outages of the key-value service,
//! lost answers, restarts, leaving VMs and racing operators, all at once.

mod actions;
mod nodes;
mod requests;
#[path = "../support/mod.rs"]
mod support;
mod trouble;

use std::sync::Arc;

use bergamot_bundle::document::ModelSpec;
use bergamot_bundle::{
    AccountSpec, BundleDigest, BundleDocument, KeyRing, RollRecord, SignedBundle, SignerKey,
};
use bergamot_entry::control::{
    ControlAction, ControlEvent, ControlOptions, ControlState, ROLL_KEY, bundle_key,
};
use bergamot_entry::route_view::RouteView;
use bergamot_peer::GroupsEntry;
use bergamot_placement::{DomainRecord, PlacementOptions, SwapOutcome, VmOrder, VmUse};
use bergamot_platform::{KvEntry, VmFact, VmKind, VmState};
use bergamot_roster::{Member, RosterOptions};
use bergamot_routing::{BalanceOptions, Balancer, Choice, PickRequest};
use bergamot_types::mutate::Mutation;
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use support::engines::{Engine, EngineFleet};
use support::platform::Store;
use support::{Weather, Wire, expect_caught, random, seeds};

const NODES: usize = 4;
const DOMAINS: usize = 2;
const ENGINES: usize = 5;
const SIZE: u32 = 2;
const REPLICAS: u32 = 4;
const CHAOS_ENDS: Millis = Millis(90_000);
const ENDS: Millis = Millis(210_000);
const EVIDENCE_AGE: Millis = Millis(3_000);
const LIST_LAG: Millis = Millis(1_500);
/// From the platform's word that a VM leaves until nothing new may reach it.
const LEAVING_GRACE: Millis = Millis(8_000);

#[derive(Clone)]
enum Message {
    Tick(usize, u64),
    Event(usize, u64, ControlEvent),
    /// An engine is asked.
    Probe(usize, u64, VmId),
    Order(usize, u64, VmId, VmOrder),
    Read(usize, u64, String, Millis),
    Swap(usize, u64, String, i64, Vec<u8>, u64),
    AskRoll(usize, u64, usize, u64),
    AskRoster(usize, u64, usize),
    AskGroups(usize, u64, usize),
    Sync(usize, u64),
    ListRead(usize, u64),
    Request,
    /// A request arrives at a leader.
    Arrive(usize, VmId, Millis),
    Complete((GroupId, u32)),
    /// A group is asked before a request is sent to it: when, and of whom.
    Probed(usize, u64, UpstreamId, Vec<VmId>, Millis),
    Chaos,
    Operator,
    Revive(VmId),
}

struct Node {
    state: ControlState,
    incarnation: u64,
    balancer: Balancer,
    view: Arc<RouteView>,
    paused_until: Millis,
    roll: u64,
}

struct World {
    now: Millis,
    random: ChaCha8Rng,
    wire: Wire<Message>,
    weather: Weather,
    nodes: Vec<Node>,
    engines: EngineFleet,
    store: Store,
    /// The list as it is, and as it is shown later.
    listed: Vec<(Millis, Vec<VmFact>)>,
    leaving: IndexMap<VmId, Millis>,
    cut: Option<usize>,
    digests: IndexMap<u64, BundleDigest>,
    key: SignerKey,
    version: u64,
    served: u64,
    refused: u64,
    probed: u64,
    max_age_seen: Millis,
    last_disturbed: Millis,
}

fn engine_addr(domain: usize, index: usize) -> std::net::SocketAddr {
    ([10, 0, domain as u8, index as u8], 80).into()
}

fn node_addr(node: usize) -> std::net::SocketAddr {
    ([10, 1, 0, node as u8], 90).into()
}

fn engine_vm(domain: usize, index: usize) -> VmId {
    VmId::from(format!("vm-{domain}-{index}"))
}

fn placement() -> PlacementOptions {
    PlacementOptions {
        flap_hold: Millis(4_000),
        surplus_hold: Millis(8_000),
        max_drain: Millis(20_000),
        ..PlacementOptions::default()
    }
}

fn document(version: u64) -> BundleDocument {
    BundleDocument {
        version: version.to_string(),
        accounts: vec![AccountSpec {
            name: ClientAccount::new("a"),
            token_sha256: BundleDigest::of(b"t").to_string(),
            requests_per_second: 10.0,
            concurrency: 10,
            priority: 1,
        }],
        models: vec![ModelSpec {
            name: ModelName::new("m"),
            // Every other roll replaces the groups.
            version: (version / 2).to_string(),
            adapter: None,
            vms_per_replica: SIZE,
            replicas: REPLICAS,
            priority: 1,
            accounts: Vec::new(),
        }],
        ..BundleDocument::default()
    }
}

impl World {
    fn is_calm(&self) -> bool {
        self.now >= CHAOS_ENDS
    }

    /// Whether two failure domains are cut off from each other.
    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut.is_some() && a % DOMAINS != b % DOMAINS
    }

    /// Whether a node is cut off from the platform.
    fn is_off_platform(&self, node: usize) -> bool {
        self.cut == Some(node % DOMAINS)
    }

    fn run(mut self) -> Result<(u64, u64, u64), String> {
        while self.now < ENDS {
            let Some((when, message)) = self.wire.next() else {
                break;
            };
            self.now = self.now.max(when);
            self.step(message)?;
            if let Some(failure) = self.engines.failures.pop() {
                return Err(format!("at {}: {failure}", self.now));
            }
        }
        self.check_end()?;
        Ok((self.served, self.refused, self.probed))
    }

    fn step(&mut self, message: Message) -> Result<(), String> {
        if let Some(node) = paused_node(&message)
            && self.nodes[node].paused_until > self.now
        {
            let until = self.nodes[node].paused_until;
            self.wire.at(until, message);
            return Ok(());
        }
        match message {
            Message::Tick(node, incarnation) => {
                if self.is_live(node, incarnation) {
                    self.feed(node, ControlEvent::Tick)?;
                    let next = self.now + Millis(100);
                    self.wire.at(next, Message::Tick(node, incarnation));
                }
            }
            Message::Event(node, incarnation, event) => {
                if self.is_live(node, incarnation) {
                    self.feed(node, event)?;
                }
            }
            Message::Probe(node, incarnation, vm) => self.probe(node, incarnation, vm),
            Message::Order(node, incarnation, vm, order) => {
                let now = self.now;
                self.engines.obey(now, &vm, &order);
                let event = ControlEvent::Ordered { vm };
                self.reply(node, incarnation, event);
            }
            Message::Read(node, incarnation, key, started) => {
                self.read(node, incarnation, key, started);
            }
            Message::Swap(node, incarnation, key, expected, value, nonce) => {
                self.swap(node, incarnation, &key, expected, &value, nonce)?;
            }
            Message::AskRoll(node, incarnation, peer, newer_than) => {
                let force = self.nodes[peer].state.force().cloned();
                if let Some(force) = force.filter(|force| force.record.number > newer_than) {
                    let roll = Box::new((force.record.clone(), force.signed.clone()));
                    self.reply(node, incarnation, ControlEvent::PeerRoll(roll));
                }
            }
            Message::AskRoster(node, incarnation, peer) => {
                let record = self.nodes[peer].state.roster().record().clone();
                self.reply(node, incarnation, ControlEvent::PeerRoster(record));
            }
            Message::AskGroups(node, incarnation, peer) => {
                let entries: Vec<GroupsEntry> = self.nodes[peer].state.group_entries();
                self.reply(node, incarnation, ControlEvent::PeerGroups(entries));
            }
            Message::Sync(node, incarnation) => self.sync(node, incarnation),
            Message::ListRead(node, incarnation) => self.list(node, incarnation),
            Message::Request => self.request(),
            Message::Arrive(node, vm, sent) => self.arrive(node, &vm, sent)?,
            Message::Complete(key) => self.engines.complete(&key),
            Message::Probed(node, incarnation, upstream, members, asked) => {
                self.take_probed(node, incarnation, &upstream, &members, asked);
            }
            Message::Chaos => self.chaos(),
            Message::Operator => self.operator(),
            Message::Revive(vm) => self.revive(&vm),
        }
        Ok(())
    }

    fn is_live(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].incarnation == incarnation
    }

    fn feed(&mut self, node: usize, event: ControlEvent) -> Result<(), String> {
        let now = self.now;
        let actions = self.nodes[node].state.handle(now, event);
        for action in actions {
            self.carry_out(node, action)?;
        }
        Ok(())
    }

    /// An answer comes back, late.
    fn reply(&mut self, node: usize, incarnation: u64, event: ControlEvent) {
        let message = Message::Event(node, incarnation, event);
        self.send(message);
    }

    fn send(&mut self, message: Message) {
        let weather = self.weather;
        self.wire.send(self.now, &mut self.random, weather, message);
    }

    fn node_at(&self, addr: std::net::SocketAddr) -> usize {
        (0..NODES)
            .find(|node| node_addr(*node) == addr)
            .expect("every peer is a node")
    }

    fn domain_of(&self, vm: &VmId) -> usize {
        let name = vm.as_str().trim_start_matches("vm-");
        name[..1].parse().expect("engines are numbered")
    }
}

fn paused_node(message: &Message) -> Option<usize> {
    match message {
        Message::Tick(node, _)
        | Message::Event(node, ..)
        | Message::Sync(node, _)
        | Message::ListRead(node, _)
        | Message::Probed(node, ..) => Some(*node),
        Message::AskRoll(_, _, peer, _)
        | Message::AskRoster(_, _, peer)
        | Message::AskGroups(_, _, peer) => Some(*peer),
        _ => None,
    }
}

fn run(seed: u64) -> Result<(), String> {
    World::new(seed).run().map(|_| ())
}

#[test]
fn the_promises_hold_and_the_fleet_recovers() {
    let mut totals = (0, 0, 0);
    for seed in seeds(12) {
        let (served, refused, probed) = World::new(seed)
            .run()
            .unwrap_or_else(|failure| panic!("seed {seed}: {failure}"));
        totals = (totals.0 + served, totals.1 + refused, totals.2 + probed);
    }
    println!(
        "served={} refused={} probed={}",
        totals.0, totals.1, totals.2
    );
    assert!(
        totals.0 > totals.1,
        "more was refused than served: {totals:?}"
    );
}

struct MutationCase {
    mutation: Mutation,
    seeds: u64,
    expected: &'static str,
}

#[test]
fn wrong_decisions_are_caught() {
    let cases = [
        MutationCase {
            mutation: Mutation::AcceptPartialGroup,
            seeds: 400,
            expected: "served before",
        },
        MutationCase {
            mutation: Mutation::FreeUnconfirmedVm,
            seeds: 400,
            expected: "was made a member",
        },
        MutationCase {
            mutation: Mutation::KeepLeavingGroup,
            seeds: 400,
            expected: "which leaves",
        },
        MutationCase {
            mutation: Mutation::ReleaseWithoutDrain,
            seeds: 400,
            expected: "were cut",
        },
        MutationCase {
            mutation: Mutation::AdoptAnyRoll,
            seeds: 400,
            expected: "went from roll",
        },
    ];
    for case in cases {
        expect_caught(case.mutation, case.seeds, case.expected, run);
    }
}
