//! The measured quantities: processor time and bytes of each decision by the size it depends on.

use std::time::Instant;

use bergamot_bundle::{AccountSpec, BundleDigest, BundleDocument, KeyRing, ModelSpec};
use bergamot_bundle::{RollKeeper, RollRecord, SignedBundle, SignerKey};
use bergamot_claims::{ClaimAsk, ClaimAsker, ClaimEvent, ClaimKey, ClaimOptions, ClaimState};
use bergamot_entry::control::group_key;
use bergamot_entry::control::{ControlAction, ControlEvent, ControlOptions, ControlState};
use bergamot_peer::{Datagram, EvidenceFact, encode};
use bergamot_placement::{
    DomainRecord, EnginePhase, EngineReport, GroupPhase, GroupRecord, ModelRef, PlacementAction,
    PlacementEvent, PlacementOptions, PlacementState, SwapOutcome, VmListing, VmSlot, VmUse,
};
use bergamot_platform::{KvEntry, VmFact, VmKind, VmState};
use bergamot_roster::{Heartbeat, LivenessFact, Member, RosterOptions, RosterRecord, SlotMap};
use bergamot_routing::{BalanceOptions, Balancer, PickRequest, RunnerFact};
use bergamot_types::prelude::*;
use serde::Serialize;

use super::fit::LineFit;

/// One quantity with its slope.
#[derive(Clone, Debug, Serialize)]
pub struct CapacityRow {
    /// What was measured.
    pub name: &'static str,
    /// The unit.
    pub unit: &'static str,
    /// What it grows with.
    pub per: &'static str,
    /// The points.
    pub points: Vec<(f64, f64)>,
    /// The line through them.
    pub fit: LineFit,
    /// The size in two years.
    pub target: f64,
}

impl CapacityRow {
    fn new(
        name: &'static str,
        unit: &'static str,
        per: &'static str,
        points: Vec<(f64, f64)>,
        target: f64,
    ) -> Self {
        let fit = LineFit::through(&points);
        Self {
            name,
            unit,
            per,
            points,
            fit,
            target,
        }
    }

    /// The row for the terminal.
    pub fn line(&self) -> String {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}:{y:.1}"))
            .collect();
        format!(
            "{:32} {:6} {:>10.2} + {:>9.4} x {:14} r2 {:.3}  at {:5.0}: {:10.1}   [{}]",
            self.name,
            self.unit,
            self.fit.base,
            self.fit.slope,
            self.per,
            self.fit.r2,
            self.target,
            self.fit.at(self.target),
            points.join(" ")
        )
    }
}

/// Failure domains in two years.
const DOMAINS: usize = 5;
/// VMs in each replica in two years.
const REPLICA_VMS: usize = 8;

