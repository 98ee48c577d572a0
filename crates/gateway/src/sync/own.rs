//! Keeps this VM's own key in the store alive.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_ports::{KeyWrite, StateStore, StoreTxn, TxnOutcome};

use super::count_call;
use crate::own_keys::{ENTRY_PREFIX, EntryRecord};
use crate::shared::SharedState;

/// How long the key of an entry VM outlives its last renewal.
const ENTRY_TTL: Duration = Duration::from_secs(10);
/// Time between two renewals: two may fail. Every VM renews, so this is a tenth of all calls.
const RENEW_PERIOD: Duration = Duration::from_millis(3_200);

/// Time after which a key that could not be written is tried again.
const RETRY_PERIOD: Duration = Duration::from_millis(1_500);

/// A key that was written.
#[derive(Clone, Copy)]
struct WrittenKey {
    lease: u64,
    /// The store's revision with it.
    revision: u64,
}

impl WrittenKey {
    /// Whether it has ended although its lease may go on: an earlier write, carried out late, takes its place and ends with a
    /// lease of its own.
    fn has_ended(self, shared: &SharedState) -> bool {
        let view = shared.view.load();
        view.revision >= self.revision && !view.entries.contains_key(shared.site.vm.as_str())
    }
}

/// Writes the key and renews its lease until the process stops.
pub(crate) async fn keep_own_key<Store>(shared: Arc<SharedState>, store: Rc<Store>)
where
    Store: StateStore,
{
    let mut written: Option<WrittenKey> = None;
    while !shared.is_stopping() {
        written = match written {
            Some(key) if !key.has_ended(&shared) => renew(&shared, store.as_ref(), key).await,
            _ => register(&shared, store.as_ref()).await,
        };
        let pause = match written {
            Some(_) => RENEW_PERIOD,
            None => RETRY_PERIOD,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Renews the lease. None when it has ended.
async fn renew<Store>(shared: &SharedState, store: &Store, key: WrittenKey) -> Option<WrittenKey>
where
    Store: StateStore,
{
    let outcome = store.renew_lease(key.lease).await;
    count_call(shared, "renew", outcome.as_ref().err());
    (!matches!(outcome, Ok(false))).then_some(key)
}

/// Writes the key under a new lease. None when that failed.
async fn register<Store>(shared: &SharedState, store: &Store) -> Option<WrittenKey>
where
    Store: StateStore,
{
    let opened = store.open_lease(ENTRY_TTL).await;
    count_call(shared, "lease", opened.as_ref().err());
    let lease = opened.ok()?;
    let site = &shared.site;
    let txn = StoreTxn {
        writes: vec![KeyWrite {
            key: format!("{ENTRY_PREFIX}{}", site.vm),
            value: EntryRecord::of(site).to_bytes(),
            lease,
        }],
        ..StoreTxn::default()
    };
    let outcome = store.commit(&txn).await;
    count_call(shared, "register", outcome.as_ref().err());
    match outcome {
        Ok(TxnOutcome::Done(revision)) => Some(WrittenKey { lease, revision }),
        other => {
            log::info!("event=not_registered outcome={other:?}");
            None
        }
    }
}
