//! Guards against evacuations that end without their key's removal, or that outlast it.

use bergamot_gateway::evacuations::{
    ENDED_RETENTION, EvacuationEvent, EvacuationState, RESTORED_EVACUATION_HOLD,
};
use bergamot_gateway::view::build_pools;
use bergamot_ports::{
    EngineSpec, GroupMembership, MemberState, ServiceSpec, ServingConfig, StoreGeneration,
    StoreRevision, UpstreamEntry, UpstreamState,
};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

const START: Millis = Millis(100_000);

/// Short notation for an event that concerns the failure domain `east`.
#[derive(Clone, Copy)]
enum Step {
    /// Generation and number of a write.
    Write(u64, u64),
    Remove(u64, u64),
    /// A read at this revision that holds the key, which was written at the second one.
    ReadHolding((u64, u64), (u64, u64)),
    ReadLacking(u64, u64),
    /// A peer's hold that began this many milliseconds ago, of a key of this revision.
    Retain(u64, (u64, u64)),
    /// Time passes.
    Wait(Millis),
}

const fn revision((generation, number): (u64, u64)) -> StoreRevision {
    StoreRevision::new(StoreGeneration(generation), number)
}

/// Applies steps and returns the state and the time.
fn apply(steps: &[Step]) -> (EvacuationState, Millis) {
    let (mut state, mut now) = (EvacuationState::default(), START);
    let east = FailureDomain::new("east");
    for step in steps {
        let held;
        let event = match *step {
            Step::Write(generation, number) => {
                EvacuationEvent::Written(east.clone(), revision((generation, number)))
            }
            Step::Remove(generation, number) => {
                EvacuationEvent::Removed(east.clone(), revision((generation, number)))
            }
            Step::ReadHolding(read, key) => {
                held = [(east.clone(), revision(key))];
                let revision = revision(read);
                EvacuationEvent::Read {
                    domains: &held,
                    revision,
                }
            }
            Step::ReadLacking(generation, number) => EvacuationEvent::Read {
                domains: &[],
                revision: revision((generation, number)),
            },
            Step::Retain(age, key) => EvacuationEvent::Retained {
                domain: east.clone(),
                revision: revision(key),
                held_since: Millis(now.0 - age),
            },
            Step::Wait(duration) => {
                now = now + duration;
                EvacuationEvent::Tick(revision((1, 90)))
            }
        };
        state.handle(now, event);
    }
    (state, now)
}

struct StateCase {
    name: &'static str,
    steps: &'static [Step],
    is_evacuated: bool,
    has_ended: bool,
}

