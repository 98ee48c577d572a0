//! A large fleet with one model in groups of 16 and one in groups of four, in fabric domains of 37
//! upstreams.

use bergamot_ports::{EngineSpec, UpstreamEntry, UpstreamState};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use super::shorthand::model;

pub const FABRIC_SIZE: usize = 37;

pub fn spec() -> EngineSpec {
    EngineSpec {
        slots: 30,
        models: [model("large", 16), model("small", 4)]
            .into_iter()
            .map(|model| (model.name.clone(), model))
            .collect::<IndexMap<_, _>>(),
        loads_per_second: 18.0,
        parallel_loads: 27,
        open_time: Millis(300),
        speed: None,
    }
}

/// Returns the entry of an upstream without staged weights.
pub fn entry(index: usize) -> UpstreamEntry {
    let fabric = index / FABRIC_SIZE;
    UpstreamEntry {
        incarnation: UpstreamIncarnation::new(
            UpstreamId::from(format!("i-{index:08x}")),
            Some(UnixMillis(1)),
        ),
        service: ServiceName::new("engines"),
        addr: ([10, 1, (index / 200) as u8, (index % 200) as u8], 8_000).into(),
        failure_domain: FailureDomain::from(format!("fd-{}", fabric % 3)),
        fabric: Some(FabricDomain::from(format!("fabric-{fabric}"))),
        state: UpstreamState::Ready,
        slots: 30,
        cold_left: Millis::ZERO,
        staged: Vec::new(),
        models: Vec::new(),
        membership: None,
    }
}
