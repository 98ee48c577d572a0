//! Reads the store's whole contents, at the start and when more updates were missed than peers
//! store.

use std::time::Duration;

use bergamot_feed::{UpdateSource, UpdateTable};
use bergamot_peer::UpdateRequest;
use bergamot_ports::{
    StateStore, StoreCatalog, StoreEvent, StoreGeneration, StoreItem, StoreRange, StoreRevision,
};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use tokio::time::Instant;

use super::board::max_served_bytes;
use super::lost_keys::LostKeySearch;
use super::peers::FeedError;
use super::{STORE_NAME, StoreSync};
use crate::evacuations::{EvacuationEvent, has_valid_name};
use crate::own_keys::{ENTRY_PREFIX, QUARANTINE_PREFIX, TERM_KEY};

/// How long to wait for peers that have just started to read the store. A peer takes about a second
/// to read 3,000 upstreams.
const PEER_READ_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time between two requests to such a peer. Short compared to the second that its read takes.
const PEER_POLL_PAUSE: Duration = Duration::from_millis(100);

impl<Store, Catalog> StoreSync<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Reads everything, from a peer if one reads the store for others, else from the store.
    /// Returns `false` if neither responded.
    pub(super) async fn read_all(&mut self) -> bool {
        self.read_from_peers().await || self.read_from_store().await
    }

    /// Reads everything from a peer. Returns `false` if this VM is to read the store itself, or no
    /// peer has its contents.
    async fn read_from_peers(&mut self) -> bool {
        if self.is_coordinator() && !self.is_cut_off() {
            return false;
        }
        if self.known.entries.is_empty() && !self.read_entries().await {
            return false;
        }
        let deadline = Instant::now() + PEER_READ_TIMEOUT;
        while Instant::now() < deadline {
            if self.ranking.is_server() && !self.is_cut_off() {
                return false;
            }
            let now = self.shared.clock.now();
            let source = self.ranking.source(self.is_cut_off(), now);
            let UpdateSource::Peers(peers) = source else {
                return false;
            };
            for vm in &peers {
                let Err(error) = self.read_from_peer(vm).await else {
                    self.set_source(vm);
                    return true;
                };
                self.record_failed_read(vm, &error);
            }
            tokio::time::sleep(PEER_POLL_PAUSE).await;
        }
        false
    }

    fn record_failed_read(&mut self, vm: &str, error: &FeedError) {
        self.record_unusable(vm, error);
        if matches!(error, FeedError::NotReady) {
            return;
        }
        let now = self.shared.clock.now();
        self.ranking.back_off(vm, self.is_cut_off(), now);
    }

    /// Reads the records of the entry VMs from the store. Returns `false` if the call failed.
    async fn read_entries(&mut self) -> bool {
        let Some(range) = self.range(ENTRY_PREFIX, "range_entries").await else {
            return false;
        };
        let now = self.shared.clock.now();
        for item in &range.items {
            self.known.apply_item(&self.catalog, item, now);
        }
        self.rank_peers();
        true
    }

    /// Reads everything from one peer, in batches.
    async fn read_from_peer(&mut self, vm: &str) -> Result<(), FeedError> {
        let entry = self.known.entries.get(vm);
        let addr = entry.ok_or(FeedError::NoAddress)?.peer_addr;
        let mut items: IndexMap<String, StoreItem> = IndexMap::new();
        // The responses contain no key that was removed before the first of them, so earlier removals
        // are not needed.
        let mut unaffected_until = StoreRevision::MAX;
        let mut after = StoreRevision::ZERO;
        loop {
            let requested_at = self.shared.clock.now();
            let request = UpdateRequest {
                requester: self.own_key,
                after,
                unaffected_until,
                lacks_config_after: None,
            };
            let mut updates = self.request_updates(addr, request).await?;
            after = updates.revision;
            unaffected_until = unaffected_until.min(updates.reached);
            for change in std::mem::take(&mut updates.changes) {
                match change {
                    StoreEvent::Written(item) => items.insert(item.key.clone(), item),
                    StoreEvent::Removed { key, .. } => items.swap_remove(&key),
                };
            }
            if updates.has_more {
                continue;
            }
            self.apply_store_return(&updates, requested_at);
            let fresh_at = Millis(requested_at.0.saturating_sub(updates.age.0));
            self.replace_all(items.into_values().collect(), after, fresh_at, vm);
            self.apply_retained(&updates, requested_at);
            self.apply_confirmation(&updates, requested_at, addr).await;
            self.publish();
            return Ok(());
        }
    }

    /// Reads everything from the store. Returns `false` if the call failed.
    async fn read_from_store(&mut self) -> bool {
        let started_at = self.shared.clock.now();
        let Some(range) = self.range("", "range").await else {
            return false;
        };
        self.record_success();
        self.set_source(STORE_NAME);
        let is_restored =
            self.known.is_unread_restore(range.revision) || self.is_first_read(&range);
        self.check_first_start(&range);
        self.replace_all(range.items, range.revision, started_at, STORE_NAME);
        if is_restored {
            self.lost_key_search = Some(LostKeySearch::new(started_at));
            self.query_lost_keys().await;
        }
        if self.known.is_config_stored() {
            self.known.confirmation.record(started_at);
        }
        self.publish();
        true
    }

    /// Whether this is the first read of a store that was restored, which may have been just before.
    fn is_first_read(&self, range: &StoreRange) -> bool {
        self.known.read_generation.is_none()
            && range.revision.generation > StoreGeneration::default()
    }

    /// Records if the first read shows that there was no coordinator yet, so that no VM has served.
    fn check_first_start(&self, range: &StoreRange) {
        let is_first_read = self.known.read_generation.is_none();
        let is_unrestored = range.revision.generation == StoreGeneration::default();
        let has_term = range.items.iter().any(|item| item.key == TERM_KEY);
        if is_first_read && is_unrestored && !has_term {
            self.shared.record_first_start();
        }
    }

    /// Reads the keys with a prefix. `call` is the name of the call in log and metrics. Returns
    /// `None` if the call failed.
    async fn range(&mut self, prefix: &str, call: &str) -> Option<StoreRange> {
        let started_at = self.shared.clock.now();
        let range = self.store.range(prefix).await;
        self.count_store_call(call, range.as_ref().err());
        if let Err(error) = &range {
            self.record_failure(call, started_at, error);
        }
        range.ok()
    }

    /// Collects the quarantine records that `items`, the contents of a restored store, lack.
    fn collect_lost_records(&self, items: &[StoreItem], now: Millis) {
        let feed_state = self.feed_state.borrow();
        let Some(table) = &feed_state.table else {
            return;
        };
        let stored_keys: IndexSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let known_items = table.items(QUARANTINE_PREFIX);
        let lost_items = known_items.filter(|item| !stored_keys.contains(item.key.as_str()));
        let mut lost_records = self.lost_records.borrow_mut();
        lost_records.extend(lost_items.cloned(), now);
    }

    /// Replaces the known state by the store's contents at `revision`, which were current at
    /// `fresh_at`.
    fn replace_all(
        &mut self,
        items: Vec<StoreItem>,
        revision: StoreRevision,
        fresh_at: Millis,
        source: &str,
    ) {
        self.note_generation(revision.generation, "read");
        let now = self.shared.clock.now();
        self.known.begin_read();
        if self.known.is_unread_restore(revision) {
            let lapse = self.shared.bounds().entry_lapse;
            self.known.departures.distrust_copy(revision, now + lapse);
            self.collect_lost_records(&items, now);
        }
        let evacuated: Vec<_> = items
            .iter()
            .filter_map(|item| Some((self.catalog.evacuated_domain(&item.key)?, item.revision)))
            .filter(|(domain, _)| has_valid_name(domain))
            .collect();
        let event = EvacuationEvent::Read {
            domains: &evacuated,
            revision,
        };
        self.known.apply_evacuation(event, now);
        self.log_evacuations(Some(source));
        let mut listed: Vec<UpstreamId> = Vec::new();
        for item in &items {
            listed.extend(self.catalog.upstream_id(&item.key));
            self.known.apply_item(&self.catalog, item, now);
        }
        self.known.retain_listed(&listed, now);
        self.known.memberships.lock().record_read(now);
        self.known.revision = Some(revision);
        self.known.read_generation = Some(revision.generation);
        let served_items = items.into_iter().filter_map(|mut item| {
            let is_config = item.key == self.catalog.config_key();
            if item.value.len() <= max_served_bytes(is_config) {
                return Some(item);
            }
            item.value.clear();
            (!is_config).then_some(item)
        });
        let mut feed_state = self.feed_state.borrow_mut();
        feed_state.table = Some(UpdateTable::from_items(served_items, revision));
        feed_state.evacuations.clone_from(&self.known.evacuations);
        feed_state.freshness.mark_current(fresh_at);
        feed_state.freshness.observe_known(revision);
        drop(feed_state);
        let config = self.known.config.as_ref();
        log::info!(
            "event=store_read source={source} revision={revision} upstreams={} config={}",
            self.known.upstreams.len(),
            config.map_or(0, |config| config.version)
        );
    }
}
