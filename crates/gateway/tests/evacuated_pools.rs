//! Guards against pools that contain upstreams of evacuated failure domains, or that do not tell
//! which evacuated ones have upstreams.

use bergamot_gateway::evacuations::{EvacuationEvent, EvacuationState};
use bergamot_gateway::view::build_pools;
use bergamot_ports::{
    EngineSpec, GroupMembership, MemberState, ServiceSpec, ServingConfig, StoreRevision,
    UpstreamEntry, UpstreamState,
};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

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
    /// Evacuated failure domains with upstreams.
    held_back: &'static [&'static str],
}

/// Requests are refused at once only for the sake of evacuated failure domains with upstreams.
#[test]
fn pools_lack_exactly_the_upstreams_of_evacuated_domains() {
    use UpstreamState::{Draining, Ready};
    let cases = [
        PoolCase {
            name: "nothing is evacuated",
            evacuated: &[],
            west: Ready,
            expected: &["east", "west"],
            held_back: &[],
        },
        PoolCase {
            name: "one of two domains",
            evacuated: &["east"],
            west: Ready,
            expected: &["west"],
            held_back: &["east"],
        },
        PoolCase {
            name: "an unknown domain",
            evacuated: &["north"],
            west: Ready,
            expected: &["east", "west"],
            held_back: &[],
        },
        PoolCase {
            name: "all domains",
            evacuated: &["east", "west"],
            west: Ready,
            expected: &[],
            held_back: &["east", "west"],
        },
        PoolCase {
            name: "the other domain's upstream leaves",
            evacuated: &["east"],
            west: Draining,
            expected: &[],
            held_back: &["east"],
        },
        PoolCase {
            name: "the evacuated domain's upstream leaves",
            evacuated: &["west"],
            west: Draining,
            expected: &["east"],
            held_back: &[],
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
        let event =
            EvacuationEvent::Written(FailureDomain::new(domain), StoreRevision::ZERO.next());
        state.handle(Millis::ZERO, event);
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
    let held_back = pool.evacuated_domains(model).iter();
    let held_back: Vec<&str> = held_back.map(FailureDomain::as_str).collect();
    assert_eq!(held_back, case.held_back, "{}", case.name);
}
