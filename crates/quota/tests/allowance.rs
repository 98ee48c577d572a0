//! In which order requests get the permits of one upstream.

use bergamot_quota::{PermitClaim, PermitVerdict, SendAllowance};
use bergamot_types::prelude::*;

const ONE_A_SECOND: SendRate = SendRate::from_milli(1_000);

const fn claim(priority: u8, account: u32) -> PermitClaim {
    PermitClaim { priority, account }
}

struct OrderCase {
    name: &'static str,
    /// Who got the permits before.
    before: Vec<PermitClaim>,
    /// Who is turned away first, and who asks right before the other comes back.
    first: PermitClaim,
    second: PermitClaim,
    /// Whether the second gets the next permit.
    is_second_served: bool,
}

#[test]
fn the_more_urgent_and_the_account_that_got_less_go_first() {
    let cases = [
        OrderCase {
            name: "nobody goes before one who is alike",
            before: vec![],
            first: claim(1, 1),
            second: claim(1, 1),
            is_second_served: true,
        },
        OrderCase {
            name: "a place is kept for the more urgent",
            before: vec![],
            first: claim(0, 1),
            second: claim(1, 1),
            is_second_served: false,
        },
        OrderCase {
            name: "the more urgent does not wait for the less urgent",
            before: vec![],
            first: claim(1, 1),
            second: claim(0, 1),
            is_second_served: true,
        },
        OrderCase {
            name: "a place is kept for the account that got less",
            before: vec![claim(1, 2), claim(1, 2)],
            first: claim(1, 1),
            second: claim(1, 2),
            is_second_served: false,
        },
        OrderCase {
            name: "the account that got less does not wait for the other",
            before: vec![claim(1, 1), claim(1, 1)],
            first: claim(1, 1),
            second: claim(1, 2),
            is_second_served: true,
        },
    ];
    for case in cases {
        let mut allowance = SendAllowance::new(ONE_A_SECOND, Millis(0));
        let mut now = Millis(0);
        for claim in &case.before {
            now = now + Millis(1_000);
            let verdict = allowance.ask(now, ONE_A_SECOND, *claim);
            assert_eq!(verdict, PermitVerdict::Granted, "{}", case.name);
        }
        let verdict = allowance.ask(now, ONE_A_SECOND, case.first);
        assert_eq!(
            verdict,
            PermitVerdict::Later(Millis(1_000)),
            "{}",
            case.name
        );
        let verdict = allowance.ask(now + Millis(1_000), ONE_A_SECOND, case.second);
        let is_served = verdict == PermitVerdict::Granted;
        assert_eq!(is_served, case.is_second_served, "{}", case.name);
    }
}

#[test]
fn requests_that_are_turned_away_together_are_told_one_time_after_the_other() {
    let mut allowance = SendAllowance::new(SendRate::from_milli(4_000), Millis(0));
    let told = (0..10).map(|_| {
        let verdict = allowance.ask(Millis(0), SendRate::from_milli(4_000), claim(1, 1));
        let PermitVerdict::Later(wait) = verdict else {
            panic!("nothing was saved up: {verdict:?}");
        };
        wait.0
    });
    let told: Vec<u64> = told.collect();
    assert_eq!(told[..4], [250, 500, 750, 1_000]);
    assert_eq!(told[9], 2_000, "nobody is told to wait for long");
}

#[test]
fn an_upstream_that_takes_nothing_is_asked_now_and_then_whether_it_still_does() {
    let none = SendRate::from_milli(0);
    let mut allowance = SendAllowance::new(none, Millis(0));
    let seconds = 0..100;
    let given = seconds.filter(|second| {
        let verdict = allowance.ask(Millis::from_secs(*second), none, claim(1, 1));
        verdict == PermitVerdict::Granted
    });
    let given = given.count();
    assert!((8..=10).contains(&given), "{given} in 100 s");
}