/// Microseconds of one call, the median of many.
fn micros(mut call: impl FnMut()) -> f64 {
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

fn member(index: usize) -> Member {
    Member {
        entry: EntryId::from(format!("entry-{index:04}")),
        vm: VmId::from(format!("vm-entry-{index:04}")),
        incarnation: 1,
        failure_domain: FailureDomain::from(format!("fd-{}", index % DOMAINS)),
        peer_addr: ([10, 0, (index / 250) as u8, (index % 250) as u8], 81).into(),
        since: 1,
    }
}

fn roster(members: usize) -> RosterRecord {
    RosterRecord {
        epoch: 1,
        settled: 1,
        members: (0..members).map(member).collect(),
        departed: Vec::new(),
        nonce: 0,
    }
}

fn model() -> ModelRef {
    ModelRef {
        name: ModelName::new("lot-writer"),
        version: "2026.12.1".to_owned(),
        adapter: None,
    }
}

fn vm_id(fabric: usize, index: usize) -> VmId {
    VmId::from(format!("vm-{fabric:02}-{index:04}"))
}

/// A fabric domain full of serving groups, with a spare for every forty VMs.
fn domain_record(fabric: usize, vms: usize) -> DomainRecord {
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

fn facts(record: &DomainRecord) -> Vec<VmFact> {
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
struct ControlBench {
    state: ControlState,
    now: Millis,
    probes: u64,
    datagrams: Vec<usize>,
    counter: u32,
    heard: usize,
}

impl ControlBench {
    fn new(members: usize, records: &[DomainRecord]) -> Self {
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

    fn feed(&mut self, event: ControlEvent) {
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

    fn report(&self, vm: &VmId) -> Option<EngineReport> {
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
    fn hear_peers(&mut self) {
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
    fn second(&mut self) -> f64 {
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
fn resident() -> f64 {
    const PAGE: f64 = 4_096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE
}

fn balancer(runners: usize) -> Balancer {
    let mut balancer = Balancer::new(BalanceOptions::default(), 1);
    balancer.replace(
        (0..runners)
            .map(|index| RunnerFact {
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

fn bundle(models: usize, accounts: usize) -> BundleDocument {
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

/// Measures every slope.
pub fn slopes() -> Vec<CapacityRow> {
    let mut rows = roster_rows();
    rows.extend(placement_rows());
    rows.extend(control_rows());
    rows.extend(request_rows());
    rows.extend(roll_rows());
    rows
}

const MEMBER_SIZES: [usize; 5] = [9, 50, 100, 200, 370];

fn roster_rows() -> Vec<CapacityRow> {
    let points = |measure: &dyn Fn(usize) -> f64| -> Vec<(f64, f64)> {
        let sizes = MEMBER_SIZES.iter();
        sizes.map(|size| (*size as f64, measure(*size))).collect()
    };
    let json = |size: usize| serde_json::to_vec(&roster(size)).map_or(0.0, |v| v.len() as f64);
    let slots = |size: usize| {
        let record = roster(size);
        micros(|| {
            std::hint::black_box(SlotMap::at_epoch(&record, 1));
        })
    };
    vec![
        CapacityRow::new("roster record", "bytes", "entry VMs", points(&json), 370.0),
        CapacityRow::new(
            "claim slots of an epoch",
            "us",
            "entry VMs",
            points(&slots),
            370.0,
        ),
    ]
}

const FABRIC_SIZES: [usize; 5] = [40, 80, 160, 240, 480];

fn placement_rows() -> Vec<CapacityRow> {
    let points = |measure: &dyn Fn(usize) -> f64| -> Vec<(f64, f64)> {
        let sizes = FABRIC_SIZES.iter();
        sizes.map(|size| (*size as f64, measure(*size))).collect()
    };
    let json =
        |size: usize| serde_json::to_vec(&domain_record(0, size)).map_or(0.0, |v| v.len() as f64);
    let parse = |size: usize| {
        let value = serde_json::to_vec(&domain_record(0, size)).unwrap_or_default();
        micros(|| {
            std::hint::black_box(serde_json::from_slice::<DomainRecord>(&value).ok());
        })
    };
    vec![
        CapacityRow::new(
            "fabric domain record",
            "bytes",
            "VMs in it",
            points(&json),
            240.0,
        ),
        CapacityRow::new(
            "coordinating it",
            "us/s",
            "VMs in it",
            points(&coordinator_second),
            240.0,
        ),
        CapacityRow::new(
            "reading that record",
            "us",
            "VMs in it",
            points(&parse),
            240.0,
        ),
    ]
}

/// Processor time of a second of coordinating one fabric domain, all its VMs reporting.
fn coordinator_second(vms: usize) -> f64 {
    const LOOKS: u64 = 10;
    let record = domain_record(0, vms);
    let me = EntryId::new("entry-0000");
    let options = PlacementOptions::default();
    let (fabric, domain) = (record.fabric.clone(), record.failure_domain.clone());
    let mut state = PlacementState::new(me.clone(), 7, fabric, domain, options);
    let mut now = Millis(100_000);
    let listed = facts(&record).into_iter().map(|fact| VmListing {
        vm: fact.vm,
        is_leaving: false,
        addr: fact.addr,
        accelerators: 1,
    });
    state.handle(now, PlacementEvent::Listed(listed.collect()));
    state.handle(now, PlacementEvent::Lead(true));
    let mut revision = 1;
    let mut spent = 0.0;
    let mut current = record;
    for second in 0..6 {
        for look in 0..LOOKS {
            now = now + Millis(1_000 / LOOKS);
            if look == 0 {
                report_all(&mut state, &current, now);
            }
            let started = Instant::now();
            let actions = state.handle(now, PlacementEvent::Tick);
            if second > 3 {
                spent += started.elapsed().as_secs_f64() * 1e6;
            }
            for action in actions {
                let answer = match action {
                    PlacementAction::Read => PlacementEvent::Record {
                        record: Some(current.clone()),
                        revision,
                        started: now,
                    },
                    PlacementAction::Swap { record, .. } => {
                        revision += 1;
                        current = record;
                        PlacementEvent::Swapped {
                            nonce: current.nonce,
                            outcome: SwapOutcome::Won(revision),
                        }
                    }
                    PlacementAction::Order { vm, .. } => PlacementEvent::Ordered { vm },
                };
                state.handle(now, answer);
            }
        }
    }
    spent / 2.0
}

fn report_all(state: &mut PlacementState, record: &DomainRecord, now: Millis) {
    for (vm, slot) in &record.vms {
        let report = match &slot.usage {
            VmUse::Member(group) => EngineReport {
                group: Some(group.clone()),
                epoch: record.groups[group].epoch,
                term: record.term,
                model: Some(model()),
                phase: EnginePhase::Ready,
                ..EngineReport::default()
            },
            _ => EngineReport {
                warm: vec![model()],
                ..EngineReport::default()
            },
        };
        let vm = vm.clone();
        let event = PlacementEvent::Report {
            vm,
            asked: now,
            report,
        };
        state.handle(now, event);
    }
}

fn control_rows() -> Vec<CapacityRow> {
    const FABRIC_VMS: usize = 240;
    let mut busy = Vec::new();
    let mut memory = Vec::new();
    let mut probes = Vec::new();
    let mut bytes = Vec::new();
    for fabrics in [1_usize, 4, 8, 12, 20] {
        let records: Vec<DomainRecord> = (0..fabrics)
            .map(|fabric| domain_record(fabric, FABRIC_VMS))
            .collect();
        let members = (fabrics * 370 / 20).max(2 * DOMAINS);
        let before = resident();
        let mut bench = ControlBench::new(members, &records);
        bench.second();
        let vms = (fabrics * FABRIC_VMS) as f64;
        memory.push((vms, (resident() - before) / 1e3));
        const SECONDS: usize = 12;
        bench.probes = 0;
        bench.datagrams.clear();
        let spent: f64 = (0..SECONDS).map(|_| bench.second()).sum();
        busy.push((vms, spent / SECONDS as f64));
        probes.push((vms, bench.probes as f64 / SECONDS as f64));
        let sent: usize = bench.datagrams.iter().sum();
        bytes.push((vms, sent as f64 / SECONDS as f64));
    }
    vec![
        CapacityRow::new(
            "control of one entry VM",
            "us/s",
            "engine VMs",
            busy,
            4_800.0,
        ),
        CapacityRow::new("control state", "kB", "engine VMs", memory, 4_800.0),
        CapacityRow::new(
            "probes of one entry VM",
            "1/s",
            "engine VMs",
            probes,
            4_800.0,
        ),
        CapacityRow::new("datagrams sent", "B/s", "engine VMs", bytes, 4_800.0),
    ]
}

fn request_rows() -> Vec<CapacityRow> {
    let account = ClientAccount::new("a");
    let home = FailureDomain::new("fd-0");
    let picks = [10_usize, 50, 120, 300, 600]
        .map(|runners| {
            let mut balancer = balancer(runners);
            let mut prefix = 0_u64;
            let spent = micros(|| {
                prefix += 1;
                let request = PickRequest {
                    account: &account,
                    prefix,
                    home: &home,
                    tried: &[],
                };
                std::hint::black_box(balancer.pick(Millis(1_500), &request));
            });
            (runners as f64, spent)
        })
        .to_vec();
    let views = [10_usize, 50, 120, 300, 600]
        .map(|runners| {
            let mut balancer = balancer(runners);
            let facts: Vec<RunnerFact> = balancer.table().facts().values().cloned().collect();
            (runners as f64, micros(|| balancer.replace(facts.clone())))
        })
        .to_vec();
    let claims = [1_000_usize, 5_000, 10_000, 20_000, 50_000]
        .map(|count| (count as f64, claim_bytes(count) / 1e3))
        .to_vec();
    vec![
        CapacityRow::new("choice of a replica", "us", "replicas", picks, 600.0),
        CapacityRow::new("taking a snapshot over", "us", "replicas", views, 600.0),
        CapacityRow::new("claims kept", "kB", "claims", claims, 50_000.0),
    ]
}

fn claim_bytes(count: usize) -> f64 {
    let before = resident();
    let me = EntryId::new("entry-0000");
    let mut state = ClaimState::new(me.clone(), ClaimOptions::default());
    state.handle(Millis(1_000), ClaimEvent::Roster(roster(1)));
    for number in 0..count {
        let ask = ClaimAsk {
            ask: number as u64,
            key: ClaimKey::of(&ClientAccount::new("a"), &number.to_string()),
            body: 1,
            asker: ClaimAsker {
                entry: me.clone(),
                incarnation: 1,
                attempt: number as u64,
            },
            epoch: 1,
            grant: Millis(60_000),
        };
        state.handle(Millis(1_000), ClaimEvent::Ask(ask));
    }
    let bytes = resident() - before;
    assert_eq!(state.len(), count, "every claim was granted");
    bytes
}

fn roll_rows() -> Vec<CapacityRow> {
    let key = [SignerKey::from_seed(&[1; 32])];
    let ring = KeyRing {
        signers: [key[0].public()].into(),
        threshold: 1,
    };
    let mut spent = Vec::new();
    let mut bytes = Vec::new();
    for models in [5_usize, 20, 50, 100, 200] {
        let document = serde_json::to_vec(&bundle(models, 10)).unwrap_or_default();
        let signed = SignedBundle::sign(document, &key);
        let record = RollRecord::next(None, signed.digest(), 1, &key);
        let size = serde_json::to_vec(&signed).map_or(0, |v| v.len());
        bytes.push((models as f64, size as f64));
        let took = micros(|| {
            let mut keeper = RollKeeper::new(ring.clone());
            std::hint::black_box(keeper.adopt(&record, &signed).ok());
        });
        spent.push((models as f64, took));
    }
    vec![
        CapacityRow::new("adopting a roll", "us", "models", spent, 100.0),
        CapacityRow::new("signed bundle", "bytes", "models", bytes, 100.0),
    ]
}

/// Runs the decision state of one entry VM at the full size, and that of a storm: a whole failure
/// domain goes silent.
pub fn full_size() -> Vec<String> {
    let records: Vec<DomainRecord> = (0..20).map(|fabric| domain_record(fabric, 240)).collect();
    let before = resident();
    let mut bench = ControlBench::new(370, &records);
    let groups: usize = records.iter().map(|record| record.groups.len()).sum();
    bench.second();
    let memory = (resident() - before) / 1e6;
    bench.probes = 0;
    bench.datagrams.clear();
    let calm: f64 = (0..12).map(|_| bench.second()).sum::<f64>() / 12.0;
    let probes = bench.probes as f64 / 12.0;
    let sent: usize = bench.datagrams.iter().sum();
    let largest = bench.datagrams.iter().max().copied().unwrap_or(0);
    let home: Vec<VmId> = records
        .iter()
        .filter(|record| record.failure_domain.as_str() == "fd-0")
        .flat_map(|record| record.vms.keys().cloned())
        .collect();
    let asked = bench.now;
    let started = Instant::now();
    for vm in home {
        bench.feed(ControlEvent::Report {
            vm,
            asked,
            report: None,
        });
    }
    let storm = started.elapsed().as_secs_f64() * 1e3;
    vec![
        format!("370 entry VMs, {groups} groups, 4,800 VMs in 20 fabric domains, one entry VM:"),
        format!("  control state {memory:.1} MB, control {calm:.0} us of processor a second"),
        format!(
            "  probes {probes:.1} a second, datagrams {} B/s, largest {largest} B",
            sent / 12
        ),
        format!("  a failure domain silent at once: {storm:.1} ms of processor in all"),
    ]
}
