//! Checks groups, evidence and bundles. Runs several instances of the real control state with
//! delayed, lost, duplicated and reordered messages, pauses, outdated coordinators, partitions,
//! outages of the key-value store, lost answers, restarts, leaving VMs and racing operators, all
//! at the same time.

mod actions;
mod daemons;
mod requests;
#[path = "../support/mod.rs"]
mod support;
mod system_faults;

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
use support::{EventQueue, NetworkOptions, expect_caught, random, seeds};

const DAEMON_COUNT: usize = 4;
const DOMAIN_COUNT: usize = 2;
const ENGINES_PER_DOMAIN: usize = 5;
const VMS_PER_REPLICA: u32 = 2;
const REPLICAS: u32 = 4;
const FAULTS_END_AT: Millis = Millis(90_000);
const RUN_ENDS_AT: Millis = Millis(210_000);
const EVIDENCE_MAX_AGE: Millis = Millis(3_000);
/// Time until a change of the VM list becomes visible to the daemons.
const VM_LIST_LAG: Millis = Millis(1_500);
/// Time from the platform listing a VM as leaving until no new request may reach it.
const LEAVING_GRACE: Millis = Millis(8_000);

#[derive(Clone)]
enum Message {
    Tick(usize, u64),
    Event(usize, u64, ControlEvent),
    /// A daemon asks an engine for its report.
    Probe(usize, u64, VmId),
    Order(usize, u64, VmId, VmOrder),
    Read(usize, u64, String, Millis),
    Swap(usize, u64, String, i64, Vec<u8>, u64),
    QueryRoll(usize, u64, usize, u64),
    QueryRoster(usize, u64, usize),
    QueryGroups(usize, u64, usize),
    Sync(usize, u64),
    ListRead(usize, u64),
    Request,
    /// A request arrives at a leader.
    Arrive(usize, VmId, Millis),
    Complete((GroupId, u32)),
    /// The members of a group answer a probe that was sent at this time, before a request is sent.
    Probed(usize, u64, UpstreamId, Vec<VmId>, Millis),
    /// A fault is injected.
    Fault,
    Operator,
    Revive(VmId),
}

struct Daemon {
    state: ControlState,
    incarnation: u64,
    balancer: Balancer,
    view: Arc<RouteView>,
    paused_until: Millis,
    /// Number of the adopted roll.
    roll: u64,
}

struct Simulation {
    now: Millis,
    random: ChaCha8Rng,
    queue: EventQueue<Message>,
    network: NetworkOptions,
    daemons: Vec<Daemon>,
    engines: EngineFleet,
    store: Store,
    /// Versions of the VM list, with the time from which daemons read them.
    vm_lists: Vec<(Millis, Vec<VmFact>)>,
    /// VMs that are leaving, with the time at which daemons can read that.
    leaving: IndexMap<VmId, Millis>,
    /// The failure domain that cannot reach the platform. No domain can reach another meanwhile.
    partitioned_domain: Option<usize>,
    digests: IndexMap<u64, BundleDigest>,
    operator_key: SignerKey,
    bundle_version: u64,
    served_count: u64,
    refused_count: u64,
    probed_count: u64,
    max_evidence_age: Millis,
    last_disturbed_at: Millis,
}

fn engine_addr(domain: usize, index: usize) -> std::net::SocketAddr {
    ([10, 0, domain as u8, index as u8], 80).into()
}

fn daemon_addr(daemon: usize) -> std::net::SocketAddr {
    ([10, 1, 0, daemon as u8], 90).into()
}

fn engine_vm(domain: usize, index: usize) -> VmId {
    VmId::from(format!("vm-{domain}-{index}"))
}

fn placement_options() -> PlacementOptions {
    PlacementOptions {
        flap_hold: Millis(4_000),
        surplus_hold: Millis(8_000),
        max_drain: Millis(20_000),
        ..PlacementOptions::default()
    }
}

fn bundle_document(version: u64) -> BundleDocument {
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
            // Every second roll changes the model version, which replaces the groups.
            version: (version / 2).to_string(),
            adapter: None,
            vms_per_replica: VMS_PER_REPLICA,
            replicas: REPLICAS,
            priority: 1,
            accounts: Vec::new(),
        }],
        ..BundleDocument::default()
    }
}

impl Simulation {
    fn are_faults_over(&self) -> bool {
        self.now >= FAULTS_END_AT
    }

