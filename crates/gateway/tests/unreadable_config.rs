//! Guards against keys that stay in use because the store's configuration cannot be read here, while
//! the one that it replaced goes on being confirmed.

mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_gateway::StoreSync;
use bergamot_gateway::shared::SharedState;
use bergamot_types::prelude::*;
use support::entry_site;
use support::store::{CONFIG_KEY, ConfigCatalog, FixedStore, item, revision};
use tokio::sync::mpsc;

/// Run time of a case, of several periods of confirmations.
const RUN_TIME: Duration = Duration::from_millis(2_500);
/// Age of a confirmation that is one period old, with a margin for a busy machine.
const MAX_CONFIRMED_AGE: Millis = Millis(1_200);

struct ReplacementCase {
    name: &'static str,
    /// The configuration that replaces the first one after it was read.
    replacement: Vec<u8>,
    is_confirmed: bool,
}

#[tokio::test]
async fn a_configuration_is_not_confirmed_while_the_store_holds_an_unreadable_one() {
    let cases = [
        ReplacementCase {
            name: "the replacement can be read",
            replacement: vec![2],
            is_confirmed: true,
        },
        ReplacementCase {
            name: "the replacement cannot be read",
            replacement: Vec::new(),
            is_confirmed: false,
        },
    ];
    for case in cases {
        let (stalls, records) = (mpsc::channel(1).0, mpsc::channel(1).0);
        let shared = SharedState::new(entry_site(), stalls, records);
        let config = item(CONFIG_KEY, vec![1], 2);
        let replacement = item(CONFIG_KEY, case.replacement, 7);
        let store = FixedStore::with_items(vec![config], revision(7)).replaced_by(replacement);
        let sync = StoreSync::new(Arc::clone(&shared), Rc::new(store), ConfigCatalog);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).expect("the socket is open");
        let run = sync.run(listener, mpsc::channel(1).1);
        let local = tokio::task::LocalSet::new();
        let _ = local.run_until(tokio::time::timeout(RUN_TIME, run)).await;
        let config_age = shared.config_age(shared.clock.now());
        let is_confirmed = config_age < MAX_CONFIRMED_AGE;
        assert_eq!(
            is_confirmed, case.is_confirmed,
            "{}: {config_age}",
            case.name
        );
    }
}
