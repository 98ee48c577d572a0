//! Guards against models without a group in a region to which requests are bound.

mod support;

use bergamot_groups::DemandMeter;
use bergamot_ports::{MemberState, RegionMap, UpstreamEntry};
use bergamot_types::prelude::*;

use support::shorthand::*;

/// An upstream in the second fabric domain, which is in failure domain `west`.
const fn western(upstream: ShortEntry) -> ShortEntry {
    ShortEntry {
        fabric: "f2",
        ..upstream
    }
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
    let domains = [("east", "north"), ("west", "south")];
    let regions = domains.map(|(domain, region)| (FailureDomain::new(domain), Region::new(region)));
    let regions: RegionMap = regions.into_iter().collect();
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
