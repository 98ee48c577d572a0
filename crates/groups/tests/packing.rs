//! How many groups of each model fit into the fabric domains.

mod support;

use bergamot_groups::{GroupAction, GroupOptions, GroupPlanner};
use bergamot_ports::{GroupOrder, UpstreamEntry};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use support::fleet::{FABRIC_SIZE, entry, spec};

struct PackingCase {
    fabrics: usize,
    /// Groups of the large model at least, and of the small one.
    groups: (usize, usize),
}

#[test]
fn large_groups_find_room_for_their_part_of_the_work() {
    let cases = [
        PackingCase {
            fabrics: 2,
            groups: (2, 8),
        },
        PackingCase {
            fabrics: 6,
            groups: (6, 24),
        },
        PackingCase {
            fabrics: 8,
            groups: (8, 32),
        },
        PackingCase {
            fabrics: 81,
            groups: (87, 340),
        },
    ];
    for case in cases {
        let start = Millis(100_000);
        let options = GroupOptions::default();
        let mut planner = GroupPlanner::new(options, spec(), 20, true, IndexMap::new(), start);
        let entries: Vec<UpstreamEntry> = (0..case.fabrics * FABRIC_SIZE).map(entry).collect();
        planner.set_directory(entries.iter(), 30, start);
        let mut loads: IndexMap<&str, usize> = IndexMap::new();
        let actions = planner.step(start + options.max_settle_time);
        for action in &actions {
            if let GroupAction::Order(request) = action
                && let GroupOrder::Stage { model } = &request.order
            {
                *loads.entry(model.as_str()).or_default() += 1;
            }
        }
        let groups = (loads["large"] / 16, loads["small"] / 4);
        let is_enough = groups.0 >= case.groups.0 && groups.1 >= case.groups.1;
        assert!(is_enough, "{} fabric domains: {groups:?}", case.fabrics);
    }
}
