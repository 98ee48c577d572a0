//! Writes this VM's own key to the store and renews its lease.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_ports::{KeyWrite, StateStore, StoreRevision, StoreTxn, TxnOutcome};

use super::count_call;
use crate::own_keys::{ENTRY_PREFIX, EntryRecord};
use crate::shared::SharedState;

/// How long the key of an entry VM outlives its last renewal.
const ENTRY_TTL: Duration = Duration::from_secs(10);
/// Period of renewals. Two in a row may fail. As every VM renews, renewals are a tenth of all
/// calls.
const RENEW_PERIOD: Duration = Duration::from_millis(3_200);

/// Time after which a failed write of the key is retried.
const RETRY_PERIOD: Duration = Duration::from_millis(1_500);

/// The key as written to the store.
#[derive(Clone, Copy)]
struct WrittenKey {
    lease: u64,
    /// Revision of the store at the write.
    revision: StoreRevision,
}

impl WrittenKey {
    /// Whether the key was removed although its lease may still be valid. A delayed earlier write
    /// can overwrite the key, which then is removed with the earlier write's lease.
    fn was_removed(self, shared: &SharedState) -> bool {
        let view = shared.view.load();
        view.revision >= self.revision && !view.entries.contains_key(shared.site.vm.as_str())
    }
}

/// Writes the key and renews its lease until the process stops.
pub(crate) async fn maintain_own_key<Store>(shared: Arc<SharedState>, store: Rc<Store>)
where
    Store: StateStore,
{
    let mut written_key: Option<WrittenKey> = None;
    while !shared.is_stopping() {
        written_key = match written_key {
            Some(key) if !key.was_removed(&shared) => renew(&shared, store.as_ref(), key).await,
            _ => register(&shared, store.as_ref()).await,
        };
        let pause = match written_key {
            Some(_) => RENEW_PERIOD,
            None => RETRY_PERIOD,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Renews the lease. Returns `None` if it has expired.
async fn renew<Store>(shared: &SharedState, store: &Store, key: WrittenKey) -> Option<WrittenKey>
where
    Store: StateStore,
{
    let outcome = store.renew_lease(key.lease).await;
    count_call(shared, "renew", outcome.as_ref().err());
    (!matches!(outcome, Ok(false))).then_some(key)
}

/// Writes the key under a new lease. Returns `None` if that fails.
async fn register<Store>(shared: &SharedState, store: &Store) -> Option<WrittenKey>
where
    Store: StateStore,
{
    let lease_result = store.open_lease(ENTRY_TTL).await;
    count_call(shared, "lease", lease_result.as_ref().err());
    let lease = lease_result.ok()?;
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
