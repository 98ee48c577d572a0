//! Creates the daemons and the initial fleet.

use super::*;

impl Simulation {
    pub(super) fn new(seed: u64) -> Self {
        let operator_key = SignerKey::from_seed(&[7; 32]);
        let mut random = random(seed);
        let mut engines = EngineFleet::default();
        let mut vms = Vec::new();
        for domain in 0..DOMAIN_COUNT {
            for index in 0..ENGINES_PER_DOMAIN {
                let engine = Engine {
                    ignores_fencing: random.random_bool(0.5),
                    ..Engine::default()
                };
                engines.engines.insert(engine_vm(domain, index), engine);
                vms.push(VmFact {
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
        for daemon in 0..DAEMON_COUNT {
            vms.push(VmFact {
                vm: VmId::from(format!("vm-entry-{daemon}")),
                kind: VmKind::Entry,
                state: VmState::Live,
                failure_domain: FailureDomain::from(format!("fd-{}", daemon % DOMAIN_COUNT)),
                fabric_domain: FabricDomain::from(format!("fabric-{}", daemon % DOMAIN_COUNT)),
                addr: daemon_addr(daemon),
                accelerators: 0,
            });
        }
        let mut simulation = Self {
            now: Millis(10_000),
            queue: EventQueue::new(),
            network: NetworkOptions {
                loss_probability: 0.02,
                duplicate_probability: 0.03,
                max_delay_ms: 60,
            },
            daemons: Vec::new(),
            engines,
            store: Store::default(),
            vm_lists: vec![(Millis::ZERO, vms)],
            leaving: IndexMap::new(),
            partitioned_domain: None,
            digests: IndexMap::new(),
            operator_key,
            bundle_version: 0,
            served_count: 0,
            refused_count: 0,
            probed_count: 0,
            max_evidence_age: Millis::ZERO,
            last_disturbed_at: Millis::ZERO,
            random,
        };
        for daemon in 0..DAEMON_COUNT {
            let started = simulation.new_daemon(daemon, 1);
            simulation.daemons.push(started);
            simulation.schedule_daemon(daemon);
        }
        simulation.queue.schedule(Millis(10_100), Message::Operator);
        simulation.queue.schedule(Millis(14_000), Message::Request);
        simulation.queue.schedule(Millis(20_000), Message::Fault);
        simulation
    }

    pub(super) fn new_daemon(&self, daemon: usize, incarnation: u64) -> Daemon {
        let own_member = Member {
            entry: EntryId::from(format!("entry-{daemon}")),
            vm: VmId::from(format!("vm-entry-{daemon}")),
            incarnation,
            failure_domain: FailureDomain::from(format!("fd-{}", daemon % DOMAIN_COUNT)),
            peer_addr: daemon_addr(daemon),
            since: 0,
        };
        let options = ControlOptions {
            roster: RosterOptions::default(),
            placement: placement_options(),
            probe_period: Millis(1_000),
            evidence_max_age: EVIDENCE_MAX_AGE,
            gate_timeout: Millis(30_000),
            operators: KeyRing {
                signers: [self.operator_key.public()].into(),
                threshold: 1,
            },
        };
        let balance_options = BalanceOptions {
            evidence_max_age: EVIDENCE_MAX_AGE,
            ..BalanceOptions::default()
        };
        Daemon {
            state: ControlState::new(own_member, options),
            incarnation,
            balancer: Balancer::new(balance_options, daemon as u64),
            view: Arc::new(RouteView::default()),
            paused_until: Millis::ZERO,
            roll: 0,
        }
    }

    /// Schedules the first periodic messages of a daemon.
    pub(super) fn schedule_daemon(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation;
        let now = self.now;
        self.queue.schedule(now, Message::Tick(daemon, incarnation));
        self.queue.schedule(now, Message::Sync(daemon, incarnation));
        self.queue
            .schedule(now, Message::ListRead(daemon, incarnation));
    }
}
