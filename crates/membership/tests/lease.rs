//! Tests of how long keys last and how many calls their renewals cost a whole fleet.

use bergamot_membership::lease::call_spread;
use bergamot_membership::prelude::*;
use bergamot_types::Millis;

/// Store calls per second that the sheet of the largest deployment allows.
const STORE_WRITES_PER_SECOND: f64 = 3_200.0;

struct FleetCase {
    vms: usize,
    readers: usize,
    max_renewals_per_second: f64,
}

/// Guards against renewals that grow with the number of entry VMs: 308 a second of 986 VMs.
#[test]
fn renewals_of_followers_do_not_grow_with_the_fleet() {
    let cases = [
        FleetCase {
            vms: 8,
            readers: 3,
            max_renewals_per_second: 2.5,
        },
        FleetCase {
            vms: 195,
            readers: 5,
            max_renewals_per_second: 22.0,
        },
        FleetCase {
            vms: 986,
            readers: 21,
            max_renewals_per_second: 27.0,
        },
        FleetCase {
            vms: 1_972,
            readers: 42,
            max_renewals_per_second: 34.0,
        },
    ];
    for case in cases {
        let rate = |role, count: usize| {
            let term = LeaseTerm::for_role(role, case.vms);
            count as f64 / term.renew_period.as_secs_f64()
        };
        let followers = case.vms - case.readers;
        let total = rate(FeedRole::Reader, case.readers) + rate(FeedRole::Follower, followers);
        let max = case.max_renewals_per_second;
        assert!(total <= max, "{total:.1} renewals/s of {} VMs", case.vms);
        // Two calls of each VM, as after a restore.
        let spread = call_spread(case.vms).max(Millis(1));
        let burst = 2.0 * case.vms as f64 / spread.as_secs_f64();
        assert!(burst < STORE_WRITES_PER_SECOND, "{burst:.0} calls/s");
    }
}

struct TermCase {
    what: &'static str,
    role: FeedRole,
    vms: usize,
    expected: LeaseTerm,
}

#[test]
fn terms_follow_the_role_and_the_size_of_the_fleet() {
    let long = LeaseTerm {
        ttl: Millis(154_062),
        renew_period: Millis(49_300),
    };
    let cases = [
        TermCase {
            what: "a follower that knows no VM yet",
            role: FeedRole::Follower,
            vms: 0,
            expected: LeaseTerm::SHORT,
        },
        TermCase {
            what: "a follower of a small fleet",
            role: FeedRole::Follower,
            vms: 64,
            expected: LeaseTerm::SHORT,
        },
        TermCase {
            what: "a follower of a large fleet",
            role: FeedRole::Follower,
            vms: 986,
            expected: long,
        },
        TermCase {
            what: "a reader of a large fleet",
            role: FeedRole::Reader,
            vms: 986,
            expected: LeaseTerm::SHORT,
        },
    ];
    for case in cases {
        let term = LeaseTerm::for_role(case.role, case.vms);
        assert_eq!(term, case.expected, "{}", case.what);
        // Two renewals in a row may fail.
        assert!(term.renew_period.0 * 3 < term.ttl.0, "{}", case.what);
    }
}

#[test]
fn a_lease_is_replaced_only_by_one_of_a_very_different_term() {
    struct ReplaceCase {
        current_vms: usize,
        vms: usize,
        renewals: u32,
        expected: bool,
    }
    let cases = [
        ReplaceCase {
            current_vms: 0,
            vms: 986,
            renewals: 20,
            expected: true,
        },
        ReplaceCase {
            current_vms: 0,
            vms: 986,
            renewals: 19,
            expected: false,
        },
        ReplaceCase {
            current_vms: 986,
            vms: 1_000,
            renewals: 30,
            expected: false,
        },
        ReplaceCase {
            current_vms: 986,
            vms: 1_972,
            renewals: 30,
            expected: true,
        },
        ReplaceCase {
            current_vms: 986,
            vms: 300,
            renewals: 0,
            expected: true,
        },
        ReplaceCase {
            current_vms: 8,
            vms: 60,
            renewals: 30,
            expected: false,
        },
    ];
    for case in cases {
        let current = LeaseTerm::for_role(FeedRole::Follower, case.current_vms);
        let term = LeaseTerm::for_role(FeedRole::Follower, case.vms);
        let (before, after) = (case.current_vms, case.vms);
        let replaces = term.replaces(current, case.renewals);
        assert_eq!(replaces, case.expected, "{before} to {after}");
    }
}