#[test]
fn an_evacuation_lasts_until_its_key_is_removed_and_no_longer() {
    use Step::{ReadHolding, ReadLacking, Remove, Retain, Wait, Write};
    const JUST_BEFORE: Millis = Millis(RESTORED_EVACUATION_HOLD.0 - 1);
    let cases = [
        StateCase {
            name: "a long time without news",
            steps: &[Write(0, 5), Wait(Millis(100_000_000))],
            is_evacuated: true,
            has_ended: false,
        },
        StateCase {
            name: "removal",
            steps: &[Write(0, 5), Remove(0, 6)],
            is_evacuated: false,
            has_ended: true,
        },
        StateCase {
            name: "removed and added again",
            steps: &[Write(0, 5), Remove(0, 6), Write(0, 7)],
            is_evacuated: true,
            has_ended: false,
        },
        StateCase {
            name: "only the second write is seen",
            steps: &[Write(0, 5), Write(0, 7), Remove(0, 6)],
            is_evacuated: true,
            has_ended: false,
        },
        StateCase {
            name: "a read lacks the key",
            steps: &[Write(0, 5), ReadLacking(0, 9)],
            is_evacuated: false,
            has_ended: true,
        },
        StateCase {
            name: "a read from a peer is older than the key",
            steps: &[Write(0, 5), ReadLacking(0, 4)],
            is_evacuated: true,
            has_ended: false,
        },
        StateCase {
            name: "a read from a peer is older than the removal",
            steps: &[Write(0, 5), Remove(0, 6), ReadHolding((0, 5), (0, 5))],
            is_evacuated: false,
            has_ended: true,
        },
        StateCase {
            name: "a read holds the key",
            steps: &[ReadHolding((0, 9), (0, 5))],
            is_evacuated: true,
            has_ended: false,
        },
        StateCase {
            name: "the restored store lacks the key",
            steps: &[Write(0, 50), ReadLacking(1, 9), Wait(JUST_BEFORE)],
            is_evacuated: true,
            has_ended: false,
        },
        StateCase {
            name: "it still lacks the key after the hold",
            steps: &[
                Write(0, 50),
                ReadLacking(1, 9),
                Wait(RESTORED_EVACUATION_HOLD),
            ],
            is_evacuated: false,
            has_ended: true,
        },
        StateCase {
            name: "a second read during the hold lacks the key",
            steps: &[Write(0, 50), ReadLacking(1, 9), ReadLacking(1, 12)],
            is_evacuated: true,
            has_ended: false,
        },
        StateCase {
            name: "a second read does not extend the hold",
            steps: &[
                Write(0, 50),
                ReadLacking(1, 9),
                Wait(JUST_BEFORE),
                ReadLacking(1, 12),
                Wait(Millis(1)),
            ],
            is_evacuated: false,
            has_ended: true,
        },
        StateCase {
            name: "a peer's hold ends a moment later",
            steps: &[
                Write(0, 50),
                ReadLacking(1, 9),
                Wait(RESTORED_EVACUATION_HOLD),
                Retain(JUST_BEFORE.0, (0, 50)),
            ],
            is_evacuated: false,
            has_ended: true,
        },
        StateCase {
            name: "the key is written again during the hold",
            steps: &[
                Write(0, 50),
                ReadLacking(1, 9),
                Write(1, 12),
                Wait(RESTORED_EVACUATION_HOLD),
            ],
            is_evacuated: true,
            has_ended: false,
        },
        StateCase {
            name: "the key is removed during the hold",
            steps: &[Write(0, 50), ReadLacking(1, 9), Remove(1, 12)],
            is_evacuated: false,
            has_ended: true,
        },
        StateCase {
            name: "the restored store holds a removed key",
            steps: &[Write(0, 50), Remove(0, 60), ReadHolding((1, 55), (1, 50))],
            is_evacuated: true,
            has_ended: false,
        },
        StateCase {
            name: "a VM that starts after the restore learns of the hold",
            steps: &[ReadLacking(1, 9), Retain(1_000, (0, 50))],
            is_evacuated: true,
            has_ended: false,
        },
        StateCase {
            name: "the hold of the peer counts from its beginning",
            steps: &[
                ReadLacking(1, 9),
                Retain(1_000, (0, 50)),
                Wait(Millis(RESTORED_EVACUATION_HOLD.0 - 1_000)),
            ],
            is_evacuated: false,
            has_ended: true,
        },
        StateCase {
            name: "a peer holds what the operator has written and removed since",
            steps: &[
                Write(0, 50),
                ReadLacking(1, 9),
                Write(1, 12),
                Remove(1, 13),
                Retain(5_000, (0, 50)),
            ],
            is_evacuated: false,
            has_ended: true,
        },
        StateCase {
            name: "a peer holds what was removed before the restore",
            steps: &[
                Write(0, 50),
                Remove(0, 60),
                ReadLacking(1, 9),
                Retain(100, (0, 50)),
            ],
            is_evacuated: false,
            has_ended: true,
        },
        StateCase {
            name: "a peer's hold is over",
            steps: &[
                ReadLacking(1, 9),
                Retain(RESTORED_EVACUATION_HOLD.0, (0, 50)),
            ],
            is_evacuated: false,
            has_ended: false,
        },
    ];
    let mut failures = Vec::new();
    for case in cases {
        let (state, now) = apply(case.steps);
        let is_evacuated = !state.evacuations().is_empty();
        let has_ended = !state.ended(now).is_empty();
        if (is_evacuated, has_ended) != (case.is_evacuated, case.has_ended) {
            failures.push(format!("{}: {state:?}", case.name));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

struct RetainCase {
    name: &'static str,
    steps: &'static [Step],
    /// What this VM knows of the store.
    known: (u64, u64),
    peer_generation: u64,
    /// Age in milliseconds of the hold that the peer is told of.
    expected: Option<u64>,
}

/// A VM that starts after a restore can learn of a lost key from its peers only. Peers do not pass on
/// keys that the store holds, which may be removed meanwhile.
#[test]
fn peers_are_told_of_exactly_the_keys_that_a_restored_store_lacks() {
    use Step::{ReadLacking, Wait, Write};
    let cases = [
        RetainCase {
            name: "the store holds the key",
            steps: &[Write(0, 5)],
            known: (0, 9),
            peer_generation: 0,
            expected: None,
        },
        RetainCase {
            name: "the restored store lacks the key",
            steps: &[Write(0, 50), ReadLacking(1, 9), Wait(Millis(700))],
            known: (1, 9),
            peer_generation: 1,
            expected: Some(700),
        },
        RetainCase {
            name: "this VM has not noticed the restore that the peer knows of",
            steps: &[Write(0, 50), Wait(Millis(700))],
            known: (0, 50),
            peer_generation: 1,
            expected: Some(0),
        },
    ];
    for case in cases {
        let (state, now) = apply(case.steps);
        let peer_generation = StoreGeneration(case.peer_generation);
        let retained = state.retained(revision(case.known), peer_generation, now);
        let ages: Vec<u64> = retained.iter().map(|retained| retained.age.0).collect();
        assert_eq!(ages, Vec::from_iter(case.expected), "{}", case.name);
    }
}

/// Warm-up compares the revisions of entries with that of the removal.
#[test]
fn the_end_of_an_evacuation_has_its_revision_and_is_forgotten_in_the_end() {
    let (state, now) = apply(&[Step::Write(0, 5), Step::Remove(0, 6)]);
    let end = state.ended(now)[&FailureDomain::new("east")];
    assert_eq!((end.revision, end.known_at), (revision((0, 6)), START));
    assert!(state.ended(now + ENDED_RETENTION + Millis(1)).is_empty());
}

/// Returns the entry of an upstream of the service `desk`, which leads a group if it has engines.
fn entry(id: &str, failure_domain: &str, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        incarnation: UpstreamIncarnation::new(UpstreamId::new(id), Some(UnixMillis(1))),
        service: ServiceName::new("desk"),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new(failure_domain),
        fabric: None,
        state,
        slots: 8,
        cold_left: Millis::ZERO,
        staged: Vec::new(),
        models: Vec::new(),
        membership: Some(GroupMembership {
            group: GroupId::new("m0.7"),
            epoch: 7,
            rank: 0,
            state: MemberState::Open,
        }),
    }
}

struct PoolCase {
    name: &'static str,
    evacuated: &'static [&'static str],
    /// State of the upstream in `west`.
    west: UpstreamState,
    /// Failure domains that remain.
    expected: &'static [&'static str],
    is_marked: bool,
}

