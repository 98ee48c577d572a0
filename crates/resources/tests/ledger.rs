//! Guards against bytes of bodies that are lost or counted twice, and against bodies that are evicted although they grow.

use bergamot_resources::ledger::{SMALL_BODY_BYTES, STALL_TIME};
use bergamot_resources::prelude::*;
use bergamot_types::prelude::*;
use bolero::check;

const SHARE: usize = 16 * SMALL_BODY_BYTES;
const LARGE_LIMIT: usize = SHARE - SHARE / 4;

struct GrowCase {
    name: &'static str,
    /// Bytes of the other bodies, and the time since each grew.
    others: &'static [(usize, Millis)],
    bytes: usize,
    /// The bodies that are evicted; none if the growth is refused.
    victims: Option<&'static [usize]>,
}

const CASES: [GrowCase; 6] = [
    GrowCase {
        name: "a small body has room beside large ones",
        others: &[(LARGE_LIMIT, Millis::ZERO)],
        bytes: SMALL_BODY_BYTES,
        victims: Some(&[]),
    },
    GrowCase {
        name: "a large body is refused while all others grow",
        others: &[(LARGE_LIMIT, Millis(999))],
        bytes: SMALL_BODY_BYTES + 1,
        victims: None,
    },
    GrowCase {
        name: "the body that stalled for the longest time is evicted",
        others: &[
            (LARGE_LIMIT / 2, STALL_TIME),
            (LARGE_LIMIT / 2, Millis(5_000)),
        ],
        bytes: SMALL_BODY_BYTES + 1,
        victims: Some(&[1]),
    },
    GrowCase {
        name: "as many are evicted as are needed",
        others: &[
            (LARGE_LIMIT / 2, Millis(2_000)),
            (LARGE_LIMIT / 2, Millis(5_000)),
        ],
        bytes: LARGE_LIMIT / 2 + 1,
        victims: Some(&[1, 0]),
    },
    GrowCase {
        name: "none is evicted if that is not enough",
        others: &[
            (LARGE_LIMIT / 2, Millis(5_000)),
            (LARGE_LIMIT / 2, Millis::ZERO),
        ],
        bytes: LARGE_LIMIT / 2 + 1,
        victims: None,
    },
    GrowCase {
        name: "the largest body alone is granted",
        others: &[],
        bytes: LARGE_LIMIT,
        victims: Some(&[]),
    },
];

#[test]
fn bodies_that_stalled_evict_and_no_others() {
    let now = Millis(60_000);
    for case in CASES {
        let mut ledger = BodyLedger::default();
        let others = case.others.iter().map(|(bytes, age)| {
            let grew_at = now - *age;
            let id = ledger.begin(grew_at);
            let outcome = ledger.grow(grew_at, id, *bytes, usize::MAX);
            assert_eq!(outcome, GrowOutcome::Granted(Vec::new()), "{}", case.name);
            id
        });
        let others: Vec<_> = others.collect();
        let id = ledger.begin(now);
        let expected = case.victims.map_or(GrowOutcome::Refused, |victims| {
            GrowOutcome::Granted(victims.iter().map(|index| others[*index]).collect())
        });
        let outcome = ledger.grow(now, id, case.bytes, SHARE);
        assert_eq!(outcome, expected, "{}", case.name);
    }
}

#[test]
fn bytes_are_neither_lost_nor_counted_twice() {
    let operations = bolero::generator::produce::<Vec<(u8, u8, u16)>>();
    check!().with_generator(operations).for_each(|operations| {
        let mut ledger = BodyLedger::default();
        let (mut arriving, mut arrived) = (Vec::<(BodyId, usize)>::new(), Vec::<usize>::new());
        let mut now = Millis::ZERO;
        for (operation, index, value) in operations {
            now = now + Millis(u64::from(*value) / 16);
            let index = usize::from(*index);
            match (operation % 5, arriving.is_empty(), arrived.is_empty()) {
                (0, ..) => arriving.push((ledger.begin(now), 0)),
                (1, false, _) => {
                    let index = index % arriving.len();
                    let bytes = usize::from(*value);
                    let outcome = ledger.grow(now, arriving[index].0, bytes, SHARE);
                    if let GrowOutcome::Granted(victims) = outcome {
                        arriving[index].1 += bytes;
                        arriving.retain(|(id, _)| !victims.contains(id));
                    }
                }
                (2, false, _) => {
                    let (id, bytes) = arriving.swap_remove(index % arriving.len());
                    assert_eq!(ledger.complete(id), bytes);
                    ledger.abandon(id);
                    arrived.push(bytes);
                }
                (3, false, _) => ledger.abandon(arriving.swap_remove(index % arriving.len()).0),
                (4, _, false) => ledger.release(arrived.swap_remove(index % arrived.len())),
                _ => {}
            }
            let arriving_bytes: usize = arriving.iter().map(|(_, bytes)| bytes).sum();
            let arrived_bytes: usize = arrived.iter().sum();
            assert_eq!(ledger.held_bytes(), arriving_bytes + arrived_bytes);
            assert!(ledger.held_bytes() <= SHARE);
        }
    });
}
