//! Groups follow the measured demand, not only the declared one.

mod support;

use bergamot_groups::{DemandMeter, GroupAction};
use bergamot_ports::{EngineSpec, EngineSpeed, GroupOrder, MemberState};
use bergamot_types::prelude::*;

use support::shorthand::*;

/// Two models that each have half of the declared load.
fn even_spec() -> EngineSpec {
    EngineSpec {
        speed: Some(EngineSpeed {
            step_ms: 6.0,
            step_ms_per_request: 0.04,
            steps_per_pass: 7,
            tokens_per_ms: 50.0,
        }),
        ..spec()
    }
}

struct DemandCase {
    name: &'static str,
    /// Per model: number of requests within ten seconds, and prompt tokens of each.
    requested: [(&'static str, u32, u32); 2],
    /// The model that the next hosts load.
    loaded_model: &'static str,
}

#[test]
fn the_next_group_is_of_the_model_that_needs_it() {
    let cases = [
        DemandCase {
            name: "no requests yet: the first of two models with equal declared shares",
            requested: [("a", 0, 0), ("b", 0, 0)],
            loaded_model: "a",
        },
        DemandCase {
            name: "demand close to the declared shares",
            requested: [("a", 200, 1_000), ("b", 230, 1_000)],
            loaded_model: "a",
        },
        DemandCase {
            name: "three times as many requests for b",
            requested: [("a", 100, 1_000), ("b", 300, 1_000)],
            loaded_model: "b",
        },
        DemandCase {
            name: "fewer requests for b, but longer prompts",
            requested: [("a", 200, 500), ("b", 100, 16_000)],
            loaded_model: "b",
        },
        DemandCase {
            name: "more requests for b, but longer prompts for a",
            requested: [("a", 200, 16_000), ("b", 300, 500)],
            loaded_model: "a",
        },
    ];
    let group_member = |id, group, rank, model| ShortEntry {
        group: Some((group, rank, [MemberState::Open, MemberState::Ready][rank])),
        ..upstream(id, Some(model))
    };
    for case in cases {
        let mut meter = DemandMeter::default();
        for (model, requests, prompt_tokens) in case.requested {
            let model = ModelName::new(model);
            for request in 0..requests {
                let arrived_at = NOW + Millis(u64::from(request) * 10_000 / u64::from(requests));
                meter.record_request(arrived_at, &model, prompt_tokens);
            }
            meter.record_answer(&model, 10);
        }
        let mut planner = planner();
        planner.set_spec(even_spec());
        planner.set_demand(meter.demands(NOW + Millis(10_000)));
        let upstreams = [
            group_member("u1", "a.7", 0, "a"),
            group_member("u2", "a.7", 1, "a"),
            group_member("u3", "b.7", 0, "b"),
            group_member("u4", "b.7", 1, "b"),
            upstream("u5", None),
            upstream("u6", None),
        ];
        apply_directory(&upstreams, &mut planner);
        let loaded = planner.step(NOW).into_iter().filter_map(|action| {
            let GroupAction::Order(request) = action else {
                return None;
            };
            match request.order {
                GroupOrder::Stage { model } => Some(model.to_string()),
                _ => None,
            }
        });
        let loaded: Vec<String> = loaded.collect();
        assert_eq!(loaded, [case.loaded_model; 2], "{}", case.name);
    }
}
