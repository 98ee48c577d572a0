//! Guards against an owner of cold upstreams that grants permits by an outdated list of entry VMs.
//! A confirmation of the configuration says nothing about changes of other keys that the VM has
//! not received, and another VM may grant by the later list. A watch may report the changes in
//! parts, of which only the last makes the list current.

mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_gateway::StoreSync;
use bergamot_gateway::shared::SharedState;
use bergamot_ports::StoreRevision;
use bergamot_types::prelude::*;
use support::entry_site;
use support::store::{CONFIG_KEY, ConfigCatalog, FixedStore, item, revision};
use tokio::sync::mpsc;

/// Run time of a case. Longer than two periods of confirmations and than three parts of changes
/// take.
const RUN_TIME: Duration = Duration::from_millis(2_200);
/// Age of a confirmation that is one period old, with a margin for a busy machine.
const MAX_CONFIRMED_AGE: Millis = Millis(1_200);

struct ListCase {
    name: &'static str,
    /// The revision that confirmations of the configuration report.
    current: StoreRevision,
    /// Revisions of the changes that are reported, each by a watch of its own.
    reported: &'static [u64],
    is_list_current: bool,
}

#[tokio::test]
async fn a_confirmed_configuration_does_not_confirm_a_list_with_pending_changes() {
    let cases = [
        ListCase {
            name: "all changes are known",
            current: revision(5),
            reported: &[],
            is_list_current: true,
        },
        ListCase {
            name: "a change is pending",
            current: revision(9),
            reported: &[],
            is_list_current: false,
        },
        ListCase {
            name: "changes are reported in parts, and the last is pending",
            current: revision(9),
            reported: &[6, 7, 8],
            is_list_current: false,
        },
        ListCase {
            name: "changes were reported in parts",
            current: revision(8),
            reported: &[6, 7, 8],
            is_list_current: true,
        },
    ];
    for case in cases {
        let (stalls, records) = (mpsc::channel(1).0, mpsc::channel(1).0);
        let shared = SharedState::new(entry_site(), stalls, records);
        let config = item(CONFIG_KEY, vec![1], 2);
        let parts = case.reported.iter();
        let parts = parts.map(|number| item("other", Vec::new(), *number));
        let store = FixedStore::with_items(vec![config], case.current);
        let store = store.followed_by(parts.collect());
        let sync = StoreSync::new(Arc::clone(&shared), Rc::new(store), ConfigCatalog);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).expect("the socket is open");
        let run = sync.run(listener, mpsc::channel(1).1);
        let local = tokio::task::LocalSet::new();
        let outcome = local.run_until(tokio::time::timeout(RUN_TIME, run)).await;
        assert!(outcome.is_err(), "{}: the store is followed", case.name);
        let now = shared.clock.now();
        let config_age = shared.config_age(now);
        assert!(
            config_age < MAX_CONFIRMED_AGE,
            "{}: {config_age}",
            case.name
        );
        let list_age = now.since(shared.list_confirmed_at());
        let is_list_current = list_age < MAX_CONFIRMED_AGE;
        assert_eq!(
            is_list_current, case.is_list_current,
            "{}: {list_age}",
            case.name
        );
    }
}
