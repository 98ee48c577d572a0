//! Groups follow what is asked for, not only what was declared.

mod support;

use bergamot_groups::{DemandMeter, GroupAction};
use bergamot_ports::{EngineSpec, EngineSpeed, GroupOrder, MemberState};
use bergamot_types::prelude::*;

use support::short::*;

/// Two models with half of the work each, as declared.
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
    /// Requests of each model within ten seconds, and tokens of a prompt.
    asked: [(&'static str, u32, u32); 2],
    /// The model that the next hosts load.
    loaded: &'static str,
}

#[test]
fn the_next_group_is_of_the_model_that_needs_it() {
    let cases = [
        DemandCase {
            name: "nothing asked yet: the first of two that are declared alike",
            asked: [("a", 0, 0), ("b", 0, 0)],
            loaded: "a",
        },
        DemandCase {
            name: "about as declared",
            asked: [("a", 200, 1_000), ("b", 230, 1_000)],
            loaded: "a",
        },
        DemandCase {
            name: "three times as many requests",
            asked: [("a", 100, 1_000), ("b", 300, 1_000)],
            loaded: "b",
        },
        DemandCase {
            name: "fewer requests, but longer prompts",
            asked: [("a", 200, 500), ("b", 100, 16_000)],
            loaded: "b",
        },
        DemandCase {
            name: "the other way round",
            asked: [("a", 200, 16_000), ("b", 300, 500)],
            loaded: "a",
        },
    ];
    let group = |id, group, rank, model| Up {
        group: Some((group, rank, [MemberState::Open, MemberState::Ready][rank])),
        ..up(id, Some(model))
    };
    for case in cases {
        let mut meter = DemandMeter::default();
        for (model, requests, prompt) in case.asked {
            let model = ModelName::new(model);
            for request in 0..requests {
                let at = NOW + Millis(u64::from(request) * 10_000 / u64::from(requests));
                meter.record_request(at, &model, prompt);
            }
            meter.record_answer(&model, 10);
        }
        let mut planner = planner();
        planner.set_spec(even_spec());
        planner.set_demand(meter.demands(NOW + Millis(10_000)));
        let ups = [
            group("u1", "a.7", 0, "a"),
            group("u2", "a.7", 1, "a"),
            group("u3", "b.7", 0, "b"),
            group("u4", "b.7", 1, "b"),
            up("u5", None),
            up("u6", None),
        ];
        show(&ups, &mut planner);
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
        assert_eq!(loaded, [case.loaded; 2], "{}", case.name);
    }
}
