//! Writes this VM's own key to the store and renews its lease.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_ports::{KeyWrite, StateStore, StoreLease, StoreRevision, StoreTxn, TxnOutcome};
use rand::Rng;

use super::publish::count_call;
use crate::own_keys::{ENTRY_PREFIX, EntryRecord};
use crate::shared::SharedState;

/// How long the key of an entry VM outlives its last renewal.
const ENTRY_TTL: Duration = Duration::from_secs(10);
/// Period of renewals. Two in a row may fail. As every VM renews, renewals are a tenth of all
/// calls.
const RENEW_PERIOD: Duration = Duration::from_millis(3_200);

/// Time after which a failed write of the key is retried.
const RETRY_PERIOD: Duration = Duration::from_millis(1_500);

/// Longest time from a restore of the store until the key is written again, so that the VMs of a
/// large fleet do not write at once.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(500);

/// The key as written to the store.
#[derive(Clone, Copy)]
struct WrittenKey {
    lease: StoreLease,
    /// Revision of the store at the write.
    revision: StoreRevision,
}

impl WrittenKey {
    /// Whether the store was restored since, and may have lost the key or its lease.
    fn may_be_lost(self, shared: &SharedState) -> bool {
        shared.view.load().revision.generation > self.lease.generation
    }

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
            Some(key) if !key.may_be_lost(&shared) && !key.was_removed(&shared) => {
                renew(&shared, store.as_ref(), key).await
            }
            _ => register(&shared, store.as_ref()).await,
        };
        let pause = match written_key {
            Some(_) => RENEW_PERIOD,
            None => RETRY_PERIOD,
        };
        let restore = async {
            match written_key {
                Some(key) => await_restore(&shared, key).await,
                None => std::future::pending().await,
            }
        };
        if tokio::time::timeout(pause, restore).await.is_ok() {
            let delay = rand::rng().random_range(Duration::ZERO..MAX_REWRITE_DELAY);
            tokio::time::sleep(delay).await;
        }
    }
}

/// Waits until the view shows that the store was restored since the key was written.
async fn await_restore(shared: &SharedState, key: WrittenKey) {
    let mut view_changes = shared.view_changed.subscribe();
    let is_restored = |_: &u64| key.may_be_lost(shared);
    // The sender lives as long as the process.
    let _ = view_changes.wait_for(is_restored).await;
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
    let record = EntryRecord::of(site).with_forwarding(shared.forward_endpoint());
    let txn = StoreTxn {
        writes: vec![KeyWrite {
            key: format!("{ENTRY_PREFIX}{}", site.vm),
            value: record.to_bytes(),
            lease: Some(lease),
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
