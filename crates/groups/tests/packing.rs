//! How many groups of each model fit into the fabric domains.

mod support;

use bergamot_groups::{GroupAction, GroupOptions, GroupPlanner};
use bergamot_ports::{GroupOrder, UpstreamEntry};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use support::fleet::{FABRIC_SIZE, entry, spec};

struct PackingCase {
    fabric_count: usize,
    /// Minimum number of groups of the large and of the small model.
    min_groups: (usize, usize),
}

#[test]
fn large_groups_get_their_share_of_the_fabric_domains() {
    let cases = [
        PackingCase {
            fabric_count: 2,
            min_groups: (2, 8),
        },
        PackingCase {
            fabric_count: 6,
            min_groups: (6, 24),
        },
        PackingCase {
            fabric_count: 8,
            min_groups: (8, 32),
        },
        PackingCase {
            fabric_count: 81,
            min_groups: (87, 340),
        },
    ];
    for case in cases {
        let start = Millis(100_000);
        let options = GroupOptions::default();
        let mut planner = GroupPlanner::new(options, spec(), 20, true, IndexMap::new(), start);
        let entries: Vec<UpstreamEntry> = (0..case.fabric_count * FABRIC_SIZE).map(entry).collect();
        planner.set_directory(entries.iter(), 30, start);
        let mut load_counts: IndexMap<&str, usize> = IndexMap::new();
        let actions = planner.step(start + options.max_settle_time);
        for action in &actions {
            if let GroupAction::Order(request) = action
                && let GroupOrder::Stage { model } = &request.order
            {
                *load_counts.entry(model.as_str()).or_default() += 1;
            }
        }
        let groups = (load_counts["large"] / 16, load_counts["small"] / 4);
        let is_enough = groups.0 >= case.min_groups.0 && groups.1 >= case.min_groups.1;
        assert!(
            is_enough,
            "{} fabric domains: {groups:?}",
            case.fabric_count
        );
    }
}
