//! The store thread: reads configuration and directory, follows their changes, and periodically
//! confirms that no newer configuration was missed.
//!
//! One VM of each failure domain and the coordinator of the groups read and follow the store
//! themselves. The other VMs poll the update feed of their domain's reader, or in a large domain of
//! a VM that relays it, and use the store if that feed is not fresh.

mod ask;
mod board;
mod confirm;
mod lost;
mod lost_keys;
mod outage;
mod own;
mod peers;
mod presence;
mod publish;
mod quarantine;
mod read;
mod serve;
mod stall;

use std::cell::RefCell;
use std::mem::Discriminant;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_feed::{PeerRanking, UpdateSource};
use bergamot_membership::prelude::*;
use bergamot_ports::{
    StateStore, StoreCatalog, StoreEvent, StoreGeneration, StoreRevision, WatchOutcome,
};
use bergamot_quarantine::QuarantineRecord;
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

use self::ask::FeedClient;
use self::board::{FeedState, max_served_bytes};
use self::lost::LostRecords;
use self::lost_keys::LostKeySearch;
use self::outage::RETRY_PERIOD;
use self::own::maintain_own_key;
use self::peers::{FeedError, POLL_PERIOD};
use self::presence::{FollowerWatch, watch_followers};
use self::quarantine::write_records;
use self::serve::serve_updates;
use crate::duty::{run_required, run_restarted};
use crate::known::KnownState;
use crate::outage::StoreOutage;
use crate::shared::SharedState;

/// Longest wait of one watch. A watch without changes costs one call.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time between a watch's answer and the next watch, so that a burst of changes costs one call.
/// Short compared to the seconds within which a change must be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Time between two watches at the coordinator. A repair waits until each of its steps is visible.
const COORDINATOR_WATCH_PAUSE: Duration = Duration::from_millis(20);
/// Name of the store in log lines about the source of changes.
const STORE_NAME: &str = "store";

/// Keeps this VM's view of the store up to date.
pub struct StoreSync<Store, Catalog> {
    shared: Arc<SharedState>,
    store: Rc<Store>,
    catalog: Catalog,
    known: KnownState,
    confirm_at: Instant,
    /// Whether the last confirmation failed that was triggered by a peer's newer configuration.
    has_failed_peer_confirm: bool,
    ranking: PeerRanking,
    /// Hash of this VM's name, which its requests to peers carry.
    own_key: u64,
    /// The presence of the peers that follow this VM.
    presence: Rc<RefCell<PresenceState>>,
    feed_client: FeedClient,
    feed_state: Rc<RefCell<FeedState>>,
    lost_records: Rc<RefCell<LostRecords>>,
    /// The search for keys that the restored store lacks. `None` if it is over.
    lost_key_search: Option<LostKeySearch>,
    /// Peers whose last response was not usable, with the kind of error.
    peer_failures: IndexMap<String, Discriminant<FeedError>>,
    /// Name of the source of the last changes: a peer's VM or the store.
    source: String,
    /// Generation of the store at its last answer.
    generation: Option<StoreGeneration>,
    /// The outage that has not ended for this VM, neither by the store nor by a peer.
    outage: Option<StoreOutage>,
    /// Whether this VM's own last call to the store failed. Updates may come from peers meanwhile.
    has_failed_call: bool,
}

