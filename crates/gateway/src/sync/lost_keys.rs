//! Asks peers for keys that a restored store lacks: a later configuration, and evacuations.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_peer::{StoreUpdates, UpdateRequest, UpdateResponse};
use bergamot_ports::{StateStore, StoreCatalog, StoreRevision};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

use super::StoreSync;
use super::peers::MAX_UPDATE_AGE;
use crate::evacuations::RESTORED_EVACUATION_HOLD;

/// Peers that must have answered. The second one makes up for a first one that missed the key too.
const REQUIRED_ANSWERS: usize = 2;
/// Timeout of one request. Short, as a VM that starts serves nobody meanwhile.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which no further peer is asked until the next confirmation. The watch of the store
/// waits meanwhile, and so does a VM that starts.
const ROUND_TIMEOUT: Millis = Millis(600);

/// The search for the keys that a restored store lacks.
#[derive(Debug)]
pub(super) struct LostKeySearch {
    /// When this VM learned of the restore.
    began_at: Millis,
    /// How often each VM was asked without a usable answer.
    failed_queries: IndexMap<String, usize>,
    /// VMs that have answered.
    answered: Vec<String>,
}

impl LostKeySearch {
    /// Begins a search after a restore that became known at `began_at`.
    pub(super) fn new(began_at: Millis) -> Self {
        Self {
            began_at,
            failed_queries: IndexMap::new(),
            answered: Vec::new(),
        }
    }

    /// Whether enough peers have answered, or other VMs no longer hold the lost evacuations.
    fn is_over(&self, now: Millis) -> bool {
        self.answered.len() >= REQUIRED_ANSWERS
            || now.since(self.began_at) >= RESTORED_EVACUATION_HOLD
    }
}

impl<Store, Catalog> StoreSync<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Asks peers for the keys that the restored store lacks until the operator writes them again.
    /// Goes on with each confirmation until two peers have answered. Returns whether one answered
    /// this time.
    pub(super) async fn query_lost_keys(&mut self) -> bool {
        let Some(mut search) = self.lost_key_search.take() else {
            return false;
        };
        let round_end = self.shared.clock.now() + ROUND_TIMEOUT;
        let answered_before = search.answered.len();
        for (vm, addr) in self.peers_to_ask(&search) {
            let now = self.shared.clock.now();
            if search.is_over(now) || now >= round_end {
                break;
            }
            match self.query_peer(addr).await {
                true => search.answered.push(vm),
                false => *search.failed_queries.entry(vm).or_default() += 1,
            }
        }
        let has_answers = search.answered.len() > answered_before;
        if !search.is_over(self.shared.clock.now()) {
            self.lost_key_search = Some(search);
        }
        has_answers
    }

    /// Returns the peers that have not answered: those asked least often first, and of these the ones
    /// of the own failure domain.
    fn peers_to_ask(&self, search: &LostKeySearch) -> Vec<(String, SocketAddr)> {
        let site = &self.shared.site;
        let mut peers: Vec<_> = self.known.entries.values().collect();
        peers.retain(|entry| entry.vm != site.vm.as_str() && !search.answered.contains(&entry.vm));
        peers.sort_by_key(|entry| {
            let failures = search.failed_queries.get(&entry.vm);
            let is_elsewhere = entry.failure_domain != site.failure_domain;
            (failures.copied().unwrap_or_default(), is_elsewhere)
        });
        let peers = peers.into_iter();
        let peers = peers.map(|entry| (entry.vm.clone(), entry.peer_addr));
        peers.collect()
    }

    /// Asks one peer and applies its answer. Returns whether the answer was usable.
    async fn query_peer(&mut self, addr: SocketAddr) -> bool {
        let requested_at = self.shared.clock.now();
        let request = UpdateRequest {
            requester: self.own_key,
            after: StoreRevision::new(self.latest_generation(), u64::MAX),
            unaffected_until: StoreRevision::MAX,
            lacks_config_after: Some(self.known.config_version()),
        };
        let response = self.feed_client.request_updates(addr, request);
        let response = tokio::time::timeout(QUERY_TIMEOUT, response).await;
        let Ok(Ok(UpdateResponse::Changes(updates))) = response else {
            return false;
        };
        let age = self.shared.clock.now().since(requested_at) + updates.age;
        if age > MAX_UPDATE_AGE {
            return false;
        }
        self.apply_lost_keys(&updates, requested_at);
        true
    }

    fn apply_lost_keys(&mut self, updates: &StoreUpdates, requested_at: Millis) {
        self.apply_store_return(updates, requested_at);
        self.apply_retained(updates, requested_at);
        if let Some(item) = &updates.config {
            self.known.apply_config(&self.catalog, item);
        }
        if updates.config_version == self.known.config_version() {
            let confirmed_at = requested_at.0.saturating_sub(updates.config_age.0);
            self.known.confirmation.record(Millis(confirmed_at));
        }
    }
}
