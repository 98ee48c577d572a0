//! The measured quantities: processor time and bytes of each decision by the size it depends on.

use std::time::Instant;

use bergamot_bundle::{KeyRing, RollAdopter, RollRecord, SignedBundle, SignerKey};
use bergamot_claims::{ClaimEvent, ClaimKey, ClaimOptions, ClaimRequest, ClaimState, Claimant};
use bergamot_entry::control::ControlEvent;
use bergamot_placement::{
    DomainRecord, EnginePhase, EngineReport, PlacementAction, PlacementEvent, PlacementOptions,
    PlacementState, SwapOutcome, VmListing, VmUse,
};
use bergamot_roster::SlotMap;
use bergamot_routing::{PickRequest, UpstreamFact};
use bergamot_types::prelude::*;

use super::fixture::{
    ControlBench, DOMAINS, balancer, bundle, domain_record, facts, micros, model, resident, roster,
};
use super::row::CapacityRow;

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
            let facts: Vec<UpstreamFact> = balancer.table().facts().values().cloned().collect();
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
        let request = ClaimRequest {
            call_id: number as u64,
            key: ClaimKey::of(&ClientAccount::new("a"), &number.to_string()),
            fingerprint: 1,
            claimant: Claimant {
                entry: me.clone(),
                incarnation: 1,
                attempt: number as u64,
            },
            epoch: 1,
            grant: Millis(60_000),
        };
        state.handle(Millis(1_000), ClaimEvent::Request(request));
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
            let mut keeper = RollAdopter::new(ring.clone());
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
