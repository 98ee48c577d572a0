//! The store's duty: reads configuration and directory, follows their changes, and confirms again
//! and again that no newer configuration was missed.
//!
//! One VM of each failure domain reads and follows the store itself, and the coordinator of the groups;
//! the others ask that VM, and turn to the store when it has nothing fresh to tell.

mod ask;
mod board;
mod own;
mod peers;
mod quarantine;
mod read;
mod serve;

use std::cell::RefCell;
use std::mem::Discriminant;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_feed::{PeerRanking, UpdateSource};
use bergamot_ports::{
    KeyCondition, MAX_ENTRY_BYTES, StateStore, StoreCatalog, StoreError, StoreEvent, StoreTxn,
    TxnOutcome, WatchOutcome,
};
use bergamot_quarantine::QuarantineRecord;
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::time::Instant;

use self::ask::NewsCaller;
use self::board::NewsBoard;
use self::own::keep_own_key;
use self::peers::{ASK_PERIOD, NewsError};
use self::quarantine::{keep_records, take_news};
use self::serve::serve_news;
use crate::known::KnownState;
use crate::shared::SharedState;
use crate::view::{ClusterView, build_pools};

/// Time between two confirmations at a VM that follows the store. They also show that its watch has
/// not gone silent, and its peers count on news that is not much older.
const CONFIRM_PERIOD: Duration = Duration::from_millis(800);
/// Time between two tries while the store is away, at the VM whose peers learn from it.
const RETRY_PERIOD: Duration = Duration::from_millis(300);
/// The same at those peers, who ask that VM four times a second meanwhile. With the time of a call that
/// is in vain it stays below the three seconds after which a VM whose link is back must be up to date.
const FOLLOWER_RETRY: Duration = Duration::from_millis(1_200);
/// The same while a peer answers that it has nothing fresh either: the one that reads the store finds out sooner
/// and tells. Each call counts also while it is in vain, 1,600 in an outage of 8 s with 195 VMs.
const TOLD_RETRY: Duration = Duration::from_millis(4_000);
/// The longest wait of one watch. A silent watch costs one call.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time between a watch's answer and the next watch, so that changes that come together cost one
/// call. Small against the seconds in which a change must be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// The same at the VM that coordinates the groups: a repair waits for each of its steps to show.
const COORDINATOR_PAUSE: Duration = Duration::from_millis(20);
/// The largest configuration that is told to peers, in bytes; they read a larger one from the store.
/// Below one slice of news (64 KiB), so that it comes with other changes; not tuned.
const MAX_TOLD_CONFIG: usize = 48 << 10;
/// The largest value that is told to peers as it is, in bytes.
const fn most_told(is_config: bool) -> usize {
    match is_config {
        true => MAX_TOLD_CONFIG,
        false => MAX_ENTRY_BYTES,
    }
}

/// The name of the store among the sources of changes, in the log.
const STORE_NAME: &str = "store";

/// The state of the duty.
pub struct SyncDuty<Store, Catalog> {
    shared: Arc<SharedState>,
    store: Rc<Store>,
    catalog: Catalog,
    known: KnownState,
    confirm_at: Instant,
    /// Whether the last confirmation that a peer gave reason for failed.
    has_failed_confirm: bool,
    ranking: PeerRanking,
    caller: NewsCaller,
    board: Rc<RefCell<NewsBoard>>,
    /// Peers whose last answer did not count, and why.
    failures: IndexMap<String, Discriminant<NewsError>>,
    /// Where the last changes came from.
    source: String,
}