    /// Whether the failure domains of two VMs cannot reach each other.
    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitioned_domain.is_some() && a % DOMAIN_COUNT != b % DOMAIN_COUNT
    }

    /// Whether a daemon cannot reach the platform.
    fn is_cut_from_platform(&self, daemon: usize) -> bool {
        self.partitioned_domain == Some(daemon % DOMAIN_COUNT)
    }

    fn run(mut self) -> Result<(u64, u64, u64), String> {
        while self.now < RUN_ENDS_AT {
            let Some((due_at, message)) = self.queue.pop_next() else {
                break;
            };
            self.now = self.now.max(due_at);
            self.handle_message(message)?;
            if let Some(failure) = self.engines.failures.pop() {
                return Err(format!("at {}: {failure}", self.now));
            }
        }
        self.check_recovery()?;
        Ok((self.served_count, self.refused_count, self.probed_count))
    }

    fn handle_message(&mut self, message: Message) -> Result<(), String> {
        if let Some(daemon) = recipient(&message)
            && self.daemons[daemon].paused_until > self.now
        {
            let paused_until = self.daemons[daemon].paused_until;
            self.queue.schedule(paused_until, message);
            return Ok(());
        }
        match message {
            Message::Tick(daemon, incarnation) => {
                if self.is_live(daemon, incarnation) {
                    self.handle_event(daemon, ControlEvent::Tick)?;
                    let next_tick_at = self.now + Millis(100);
                    self.queue
                        .schedule(next_tick_at, Message::Tick(daemon, incarnation));
                }
            }
            Message::Event(daemon, incarnation, event) => {
                if self.is_live(daemon, incarnation) {
                    self.handle_event(daemon, event)?;
                }
            }
            Message::Probe(daemon, incarnation, vm) => self.probe(daemon, incarnation, vm),
            Message::Order(daemon, incarnation, vm, order) => {
                let now = self.now;
                self.engines.apply_order(now, &vm, &order);
                let event = ControlEvent::Ordered { vm };
                self.reply(daemon, incarnation, event);
            }
            Message::Read(daemon, incarnation, key, started_at) => {
                self.read(daemon, incarnation, key, started_at);
            }
            Message::Swap(daemon, incarnation, key, expected, value, nonce) => {
                self.swap(daemon, incarnation, &key, expected, &value, nonce)?;
            }
            Message::QueryRoll(daemon, incarnation, peer, newer_than) => {
                let active_roll = self.daemons[peer].state.active_bundle().cloned();
                if let Some(active_roll) =
                    active_roll.filter(|active_roll| active_roll.record.number > newer_than)
                {
                    let roll = Box::new((active_roll.record.clone(), active_roll.signed.clone()));
                    self.reply(daemon, incarnation, ControlEvent::PeerRoll(roll));
                }
            }
            Message::QueryRoster(daemon, incarnation, peer) => {
                let record = self.daemons[peer].state.roster().record().clone();
                self.reply(daemon, incarnation, ControlEvent::PeerRoster(record));
            }
            Message::QueryGroups(daemon, incarnation, peer) => {
                let entries: Vec<GroupsEntry> = self.daemons[peer].state.group_entries();
                self.reply(daemon, incarnation, ControlEvent::PeerGroups(entries));
            }
            Message::Sync(daemon, incarnation) => self.sync(daemon, incarnation),
            Message::ListRead(daemon, incarnation) => self.read_vm_list(daemon, incarnation),
            Message::Request => self.request(),
            Message::Arrive(daemon, vm, sent_at) => self.arrive(daemon, &vm, sent_at)?,
            Message::Complete(key) => self.engines.complete(&key),
            Message::Probed(daemon, incarnation, upstream, members, probed_at) => {
                self.handle_probed(daemon, incarnation, &upstream, &members, probed_at);
            }
            Message::Fault => self.inject_fault(),
            Message::Operator => self.roll_bundles(),
            Message::Revive(vm) => self.revive(&vm),
        }
        Ok(())
    }

    fn is_live(&self, daemon: usize, incarnation: u64) -> bool {
        self.daemons[daemon].incarnation == incarnation
    }

    fn handle_event(&mut self, daemon: usize, event: ControlEvent) -> Result<(), String> {
        let now = self.now;
        let actions = self.daemons[daemon].state.handle(now, event);
        for action in actions {
            self.execute_action(daemon, action)?;
        }
        Ok(())
    }

    /// Sends an answer back to a daemon through the network.
    fn reply(&mut self, daemon: usize, incarnation: u64, event: ControlEvent) {
        let message = Message::Event(daemon, incarnation, event);
        self.send(message);
    }

    fn send(&mut self, message: Message) {
        let network = self.network;
        self.queue
            .send(self.now, &mut self.random, network, message);
    }

    fn daemon_at(&self, addr: std::net::SocketAddr) -> usize {
        (0..DAEMON_COUNT)
            .find(|daemon| daemon_addr(*daemon) == addr)
            .expect("every peer address belongs to a daemon")
    }

    fn domain_of(&self, vm: &VmId) -> usize {
        let numbers = vm.as_str().trim_start_matches("vm-");
        numbers[..1]
            .parse()
            .expect("engine VM ids start with a domain number")
    }
}

/// Returns the daemon that handles the message, if the message waits while that daemon is paused.
fn recipient(message: &Message) -> Option<usize> {
    match message {
        Message::Tick(daemon, _)
        | Message::Event(daemon, ..)
        | Message::Sync(daemon, _)
        | Message::ListRead(daemon, _)
        | Message::Probed(daemon, ..) => Some(*daemon),
        Message::QueryRoll(_, _, peer, _)
        | Message::QueryRoster(_, _, peer)
        | Message::QueryGroups(_, _, peer) => Some(*peer),
        _ => None,
    }
}

fn run(seed: u64) -> Result<(), String> {
    Simulation::new(seed).run().map(|_| ())
}

#[test]
fn the_invariants_hold_and_the_fleet_recovers() {
    let mut totals = (0, 0, 0);
    for seed in seeds(12) {
        let (served, refused, probed) = Simulation::new(seed)
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
        "more requests were refused than served: {totals:?}"
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
            expected: "which has been leaving since",
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
