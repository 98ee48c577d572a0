//! Tests of update batches, of the age of the known state, and of the choice of peers.

use bergamot_feed::{Freshness, PeerDescriptor, PeerRanking, UpdateSource, UpdateTable};
use bergamot_ports::{StoreEvent, StoreGeneration, StoreItem, StoreRevision};
use bergamot_types::prelude::*;

/// The position of a change of a store that was never restored.
const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(StoreGeneration(0), number)
}

fn written(key: &str, revision: u64, bytes: usize) -> StoreEvent {
    StoreEvent::Written(StoreItem {
        key: key.to_owned(),
        value: vec![0; bytes],
        revision: at(revision),
    })
}

fn removed(key: &str, revision: u64) -> StoreEvent {
    let key = key.to_owned();
    let revision = at(revision);
    StoreEvent::Removed { key, revision }
}

#[test]
fn a_batch_holds_the_latest_change_of_each_key() {
    let mut table = UpdateTable::from_items([], at(10));
    for change in [written("a", 11, 1), written("b", 12, 1), removed("a", 13)] {
        table.record(&change);
    }
    table.mark_complete(at(14));
    struct BatchCase {
        known_revision: u64,
        expected_keys: Option<&'static [&'static str]>,
    }
    let cases = [
        BatchCase {
            known_revision: 9,
            expected_keys: None,
        },
        BatchCase {
            known_revision: 10,
            expected_keys: Some(&["b", "a"]),
        },
        BatchCase {
            known_revision: 12,
            expected_keys: Some(&["a"]),
        },
        BatchCase {
            known_revision: 20,
            expected_keys: Some(&[]),
        },
    ];
    for case in cases {
        let batch = table.changes_since(at(case.known_revision), at(case.known_revision));
        let keys = batch.as_ref().map(|batch| {
            let keys = batch.changes.iter().map(StoreEvent::key);
            keys.collect::<Vec<_>>()
        });
        assert_eq!(
            keys.as_deref(),
            case.expected_keys,
            "after {}",
            case.known_revision
        );
        assert!(batch.is_none_or(|batch| batch.revision == at(14) && !batch.has_more));
    }
}

#[test]
fn a_burst_is_sent_in_several_batches_of_whole_revisions() {
    let mut table = UpdateTable::from_items([], at(0));
    for revision in 1..=40 {
        // One transaction writes two keys at one revision.
        table.record(&written(&format!("x{revision}"), revision, 2_000));
        table.record(&written(&format!("y{revision}"), revision, 2_000));
    }
    table.mark_complete(at(40));
    let (mut known_revision, mut change_count, mut batch_count) = (at(0), 0, 0);
    loop {
        let batch = table
            .changes_since(known_revision, known_revision)
            .expect("no removal was dropped");
        change_count += batch.changes.len();
        batch_count += 1;
        assert_eq!(
            batch.changes.len() % 2,
            0,
            "a batch splits the changes of one revision"
        );
        known_revision = batch.revision;
        if !batch.has_more {
            break;
        }
    }
    assert_eq!((known_revision, change_count), (at(40), 80));
    assert!(batch_count > 1);
}

#[test]
fn a_peer_that_lacks_dropped_removals_gets_no_batch() {
    let mut table = UpdateTable::from_items([], at(0));
    for number in 1..=5_000 {
        let key = format!("k{number}");
        table.record(&written(&key, 2 * number - 1, 1));
        table.record(&removed(&key, 2 * number));
    }
    table.mark_complete(at(10_000));
    assert_eq!(table.changes_since(at(1), at(1)), None);
    let batch = table.changes_since(at(9_000), at(9_000));
    let batch = batch.expect("recent removals are kept");
    assert_eq!(batch.changes.len(), 500);
    // A peer that held nothing at revision 9,000 and has received one batch since then.
    let batch = table.changes_since(at(1), at(9_000));
    assert!(batch.is_some_and(|batch| batch.changes.len() > 500));
}

