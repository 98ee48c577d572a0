//! Nodes and the fleet as they start.

use super::*;

impl World {
    pub(super) fn new(seed: u64) -> Self {
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

    pub(super) fn start_node(&self, node: usize, incarnation: u64) -> Node {
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

    pub(super) fn begin_node(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation;
        let now = self.now;
        self.wire.at(now, Message::Tick(node, incarnation));
        self.wire.at(now, Message::Sync(node, incarnation));
        self.wire.at(now, Message::ListRead(node, incarnation));
    }
}
