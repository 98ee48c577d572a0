//! Writes this VM's own key to the store and renews its lease.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_membership::lease::call_spread;
use bergamot_membership::prelude::*;
use bergamot_ports::{KeyWrite, StateStore, StoreLease, StoreRevision, StoreTxn, TxnOutcome};
use bergamot_types::Millis;
use rand::Rng;

use super::publish::count_call;
use crate::own_keys::{ENTRY_PREFIX, EntryRecord};
use crate::shared::SharedState;

/// Time after which a failed write of the key is retried.
const RETRY_PERIOD: Duration = Duration::from_millis(1_500);

/// Longest wait for the list of entry VMs before the key is first written.
const MAX_LIST_WAIT: Duration = Duration::from_millis(300);

/// Shortest time over which VMs that lost their keys together write them again.
const MIN_REWRITE_SPREAD: Millis = Millis(500);

/// The key as written to the store.
#[derive(Clone, Copy)]
struct WrittenKey {
    lease: StoreLease,
    /// Revision of the store at the write.
    revision: StoreRevision,
    term: LeaseTerm,
    /// Number of renewals since the write.
    renewals: u32,
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

    fn is_lost(self, shared: &SharedState) -> bool {
        self.may_be_lost(shared) || self.was_removed(shared)
    }

    /// Whether the key is to be written before its lease is to be renewed.
    fn is_rewrite_due(self, shared: &SharedState) -> bool {
        let is_too_long = shared.lease_term().ttl < self.term.ttl;
        (is_too_long && self.has_other_term(shared)) || self.is_lost(shared)
    }

    /// Whether a lease of another term is to replace this one.
    fn has_other_term(self, shared: &SharedState) -> bool {
        shared.lease_term().replaces(self.term, self.renewals)
    }
}

/// Writes the key and renews its lease until the process stops.
pub(crate) async fn maintain_own_key<Store>(shared: Arc<SharedState>, store: Rc<Store>)
where
    Store: StateStore,
{
    // The number of VMs decides on the lease.
    let _ = tokio::time::timeout(MAX_LIST_WAIT, shared.await_list()).await;
    let mut written_key = register(&shared, store.as_ref()).await;
    while !shared.is_stopping() {
        let Some(key) = written_key else {
            tokio::time::sleep(RETRY_PERIOD).await;
            written_key = register(&shared, store.as_ref()).await;
            continue;
        };
        let rewrite = await_rewrite(&shared, key);
        let renew_period = key.term.renew_period.as_duration();
        let is_rewrite_due = tokio::time::timeout(renew_period, rewrite).await.is_ok();
        written_key = match is_rewrite_due {
            true => rewrite_key(&shared, store.as_ref(), key).await,
            false => renew_or_replace(&shared, store.as_ref(), key).await,
        };
    }
}

/// Waits until the key is to be written again before its lease is to be renewed.
async fn await_rewrite(shared: &SharedState, key: WrittenKey) {
    let mut view_changes = shared.view_changed.subscribe();
    let is_rewrite_due = |_: &u64| key.is_rewrite_due(shared);
    // The sender lives as long as the process.
    let _ = view_changes.wait_for(is_rewrite_due).await;
}

/// Sleeps for a random time, over which the VMs of a large fleet spread calls that all of them make.
async fn spread_call(shared: &SharedState, shortest: Millis) {
    let spread = call_spread(shared.listed_vms()).max(shortest);
    let delay = rand::rng().random_range(0..=spread.0);
    tokio::time::sleep(Millis(delay).as_duration()).await;
}

/// Writes the key anew. Returns `None` if that fails and the key is lost.
async fn rewrite_key<Store>(
    shared: &SharedState,
    store: &Store,
    key: WrittenKey,
) -> Option<WrittenKey>
where
    Store: StateStore,
{
    spread_call(shared, MIN_REWRITE_SPREAD).await;
    let rewritten_key = register(shared, store).await;
    rewritten_key.or_else(|| (!key.is_lost(shared)).then_some(key))
}

/// Renews the lease, or replaces it by a longer one if the fleet has become large.
async fn renew_or_replace<Store>(
    shared: &SharedState,
    store: &Store,
    key: WrittenKey,
) -> Option<WrittenKey>
where
    Store: StateStore,
{
    if key.has_other_term(shared) {
        spread_call(shared, Millis::ZERO).await;
        if let Some(replaced_key) = register(shared, store).await {
            return Some(replaced_key);
        }
    }
    renew(shared, store, key).await
}

/// Renews the lease. Returns `None` if it has expired.
async fn renew<Store>(shared: &SharedState, store: &Store, key: WrittenKey) -> Option<WrittenKey>
where
    Store: StateStore,
{
    let outcome = store.renew_lease(key.lease).await;
    count_call(shared, "renew", outcome.as_ref().err());
    let renewed_key = WrittenKey {
        renewals: key.renewals + 1,
        ..key
    };
    (!matches!(outcome, Ok(false))).then_some(renewed_key)
}

/// Writes the key under a new lease. Returns `None` if that fails.
async fn register<Store>(shared: &SharedState, store: &Store) -> Option<WrittenKey>
where
    Store: StateStore,
{
    let term = shared.lease_term();
    let lease_result = store.open_lease(term.ttl.as_duration()).await;
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
        Ok(TxnOutcome::Done(revision)) => Some(WrittenKey {
            lease,
            revision,
            term,
            renewals: 0,
        }),
        other => {
            log::info!("event=not_registered outcome={other:?}");
            None
        }
    }
}
