//! What peers are told, how old it is, and who is asked.

use bergamot_news::{Freshness, NewsSource, NewsTable, PeerPlace, PeerRanking};
use bergamot_ports::{StoreEvent, StoreItem};
use bergamot_types::prelude::*;

fn written(key: &str, revision: u64, bytes: usize) -> StoreEvent {
    StoreEvent::Written(StoreItem {
        key: key.to_owned(),
        value: vec![0; bytes],
        revision,
    })
}

fn removed(key: &str, revision: u64) -> StoreEvent {
    let key = key.to_owned();
    StoreEvent::Removed { key, revision }
}

#[test]
fn a_peer_is_told_the_latest_change_of_each_key() {
    let mut table = NewsTable::of([], 10);
    for change in [written("a", 11, 1), written("b", 12, 1), removed("a", 13)] {
        table.note(&change);
    }
    table.reach(14);
    struct SliceCase {
        after: u64,
        keys: Option<&'static [&'static str]>,
    }
    let cases = [
        SliceCase {
            after: 9,
            keys: None,
        },
        SliceCase {
            after: 10,
            keys: Some(&["b", "a"]),
        },
        SliceCase {
            after: 12,
            keys: Some(&["a"]),
        },
        SliceCase {
            after: 20,
            keys: Some(&[]),
        },
    ];
    for case in cases {
        let slice = table.since(case.after, case.after);
        let keys = slice.as_ref().map(|slice| {
            let keys = slice.changes.iter().map(StoreEvent::key);
            keys.collect::<Vec<_>>()
        });
        assert_eq!(keys.as_deref(), case.keys, "after {}", case.after);
        assert!(slice.is_none_or(|slice| slice.revision == 14 && !slice.has_more));
    }
}

#[test]
fn a_burst_is_told_in_parts_and_whole_revisions() {
    let mut table = NewsTable::of([], 0);
    for revision in 1..=40 {
        // Two keys of one transaction.
        table.note(&written(&format!("x{revision}"), revision, 2_000));
        table.note(&written(&format!("y{revision}"), revision, 2_000));
    }
    table.reach(40);
    let (mut after, mut told, mut parts) = (0, 0, 0);
    loop {
        let slice = table.since(after, after).expect("nothing is forgotten");
        told += slice.changes.len();
        parts += 1;
        assert_eq!(slice.changes.len() % 2, 0, "a revision was split");
        after = slice.revision;
        if !slice.has_more {
            break;
        }
    }
    assert_eq!((after, told), (40, 80));
    assert!(parts > 1);
}

#[test]
fn what_is_forgotten_is_not_passed_over() {
    let mut table = NewsTable::of([], 0);
    for number in 1..=5_000 {
        let key = format!("k{number}");
        table.note(&written(&key, 2 * number - 1, 1));
        table.note(&removed(&key, 2 * number));
    }
    table.reach(10_000);
    assert_eq!(table.since(1, 1), None);
    let slice = table.since(9_000, 9_000);
    let slice = slice.expect("recent changes are kept");
    assert_eq!(slice.changes.len(), 500);
    // One that knew nothing at 9,000 and has been told a part since then.
    let slice = table.since(1, 9_000);
    assert!(slice.is_some_and(|slice| slice.changes.len() > 500));
}

#[test]
fn a_vm_that_starts_is_told_everything_however_old() {
    let items = (1..=5_000).map(|revision| StoreItem {
        key: format!("k{revision}"),
        value: vec![0],
        revision,
    });
    let mut table = NewsTable::of(items, 5_000);
    table.note(&removed("k7", 5_001));
    table.note(&written("k8", 5_002, 1));
    table.forget("k9");
    table.reach(5_002);
    assert_eq!(table.since(0, 0), None, "it may know of removed keys");
    let slice = table.since(0, u64::MAX).expect("it knows nothing");
    let keys: Vec<&str> = slice.changes.iter().map(StoreEvent::key).collect();
    assert_eq!(keys.len(), 5_000 - 1, "all but the one that was dropped");
    assert_eq!(keys[keys.len() - 2..], ["k7", "k8"]);
    assert!(!keys.contains(&"k9"));
}