impl<Store, Catalog> SyncDuty<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// A duty that has read nothing yet.
    pub fn new(shared: Arc<SharedState>, store: Rc<Store>, catalog: Catalog) -> Self {
        Self {
            shared,
            store,
            catalog,
            known: KnownState::default(),
            confirm_at: Instant::now(),
            has_failed_confirm: false,
            ranking: PeerRanking::default(),
            caller: NewsCaller::default(),
            board: Rc::default(),
            failures: IndexMap::new(),
            source: STORE_NAME.to_owned(),
        }
    }

    /// Runs for as long as the process does, answers peers on `listener` and writes `records`.
    pub async fn run(
        mut self,
        listener: std::net::TcpListener,
        records: mpsc::Receiver<QuarantineRecord>,
    ) {
        let (shared, board) = (Arc::clone(&self.shared), Rc::clone(&self.board));
        tokio::task::spawn_local(serve_news(shared, board, listener));
        let (shared, store) = (Arc::clone(&self.shared), Rc::clone(&self.store));
        tokio::task::spawn_local(keep_own_key(shared, store));
        let (shared, store) = (Arc::clone(&self.shared), Rc::clone(&self.store));
        tokio::task::spawn_local(keep_records(shared, store, records));
        loop {
            while !self.read_all().await {
                tokio::time::sleep(RETRY_PERIOD).await;
            }
            self.confirm_at = Instant::now() + CONFIRM_PERIOD;
            while self.known.revision.is_some() {
                self.follow().await;
            }
        }
    }

    /// Learns the next changes, from peers if they know of them.
    async fn follow(&mut self) {
        let is_coordinator = self.is_coordinator();
        let now = self.shared.clock.now();
        let source = self.ranking.source(self.known.is_away, now);
        if let UpdateSource::Peers(peers) = source
            && !is_coordinator
            && self.ask_peers(&peers).await
        {
            if self.known.expire_lapsed(self.shared.clock.now()) {
                self.publish();
            }
            tokio::time::sleep(ASK_PERIOD).await;
            return;
        }
        self.note_source(STORE_NAME);
        if let Some(revision) = self.known.revision {
            self.follow_store(revision).await;
        }
    }

    fn is_coordinator(&self) -> bool {
        let coordinator = self.known.coordinator.as_ref();
        coordinator.is_some_and(|record| record.vm == self.shared.site.vm.as_str())
    }

    fn note_source(&mut self, source: &str) {
        if self.source != source {
            log::info!("event=news_source source={source} before={}", self.source);
            source.clone_into(&mut self.source);
            self.board.borrow_mut().is_relayed = source != STORE_NAME;
        }
    }

    /// Follows the store for the length of one watch from `revision`. While it is away, one short
    /// call shows whether it is back.
    async fn follow_store(&mut self, revision: u64) {
        if self.known.is_away && !self.is_back().await {
            return;
        }
        let store = Rc::clone(&self.store);
        let began = self.shared.clock.now();
        let watch = async move { store.watch("", revision, WATCH_WAIT).await };
        tokio::pin!(watch);
        let outcome = loop {
            let lapse_at = self
                .known
                .until_lapse(self.shared.clock.now())
                .map(|wait| Instant::now() + wait);
            let wake_at = lapse_at.map_or(self.confirm_at, |at| at.min(self.confirm_at));
            tokio::select! {
                biased;
                () = tokio::time::sleep_until(wake_at) => {}
                outcome = &mut watch => break outcome,
            }
            let now = self.shared.clock.now();
            if self.known.expire_lapsed(now) {
                self.publish();
            }
            if Instant::now() < self.confirm_at {
                continue;
            }
            if let Err(error) = self.confirm().await {
                // The watch hangs on a connection that the same outage cut.
                self.note_failure("confirm", &error);
                return;
            }
        };
        self.count("watch", outcome.as_ref().err());
        match outcome {
            Ok(WatchOutcome::Changes { events, revision }) => {
                self.note_success();
                let has_changes = !events.is_empty();
                for event in events {
                    let now = self.shared.clock.now();
                    self.note_change(event, now);
                }
                self.reach(revision);
                self.board.borrow_mut().freshness.mark_current(began);
                if has_changes {
                    self.publish();
                }
                tokio::time::sleep(self.watch_pause()).await;
            }
            Ok(WatchOutcome::Compacted) => {
                log::info!("event=store_history_gone revision={revision}");
                self.known.revision = None;
            }
            Err(error) => self.note_failure("watch", &error),
        }
    }

    /// Tries whether the store is back, if it is time.
    async fn is_back(&mut self) -> bool {
        let now = Instant::now();
        if now < self.confirm_at {
            let pause = ASK_PERIOD.min(self.confirm_at - now);
            tokio::time::sleep(pause).await;
            return false;
        }
        let Err(error) = self.confirm().await else {
            return true;
        };
        self.note_failure("confirm", &error);
        false
    }

    /// Takes a change over, and keeps it for peers.
    fn note_change(&mut self, change: StoreEvent, now: Millis) {
        let is_config = change.key() == self.catalog.config_key();
        if let Some(table) = &mut self.board.borrow_mut().table {
            match change.value_len() <= most_told(is_config) {
                true => table.record(&change),
                false if is_config => table.remove(change.key()),
                false => table.record(&change.clone().without_value()),
            }
        }
        self.known.apply_event(&self.catalog, change, now);
    }

    /// Notes that everything up to `revision` is known.
    fn reach(&mut self, revision: u64) {
        let known = self.known.revision.unwrap_or(0).max(revision);
        self.known.revision = Some(known);
        let mut board = self.board.borrow_mut();
        if let Some(table) = &mut board.table {
            table.mark_complete(known);
        }
        board.freshness.observe_known(known);
    }

    /// Shows that the configuration that is known is still the newest, or takes over a newer one.
    async fn confirm(&mut self) -> Result<(), StoreError> {
        let began = self.shared.clock.now();
        let txn = StoreTxn {
            conditions: vec![KeyCondition {
                key: self.catalog.config_key().to_owned(),
                revision: self.known.config_revision,
            }],
            ..StoreTxn::default()
        };
        let outcome = self.store.commit(&txn).await;
        self.count("confirm", outcome.as_ref().err());
        let outcome = outcome?;
        self.confirm_at = Instant::now() + CONFIRM_PERIOD;
        self.note_success();
        match outcome {
            TxnOutcome::Conflict(items) => {
                for item in &items {
                    self.known.apply_item(&self.catalog, item);
                }
                self.publish();
            }
            // A transaction that writes nothing answers with the store's revision.
            TxnOutcome::Done(revision) => {
                let known = self.known.revision.unwrap_or(0);
                let mut board = self.board.borrow_mut();
                board.freshness.observe_store(revision, known, began);
            }
            TxnOutcome::LeaseGone => {}
        }
        if self.known.config.is_some() {
            self.shared.record_confirmation(began);
        }
        Ok(())
    }

    fn watch_pause(&self) -> Duration {
        match self.is_coordinator() {
            true => COORDINATOR_PAUSE,
            false => WATCH_PAUSE,
        }
    }

    fn note_failure(&mut self, call: &str, error: &StoreError) {
        if !self.known.is_away {
            log::warn!("event=store_lost call={call} reason={error:?}");
        }
        self.known.is_away = true;
        self.shared.set_store_unreachable(true);
        let are_peers_stale = self.shared.are_peers_stale(self.shared.clock.now());
        let pause = match self.ranking.is_store_reader() {
            true => RETRY_PERIOD,
            false if are_peers_stale => TOLD_RETRY,
            false => FOLLOWER_RETRY,
        };
        self.confirm_at = Instant::now() + pause;
        self.store.reset();
    }

    fn note_success(&mut self) {
        if !self.known.is_away {
            return;
        }
        let now = self.shared.clock.now();
        log::info!(
            "event=store_regained config_age={}",
            self.shared.config_age(now)
        );
        self.known.is_away = false;
        self.shared.set_store_unreachable(false);
        self.known.returned_at = Some(now);
    }

    fn count(&self, call: &str, error: Option<&StoreError>) {
        count_call(&self.shared, call, error);
    }

    fn publish(&mut self) {
        self.rank_peers();
        self.known.log_unlisted();
        take_news(&self.shared, &self.known.take_crash_news());
        let known = &self.known;
        let mut board = self.board.borrow_mut();
        let told = board.config.as_ref().map(|item| item.revision);
        if told != known.config_item.as_ref().map(|item| item.revision) {
            board.config.clone_from(&known.config_item);
        }
        board.returned_at = known.returned_at;
        drop(board);
        let pools = known
            .config
            .as_ref()
            .map(|config| build_pools(config, &known.upstreams));
        self.shared.publish(ClusterView {
            config: known.config.clone(),
            upstreams: known.upstreams.clone(),
            revision: known.revision.unwrap_or(0),
            pools: pools.unwrap_or_default(),
            entries: known.entries.clone(),
            coordinator: known.coordinator.clone(),
            holds: known.holds.clone(),
            term: known.term,
        });
    }
}

/// Counts a call to the store.
fn count_call(shared: &SharedState, call: &str, error: Option<&StoreError>) {
    let outcome = match error {
        None => "ok",
        Some(StoreError::Refused(_)) => "refused",
        Some(StoreError::NotSent(_)) => "not_sent",
        Some(StoreError::Unknown(_)) => "unknown",
        Some(StoreError::Malformed(_)) => "malformed",
    };
    let calls = &shared.metrics.store_calls;
    calls.with_label_values(&[call, outcome]).inc();
}
