//! Guards against a configuration that counts as confirmed although the store holds another one.

mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_gateway::StoreSync;
use bergamot_gateway::shared::SharedState;
use bergamot_ports::{StoreItem, StoreRevision};
use bergamot_types::prelude::*;
use support::entry_site;
use support::store::{CONFIG_KEY, ConfigCatalog, FixedStore, item};
use tokio::sync::mpsc;

/// Longer than two periods of confirmations.
const RUN_TIME: Duration = Duration::from_millis(2_200);
/// Age of a confirmation that is one period old, with a margin for a busy machine.
const MAX_CONFIRMED_AGE: Millis = Millis(1_200);

/// What the store returns when it holds another configuration than the one at revision 2.
struct ConflictCase {
    name: &'static str,
    items: Vec<StoreItem>,
    version: u64,
    is_confirmed: bool,
}

#[tokio::test]
async fn a_conflict_without_a_later_configuration_confirms_nothing() {
    let cases = [
        ConflictCase {
            name: "no item",
            items: Vec::new(),
            version: 1,
            is_confirmed: false,
        },
        ConflictCase {
            name: "another key",
            items: vec![item("other", Vec::new(), 9)],
            version: 1,
            is_confirmed: false,
        },
        ConflictCase {
            name: "an earlier write",
            items: vec![item(CONFIG_KEY, vec![1], 1)],
            version: 1,
            is_confirmed: false,
        },
        ConflictCase {
            name: "a later configuration",
            items: vec![item(CONFIG_KEY, vec![2], 9)],
            version: 2,
            is_confirmed: true,
        },
    ];
    for case in cases {
        let (stalls, records) = (mpsc::channel(1).0, mpsc::channel(1).0);
        let shared = SharedState::new(entry_site(), stalls, records);
        let config = item(CONFIG_KEY, vec![1], 2);
        let store = FixedStore::with_items(vec![config], StoreRevision::ZERO);
        let store = store.conflicting_with(case.items);
        let sync = StoreSync::new(Arc::clone(&shared), Rc::new(store), ConfigCatalog);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).expect("the socket is open");
        let run = sync.run(listener, mpsc::channel(1).1);
        let local = tokio::task::LocalSet::new();
        let outcome = local.run_until(tokio::time::timeout(RUN_TIME, run)).await;
        assert!(outcome.is_err(), "{}: the store is followed", case.name);
        let standing = shared.view.load().config_standing(shared.clock.now());
        assert_eq!(standing.version, case.version, "{}", case.name);
        let is_confirmed = standing.age < MAX_CONFIRMED_AGE;
        assert_eq!(is_confirmed, case.is_confirmed, "{}", case.name);
    }
}