#[test]
fn what_is_known_is_as_old_as_the_call_that_showed_it() {
    let mut freshness = Freshness::default();
    freshness.note_store(7, 7, Millis(1_000));
    assert_eq!(freshness.age(Millis(1_300)), Millis(300));
    // The store had moved on; what is known is fresh only once it has caught up.
    freshness.note_store(9, 7, Millis(2_000));
    freshness.note_known(8);
    assert_eq!(freshness.age(Millis(2_300)), Millis(1_300));
    freshness.note_known(9);
    assert_eq!(freshness.age(Millis(2_300)), Millis(300));
}

fn place(vm: &str, failure_domain: &str, millicores: u32) -> PeerPlace {
    PeerPlace {
        vm: vm.to_owned(),
        failure_domain: FailureDomain::new(failure_domain),
        millicores,
    }
}

#[test]
fn one_vm_of_a_failure_domain_reads_the_store() {
    let peers = [
        place("small-1", "east", 120),
        place("large", "east", 500),
        place("small-2", "east", 120),
        place("far", "west", 900),
    ];
    let ranking = |own: &PeerPlace| {
        let mut ranking = PeerRanking::default();
        ranking.rank(peers.clone(), own);
        ranking
    };
    let large = ranking(&peers[1]);
    assert_eq!(large.source(false, Millis(0)), NewsSource::Store);
    assert!(large.is_first());
    let away = large.source(true, Millis(0));
    assert!(matches!(away, NewsSource::Peers(peers) if peers.len() == 2));
    let mut smalls = [ranking(&peers[0]), ranking(&peers[2])];
    let asks_large = |it: &PeerRanking, now: u64| {
        let source = it.source(false, Millis(now));
        matches!(source, NewsSource::Peers(peers) if peers[0] == "large")
    };
    assert!(smalls.iter().all(|it| asks_large(it, 0)), "{smalls:?}");

    // The reader does not answer: one other reads the store, and the last one asks that one.
    for small in &mut smalls {
        small.note_failure("large", false, Millis(0));
    }
    let sources = smalls.each_ref().map(|it| it.source(false, Millis(100)));
    let readers = sources.iter().filter(|it| **it == NewsSource::Store);
    assert_eq!(readers.count(), 1, "{sources:?}");
    let back = smalls.iter().all(|it| asks_large(it, 2_000));
    assert!(back, "it is asked again: {smalls:?}");
}

#[test]
fn many_vms_share_several_readers() {
    let names: Vec<String> = (0..100).map(|number| format!("vm-{number}")).collect();
    let peers: Vec<PeerPlace> = names.iter().map(|vm| place(vm, "east", 120)).collect();
    let mut asked = std::collections::BTreeMap::<String, usize>::new();
    let mut readers = 0;
    for own in &peers {
        let mut ranking = PeerRanking::default();
        ranking.rank(peers.clone(), own);
        match ranking.source(false, Millis(0)) {
            NewsSource::Store => readers += 1,
            NewsSource::Peers(peers) => *asked.entry(peers[0].clone()).or_default() += 1,
        }
    }
    assert_eq!(readers, 3);
    let followers: Vec<usize> = asked.into_values().collect();
    assert_eq!(followers, [32, 32, 33]);
}

#[test]
fn a_vm_that_no_peer_lists_asks_those_before_it() {
    let own = place("new", "east", 120);
    let mut ranking = PeerRanking::default();
    assert_eq!(ranking.source(false, Millis(0)), NewsSource::Store);
    ranking.rank([place("large", "east", 500)], &own);
    let peers = NewsSource::Peers(vec!["large".to_owned()]);
    assert_eq!(ranking.source(false, Millis(0)), peers);
}