impl<Store, Catalog> StoreSync<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Creates the state before anything has been read.
    pub fn new(shared: Arc<SharedState>, store: Rc<Store>, catalog: Catalog) -> Self {
        let own_key = hash_bytes(shared.site.vm.as_str().as_bytes());
        let memberships = Arc::clone(&shared.memberships);
        Self {
            own_key,
            presence: Rc::default(),
            shared,
            store,
            catalog,
            known: KnownState::new(memberships),
            confirm_at: Instant::now(),
            has_failed_peer_confirm: false,
            ranking: PeerRanking::default(),
            feed_client: FeedClient::default(),
            feed_state: Rc::default(),
            lost_records: Rc::default(),
            lost_key_search: None,
            peer_failures: IndexMap::new(),
            source: STORE_NAME.to_owned(),
            generation: None,
            outage: None,
            has_failed_call: false,
        }
    }

    /// Runs until the process ends. Serves peers on `listener` and writes `records` to the store.
    pub async fn run(
        mut self,
        listener: std::net::TcpListener,
        records: mpsc::Receiver<QuarantineRecord>,
    ) {
        let (shared, feed_state) = (Arc::clone(&self.shared), Rc::clone(&self.feed_state));
        let presence = Rc::clone(&self.presence);
        let serving = serve_updates(shared, feed_state, presence, listener);
        spawn_local(run_required(Arc::clone(&self.shared), "news", serving));
        let (shared, store) = (Arc::clone(&self.shared), Rc::clone(&self.store));
        let maintaining = move || maintain_own_key(Arc::clone(&shared), Rc::clone(&store));
        spawn_local(run_restarted(
            Arc::clone(&self.shared),
            "own_key",
            maintaining,
        ));
        let watch = Rc::new(FollowerWatch {
            shared: Arc::clone(&self.shared),
            store: Rc::clone(&self.store),
            feed_state: Rc::clone(&self.feed_state),
            presence: Rc::clone(&self.presence),
        });
        let watching = move || watch_followers(Rc::clone(&watch));
        spawn_local(run_restarted(
            Arc::clone(&self.shared),
            "followers",
            watching,
        ));
        let (shared, store) = (Arc::clone(&self.shared), Rc::clone(&self.store));
        let lost_records = Rc::clone(&self.lost_records);
        let writing = write_records(shared, store, lost_records, records);
        spawn_local(run_required(Arc::clone(&self.shared), "records", writing));
        loop {
            while !self.read_all().await {
                tokio::time::sleep(RETRY_PERIOD).await;
            }
            self.schedule_confirm();
            while self.known.revision.is_some() {
                self.follow().await;
            }
        }
    }

    /// Obtains the next changes, from peers if their feeds are usable. The coordinator and the VM that
    /// reads the store for others use them only while they cannot reach the store, and go on trying it.
    async fn follow(&mut self) {
        let now = self.shared.clock.now();
        let is_cut_off = self.is_cut_off();
        let source = self.ranking.source(is_cut_off, now);
        if let UpdateSource::Peers(peers) = source
            && (is_cut_off || !self.is_coordinator())
            && self.poll_peers(&peers).await
        {
            if self.known.review_entries(self.shared.clock.now()) {
                self.publish();
            }
            if !self.follows_store() || Instant::now() < self.confirm_at {
                tokio::time::sleep(self.within_change_time(POLL_PERIOD)).await;
                return;
            }
        }
        if let Some(revision) = self.known.revision {
            self.follow_store(revision).await;
        }
    }

    /// Whether this VM gets its updates from the store while it can be reached.
    fn follows_store(&self) -> bool {
        self.is_coordinator() || self.ranking.is_store_reader()
    }

    /// Whether the store cannot be reached. Updates from a peer end this for a VM that gets them from
    /// peers anyway.
    fn is_cut_off(&self) -> bool {
        self.known.is_store_unreachable() || (self.has_failed_call && self.follows_store())
    }

    fn is_coordinator(&self) -> bool {
        let coordinator = self.known.coordinator.as_ref();
        coordinator.is_some_and(|record| record.vm == self.shared.site.vm.as_str())
    }

    fn set_source(&mut self, source: &str) {
        if self.source != source {
            log::info!("event=news_source source={source} before={}", self.source);
            source.clone_into(&mut self.source);
            self.feed_state.borrow_mut().is_relayed = source != STORE_NAME;
        }
    }

    /// Follows the store for one watch from `revision`, or until it was restored or the watch has
    /// stalled. While the store is unreachable, first makes one short call to see whether it is back.
    async fn follow_store(&mut self, revision: StoreRevision) {
        if self.has_failed_call && !self.is_store_back().await {
            return;
        }
        self.set_source(STORE_NAME);
        let mut watches = self.open_watches(revision);
        let outcome = loop {
            let now = self.shared.clock.now();
            let waits = [
                self.known.time_until_review(now),
                watches.time_until_late(now),
            ];
            let shortest_wait = waits.into_iter().flatten().min();
            let wake_at = shortest_wait.map_or(self.confirm_at, |wait| {
                self.confirm_at.min(Instant::now() + wait)
            });
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(wake_at) => {}
                outcome = watches.answer() => break outcome,
            }
            let now = self.shared.clock.now();
            if self.known.review_entries(now) {
                self.publish();
            }
            if let Some(outcome) = self.open_due_watch(&mut watches, revision).await {
                break outcome;
            }
            if Instant::now() < self.confirm_at {
                continue;
            }
            let confirmed_at = self.shared.clock.now();
            if let Err(error) = self.confirm().await {
                // The watch's connection is affected by the same outage.
                self.record_failure("confirm", confirmed_at, &error);
                return;
            }
            if self.known.revision.is_none() {
                return;
            }
            self.record_view_current();
            if self.query_lost_keys().await {
                self.publish();
            }
            self.expect_answer(&mut watches);
            if self.are_watches_stalled(&watches) {
                if let Some(outcome) = watches.arrived_answer().await {
                    break outcome;
                }
                log::warn!("event=watches_given_up revision={revision}");
                return;
            }
        };
        let started_at = watches.started_at();
        self.count_store_call("watch", outcome.as_ref().err());
        match outcome {
            Ok(WatchOutcome::Changes { events, revision }) => {
                self.record_success();
                let has_changes = !events.is_empty();
                for event in events {
                    let now = self.shared.clock.now();
                    self.apply_change(event, now);
                }
                self.advance_revision(revision);
                self.feed_state
                    .borrow_mut()
                    .freshness
                    .observe_watch(started_at);
                match has_changes {
                    true => self.publish(),
                    false => self.record_view_current(),
                }
                drop(watches);
                tokio::time::sleep(self.watch_pause()).await;
            }
            Ok(WatchOutcome::Compacted) => {
                log::info!("event=store_history_gone revision={revision}");
                self.known.revision = None;
            }
            Err(error) => self.record_failure("watch", self.shared.clock.now(), &error),
        }
    }

    /// Checks whether the store is back, once the next confirmation is due.
    async fn is_store_back(&mut self) -> bool {
        let now = Instant::now();
        if now < self.confirm_at {
            let pause = POLL_PERIOD.min(self.confirm_at - now);
            tokio::time::sleep(pause).await;
            return false;
        }
        let started_at = self.shared.clock.now();
        let Err(error) = self.confirm().await else {
            return true;
        };
        self.record_failure("confirm", started_at, &error);
        false
    }

    /// Applies a change and stores it for peers.
    fn apply_change(&mut self, change: StoreEvent, now: Millis) {
        if matches!(change, StoreEvent::Written(_)) {
            self.lost_records.borrow_mut().forget(change.key());
        }
        let is_config = change.key() == self.catalog.config_key();
        if let Some(table) = &mut self.feed_state.borrow_mut().table {
            match change.value_len() <= max_served_bytes(is_config) {
                true => table.record(&change),
                false if is_config => table.remove(change.key()),
                false => table.record(&change.clone().without_value()),
            }
        }
        self.known.apply_event(&self.catalog, change, now);
        self.log_evacuations(None);
    }

    /// Records that all changes up to `revision` are known.
    fn advance_revision(&mut self, revision: StoreRevision) {
        let known = self.known.revision.unwrap_or_default().max(revision);
        self.known.revision = Some(known);
        let mut feed_state = self.feed_state.borrow_mut();
        if let Some(table) = &mut feed_state.table {
            table.mark_complete(known);
        }
        feed_state.freshness.observe_known(known);
    }

    fn watch_pause(&self) -> Duration {
        match self.is_coordinator() {
            true => COORDINATOR_WATCH_PAUSE,
            false => WATCH_PAUSE,
        }
    }

    /// Makes the next call due that shows whether the store is back.
    fn schedule_retry(&mut self, pause: Duration) {
        self.confirm_at = Instant::now() + pause;
    }

    /// Makes the next confirmation due after the usual period.
    fn schedule_confirm(&mut self) {
        let period = self.ranking.confirm_period().as_duration();
        self.confirm_at = Instant::now() + self.within_change_time(period);
    }
}
