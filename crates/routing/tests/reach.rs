//! Requests keep away from failure domains that are out of reach.

use bergamot_feed::PeerDescriptor;
use bergamot_routing::{RouteUpstream, UpstreamAsk, UpstreamBook, UpstreamChoice};
use bergamot_types::prelude::*;

const HOME: &str = "east";

fn leader(name: &str, domain: &str) -> RouteUpstream {
    RouteUpstream {
        incarnation: UpstreamIncarnation::new(UpstreamId::new(name), None),
        addr: ([127, 0, 0, 1], 1).into(),
        failure_domain: FailureDomain::new(domain),
        slots: 22,
        group: Some(GroupId::new(name)),
        speed: None,
    }
}

fn pool() -> Vec<RouteUpstream> {
    let domains = [HOME, "west", "north"];
    let leaders = domains
        .iter()
        .flat_map(|domain| (0..8).map(move |number| leader(&format!("{domain}-{number}"), domain)));
    leaders.collect()
}

fn book() -> UpstreamBook {
    let place = PeerDescriptor {
        vm: "vm-1".to_owned(),
        failure_domain: FailureDomain::new(HOME),
        millicores: 120,
    };
    let mut book = UpstreamBook::new(place.clone());
    book.occupancy.set_peers([place]);
    // The near leaders are busy, so that others are chosen while they can be.
    for leader in pool()
        .iter()
        .filter(|it| it.failure_domain.as_str() == HOME)
    {
        for _ in 0..3 {
            book.note_sent(&leader.incarnation, None, 100, Millis(1_000));
            book.note_begun(&leader.incarnation, 100);
        }
        book.note_progress(&leader.incarnation, Millis(1_000));
    }
    book
}

/// What befalls leaders before a request comes at 1,000.
enum Seen {
    /// A connection on its way since then.
    Connecting(u64),
    /// A connection was not set up.
    Unreached(u64),
    /// Something came.
    Progress(u64),
}

struct ReachCase {
    name: &'static str,
    seen: &'static [(&'static str, Seen)],
    /// Other failure domains than this VM's that are chosen by some draw.
    domains: &'static [&'static str],
}

#[test]
fn a_domain_of_which_two_take_no_connections_is_left_alone() {
    use Seen::{Connecting, Progress, Unreached};
    let cases = [
        ReachCase {
            name: "all in reach",
            seen: &[],
            domains: &["north", "west"],
        },
        ReachCase {
            name: "one that takes none may be dead",
            seen: &[("west-0", Unreached(900))],
            domains: &["north", "west"],
        },
        ReachCase {
            name: "two, and nothing from the others",
            seen: &[("west-0", Unreached(900)), ("west-1", Connecting(950))],
            domains: &["north"],
        },
        ReachCase {
            name: "two, and something from another since",
            seen: &[
                ("west-0", Unreached(900)),
                ("west-1", Unreached(940)),
                ("west-2", Progress(950)),
            ],
            domains: &["north", "west"],
        },
        ReachCase {
            name: "what came before says nothing",
            seen: &[
                ("west-0", Unreached(900)),
                ("west-1", Unreached(940)),
                ("west-2", Progress(890)),
            ],
            domains: &["north"],
        },
        ReachCase {
            name: "connections that have just begun",
            seen: &[("west-0", Connecting(970)), ("west-1", Connecting(980))],
            domains: &["north", "west"],
        },
        ReachCase {
            name: "both others",
            seen: &[
                ("west-0", Unreached(900)),
                ("west-1", Unreached(900)),
                ("north-0", Unreached(900)),
                ("north-1", Connecting(900)),
            ],
            domains: &[],
        },
    ];
    for case in cases {
        let pool = pool();
        let mut book = book();
        for (name, seen) in case.seen {
            let incarnation = UpstreamIncarnation::new(UpstreamId::new(name), None);
            match seen {
                Connecting(at) => book.note_connecting(&incarnation, Millis(*at)),
                Unreached(at) => book.note_unreached(&incarnation, Millis(*at)),
                Progress(at) => book.note_progress(&incarnation, Millis(*at)),
            }
        }
        assert_eq!(chosen(&book, &pool, 1_000), case.domains, "{}", case.name);
    }
}

/// A cut that has ended is noticed by the next request that tries.
#[test]
fn a_domain_is_tried_again_after_a_time() {
    let (pool, mut book) = (pool(), book());
    for leader in &pool[..8] {
        book.note_progress(&leader.incarnation, Millis(2_900));
    }
    for name in ["west-0", "west-1"] {
        let incarnation = UpstreamIncarnation::new(UpstreamId::new(name), None);
        book.note_unreached(&incarnation, Millis(900));
    }
    assert_eq!(chosen(&book, &pool, 2_800), ["north"]);
    assert_eq!(chosen(&book, &pool, 2_950), ["north", "west"]);
}

/// Other failure domains than this VM's that are chosen by some draw.
fn chosen(book: &UpstreamBook, pool: &[RouteUpstream], now: u64) -> Vec<String> {
    let home = FailureDomain::new(HOME);
    let choices = (0..400_u64).map(|draw| {
        let ask = UpstreamAsk {
            priority: 0,
            home: &home,
            tried: &[],
            idle: &[],
            must_go_on: false,
            prompt: 100,
            objective: Millis(250),
            draw: hash_bytes(&draw.to_le_bytes()),
            apart: None,
        };
        match book.choose(pool, &ask, Millis(now)) {
            UpstreamChoice::Chosen(chosen) => chosen.failure_domain.to_string(),
            other => format!("{other:?}"),
        }
    });
    let mut domains: Vec<String> = choices.filter(|domain| domain != HOME).collect();
    domains.sort();
    domains.dedup();
    domains
}
