//! Golden test of a control session on one entry VM. Each action is logged as one line of key=value
//! pairs.
//!
//! `BERGAMOT_RENEW=1 cargo test -p bergamot-entry --test golden` rewrites the golden file.

use bergamot_bundle::document::ModelSpec;
use bergamot_bundle::{
    AccountSpec, BundleDigest, BundleDocument, KeyRing, RollRecord, SignedBundle, SignerKey,
};
use bergamot_entry::control::{
    ControlAction, ControlEvent, ControlOptions, ControlState, ROLL_KEY, ROSTER_KEY, bundle_key,
};
use bergamot_placement::{
    DomainRecord, EnginePhase, EngineReport, OrderKind, PlacementOptions, SwapOutcome, VmOrder,
};
use bergamot_platform::{KvEntry, VmFact, VmKind, VmState};
use bergamot_roster::{Member, RosterOptions};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

const VMS: usize = 5;

struct Session {
    now: Millis,
    state: ControlState,
    store: IndexMap<String, (i64, Vec<u8>)>,
    revision: i64,
    engines: IndexMap<VmId, EngineReport>,
    crashed: Vec<VmId>,
    leaving: Vec<VmId>,
    lines: Vec<String>,
    routable: usize,
}

fn operator_key() -> SignerKey {
    SignerKey::from_seed(&[3; 32])
}

fn vm(index: usize) -> VmId {
    VmId::from(format!("vm-{index}"))
}

fn document(version: &str) -> BundleDocument {
    BundleDocument {
        version: version.to_owned(),
        accounts: vec![AccountSpec {
            name: ClientAccount::new("a"),
            token_sha256: BundleDigest::of(b"t").to_string(),
            requests_per_second: 10.0,
            concurrency: 10,
            priority: 1,
        }],
        models: vec![ModelSpec {
            name: ModelName::new("m"),
            version: version.to_owned(),
            adapter: None,
            vms_per_replica: 2,
            replicas: 2,
            priority: 1,
            accounts: Vec::new(),
        }],
        ..BundleDocument::default()
    }
}

impl Session {
    fn new() -> Self {
        let own_member = Member {
            entry: EntryId::new("entry-1"),
            vm: VmId::new("vm-entry-1"),
            incarnation: 1,
            failure_domain: FailureDomain::new("fd-1"),
            peer_addr: ([10, 0, 0, 1], 81).into(),
            since: 0,
        };
        let options = ControlOptions {
            roster: RosterOptions::default(),
            placement: PlacementOptions::default(),
            probe_period: Millis(1_000),
            evidence_max_age: Millis(3_000),
            gate_timeout: Millis(60_000),
            operators: KeyRing {
                signers: [operator_key().public()].into(),
                threshold: 1,
            },
        };
        Self {
            now: Millis(10_000),
            state: ControlState::new(own_member, options),
            store: IndexMap::new(),
            revision: 0,
            engines: (0..VMS)
                .map(|index| (vm(index), EngineReport::default()))
                .collect(),
            crashed: Vec::new(),
            leaving: Vec::new(),
            lines: Vec::new(),
            routable: 0,
        }
    }

    fn log(&mut self, line: &str) {
        let now = self.now;
        self.lines.push(format!("at_ms={now} {line}"));
    }

    fn swap(&mut self, key: &str, expected: i64, value: Vec<u8>) -> Option<i64> {
        let current = self.store.get(key).map_or(0, |(revision, _)| *revision);
        if current != expected {
            return None;
        }
        self.revision += 1;
        self.store.insert(key.to_owned(), (self.revision, value));
        Some(self.revision)
    }

    fn publish_bundle(&mut self, version: &str) {
        let keys = [operator_key()];
        let bytes = serde_json::to_vec(&document(version)).expect("JSON");
        let signed = SignedBundle::sign(bytes, &keys);
        let digest = signed.digest();
        let value = serde_json::to_vec(&signed).expect("JSON");
        self.swap(&bundle_key(&digest), 0, value);
        let current = self.store.get(ROLL_KEY).cloned();
        let revision = current.as_ref().map_or(0, |(revision, _)| *revision);
        let current: Option<RollRecord> =
            current.map(|(_, value)| serde_json::from_slice(&value).expect("JSON"));
        let next = RollRecord::next(current.as_ref(), digest, 1, &keys);
        let value = serde_json::to_vec(&next).expect("JSON");
        self.swap(ROLL_KEY, revision, value);
        self.log(&format!(
            "operator=roll number={} version={version}",
            next.number
        ));
    }

    fn run(&mut self, seconds: u64) {
        const TICK_MS: u64 = 100;
        for step in 0..seconds * 1_000 / TICK_MS {
            self.now = self.now + Millis(TICK_MS);
            if step.is_multiple_of(10) {
                for key in [ROLL_KEY, ROSTER_KEY] {
                    self.feed_read(key);
                }
                self.feed_vm_list();
            }
            self.feed(ControlEvent::Tick);
        }
    }

    fn feed_read(&mut self, key: &str) {
        let entry = self.store.get(key).map(|(revision, value)| KvEntry {
            key: key.to_owned(),
            value: value.clone(),
            revision: *revision,
        });
        let started_at = self.now;
        self.feed(ControlEvent::Read {
            key: key.to_owned(),
            entry,
            started: started_at,
        });
    }

