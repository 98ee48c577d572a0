//! A small directory in short notation, and helpers that drive a planner with it.

use bergamot_groups::{GroupAction, GroupOptions, GroupPlanner, QueryOutcome};
use bergamot_ports::{
    EngineSpec, GroupMembership, GroupOrder, MemberState, ModelSpec, OrderOutcome, UpstreamEntry,
    UpstreamReport, UpstreamState,
};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

pub const NOW: Millis = Millis(100_000);

/// A model with half of the load.
pub fn model(name: &str, size: usize) -> ModelSpec {
    ModelSpec {
        name: ModelName::new(name),
        group_size: size,
        demand_share: 0.5,
        pace: 1.0,
        load_time: Millis(16_000),
        warmup_time: Millis(1_600),
    }
}

pub fn spec() -> EngineSpec {
    EngineSpec {
        slots: 8,
        models: [model("a", 2), model("b", 2)]
            .into_iter()
            .map(|model| (model.name.clone(), model))
            .collect::<IndexMap<_, _>>(),
        loads_per_second: 4.0,
        parallel_loads: 2,
        open_time: Millis(300),
        speed: None,
    }
}

/// The first incarnation of an upstream.
pub fn incarnation(id: &str) -> UpstreamIncarnation {
    UpstreamIncarnation::new(UpstreamId::new(id), Some(UnixMillis(1)))
}

/// The report of a first incarnation that has begun no orders.
pub fn report() -> UpstreamReport {
    UpstreamReport {
        born: Some(UnixMillis(1)),
        ..UpstreamReport::default()
    }
}

/// Short notation for a directory entry.
#[derive(Clone, Copy)]
pub struct ShortEntry {
    pub id: &'static str,
    pub fabric: &'static str,
    pub staged: Option<&'static str>,
    pub group: Option<(&'static str, usize, MemberState)>,
    pub is_draining: bool,
    pub failure_domain: &'static str,
}

pub const fn upstream(id: &'static str, staged: Option<&'static str>) -> ShortEntry {
    ShortEntry {
        id,
        fabric: "f1",
        staged,
        group: None,
        is_draining: false,
        failure_domain: "east",
    }
}

pub const fn member(
    id: &'static str,
    group: &'static str,
    rank: usize,
    state: MemberState,
) -> ShortEntry {
    ShortEntry {
        group: Some((group, rank, state)),
        ..upstream(id, Some("a"))
    }
}

pub fn entry(upstream: &ShortEntry, index: usize) -> UpstreamEntry {
    UpstreamEntry {
        incarnation: incarnation(upstream.id),
        service: ServiceName::new("engines"),
        addr: ([10, 0, 0, 1], 9_000 + index as u16).into(),
        failure_domain: FailureDomain::new(upstream.failure_domain),
        fabric: Some(FabricDomain::new(upstream.fabric)),
        state: match upstream.is_draining {
            true => UpstreamState::Draining,
            false => UpstreamState::Ready,
        },
        slots: 8,
        cold_left: Millis::ZERO,
        staged: upstream.staged.map(ModelName::new).into_iter().collect(),
        models: Vec::new(),
        membership: upstream.group.map(|(group, rank, state)| GroupMembership {
            group: GroupId::new(group),
            epoch: 7,
            rank,
            state,
        }),
    }
}

pub fn planner() -> GroupPlanner {
    let mut planner = GroupPlanner::new(
        GroupOptions::default(),
        spec(),
        20,
        true,
        IndexMap::new(),
        NOW,
    );
    planner.record_traffic();
    planner
}

/// Replaces the planner's directory with these upstreams.
pub fn apply_directory(upstreams: &[ShortEntry], planner: &mut GroupPlanner) {
    let entries: Vec<UpstreamEntry> = upstreams
        .iter()
        .enumerate()
        .map(|(index, upstream)| entry(upstream, index))
        .collect();
    planner.set_directory(entries.iter(), 30, NOW);
}

/// Formats the orders as sorted lines of upstream and order.
pub fn orders(actions: &[GroupAction]) -> Vec<String> {
    let mut lines: Vec<String> = actions
        .iter()
        .filter_map(|action| match action {
            GroupAction::Order(request) => {
                let order = match &request.order {
                    GroupOrder::Join { model, members, .. } => {
                        format!("join {model} of {}", members.len())
                    }
                    GroupOrder::Stage { model } => format!("stage {model}"),
                    other => other.as_str().to_owned(),
                };
                Some(format!("{}: {order}", request.target.incarnation))
            }
            GroupAction::Query(_) | GroupAction::Hold { .. } => None,
        })
        .collect();
    lines.sort();
    lines
}

/// Reports that all orders have begun.
pub fn accept_orders(planner: &mut GroupPlanner, actions: &[GroupAction]) {
    for action in actions {
        if let GroupAction::Order(request) = action {
            planner.record_order_outcome(request, &OrderOutcome::Begun);
        }
    }
}

/// Suspects the leader `id` and lets two queries to it time out, one step apart.
pub fn time_out_queries(planner: &mut GroupPlanner, id: &str, now: Millis) {
    let incarnation = incarnation(id);
    planner.record_stall(&incarnation, true, now);
    planner.record_query_outcome(&incarnation, &QueryOutcome::Unreachable, now);
    let actions = planner.step(now + Millis(60));
    accept_orders(planner, &actions);
    planner.record_query_outcome(&incarnation, &QueryOutcome::Unreachable, now + Millis(60));
}