/// Only a pool without upstreams outside evacuated failure domains refuses requests at once.
#[test]
fn pools_lack_exactly_the_upstreams_of_evacuated_domains() {
    use UpstreamState::{Draining, Ready};
    let cases = [
        PoolCase {
            name: "nothing is evacuated",
            evacuated: &[],
            west: Ready,
            expected: &["east", "west"],
            is_marked: false,
        },
        PoolCase {
            name: "one of two domains",
            evacuated: &["east"],
            west: Ready,
            expected: &["west"],
            is_marked: false,
        },
        PoolCase {
            name: "an unknown domain",
            evacuated: &["north"],
            west: Ready,
            expected: &["east", "west"],
            is_marked: false,
        },
        PoolCase {
            name: "all domains",
            evacuated: &["east", "west"],
            west: Ready,
            expected: &[],
            is_marked: true,
        },
        PoolCase {
            name: "the other domain's upstream leaves",
            evacuated: &["east"],
            west: Draining,
            expected: &[],
            is_marked: true,
        },
        PoolCase {
            name: "the evacuated domain's upstream leaves",
            evacuated: &["west"],
            west: Draining,
            expected: &["east"],
            is_marked: false,
        },
    ];
    for case in cases {
        for has_engines in [false, true] {
            check_pool(&case, has_engines);
        }
    }
}

fn check_pool(case: &PoolCase, has_engines: bool) {
    let engine = EngineSpec {
        slots: 8,
        models: IndexMap::new(),
        loads_per_second: 10.0,
        parallel_loads: 6,
        open_time: Millis(10),
        speed: None,
    };
    let name = ServiceName::new("desk");
    let spec = ServiceSpec {
        name: name.clone(),
        max_connections: 100,
        engine: has_engines.then_some(engine),
        warm_up: None,
    };
    let config = ServingConfig {
        services: [(name.clone(), spec)].into(),
        ..ServingConfig::default()
    };
    let mut state = EvacuationState::default();
    for domain in case.evacuated {
        let event = EvacuationEvent::Written(FailureDomain::new(domain), revision((0, 5)));
        state.handle(START, event);
    }
    let entries = [
        entry("d0", "east", UpstreamState::Ready),
        entry("d1", "west", case.west),
    ];
    let entries = entries.map(|entry| (entry.incarnation.id.clone(), entry));
    let pools = build_pools(&config, &IndexMap::from(entries), state.evacuations());
    let pool = pools.get(&name).cloned().unwrap_or_default();
    let model = ModelName::new("m0");
    let leaders = pool.models.get(&model).cloned().unwrap_or_default();
    let (upstreams, model) = match has_engines {
        true => (leaders, Some(&model)),
        false => (pool.plain.clone(), None),
    };
    let domains = upstreams.iter().map(|upstream| &upstream.failure_domain);
    let domains: Vec<&str> = domains.map(FailureDomain::as_str).collect();
    assert_eq!(domains, case.expected, "{}", case.name);
    assert_eq!(pool.is_evacuated(model), case.is_marked, "{}", case.name);
}
