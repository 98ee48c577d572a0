//! Guards against models without a group in a region to which requests are bound.

mod support;

use bergamot_groups::{DemandMeter, GroupAction, GroupPlanner};
use bergamot_ports::{GroupOrder, MemberState, RegionMap, UpstreamEntry};
use bergamot_types::prelude::*;

use support::shorthand::*;

/// An upstream in the second fabric domain, which is in failure domain `west`.
const fn western(upstream: ShortEntry) -> ShortEntry {
    ShortEntry {
        fabric: "f2",
        ..upstream
    }
}

fn regions() -> RegionMap {
    let domains = [("east", "north"), ("west", "south")];
    let regions = domains.map(|(domain, region)| (FailureDomain::new(domain), Region::new(region)));
    regions.into_iter().collect()
}

struct RegionCase {
    name: &'static str,
    /// The region to which a request for model `a` is bound, and the time since then.
    bound: Option<(&'static str, u64)>,
    /// The upstreams besides a group of `a` in the region `north`.
    upstreams: [ShortEntry; 2],
    orders: &'static [&'static str],
}

#[test]
fn a_model_gets_a_group_in_the_region_to_which_its_requests_are_bound() {
    let free = [western(upstream("u3", None)), western(upstream("u4", None))];
    let cases = [
        RegionCase {
            name: "no bound requests: the model without a group",
            bound: None,
            upstreams: free,
            orders: &["u3: stage b", "u4: stage b"],
        },
        RegionCase {
            name: "bound to the region without a group of the model",
            bound: Some(("south", 0)),
            upstreams: free,
            orders: &["u3: stage a", "u4: stage a"],
        },
        RegionCase {
            name: "bound to a region with a group of the model",
            bound: Some(("north", 0)),
            upstreams: free,
            orders: &["u3: stage b", "u4: stage b"],
        },
        RegionCase {
            name: "no upstream in the region",
            bound: Some(("moon", 0)),
            upstreams: free,
            orders: &["u3: stage b", "u4: stage b"],
        },
        RegionCase {
            name: "the demand was long ago",
            bound: Some(("south", 120_000)),
            upstreams: free,
            orders: &["u3: stage b", "u4: stage b"],
        },
        RegionCase {
            name: "the region has a group of the model",
            bound: Some(("south", 0)),
            upstreams: [
                western(member("u3", "a.9", 0, MemberState::Open)),
                western(member("u4", "a.9", 1, MemberState::Ready)),
            ],
            orders: &[],
        },
    ];
    let regions = regions();
    for case in cases {
        let mut planner = planner();
        planner.set_regions(regions.clone());
        let model = ModelName::new("a");
        let mut meter = DemandMeter::default();
        meter.record_request(NOW, &model, 10);
        let waited = case.bound.map_or(0, |(_, waited)| waited);
        if let Some((region, _)) = case.bound {
            meter.record_bound(&model, &Region::new(region));
        }
        planner.set_demand(meter.demands(NOW + Millis(waited)));
        let group = [
            member("u1", "a.7", 0, MemberState::Open),
            member("u2", "a.7", 1, MemberState::Ready),
        ];
        let all = group.iter().chain(&case.upstreams);
        let entries = all.enumerate().map(|(index, upstream)| UpstreamEntry {
            failure_domain: FailureDomain::new(match upstream.fabric {
                "f2" => "west",
                _ => "east",
            }),
            ..entry(upstream, index)
        });
        let entries: Vec<UpstreamEntry> = entries.collect();
        planner.set_directory(entries.iter(), 30, NOW);
        let actions = planner.step(NOW);
        assert_eq!(orders(&actions), case.orders, "{}", case.name);
    }
}

/// A planner with two requests for model `a`, one of them bound to `south`.
fn planner_with_bound_demand() -> GroupPlanner {
    let mut planner = planner();
    planner.set_regions(regions());
    let model = ModelName::new("a");
    let mut meter = DemandMeter::default();
    meter.record_request(NOW, &model, 10);
    meter.record_bound(&model, &Region::new("south"));
    planner.set_demand(meter.demands(NOW));
    planner
}

/// An upstream in `west` if its id begins with `w`, else in `east`, of one fabric domain.
const fn spanning(id: &'static str) -> ShortEntry {
    let is_west = id.as_bytes()[0] == b'w';
    ShortEntry {
        failure_domain: if is_west { "west" } else { "east" },
        ..upstream(id, Some("a"))
    }
}

/// Returns the leader of each group that is formed.
fn leaders(actions: &[GroupAction]) -> Vec<&str> {
    let joins = actions.iter().filter_map(|action| match action {
        GroupAction::Order(request) => match &request.order {
            GroupOrder::Join { members, .. } if members[0] == request.target.incarnation.id => {
                Some(members[0].as_str())
            }
            _ => None,
        },
        _ => None,
    });
    joins.collect()
}

struct SpanningCase {
    name: &'static str,
    upstreams: Vec<ShortEntry>,
    evacuated: Option<&'static str>,
    /// Leaders of the groups of model `a` that are formed; the other upstreams load model `b`.
    leaders: &'static [&'static str],
}

/// A leader elsewhere leaves the need unmet, and each step forms another group for it.
#[test]
fn the_leader_of_a_group_in_a_spanning_fabric_domain_is_in_the_region() {
    let all = || ["e1", "e2", "e3", "w1"].map(spanning).to_vec();
    let cases = [
        SpanningCase {
            name: "the upstream in the region is ranked last",
            upstreams: all(),
            evacuated: None,
            leaders: &["w1"],
        },
        SpanningCase {
            name: "the only upstream in the region is evacuated",
            upstreams: all(),
            evacuated: Some("west"),
            leaders: &["e1"],
        },
        SpanningCase {
            name: "another fabric domain without an upstream in the region is passed over",
            upstreams: vec![
                spanning("e1"),
                spanning("e2"),
                ShortEntry {
                    fabric: "f2",
                    ..spanning("e3")
                },
                ShortEntry {
                    fabric: "f2",
                    ..spanning("w1")
                },
            ],
            evacuated: None,
            leaders: &["w1"],
        },
    ];
    for case in cases {
        let mut planner = planner_with_bound_demand();
        planner.set_evacuated(case.evacuated.map(FailureDomain::new));
        apply_directory(&case.upstreams, &mut planner);
        let actions = planner.step(NOW);
        assert_eq!(leaders(&actions), case.leaders, "{}", case.name);
    }
}
