//! A small directory in short, and what a planner makes of it.

use bergamot_groups::{GroupAction, GroupOptions, GroupPlanner, QueryOutcome};
use bergamot_ports::{
    EngineSpec, GroupMembership, GroupOrder, MemberState, ModelSpec, OrderOutcome, UpstreamEntry,
    UpstreamReport, UpstreamState,
};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

pub const NOW: Millis = Millis(100_000);

/// A model with half of the work.
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
            .map(|it| (it.name.clone(), it))
            .collect::<IndexMap<_, _>>(),
        loads_per_second: 4.0,
        parallel_loads: 2,
        open_time: Millis(300),
        speed: None,
    }
}

/// The first run of an upstream.
pub fn incarnation(id: &str) -> UpstreamIncarnation {
    UpstreamIncarnation::new(UpstreamId::new(id), Some(UnixMillis(1)))
}

/// What such a run reports that has begun no order.
pub fn report() -> UpstreamReport {
    UpstreamReport {
        born: Some(UnixMillis(1)),
        ..UpstreamReport::default()
    }
}

/// An upstream in short: id, fabric domain, staged model, group with rank and state, draining.
#[derive(Clone, Copy)]
pub struct Up {
    pub id: &'static str,
    pub fabric: &'static str,
    pub staged: Option<&'static str>,
    pub group: Option<(&'static str, usize, MemberState)>,
    pub is_draining: bool,
}

pub const fn up(id: &'static str, staged: Option<&'static str>) -> Up {
    Up {
        id,
        fabric: "f1",
        staged,
        group: None,
        is_draining: false,
    }
}

pub const fn member(id: &'static str, group: &'static str, rank: usize, state: MemberState) -> Up {
    Up {
        group: Some((group, rank, state)),
        ..up(id, Some("a"))
    }
}

pub fn entry(up: &Up, index: usize) -> UpstreamEntry {
    UpstreamEntry {
        incarnation: incarnation(up.id),
        service: ServiceName::new("engines"),
        addr: ([10, 0, 0, 1], 9_000 + index as u16).into(),
        failure_domain: FailureDomain::new("east"),
        fabric: Some(FabricDomain::new(up.fabric)),
        state: match up.is_draining {
            true => UpstreamState::Draining,
            false => UpstreamState::Ready,
        },
        slots: 8,
        staged: up.staged.map(ModelName::new).into_iter().collect(),
        models: Vec::new(),
        membership: up.group.map(|(group, rank, state)| GroupMembership {
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

pub fn show(ups: &[Up], planner: &mut GroupPlanner) {
    let entries: Vec<UpstreamEntry> = ups
        .iter()
        .enumerate()
        .map(|(index, up)| entry(up, index))
        .collect();
    planner.set_directory(entries.iter(), 30, NOW);
}

/// Orders in short: who and what.
pub fn orders(actions: &[GroupAction]) -> Vec<String> {
    let mut shown: Vec<String> = actions
        .iter()
        .filter_map(|action| match action {
            GroupAction::Order(request) => {
                let what = match &request.order {
                    GroupOrder::Join { model, members, .. } => {
                        format!("join {model} of {}", members.len())
                    }
                    GroupOrder::Stage { model } => format!("stage {model}"),
                    other => other.as_str().to_owned(),
                };
                Some(format!("{}: {what}", request.target.incarnation))
            }
            GroupAction::Query(_) | GroupAction::Hold { .. } => None,
        })
        .collect();
    shown.sort();
    shown
}

/// Says that all orders have begun.
pub fn obey(planner: &mut GroupPlanner, actions: &[GroupAction]) {
    for action in actions {
        if let GroupAction::Order(request) = action {
            planner.record_order_outcome(request, &OrderOutcome::Begun);
        }
    }
}

pub fn quiet(planner: &mut GroupPlanner, id: &str, now: Millis) {
    let id = incarnation(id);
    planner.record_stall(&id, true, now);
    planner.record_query_outcome(&id, &QueryOutcome::Silent, now);
    let actions = planner.step(now + Millis(60));
    obey(planner, &actions);
    planner.record_query_outcome(&id, &QueryOutcome::Silent, now + Millis(60));
}