#[test]
fn a_vm_that_starts_receives_every_item_however_old() {
    let items = (1..=5_000).map(|revision| StoreItem {
        key: format!("k{revision}"),
        value: vec![0],
        revision: at(revision),
    });
    let mut table = UpdateTable::from_items(items, at(5_000));
    table.record(&removed("k7", 5_001));
    table.record(&written("k8", 5_002, 1));
    table.remove("k9");
    table.mark_complete(at(5_002));
    assert_eq!(
        table.changes_since(at(0), at(0)),
        None,
        "the peer may hold removed keys"
    );
    let batch = table
        .changes_since(at(0), StoreRevision::MAX)
        .expect("a batch for a peer that holds no keys");
    let keys: Vec<&str> = batch.changes.iter().map(StoreEvent::key).collect();
    assert_eq!(keys.len(), 5_000 - 1, "the dropped key is left out");
    assert_eq!(keys[keys.len() - 2..], ["k7", "k8"]);
    assert!(!keys.contains(&"k9"));
}

#[test]
fn known_state_is_as_old_as_the_call_that_confirmed_it() {
    let mut freshness = Freshness::default();
    freshness.observe_store(at(7), at(7), Millis(1_000));
    assert_eq!(freshness.age(Millis(1_300)), Millis(300));
    // The store is at a later revision: the known state is current once it reaches that revision.
    freshness.observe_store(at(9), at(7), Millis(2_000));
    freshness.observe_known(at(8));
    assert_eq!(freshness.age(Millis(2_300)), Millis(1_300));
    freshness.observe_known(at(9));
    assert_eq!(freshness.age(Millis(2_300)), Millis(300));
}

fn descriptor(vm: &str, failure_domain: &str, millicores: u32) -> PeerDescriptor {
    PeerDescriptor {
        vm: vm.to_owned(),
        failure_domain: FailureDomain::new(failure_domain),
        millicores,
    }
}

#[test]
fn one_vm_of_a_failure_domain_reads_the_store() {
    let peers = [
        descriptor("small-1", "east", 120),
        descriptor("large", "east", 500),
        descriptor("small-2", "east", 120),
        descriptor("far", "west", 900),
    ];
    let ranking = |own: &PeerDescriptor| {
        let mut ranking = PeerRanking::default();
        ranking.rank_peers(peers.clone(), own);
        ranking
    };
    let large_ranking = ranking(&peers[1]);
    assert_eq!(large_ranking.source(false, Millis(0)), UpdateSource::Store);
    assert!(large_ranking.is_store_reader());
    let source_without_store = large_ranking.source(true, Millis(0));
    assert!(matches!(source_without_store, UpdateSource::Peers(peers) if peers.len() == 2));
    let mut small_rankings = [ranking(&peers[0]), ranking(&peers[2])];
    let prefers_large = |ranking: &PeerRanking, now: u64| {
        let source = ranking.source(false, Millis(now));
        matches!(source, UpdateSource::Peers(peers) if peers[0] == "large")
    };
    assert!(
        small_rankings
            .iter()
            .all(|ranking| prefers_large(ranking, 0)),
        "{small_rankings:?}"
    );

    // The reader does not answer: one of the others reads the store, and the last one queries it.
    for small_ranking in &mut small_rankings {
        small_ranking.back_off("large", false, Millis(0));
    }
    let sources = small_rankings
        .each_ref()
        .map(|ranking| ranking.source(false, Millis(100)));
    let store_readers = sources
        .iter()
        .filter(|source| **source == UpdateSource::Store);
    assert_eq!(store_readers.count(), 1, "{sources:?}");
    let is_large_preferred = small_rankings
        .iter()
        .all(|ranking| prefers_large(ranking, 2_000));
    assert!(
        is_large_preferred,
        "the backoff does not end: {small_rankings:?}"
    );
}

struct ServerCase {
    vms: usize,
    /// VMs that serve updates: the reader of the store and its relays.
    servers: usize,
    /// Smallest and largest number of VMs, relays aside, whose first choice is the same server.
    shares: (usize, usize),
}

