//! Guards against entries that stay in use although their upstreams left while this VM alone was cut
//! off from the store, and against entries that are dropped although the store was away. Inside the
//! crate, as an outage has no interface of its own.

use bergamot_ports::{ServingBounds, WarmUpBounds};
use bergamot_types::prelude::*;

use super::StoreOutage;
use crate::expired::EXPIRY_GRACE;

const CONTACT_TIME: Millis = Millis(3_000);

const BOUNDS: ServingBounds = ServingBounds {
    drain_time: Millis(2_000),
    contact_time: CONTACT_TIME,
    stop_grace: Millis(8_000),
    revoke_time: None,
    config_apply_time: None,
    retry_ratio: 0.2,
    retry_window: Millis(10_000),
    retry_reserve: 100.0,
    entry_lapse: Millis(3_600),
    stall_time: Millis(4_000),
    warm_up: WarmUpBounds {
        excess: 1.0,
        slack: 0.0,
    },
    evacuation_time: None,
};

struct ReturnCase {
    name: &'static str,
    current_at: u64,
    failed_at: u64,
    succeeded_at: u64,
    returned_at: Option<u64>,
}

#[test]
fn the_grace_of_expired_entries_ends_before_the_bounds_hold_again() {
    let cases = [
        ReturnCase {
            name: "the calls follow each other closely",
            current_at: 1_000,
            failed_at: 9_500,
            succeeded_at: 10_100,
            returned_at: Some(10_100),
        },
        ReturnCase {
            name: "the link may have been back for long",
            current_at: 1_000,
            failed_at: 8_000,
            succeeded_at: 12_000,
            returned_at: Some(8_750),
        },
        ReturnCase {
            name: "too short for an entry to expire",
            current_at: 7_700,
            failed_at: 9_500,
            succeeded_at: 10_099,
            returned_at: None,
        },
        ReturnCase {
            name: "just long enough for an entry to expire",
            current_at: 7_700,
            failed_at: 9_500,
            succeeded_at: 10_100,
            returned_at: Some(10_100),
        },
    ];
    for case in cases {
        let outage = StoreOutage {
            current_at: Millis(case.current_at),
            failed_at: Millis(case.failed_at),
        };
        let returned_at = outage.returned_at(Millis(case.succeeded_at), &BOUNDS);
        assert_eq!(returned_at, case.returned_at.map(Millis), "{}", case.name);
        if let Some(returned_at) = returned_at {
            let dropped_at = returned_at + EXPIRY_GRACE;
            let bound_from = Millis(case.failed_at) + CONTACT_TIME;
            assert!(dropped_at < bound_from, "{}: {dropped_at}", case.name);
        }
    }
}
