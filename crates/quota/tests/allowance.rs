//! The order in which requests get the permits of one upstream.

use bergamot_quota::{PermitClaim, PermitVerdict, SendAllowance};
use bergamot_types::prelude::*;

const ONE_PER_SECOND: SendRate = SendRate::from_milli(1_000);

const fn claim(priority: u8, account: u32) -> PermitClaim {
    PermitClaim { priority, account }
}

struct OrderCase {
    name: &'static str,
    /// Claims that were granted permits before.
    granted_before: Vec<PermitClaim>,
    /// The claim that is deferred first, and the claim that asks right before the first one asks
    /// again.
    first: PermitClaim,
    second: PermitClaim,
    /// Whether the second claim gets the next permit.
    is_second_granted: bool,
}

#[test]
fn urgent_requests_and_accounts_with_fewer_permits_go_first() {
    let cases = [
        OrderCase {
            name: "equal claims do not wait for each other",
            granted_before: vec![],
            first: claim(1, 1),
            second: claim(1, 1),
            is_second_granted: true,
        },
        OrderCase {
            name: "a permit is reserved for the more urgent claim",
            granted_before: vec![],
            first: claim(0, 1),
            second: claim(1, 1),
            is_second_granted: false,
        },
        OrderCase {
            name: "the more urgent claim does not wait for the less urgent one",
            granted_before: vec![],
            first: claim(1, 1),
            second: claim(0, 1),
            is_second_granted: true,
        },
        OrderCase {
            name: "a permit is reserved for the account with fewer permits",
            granted_before: vec![claim(1, 2), claim(1, 2)],
            first: claim(1, 1),
            second: claim(1, 2),
            is_second_granted: false,
        },
        OrderCase {
            name: "the account with fewer permits does not wait for the other",
            granted_before: vec![claim(1, 1), claim(1, 1)],
            first: claim(1, 1),
            second: claim(1, 2),
            is_second_granted: true,
        },
    ];
    for case in cases {
        let mut allowance = SendAllowance::new(ONE_PER_SECOND, Millis(0));
        let mut now = Millis(0);
        for claim in &case.granted_before {
            now = now + Millis(1_000);
            let verdict = allowance.request_permit(now, ONE_PER_SECOND, *claim);
            assert_eq!(verdict, PermitVerdict::Granted, "{}", case.name);
        }
        let verdict = allowance.request_permit(now, ONE_PER_SECOND, case.first);
        assert_eq!(
            verdict,
            PermitVerdict::Later(Millis(1_000)),
            "{}",
            case.name
        );
        let verdict = allowance.request_permit(now + Millis(1_000), ONE_PER_SECOND, case.second);
        let is_granted = verdict == PermitVerdict::Granted;
        assert_eq!(is_granted, case.is_second_granted, "{}", case.name);
    }
}

#[test]
fn requests_deferred_together_get_successive_waits() {
    let mut allowance = SendAllowance::new(SendRate::from_milli(4_000), Millis(0));
    let waits = (0..10).map(|_| {
        let verdict = allowance.request_permit(Millis(0), SendRate::from_milli(4_000), claim(1, 1));
        let PermitVerdict::Later(wait) = verdict else {
            panic!("expected no saved permits, but got {verdict:?}");
        };
        wait.0
    });
    let waits: Vec<u64> = waits.collect();
    assert_eq!(waits[..4], [250, 500, 750, 1_000]);
    assert_eq!(waits[9], 2_000, "the stated wait is bounded");
}

#[test]
fn an_upstream_with_limit_zero_gets_an_occasional_request() {
    let zero = SendRate::from_milli(0);
    let mut allowance = SendAllowance::new(zero, Millis(0));
    let seconds = 0..100;
    let granted_count = seconds.filter(|second| {
        let verdict = allowance.request_permit(Millis::from_secs(*second), zero, claim(1, 1));
        verdict == PermitVerdict::Granted
    });
    let granted_count = granted_count.count();
    assert!(
        (8..=10).contains(&granted_count),
        "{granted_count} permits in 100 s"
    );
}
