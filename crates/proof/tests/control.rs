//! Groups, evidence and bundles: several instances of the real control state with delayed, lost,
//! doubled and reordered messages, pauses, zombies, partitions, outages of the key-value service,
//! lost answers, restarts, leaving VMs and racing operators, all at once.

mod support;

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
    fn new(seed: u64) -> Self {
        let key = SignerKey::from_seed(&[7; 32]);
        let mut random = random(seed);
        let mut engines = EngineFleet::default();
        let mut facts = Vec::new();
        for domain in 0..DOMAINS {
            for index in 0..ENGINES {
                let engine = Engine {
                    ignores_fencing: random.random_bool(0.5),
                    ..Engine::default()
                };
                engines.engines.insert(engine_vm(domain, index), engine);
                facts.push(VmFact {
                    vm: engine_vm(domain, index),
                    kind: VmKind::Engine,
                    state: VmState::Live,
                    failure_domain: FailureDomain::from(format!("fd-{domain}")),
                    fabric_domain: FabricDomain::from(format!("fabric-{domain}")),
                    addr: engine_addr(domain, index),
                    accelerators: 8,
                });
            }
        }
        for node in 0..NODES {
            facts.push(VmFact {
                vm: VmId::from(format!("vm-entry-{node}")),
                kind: VmKind::Entry,
                state: VmState::Live,
                failure_domain: FailureDomain::from(format!("fd-{}", node % DOMAINS)),
                fabric_domain: FabricDomain::from(format!("fabric-{}", node % DOMAINS)),
                addr: node_addr(node),
                accelerators: 0,
            });
        }
        let mut world = Self {
            now: Millis(10_000),
            wire: Wire::new(),
            weather: Weather {
                loss: 0.02,
                double: 0.03,
                most_delay: 60,
            },
            nodes: Vec::new(),
            engines,
            store: Store::default(),
            listed: vec![(Millis::ZERO, facts)],
            leaving: IndexMap::new(),
            cut: None,
            digests: IndexMap::new(),
            key,
            version: 0,
            served: 0,
            refused: 0,
            probed: 0,
            max_age_seen: Millis::ZERO,
            last_disturbed: Millis::ZERO,
            random,
        };
        for node in 0..NODES {
            let started = world.start_node(node, 1);
            world.nodes.push(started);
            world.begin_node(node);
        }
        world.wire.at(Millis(10_100), Message::Operator);
        world.wire.at(Millis(14_000), Message::Request);
        world.wire.at(Millis(20_000), Message::Chaos);
        world
    }

    fn start_node(&self, node: usize, incarnation: u64) -> Node {
        let me = Member {
            entry: EntryId::from(format!("entry-{node}")),
            vm: VmId::from(format!("vm-entry-{node}")),
            incarnation,
            failure_domain: FailureDomain::from(format!("fd-{}", node % DOMAINS)),
            peer_addr: node_addr(node),
            since: 0,
        };
        let options = ControlOptions {
            roster: RosterOptions::default(),
            placement: placement(),
            probe_period: Millis(1_000),
            evidence_max_age: EVIDENCE_AGE,
            gate_timeout: Millis(30_000),
            operators: KeyRing {
                signers: [self.key.public()].into(),
                threshold: 1,
            },
        };
        let balance = BalanceOptions {
            evidence_max_age: EVIDENCE_AGE,
            ..BalanceOptions::default()
        };
        Node {
            state: ControlState::new(me, options),
            incarnation,
            balancer: Balancer::new(balance, node as u64),
            view: Arc::new(RouteView::default()),
            paused_until: Millis::ZERO,
            roll: 0,
        }
    }

    fn begin_node(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let now = self.now;
        self.wire.at(now, Message::Tick(node, incarnation));
        self.wire.at(now, Message::Sync(node, incarnation));
        self.wire.at(now, Message::ListRead(node, incarnation));
    }

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

    fn carry_out(&mut self, node: usize, action: ControlAction) -> Result<(), String> {
        let incarnation = self.nodes[node].incarnation;
        match action {
            ControlAction::Read(key) => {
                let now = self.now;
                self.send(Message::Read(node, incarnation, key, now));
            }
            ControlAction::Swap {
                key,
                expected,
                value,
                nonce,
            } => {
                // Lost requests are settled as unknown, like lost answers.
                let message = Message::Swap(node, incarnation, key.clone(), expected, value, nonce);
                self.send(message);
                let event = ControlEvent::Swapped {
                    key,
                    nonce,
                    outcome: SwapOutcome::Unknown,
                };
                let late = self.now + Millis(1_000);
                self.wire.at(late, Message::Event(node, incarnation, event));
            }
            ControlAction::Send(to, datagram) => {
                let peer = self.node_at(to);
                if !self.is_cut(node, peer) {
                    let to = self.nodes[peer].incarnation;
                    let event = ControlEvent::Datagram(datagram, node_addr(node));
                    self.send(Message::Event(peer, to, event));
                }
            }
            ControlAction::AskRoll(to, newer_than) => {
                let peer = self.node_at(to);
                if !self.is_cut(node, peer) {
                    self.send(Message::AskRoll(node, incarnation, peer, newer_than));
                }
            }
            ControlAction::AskRoster(to) => {
                let peer = self.node_at(to);
                if !self.is_cut(node, peer) {
                    self.send(Message::AskRoster(node, incarnation, peer));
                }
            }
            ControlAction::AskGroups(to) => {
                let peer = self.node_at(to);
                if !self.is_cut(node, peer) {
                    self.send(Message::AskGroups(node, incarnation, peer));
                }
            }
            ControlAction::Probe(target) => {
                self.send(Message::Probe(node, incarnation, target.vm));
            }
            ControlAction::Order { target, order } => {
                if !self.is_cut(node, self.domain_of(&target.vm)) {
                    self.send(Message::Order(node, incarnation, target.vm, order));
                }
            }
            ControlAction::Roster(record) => {
                // Claims are another run's matter: here they settle at once.
                let event = ControlEvent::ClaimsSettled(record.epoch);
                let next = self.now + Millis(5);
                self.wire.at(next, Message::Event(node, incarnation, event));
            }
            ControlAction::Publish(view) => self.take_view(node, view),
            ControlAction::Adopted(number, digest) => self.adopted(node, number, digest)?,
            ControlAction::Note(line) => {
                if std::env::var_os("BERGAMOT_TRACE").is_some() {
                    println!("{} entry-{node} {line}", self.now);
                }
            }
        }
        Ok(())
    }

    fn take_view(&mut self, node: usize, view: Arc<RouteView>) {
        let facts = view.models.values().flatten().cloned().collect();
        let node = &mut self.nodes[node];
        node.balancer.replace(facts);
        node.view = view;
    }

    fn adopted(&mut self, node: usize, number: u64, digest: BundleDigest) -> Result<(), String> {
        let before = self.nodes[node].roll;
        if number <= before {
            return Err(format!("entry-{node} went from roll {before} to {number}"));
        }
        self.nodes[node].roll = number;
        match self.digests.insert(number, digest) {
            Some(other) if other != digest => Err(format!("two bundles as roll {number}")),
            _ => Ok(()),
        }
    }

    fn probe(&mut self, node: usize, incarnation: u64, vm: VmId) {
        let asked = self.now;
        let is_reached = !self.is_cut(node, self.domain_of(&vm));
        let report = is_reached
            .then(|| self.engines.report(asked, &vm))
            .flatten();
        let is_silent = report.is_none();
        let event = ControlEvent::Report { vm, asked, report };
        match is_silent {
            true => {
                let late = self.now + Millis(500);
                self.wire.at(late, Message::Event(node, incarnation, event));
            }
            false => self.reply(node, incarnation, event),
        }
    }

    fn read(&mut self, node: usize, incarnation: u64, key: String, started: Millis) {
        if !self.store.is_up(self.now) || self.is_off_platform(node) {
            self.reply(node, incarnation, ControlEvent::ReadFailed { key });
            return;
        }
        let entry = self.store.keys.get(&key).map(|(revision, value)| KvEntry {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        });
        self.reply(
            node,
            incarnation,
            ControlEvent::Read {
                key,
                entry,
                started,
            },
        );
    }

    fn swap(
        &mut self,
        node: usize,
        incarnation: u64,
        key: &str,
        expected: i64,
        value: &[u8],
        nonce: u64,
    ) -> Result<(), String> {
        if !self.store.is_up(self.now) || self.is_off_platform(node) {
            return Ok(());
        }
        let outcome = match self.store.cas(key, expected, value.to_vec()) {
            Some(revision) => {
                self.check_written(key, value)?;
                if std::env::var_os("BERGAMOT_TRACE").is_some()
                    && let Ok(record) = serde_json::from_slice::<DomainRecord>(value)
                {
                    let groups = record.groups.iter();
                    let groups: Vec<String> = groups
                        .map(|(id, group)| {
                            let members = record.members(id).map(|(vm, _)| vm.as_str());
                            let members: Vec<&str> = members.collect();
                            format!("{id}/{}={:?}{members:?}", group.epoch, group.phase)
                        })
                        .collect();
                    println!("{} {key} written: {}", self.now, groups.join(" "));
                }
                SwapOutcome::Won(revision)
            }
            None => SwapOutcome::Lost,
        };
        let is_answer_lost = self.random.random_bool(0.05) && !self.is_calm();
        if !is_answer_lost {
            let event = ControlEvent::Swapped {
                key: key.to_owned(),
                nonce,
                outcome,
            };
            self.reply(node, incarnation, event);
        }
        Ok(())
    }

    /// No VM may be written into a group while its engine is in another one.
    fn check_written(&self, key: &str, value: &[u8]) -> Result<(), String> {
        let Ok(record) = serde_json::from_slice::<DomainRecord>(value) else {
            return Ok(());
        };
        if let Some(problem) = record.problem() {
            return Err(format!("{key}: {problem}"));
        }
        for (vm, slot) in &record.vms {
            let (VmUse::Member(group), Some(engine)) = (&slot.usage, self.engines.engines.get(vm))
            else {
                continue;
            };
            let other = engine.report.group.as_ref().filter(|other| *other != group);
            if let Some(other) = other.filter(|_| !engine.is_dead) {
                return Err(format!(
                    "{vm} was made a member of {group} while in {other}"
                ));
            }
        }
        Ok(())
    }

    /// What the platform duty reads by itself.
    fn sync(&mut self, node: usize, incarnation: u64) {
        if !self.is_live(node, incarnation) {
            return;
        }
        let now = self.now;
        let mut keys = vec![
            ROLL_KEY.to_owned(),
            bergamot_entry::control::ROSTER_KEY.to_owned(),
        ];
        let groups = self.store.keys.keys();
        let groups = groups.filter(|key| key.starts_with("/bergamot/live/groups/"));
        keys.extend(groups.cloned());
        for key in keys {
            self.send(Message::Read(node, incarnation, key, now));
        }
        let next = now + Millis(self.random.random_range(400..1_200));
        self.wire.at(next, Message::Sync(node, incarnation));
    }

    fn list(&mut self, node: usize, incarnation: u64) {
        if !self.is_live(node, incarnation) {
            return;
        }
        let now = self.now;
        let shown = self
            .listed
            .iter()
            .rev()
            .find(|(from, _)| *from <= now)
            .map(|(_, vms)| vms.clone());
        if let Some(vms) = shown.filter(|_| !self.is_off_platform(node)) {
            self.reply(node, incarnation, ControlEvent::Listed(vms));
        }
        self.wire
            .at(now + Millis(1_000), Message::ListRead(node, incarnation));
    }

    fn request(&mut self) {
        let wait = self.random.random_range(10..120);
        self.wire.at(self.now + Millis(wait), Message::Request);
        let node = self.random.random_range(0..NODES);
        if self.nodes[node].paused_until > self.now {
            return;
        }
        self.dispatch(node, self.random.clone().random());
        let _: u64 = self.random.random();
    }

    fn dispatch(&mut self, node: usize, prefix: u64) {
        let now = self.now;
        let account = ClientAccount::new("a");
        let home = FailureDomain::from(format!("fd-{}", node % DOMAINS));
        let request = PickRequest {
            account: &account,
            prefix,
            home: &home,
            tried: &[],
        };
        match self.nodes[node].balancer.pick(now, &request) {
            Choice::None => self.refused += 1,
            Choice::Upstream(fact) => {
                self.max_age_seen = self.max_age_seen.max(now.since(fact.evidence_at));
                let leader = self.nodes[node].view.groups[&fact.id].members[0].0.clone();
                if !self.is_cut(node, self.domain_of(&leader)) {
                    let sent = self.now;
                    self.send(Message::Arrive(node, leader, sent));
                }
            }
            Choice::Probe(fact) => {
                self.probed += 1;
                let members = &self.nodes[node].view.groups[&fact.id].members;
                let members = members.iter().map(|(vm, _)| vm.clone()).collect();
                let incarnation = self.nodes[node].incarnation;
                let message = Message::Probed(node, incarnation, fact.id, members, now);
                self.wire.at(now + Millis(20), message);
            }
        }
    }

    fn take_probed(
        &mut self,
        node: usize,
        incarnation: u64,
        upstream: &UpstreamId,
        members: &[VmId],
        asked: Millis,
    ) {
        if !self.is_live(node, incarnation) {
            return;
        }
        let Some(route) = self.nodes[node].view.groups.get(upstream).cloned() else {
            return;
        };
        let epoch = route.group.epoch;
        let is_whole = members.iter().all(|vm| {
            let is_reached = !self.is_cut(node, self.domain_of(vm));
            let report = self.engines.report(asked, vm);
            is_reached && report.is_some_and(|report| report.is_ready_in(&route.id, epoch))
        });
        if is_whole {
            self.nodes[node]
                .balancer
                .note_evidence(upstream, epoch, asked);
        }
    }

    fn arrive(&mut self, node: usize, vm: &VmId, sent: Millis) -> Result<(), String> {
        // A VM that is cut off from the list cannot know.
        if let Some(since) = self.leaving.get(vm)
            && !self.is_off_platform(node)
            && sent.since(*since) > LEAVING_GRACE
            && sent.since(self.last_disturbed) > LEAVING_GRACE
        {
            return Err(format!(
                "entry-{node} sent to {vm}, which leaves since {since}"
            ));
        }
        let now = self.now;
        match self.engines.accept(now, vm) {
            None => self.refused += 1,
            Some(key) => {
                self.served += 1;
                let takes = self.random.random_range(50..3_000);
                self.wire.at(now + Millis(takes), Message::Complete(key));
            }
        }
        Ok(())
    }

    fn any_engine(&mut self) -> VmId {
        let domain = self.random.random_range(0..DOMAINS);
        engine_vm(domain, self.random.random_range(0..ENGINES))
    }

    fn change_list(&mut self, change: impl FnOnce(&mut Vec<VmFact>)) {
        let mut vms = self
            .listed
            .last()
            .map_or_else(Vec::new, |(_, vms)| vms.clone());
        change(&mut vms);
        self.listed.push((self.now + LIST_LAG, vms));
    }

    fn chaos(&mut self) {
        if self.is_calm() {
            self.heal();
            return;
        }
        let wait = self.random.random_range(500..5_000);
        self.wire.at(self.now + Millis(wait), Message::Chaos);
        let now = self.now;
        let pause = Millis(self.random.random_range(300..9_000));
        match self.random.random_range(0..12) {
            0..3 => {
                // An engine restarts empty, or stands still and comes back as it was.
                let vm = self.any_engine();
                self.engines.break_group(&vm);
                if self.random.random_bool(0.5) {
                    let ignores_fencing = self.engines.engines[&vm].ignores_fencing;
                    self.engines.engines[&vm] = Engine {
                        is_dead: true,
                        ignores_fencing,
                        ..Engine::default()
                    };
                    self.wire.at(now + pause, Message::Revive(vm));
                } else {
                    self.engines.engines[&vm].paused_until = now + pause;
                }
            }
            3..5 => {
                let node = self.random.random_range(0..NODES);
                self.nodes[node].paused_until = now + pause;
                self.last_disturbed = now + pause;
            }
            5 => {
                let node = self.random.random_range(0..NODES);
                let incarnation = self.nodes[node].incarnation + 1;
                self.nodes[node] = self.start_node(node, incarnation);
                self.begin_node(node);
                self.last_disturbed = now;
            }
            6..8 => {
                self.cut = match self.random.random_bool(0.5) {
                    true => Some(self.random.random_range(0..DOMAINS)),
                    false => None,
                };
                self.last_disturbed = now;
            }
            8 => {
                self.store.down_until = now + pause;
                self.last_disturbed = now + pause;
            }
            9..11 => {
                // The platform takes a VM away and brings it back as a new one later.
                let vm = self.any_engine();
                if !self.leaving.contains_key(&vm) && self.leaving.is_empty() {
                    self.leaving.insert(vm.clone(), now + LIST_LAG);
                    self.change_list(|vms| {
                        for fact in vms.iter_mut().filter(|fact| fact.vm == vm) {
                            fact.state = VmState::Leaving;
                        }
                    });
                }
            }
            _ => {
                self.weather.loss = self.random.random_range(0.0..0.15);
                self.last_disturbed = now;
            }
        }
    }

    fn heal(&mut self) {
        self.cut = None;
        self.store.down_until = self.now;
        self.weather.loss = 0.005;
        self.leaving.clear();
        self.change_list(|vms| {
            for fact in vms {
                fact.state = VmState::Live;
            }
        });
        self.last_disturbed = self.now;
    }

    fn revive(&mut self, vm: &VmId) {
        self.engines.engines[vm].is_dead = false;
    }

    /// Operators race: two of them roll different bundles at the same time.
    fn operator(&mut self) {
        let wait = self.random.random_range(5_000..25_000);
        if self.now + Millis(wait) < CHAOS_ENDS {
            self.wire.at(self.now + Millis(wait), Message::Operator);
        }
        if !self.store.is_up(self.now) {
            return;
        }
        let current = self.store.keys.get(ROLL_KEY).cloned();
        let revision = current.as_ref().map_or(0, |(revision, _)| *revision);
        let record: Option<RollRecord> =
            current.and_then(|(_, value)| serde_json::from_slice(&value).ok());
        for _ in 0..2 {
            self.version += 1;
            let bytes = serde_json::to_vec(&document(self.version)).expect("a document is JSON");
            let keys = [SignerKey::from_seed(&self.key.to_seed())];
            let signed = SignedBundle::sign(bytes, &keys);
            let digest = signed.digest();
            let value = serde_json::to_vec(&signed).expect("a bundle is JSON");
            self.store.cas(&bundle_key(&digest), 0, value);
            let nonce = self.random.random();
            let next = RollRecord::next(record.as_ref(), digest, nonce, &keys);
            let value = serde_json::to_vec(&next).expect("a record is JSON");
            self.store.cas(ROLL_KEY, revision, value);
        }
    }

    fn check_end(&self) -> Result<(), String> {
        let newest = self.store.keys.get(ROLL_KEY);
        let newest: RollRecord = newest
            .and_then(|(_, value)| serde_json::from_slice(value).ok())
            .ok_or("nothing was rolled")?;
        for (index, node) in self.nodes.iter().enumerate() {
            if node.roll != newest.number {
                return Err(format!(
                    "entry-{index} has roll {} in force, not {}",
                    node.roll, newest.number
                ));
            }
            let force = node.state.force().ok_or("nothing is in force")?;
            let wanted = force.document.models[0].version.clone();
            let routable = node.view.groups.values();
            let current = routable.filter(|route| route.group.model.version == wanted);
            let current = current.count();
            if current != REPLICAS as usize {
                let dump = node.state.dump(self.now);
                return Err(format!(
                    "entry-{index} routes to {current} current groups at the end: {}",
                    dump["fabric_domains"]
                ));
            }
        }
        Ok(())
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
            mutation: Mutation::TrustPartialGroup,
            seeds: 400,
            expected: "served before",
        },
        MutationCase {
            mutation: Mutation::FreeUnseen,
            seeds: 400,
            expected: "was made a member",
        },
        MutationCase {
            mutation: Mutation::KeepLeaving,
            seeds: 400,
            expected: "which leaves",
        },
        MutationCase {
            mutation: Mutation::ReleaseUndrained,
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
