//! Guards against an owner of cold upstreams that grants permits by an outdated list of entry VMs.
//! A confirmation of the configuration says nothing about changes of other keys that the VM has
//! not received, and another VM may grant by the later list.

mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_gateway::StoreSync;
use bergamot_gateway::shared::SharedState;
use bergamot_ports::{
    CatalogError, ServingConfig, StateStore, StoreCatalog, StoreError, StoreGeneration, StoreItem,
    StoreLease, StoreRange, StoreRevision, StoreTxn, TxnOutcome, UpstreamEntry, WatchOutcome,
};
use bergamot_types::prelude::*;
use support::entry_site;
use tokio::sync::mpsc;

const CONFIG_KEY: &str = "config";
/// Run time of a case. Longer than the period of confirmations.
const RUN_TIME: Duration = Duration::from_millis(1_500);
/// Age of a confirmation that is one period old, with a margin for a busy machine.
const MAX_CONFIRMED_AGE: Millis = Millis(1_200);

const fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreGeneration(0), number)
}

/// A store that was read at revision 5 and whose watch reports nothing.
struct SilentStore {
    /// The revision that confirmations report.
    current: StoreRevision,
}

impl StateStore for SilentStore {
    async fn get(&self, _key: &str) -> Result<Option<StoreItem>, StoreError> {
        Ok(None)
    }

    async fn range(&self, prefix: &str) -> Result<StoreRange, StoreError> {
        let config = StoreItem {
            key: CONFIG_KEY.to_owned(),
            value: Vec::new(),
            revision: revision(2),
        };
        Ok(StoreRange {
            items: [config].into_iter().filter(|_| prefix.is_empty()).collect(),
            revision: revision(5),
        })
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: StoreRevision,
        _wait: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        std::future::pending().await
    }

    async fn commit(&self, _txn: &StoreTxn) -> Result<TxnOutcome, StoreError> {
        Ok(TxnOutcome::Done(self.current))
    }

    async fn open_lease(&self, _ttl: Duration) -> Result<StoreLease, StoreError> {
        Err(StoreError::Refused(503))
    }

    async fn renew_lease(&self, _lease: StoreLease) -> Result<bool, StoreError> {
        Ok(true)
    }

    async fn revoke_lease(&self, _lease: StoreLease) -> Result<(), StoreError> {
        Ok(())
    }

    fn generation(&self) -> StoreGeneration {
        StoreGeneration::default()
    }

    fn reset(&self) {}
}

/// A catalog in which any value is an empty configuration.
struct ConfigCatalog;

impl StoreCatalog for ConfigCatalog {
    fn config_key(&self) -> &str {
        CONFIG_KEY
    }

    fn upstream_prefix(&self) -> &str {
        "upstreams/"
    }

    fn upstream_id(&self, _key: &str) -> Option<UpstreamId> {
        None
    }

    fn evacuated_domain(&self, _key: &str) -> Option<FailureDomain> {
        None
    }

    fn read_config(&self, _item: &StoreItem) -> Result<ServingConfig, CatalogError> {
        Ok(ServingConfig {
            version: 1,
            ..ServingConfig::default()
        })
    }

    fn read_upstream(&self, item: &StoreItem) -> Result<UpstreamEntry, CatalogError> {
        Err(CatalogError {
            key: item.key.clone(),
            reason: "there are no upstreams".to_owned(),
        })
    }
}

struct ListCase {
    name: &'static str,
    /// The revision that confirmations of the configuration report.
    current: StoreRevision,
    is_list_current: bool,
}

#[tokio::test]
async fn a_confirmed_configuration_does_not_confirm_a_list_with_pending_changes() {
    let cases = [
        ListCase {
            name: "all changes are known",
            current: revision(5),
            is_list_current: true,
        },
        ListCase {
            name: "a change is pending",
            current: revision(9),
            is_list_current: false,
        },
    ];
    for case in cases {
        let (stalls, records) = (mpsc::channel(1).0, mpsc::channel(1).0);
        let shared = SharedState::new(entry_site(), stalls, records);
        let store = SilentStore {
            current: case.current,
        };
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
