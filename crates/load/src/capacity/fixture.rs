//! What the measurements run on: records, rosters and bundles of a size.

use std::time::Instant;

use bergamot_bundle::{AccountSpec, BundleDigest, BundleDocument, KeyRing, ModelSpec, SignerKey};
use bergamot_entry::control::{
    ControlAction, ControlEvent, ControlOptions, ControlState, group_key,
};
use bergamot_peer::{Datagram, EvidenceFact, encode};
use bergamot_placement::{
    DomainRecord, EnginePhase, EngineReport, GroupPhase, GroupRecord, ModelRef, PlacementOptions,
    VmSlot, VmUse,
};
use bergamot_platform::{KvEntry, VmFact, VmKind, VmState};
use bergamot_roster::{Heartbeat, LivenessFact, Member, RosterOptions, RosterRecord};
use bergamot_routing::{BalanceOptions, Balancer, UpstreamFact};
use bergamot_types::prelude::*;

/// Failure domains in two years.
pub(super) const DOMAINS: usize = 5;
/// VMs in each replica in two years.
pub(super) const REPLICA_VMS: usize = 8;

/// Microseconds of one call, the median of many.
pub(super) fn micros(mut call: impl FnMut()) -> f64 {
    const ROUNDS: usize = 31;
    let mut taken: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let started = Instant::now();
            call();
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    taken.sort_by(f64::total_cmp);
    taken[ROUNDS / 2]
}

pub(super) fn member(index: usize) -> Member {
    Member {
        entry: EntryId::from(format!("entry-{index:04}")),
        vm: VmId::from(format!("vm-entry-{index:04}")),
        incarnation: 1,
        failure_domain: FailureDomain::from(format!("fd-{}", index % DOMAINS)),
        peer_addr: ([10, 0, (index / 250) as u8, (index % 250) as u8], 81).into(),
        since: 1,
    }
}

pub(super) fn roster(members: usize) -> RosterRecord {
    RosterRecord {
        epoch: 1,
        settled: 1,
        members: (0..members).map(member).collect(),
        departed: Vec::new(),
        nonce: 0,
    }
}

pub(super) fn model() -> ModelRef {
    ModelRef {
        name: ModelName::new("lot-writer"),
        version: "2026.12.1".to_owned(),
        adapter: None,
    }
}

pub(super) fn vm_id(fabric: usize, index: usize) -> VmId {
    VmId::from(format!("vm-{fabric:02}-{index:04}"))
}

/// A fabric domain full of serving groups, with a spare for every forty VMs.
pub(super) fn domain_record(fabric: usize, vms: usize) -> DomainRecord {
    let mut record = DomainRecord::empty(
        FabricDomain::from(format!("fabric-{fabric:02}")),
        FailureDomain::from(format!("fd-{}", fabric % DOMAINS)),
    );
    record.term = 1;
    record.coordinator = EntryId::new("entry-0000");
    for index in 0..vms {
        let slot = VmSlot {
            usage: VmUse::Free,
            addr: ([10, 1, (index / 250) as u8, (index % 250) as u8], 80).into(),
            accelerators: 1,
        };
        record.vms.insert(vm_id(fabric, index), slot);
    }
    let groups = vms / REPLICA_VMS;
    let spare_groups = groups.div_ceil(40);
    for group in 0..groups - spare_groups.min(groups.saturating_sub(1)) {
        let members: Vec<VmId> = (0..REPLICA_VMS)
            .map(|step| vm_id(fabric, group * REPLICA_VMS + step))
            .collect();
        let spec = GroupRecord {
            model: model(),
            roll: 1,
            epoch: 1,
            size: REPLICA_VMS as u32,
            priority: 3,
            phase: GroupPhase::Serving,
        };
        record.form(spec, &members);
    }
    record
}

pub(super) fn facts(record: &DomainRecord) -> Vec<VmFact> {
    let vms = record.vms.iter();
    vms.map(|(vm, slot)| VmFact {
        vm: vm.clone(),
        kind: VmKind::Engine,
        state: VmState::Live,
        failure_domain: record.failure_domain.clone(),
        fabric_domain: record.fabric.clone(),
        addr: slot.addr,
        accelerators: 1,
    })
    .collect()
}

/// One entry VM's control state that knows `members` entry VMs and these records, with all
/// members of its own failure domain's groups reported.
pub(super) struct ControlBench {
    pub(super) state: ControlState,
    pub(super) now: Millis,
    pub(super) probes: u64,
    pub(super) datagrams: Vec<usize>,
    pub(super) counter: u32,
    pub(super) heard: usize,
}

impl ControlBench {
    pub(super) fn new(members: usize, records: &[DomainRecord]) -> Self {
        let options = ControlOptions {
            roster: RosterOptions::default(),
            placement: PlacementOptions::default(),
            probe_period: Millis(6_000),
            evidence_max_age: Millis(8_000),
            gate_timeout: Millis(120_000),
            operators: KeyRing {
                signers: [SignerKey::from_seed(&[1; 32]).public()].into(),
                threshold: 1,
            },
        };
        let mut bench = Self {
            state: ControlState::new(member(0), options),
            now: Millis(100_000),
            probes: 0,
            datagrams: Vec::new(),
            counter: 0,
            heard: 0,
        };
        bench.feed(ControlEvent::PeerRoster(roster(members)));
        let listed = records.iter().flat_map(facts).collect();
        bench.feed(ControlEvent::Listed(listed));
        for record in records {
            let key = group_key(&record.failure_domain, &record.fabric);
            let entry = KvEntry {
                key: key.clone(),
                value: serde_json::to_vec(record).unwrap_or_default(),
                revision: 1,
            };
            let started = bench.now;
            bench.feed(ControlEvent::Read {
                key,
                entry: Some(entry),
                started,
            });
        }
        bench
    }

