//! Guards against upstreams that stay in use after their entries were removed, because calls to the
//! store fail now and then. Inside the crate, as what a VM knows has no interface of its own.

use bergamot_ports::{UpstreamEntry, UpstreamState};
use bergamot_types::prelude::*;

use super::KnownState;
use crate::expired::EXPIRY_GRACE;

/// Time between two looks at what is known.
const STEP: Millis = Millis(100);
/// Length of a case.
const END: Millis = Millis(20_000);

struct ExpiryCase {
    name: &'static str,
    /// When calls to the store begin and cease to fail. The entry is removed just after the first.
    outages: &'static [(u64, u64)],
    /// When the entry is dropped, within one step.
    dropped_at: Option<u64>,
}

fn entry(id: &UpstreamId) -> UpstreamEntry {
    UpstreamEntry {
        incarnation: UpstreamIncarnation::new(id.clone(), None),
        service: ServiceName::new("desk"),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new("east"),
        fabric: None,
        state: UpstreamState::Ready,
        slots: 1,
        cold_left: Millis::ZERO,
        staged: Vec::new(),
        models: Vec::new(),
        membership: None,
    }
}

/// Returns when the entry is dropped, if it is.
fn play(outages: &[(u64, u64)]) -> Option<u64> {
    let id = UpstreamId::new("u-1");
    let mut known = KnownState::default();
    known.upstreams.insert(id.clone(), entry(&id));
    let first_return = outages.first().map_or(0, |(_, end)| *end);
    for now in (0..END.0).step_by(STEP.0 as usize) {
        let is_down = outages
            .iter()
            .any(|(start, end)| (*start..*end).contains(&now));
        match is_down {
            true => known.begin_outage(Millis(now)),
            false => known.end_outage(Some(Millis(now)), Millis(now)),
        }
        if now == first_return {
            known.remove_upstream(&id, Millis(now));
        }
        known.review_entries(Millis(now));
        if !known.upstreams.contains_key(&id) {
            return Some(now);
        }
    }
    None
}

#[test]
fn failed_calls_do_not_keep_a_removed_entry_in_use() {
    let cases = [
        ExpiryCase {
            name: "no call failed",
            outages: &[],
            dropped_at: Some(0),
        },
        ExpiryCase {
            name: "one outage",
            outages: &[(0, 1_000)],
            dropped_at: Some(1_000 + EXPIRY_GRACE.0),
        },
        ExpiryCase {
            name: "a second outage, in which no entry can be written",
            outages: &[(0, 1_000), (2_000, 9_000)],
            dropped_at: Some(9_000 + EXPIRY_GRACE.0 - 1_000),
        },
        ExpiryCase {
            name: "a call that fails every 1.5 s",
            outages: &[
                (0, 1_000),
                (2_500, 2_700),
                (4_200, 4_400),
                (5_900, 6_100),
                (7_600, 7_800),
                (9_300, 9_500),
                (11_000, 11_200),
                (12_700, 12_900),
                (14_400, 14_600),
                (16_100, 16_300),
                (17_800, 18_000),
            ],
            dropped_at: Some(1_000 + EXPIRY_GRACE.0 + 200),
        },
    ];
    for case in cases {
        assert_eq!(play(case.outages), case.dropped_at, "{}", case.name);
    }
}