    fn feed_vm_list(&mut self) {
        let engine_vms = self.engines.keys().map(|vm| VmFact {
            vm: vm.clone(),
            kind: VmKind::Engine,
            state: match self.leaving.contains(vm) {
                true => VmState::Leaving,
                false => VmState::Live,
            },
            failure_domain: FailureDomain::new("fd-1"),
            fabric_domain: FabricDomain::new("fabric-1"),
            addr: ([10, 0, 1, 1], 80).into(),
            accelerators: 8,
        });
        let entry = VmFact {
            vm: VmId::new("vm-entry-1"),
            kind: VmKind::Entry,
            state: VmState::Live,
            failure_domain: FailureDomain::new("fd-1"),
            fabric_domain: FabricDomain::new("fabric-1"),
            addr: ([10, 0, 0, 1], 81).into(),
            accelerators: 0,
        };
        let vms = engine_vms.chain([entry]).collect();
        self.feed(ControlEvent::Listed(vms));
    }

    fn feed(&mut self, event: ControlEvent) {
        let mut events = vec![event];
        while !events.is_empty() {
            let event = events.remove(0);
            for action in self.state.handle(self.now, event) {
                events.extend(self.execute(action));
            }
        }
    }

    fn execute(&mut self, action: ControlAction) -> Option<ControlEvent> {
        match action {
            ControlAction::Read(key) => {
                let entry = self.store.get(&key).map(|(revision, value)| KvEntry {
                    key: key.clone(),
                    value: value.clone(),
                    revision: *revision,
                });
                let started_at = self.now;
                Some(ControlEvent::Read {
                    key,
                    entry,
                    started: started_at,
                })
            }
            ControlAction::Swap {
                key,
                expected,
                value,
                nonce,
            } => {
                if let Ok(record) = serde_json::from_slice::<DomainRecord>(&value) {
                    let groups: Vec<String> = record
                        .groups
                        .iter()
                        .map(|(id, group)| {
                            let members = record.members(id).map(|(vm, _)| vm.as_str());
                            let members: Vec<&str> = members.collect();
                            let phase = format!("{:?}", group.phase).to_lowercase();
                            let (epoch, version) = (group.epoch, &group.model.version);
                            format!("{id}/{epoch}:{phase}:v{version}:{}", members.join("+"))
                        })
                        .collect();
                    let term = record.term;
                    self.log(&format!(
                        "record=groups term={term} groups={}",
                        groups.join(",")
                    ));
                }
                let outcome = self
                    .swap(&key, expected, value)
                    .map_or(SwapOutcome::Lost, SwapOutcome::Won);
                Some(ControlEvent::Swapped {
                    key,
                    nonce,
                    outcome,
                })
            }
            ControlAction::Probe(target) => {
                let is_crashed = self.crashed.contains(&target.vm);
                let report = self.engines.get(&target.vm).cloned();
                let asked_at = self.now;
                Some(ControlEvent::Report {
                    vm: target.vm,
                    asked: asked_at,
                    report: report.filter(|_| !is_crashed),
                })
            }
            ControlAction::Order { target, order } => {
                self.apply_order(&target.vm, &order);
                Some(ControlEvent::Ordered { vm: target.vm })
            }
            ControlAction::Roster(record) => Some(ControlEvent::ClaimsSettled(record.epoch)),
            ControlAction::Publish(view) => {
                let routable = view.groups.len();
                if routable != self.routable {
                    self.routable = routable;
                    self.log(&format!("routes=changed groups={routable}"));
                }
                None
            }
            ControlAction::Note(line) => {
                if !line.starts_with("event=groups_swapped") {
                    self.log(&line);
                }
                None
            }
            _ => None,
        }
    }

    fn apply_order(&mut self, vm: &VmId, order: &VmOrder) {
        if self.crashed.contains(vm) {
            return;
        }
        let report = &mut self.engines[vm];
        report.term = order.term;
        match &order.kind {
            OrderKind::Join { model, .. } => {
                report.group = order.group.clone();
                report.epoch = order.epoch;
                report.model = Some(model.clone());
                report.phase = EnginePhase::Ready;
                report.warm = vec![model.clone()];
            }
            OrderKind::Drain => report.phase = EnginePhase::Draining,
            OrderKind::Leave => {
                let warm = std::mem::take(&mut report.warm);
                *report = EngineReport {
                    warm,
                    ..EngineReport::default()
                };
            }
            OrderKind::Warm { model } => report.warm = vec![model.clone()],
        }
    }
}

#[test]
fn session_matches_the_golden_file() {
    let mut session = Session::new();
    session.run(2);
    session.publish_bundle("1");
    session.run(12);
    session.log("fault=dies vm=vm-0");
    session.crashed.push(vm(0));
    session.run(12);
    session.log("fault=returns_empty vm=vm-0");
    session.crashed.clear();
    session.engines[&vm(0)] = EngineReport::default();
    session.run(30);
    session.publish_bundle("2");
    session.run(60);
    session.log("platform=leaving vm=vm-3");
    session.leaving.push(vm(3));
    session.run(30);
    let text = session.lines.join("\n") + "\n";
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/session.txt");
    if std::env::var_os("BERGAMOT_RENEW").is_some() {
        std::fs::write(path, &text).expect("the golden file cannot be written");
    }
    let golden = std::fs::read_to_string(path).unwrap_or_default();
    for (index, (actual, expected)) in text.lines().zip(golden.lines()).enumerate() {
        assert_eq!(actual, expected, "line {}", index + 1);
    }
    assert_eq!(text.lines().count(), golden.lines().count());
}