    pub(super) fn feed(&mut self, event: ControlEvent) {
        let mut queue = vec![event];
        while let Some(event) = queue.pop() {
            for action in self.state.handle(self.now, event) {
                match action {
                    ControlAction::Probe(target) => {
                        self.probes += 1;
                        let report = self.report(&target.vm);
                        queue.push(ControlEvent::Report {
                            vm: target.vm,
                            asked: self.now,
                            report,
                        });
                    }
                    ControlAction::Send(_, datagram) => {
                        let bytes = encode(&*datagram).map_or(0, |bytes| bytes.len());
                        self.datagrams.push(bytes);
                    }
                    _ => {}
                }
            }
        }
    }

    pub(super) fn report(&self, vm: &VmId) -> Option<EngineReport> {
        let mut records = self.state.placements().values().filter_map(|p| p.record());
        let (record, slot) = records.find_map(|record| Some((record, record.vms.get(vm)?)))?;
        let VmUse::Member(group) = &slot.usage else {
            return Some(EngineReport::default());
        };
        Some(EngineReport {
            group: Some(group.clone()),
            epoch: record.groups[group].epoch,
            term: 1,
            model: Some(model()),
            phase: EnginePhase::Ready,
            running: 3,
            ..EngineReport::default()
        })
    }

    /// What the peers send in one heartbeat period, with news of every member in turn and of
    /// every group of this failure domain.
    pub(super) fn hear_peers(&mut self) {
        const PEERS: usize = 3;
        const FACTS: usize = 60;
        const EVIDENCE: usize = 40;
        self.counter += 1;
        let members = self.state.roster().record().members.clone();
        let groups: Vec<(GroupId, u32)> = self
            .state
            .placements()
            .values()
            .filter_map(|placement| placement.record())
            .filter(|record| record.failure_domain.as_str() == "fd-0")
            .flat_map(|record| record.groups.iter())
            .map(|(id, group)| (id.clone(), group.epoch))
            .collect();
        for _ in 0..PEERS.min(members.len() - 1) {
            self.heard += 1;
            let near = members.len() / DOMAINS;
            let from = &members[(self.heard % near.max(1)) * DOMAINS];
            let sender = if from.entry == member(0).entry {
                &members[1]
            } else {
                from
            };
            let facts = (0..FACTS.min(members.len())).map(|step| {
                let of = &members[(self.heard * FACTS + step) % members.len()];
                LivenessFact {
                    member: LivenessFact::member_hash(&of.entry, of.incarnation),
                    counter: self.counter,
                }
            });
            let evidence = (0..EVIDENCE.min(groups.len())).map(|step| {
                let (id, epoch) = &groups[(self.heard * EVIDENCE + step) % groups.len()];
                EvidenceFact {
                    group: EvidenceFact::group_hash(id),
                    epoch: *epoch,
                    age: 1_000,
                    load: 3,
                }
            });
            let datagram = Datagram {
                beat: Heartbeat {
                    from: sender.entry.clone(),
                    incarnation: sender.incarnation,
                    epoch: 1,
                    settled: 1,
                    counter: self.counter,
                    stopping: false,
                    facts: facts.collect(),
                    settled_facts: Vec::new(),
                },
                roll: 0,
                evidence: evidence.collect(),
                demand: Vec::new(),
            };
            let addr = sender.peer_addr;
            self.feed(ControlEvent::Datagram(Box::new(datagram), addr));
        }
    }

    /// Lets time go by in ticks, and returns the processor time of a second in microseconds.
    pub(super) fn second(&mut self) -> f64 {
        const TICK: u64 = 25;
        let started = Instant::now();
        for _ in 0..1_000 / TICK {
            self.now = self.now + Millis(TICK);
            if self.now.0.is_multiple_of(500) {
                self.hear_peers();
            }
            self.feed(ControlEvent::Tick);
        }
        started.elapsed().as_secs_f64() * 1e6
    }
}

/// Resident memory of this process in bytes.
pub(super) fn resident() -> f64 {
    const PAGE: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE
}

pub(super) fn balancer(runners: usize) -> Balancer {
    let mut balancer = Balancer::new(BalanceOptions::default(), 1);
    balancer.replace(
        (0..runners)
            .map(|index| UpstreamFact {
                id: UpstreamId::from(format!("fabric-{:02}.{index}", index % 20)),
                addr: ([10, 0, 0, 1], 80).into(),
                epoch: 1,
                failure_domain: FailureDomain::from(format!("fd-{}", index % DOMAINS)),
                evidence_at: Millis(1_000),
                reported: (index % 5) as u32,
                reported_at: Millis(1_000),
            })
            .collect(),
    );
    balancer
}

pub(super) fn bundle(models: usize, accounts: usize) -> BundleDocument {
    BundleDocument {
        version: "1".to_owned(),
        accounts: (0..accounts)
            .map(|index| AccountSpec {
                name: ClientAccount::from(format!("account-{index}")),
                token_sha256: BundleDigest::of(index.to_string().as_bytes()).to_string(),
                requests_per_second: 100.0,
                concurrency: 100,
                priority: 5,
            })
            .collect(),
        models: (0..models)
            .map(|index| ModelSpec {
                name: ModelName::from(format!("model-{index}")),
                version: "1".to_owned(),
                adapter: None,
                vms_per_replica: 8,
                replicas: 6,
                priority: 5,
                accounts: Vec::new(),
            })
            .collect(),
        ..BundleDocument::default()
    }
}
