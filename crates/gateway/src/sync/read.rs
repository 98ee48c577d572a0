//! Reads everything: at the start, and when more was missed than peers remember.

use std::time::Duration;

use bergamot_feed::{UpdateSource, UpdateTable};
use bergamot_peer::UpdateRequest;
use bergamot_ports::{StateStore, StoreCatalog, StoreEvent, StoreItem, StoreRange};
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use tokio::time::Instant;

use super::peers::NewsError;
use super::{STORE_NAME, SyncDuty, most_told};
use crate::own_keys::ENTRY_PREFIX;

/// Time in which peers that have just started may read the store: 3,000 upstreams take one of them
/// about a second.
const PEERS_WAIT: Duration = Duration::from_millis(2_000);
/// Time between two questions to such a peer: short against the second that its read takes; not tuned.
const PEERS_PAUSE: Duration = Duration::from_millis(100);

impl<Store, Catalog> SyncDuty<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Reads everything, from peers if one of them is there to read the store for others. False when
    /// nobody answered.
    pub(super) async fn read_all(&mut self) -> bool {
        self.read_peers().await || self.read_store().await
    }

    /// Reads everything from a peer. False when this VM is to read the store, or no peer knows it.
    async fn read_peers(&mut self) -> bool {
        if self.is_coordinator() {
            return false;
        }
        if self.known.entries.is_empty() && !self.read_entries().await {
            return false;
        }
        let end = Instant::now() + PEERS_WAIT;
        while Instant::now() < end {
            let now = self.shared.clock.now();
            let source = self.ranking.source(self.known.is_away, now);
            let UpdateSource::Peers(peers) = source else {
                return false;
            };
            for vm in &peers {
                let Err(error) = self.read_peer(vm).await else {
                    self.note_source(vm);
                    return true;
                };
                self.note_unread(vm, &error);
            }
            tokio::time::sleep(PEERS_PAUSE).await;
        }
        false
    }

    fn note_unread(&mut self, vm: &str, error: &NewsError) {
        self.note_unusable(vm, error);
        if matches!(error, NewsError::NotReady) {
            return;
        }
        let now = self.shared.clock.now();
        self.ranking.back_off(vm, self.known.is_away, now);
    }

    /// Reads which entry VMs there are. False when the store did not answer.
    async fn read_entries(&mut self) -> bool {
        let Some(range) = self.range(ENTRY_PREFIX, "range_entries").await else {
            return false;
        };
        for item in &range.items {
            self.known.apply_item(&self.catalog, item);
        }
        self.rank_peers();
        true
    }

    /// Reads everything from this peer, which tells it in parts.
    async fn read_peer(&mut self, vm: &str) -> Result<(), NewsError> {
        let entry = self.known.entries.get(vm);
        let addr = entry.ok_or(NewsError::NoAddress)?.peer_addr;
        let mut items: IndexMap<String, StoreItem> = IndexMap::new();
        // What was removed before the first answer is not among what it tells.
        let mut unaffected_until = u64::MAX;
        let mut after = 0;
        loop {
            let asked_at = self.shared.clock.now();
            let question = UpdateRequest {
                after,
                unaffected_until,
                lacks_config_after: None,
            };
            let mut news = self.ask(addr, question).await?;
            after = news.revision;
            unaffected_until = unaffected_until.min(news.reached);
            for change in std::mem::take(&mut news.changes) {
                match change {
                    StoreEvent::Written(item) => items.insert(item.key.clone(), item),
                    StoreEvent::Removed { key, .. } => items.swap_remove(&key),
                };
            }
            if news.has_more {
                continue;
            }
            self.note_success();
            self.take_return(&news, asked_at);
            let fresh_at = Millis(asked_at.0.saturating_sub(news.age.0));
            self.take_all(items.into_values().collect(), after, fresh_at, vm);
            self.take_confirmation(&news, asked_at, addr).await;
            self.publish();
            return Ok(());
        }
    }

    /// Reads everything from the store. False when it did not answer.
    async fn read_store(&mut self) -> bool {
        let began = self.shared.clock.now();
        let Some(range) = self.range("", "range").await else {
            return false;
        };
        self.note_success();
        self.note_source(STORE_NAME);
        self.take_all(range.items, range.revision, began, STORE_NAME);
        if self.known.config.is_some() {
            self.shared.note_confirmed(began);
        }
        self.publish();
        true
    }

    /// Reads the keys with this prefix; `call` names it in log and metrics. None when the store did not
    /// answer.
    async fn range(&mut self, prefix: &str, call: &str) -> Option<StoreRange> {
        let range = self.store.range(prefix).await;
        self.count(call, range.as_ref().err());
        if let Err(error) = &range {
            self.note_failure(call, error);
        }
        range.ok()
    }

    /// Takes over everything that was in the store at `revision`, and at `fresh_at`.
    fn take_all(&mut self, items: Vec<StoreItem>, revision: u64, fresh_at: Millis, source: &str) {
        let now = self.shared.clock.now();
        self.known.entries.clear();
        self.known.holds.clear();
        self.known.coordinator = None;
        let mut listed: Vec<UpstreamId> = Vec::new();
        for item in &items {
            listed.extend(self.catalog.upstream_id(&item.key));
            self.known.apply_item(&self.catalog, item);
        }
        self.known.keep_listed(&listed, now);
        self.known.revision = Some(revision);
        let told = items.into_iter().filter_map(|mut item| {
            let is_config = item.key == self.catalog.config_key();
            if item.value.len() <= most_told(is_config) {
                return Some(item);
            }
            item.value.clear();
            (!is_config).then_some(item)
        });
        let mut board = self.board.borrow_mut();
        board.table = Some(UpdateTable::from_items(told, revision));
        board.freshness.mark_current(fresh_at);
        drop(board);
        let config = self.known.config.as_ref();
        log::info!(
            "event=store_read source={source} revision={revision} upstreams={} config={}",
            self.known.upstreams.len(),
            config.map_or(0, |config| config.version)
        );
    }
}
