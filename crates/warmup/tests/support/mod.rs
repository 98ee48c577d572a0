//! An upstream in the failure domain `east`, which tolerates 17 requests per second while cold.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use bergamot_ports::{StoreGeneration, StoreRevision, WarmUpBounds, WarmUpSpec};
use bergamot_types::prelude::*;
use bergamot_warmup::{ColdClaim, ColdTarget, EntryStatement};

pub const RATE: SendRate = SendRate::from_milli(17_000);
pub const CLAIM: ColdClaim = ColdClaim {
    priority: 1,
    may_ask: true,
};
pub const BOUNDS: WarmUpBounds = WarmUpBounds {
    excess: 1.5,
    slack: 5.0,
};

pub const fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreGeneration(0), number)
}

pub const fn entry(number: u64, received_at: u64, cold_left: u64) -> EntryStatement {
    EntryStatement {
        revision: revision(number),
        received_at: Millis(received_at),
        cold_left: Millis(cold_left),
        was_warm: false,
        may_be_outdated: false,
    }
}

pub fn incarnation() -> UpstreamIncarnation {
    UpstreamIncarnation::new(UpstreamId::new("u"), Some(UnixMillis(1)))
}

/// Runs `test` with the upstream, whose entry states `entry`.
pub fn with_target<Test, Outcome>(
    entry: EntryStatement,
    bounds: WarmUpBounds,
    test: Test,
) -> Outcome
where
    Test: FnOnce(ColdTarget<'_>) -> Outcome,
{
    test(ColdTarget {
        incarnation: &incarnation(),
        failure_domain: &FailureDomain::new("east"),
        spec: WarmUpSpec {
            start_time: Millis(3_000),
            rate: RATE,
        },
        bounds,
        entry,
    })
}