/// Guards against readers of the store, or followers of one server, that grow with the fleet.
#[test]
fn one_vm_reads_the_store_and_several_serve_the_others() {
    let cases = [
        ServerCase {
            vms: 2,
            servers: 1,
            shares: (1, 1),
        },
        ServerCase {
            vms: 48,
            servers: 1,
            shares: (47, 47),
        },
        ServerCase {
            vms: 100,
            servers: 3,
            shares: (32, 33),
        },
        ServerCase {
            vms: 207,
            servers: 5,
            shares: (40, 41),
        },
        ServerCase {
            vms: 414,
            servers: 9,
            shares: (45, 45),
        },
    ];
    for case in cases {
        let peers: Vec<PeerDescriptor> = (0..case.vms)
            .map(|number| descriptor(&format!("vm-{number}"), "east", 120))
            .collect();
        let rankings = peers.iter().map(|own| {
            let mut ranking = PeerRanking::default();
            ranking.rank_peers(peers.clone(), own);
            (own.vm.clone(), ranking)
        });
        let rankings: indexmap::IndexMap<String, PeerRanking> = rankings.collect();
        let readers = rankings
            .iter()
            .filter(|(_, ranking)| ranking.is_store_reader());
        let readers: Vec<&String> = readers.map(|(vm, _)| vm).collect();
        assert_eq!(readers.len(), 1, "{} VMs", case.vms);
        let servers = rankings
            .iter()
            .filter(|(_, ranking)| !ranking.followers().is_empty());
        let servers: Vec<&String> = servers.map(|(vm, _)| vm).collect();
        assert_eq!(servers.len(), case.servers, "{} VMs", case.vms);
        let are_servers = servers
            .iter()
            .all(|server| rankings[server.as_str()].is_server());
        assert!(are_servers, "{} VMs", case.vms);
        let mut shares: indexmap::IndexMap<String, usize> = indexmap::IndexMap::new();
        for (vm, ranking) in &rankings {
            let UpdateSource::Peers(sources) = ranking.source(false, Millis(0)) else {
                continue;
            };
            let source = sources[0].as_str();
            assert!(rankings[source].followers().contains(vm), "{vm}");
            if servers.contains(&vm) {
                // A relay has its updates from the reader alone.
                assert_eq!(sources, [readers[0].clone()]);
                assert!(!servers.iter().any(|server| ranking.is_relay(server)));
                continue;
            }
            assert!(source == readers[0] || ranking.is_relay(source));
            *shares.entry(source.to_owned()).or_default() += 1;
        }
        let share = (
            shares.values().min().copied(),
            shares.values().max().copied(),
        );
        let (least, most) = case.shares;
        assert_eq!(share, (Some(least), Some(most)), "{} VMs", case.vms);
    }
}

/// A relay reads the store itself while the reader has no updates for it.
#[test]
fn a_relay_without_its_reader_reads_the_store() {
    let peers: Vec<PeerDescriptor> = (0..100)
        .map(|number| descriptor(&format!("vm-{number}"), "east", 120))
        .collect();
    let is_relay = |own: &PeerDescriptor| {
        let mut ranking = PeerRanking::default();
        ranking.rank_peers(peers.clone(), own);
        (!ranking.is_store_reader() && !ranking.followers().is_empty()).then_some(ranking)
    };
    let mut relay = peers.iter().find_map(is_relay).expect("there are relays");
    let UpdateSource::Peers(sources) = relay.source(false, Millis(0)) else {
        panic!("a relay has its updates from the reader");
    };
    relay.back_off(&sources[0], false, Millis(0));
    assert_eq!(relay.source(false, Millis(1)), UpdateSource::Store);
}

#[test]
fn a_vm_that_no_peer_lists_queries_higher_ranked_peers() {
    let own = descriptor("new", "east", 120);
    let mut ranking = PeerRanking::default();
    assert_eq!(ranking.source(false, Millis(0)), UpdateSource::Store);
    ranking.rank_peers([descriptor("large", "east", 500)], &own);
    let peers = UpdateSource::Peers(vec!["large".to_owned()]);
    assert_eq!(ranking.source(false, Millis(0)), peers);
}

#[test]
fn a_peer_that_has_not_seen_a_restore_gets_no_batch_whatever_its_revision() {
    let restored = StoreGeneration(1);
    let item = StoreItem {
        key: "a".to_owned(),
        value: vec![0],
        revision: StoreRevision::new(restored, 5),
    };
    let table = UpdateTable::from_items([item], StoreRevision::new(restored, 7));
    for known in [at(3), at(7), at(90)] {
        assert_eq!(table.changes_since(known, known), None, "at {known}");
    }
    let known = StoreRevision::new(restored, 7);
    assert!(table.changes_since(known, known).is_some());
}
