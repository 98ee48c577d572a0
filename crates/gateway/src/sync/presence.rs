//! Removes the keys of followers that have stopped, whose leases last long in a large fleet.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_membership::prelude::*;
use bergamot_peer::UpdateRequest;
use bergamot_ports::{KeyCondition, StateStore, StoreRevision, StoreTxn, TxnOutcome};
use bergamot_types::prelude::*;

use super::ask::FeedClient;
use super::board::FeedState;
use super::publish::count_call;
use crate::own_keys::ENTRY_PREFIX;
use crate::shared::SharedState;

/// Period of checks for silent followers.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// What a VM needs to watch its followers.
pub(super) struct FollowerWatch<Store> {
    pub(super) shared: Arc<SharedState>,
    pub(super) store: Rc<Store>,
    pub(super) feed_state: Rc<RefCell<FeedState>>,
    pub(super) presence: Rc<RefCell<PresenceState>>,
}

/// Probes silent followers and removes the keys of those that do not answer, until the process
/// stops.
pub(super) async fn watch_followers<Store>(watch: Rc<FollowerWatch<Store>>)
where
    Store: StateStore + 'static,
{
    while !watch.shared.is_stopping() {
        tokio::time::sleep(CHECK_PERIOD).await;
        for action in watch.handle(PresenceEvent::Tick) {
            let watch = Rc::clone(&watch);
            tokio::task::spawn_local(async move { watch.carry_out(action).await });
        }
    }
}

impl<Store> FollowerWatch<Store>
where
    Store: StateStore,
{
    fn handle(&self, event: PresenceEvent<'_>) -> Vec<PresenceAction> {
        let now = self.shared.clock.now();
        self.presence.borrow_mut().handle(now, event)
    }

    async fn carry_out(&self, action: PresenceAction) {
        let vm = match action {
            PresenceAction::Remove(vm) => return self.remove_key(&vm).await,
            PresenceAction::Probe(vm) => vm,
        };
        let event = match self.is_responding(&vm).await {
            true => PresenceEvent::Answered(&vm),
            false => PresenceEvent::Unanswered(&vm),
        };
        for action in self.handle(event) {
            if let PresenceAction::Remove(vm) = action {
                self.remove_key(&vm).await;
            }
        }
    }

    /// Whether a VM answers a request for updates, whatever the answer.
    async fn is_responding(&self, vm: &str) -> bool {
        let Some(addr) = self.peer_addr(vm) else {
            return false;
        };
        // Asks for nothing, as no update is later.
        let request = UpdateRequest {
            requester: hash_bytes(self.shared.site.vm.as_str().as_bytes()),
            after: StoreRevision::MAX,
            unaffected_until: StoreRevision::MAX,
            lacks_config_after: None,
        };
        let answer = FeedClient::default().request_updates(addr, request).await;
        answer.is_ok()
    }

    fn peer_addr(&self, vm: &str) -> Option<SocketAddr> {
        let view = self.shared.view.load();
        view.entries.get(vm).map(|entry| entry.peer_addr)
    }

    /// Removes a VM's key from the store, unless the VM has written it again.
    async fn remove_key(&self, vm: &str) {
        let key = format!("{ENTRY_PREFIX}{vm}");
        let Some(revision) = self.item_revision(&key) else {
            return;
        };
        let txn = StoreTxn {
            conditions: vec![KeyCondition {
                key: key.clone(),
                revision,
            }],
            removes: vec![key],
            ..StoreTxn::default()
        };
        let outcome = self.store.commit(&txn).await;
        count_call(&self.shared, "remove_entry", outcome.as_ref().err());
        match outcome {
            Ok(TxnOutcome::Done(_)) => log::info!("event=entry_removed vm={vm}"),
            other => log::info!("event=entry_not_removed vm={vm} outcome={other:?}"),
        }
    }

    fn item_revision(&self, key: &str) -> Option<StoreRevision> {
        let feed_state = self.feed_state.borrow();
        feed_state.table.as_ref()?.item_revision(key)
    }
}
