//! The store's duty: reads configuration and directory, follows their changes, and confirms again
//! and again that no newer configuration was missed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_ports::{
    KeyCondition, KeyWrite, StateStore, StoreCatalog, StoreError, StoreTxn, TxnOutcome,
    WatchOutcome,
};
use bergamot_types::prelude::*;
use tokio::time::Instant;

use crate::known::KnownState;
use crate::own_keys::{ENTRY_PREFIX, EntryRecord};
use crate::shared::SharedState;
use crate::view::{ClusterView, build_pools};

/// Time between two confirmations of the configuration. A third of the shortest time for which
/// one counts, so that two may fail in a row.
const CONFIRM_PERIOD: Duration = Duration::from_millis(1_400);
/// Time between two tries while the store is away.
const RETRY_PERIOD: Duration = Duration::from_millis(300);
/// The longest wait of one watch. A silent watch costs one call.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time between a watch's answer and the next watch, so that changes that come together cost one
/// call. Small against the seconds in which a change must be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Added to it for each entry VM beyond the first ten: all of them together then make no more
/// calls for the same changes.
const PAUSE_PER_VM: Duration = Duration::from_millis(20);
/// The pause is at most one part in so many of the time in which a leaving upstream must get no
/// new work.
const PAUSE_DIVISOR: u32 = 3;
/// The same at the VM that coordinates the groups: a repair waits for each of its steps to show.
const COORDINATOR_PAUSE: Duration = Duration::from_millis(20);
/// How long the key of an entry VM outlives its last renewal.
const ENTRY_TTL: Duration = Duration::from_secs(6);

/// The state of the duty.
pub struct SyncDuty<Store, Catalog> {
    shared: Arc<SharedState>,
    store: Rc<Store>,
    catalog: Catalog,
    known: KnownState,
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
        }
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        let mut lease: Option<u64> = None;
        loop {
            while !self.read_all().await {
                tokio::time::sleep(RETRY_PERIOD).await;
            }
            self.follow(&mut lease).await;
        }
    }

    /// Reads everything. False when the store did not answer.
    async fn read_all(&mut self) -> bool {
        let began = self.shared.clock.now();
        let range = self.store.range("").await;
        self.count("range", range.as_ref().err());
        let range = match range {
            Ok(range) => range,
            Err(error) => {
                self.note_failure("range", &error);
                return false;
            }
        };
        self.note_success();
        let now = self.shared.clock.now();
        let mut listed: Vec<UpstreamId> = Vec::new();
        self.known.entries.clear();
        self.known.holds.clear();
        self.known.coordinator = None;
        for item in &range.items {
            listed.extend(self.catalog.upstream_id(&item.key));
            self.known.apply_item(&self.catalog, item);
        }
        let missing = self.known.upstreams.keys();
        let missing: Vec<UpstreamId> = missing.filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.known.remove_upstream(&id, now);
        }
        self.known.revision = Some(range.revision);
        if self.known.config.is_some() {
            self.shared.note_confirmed(began);
        }
        log::info!(
            "event=store_read revision={} upstreams={} config={}",
            range.revision,
            self.known.upstreams.len(),
            self.known
                .config
                .as_ref()
                .map_or(0, |config| config.version)
        );
        self.publish();
        true
    }

    /// Follows the changes until they are lost.
    async fn follow(&mut self, lease: &mut Option<u64>) {
        let mut confirm_at = Instant::now() + CONFIRM_PERIOD;
        while let Some(revision) = self.known.revision {
            let store = Rc::clone(&self.store);
            let watch = async move { store.watch("", revision, WATCH_WAIT).await };
            tokio::pin!(watch);
            let outcome = loop {
                let lapse_at = self
                    .known
                    .until_lapse(self.shared.clock.now())
                    .map(|wait| Instant::now() + wait);
                let wake_at = lapse_at.map_or(confirm_at, |at| at.min(confirm_at));
                tokio::select! {
                    biased;
                    () = tokio::time::sleep_until(wake_at) => {}
                    outcome = &mut watch => break Some(outcome),
                }
                let now = self.shared.clock.now();
                if self.known.expire_lapsed(now) {
                    self.publish();
                }
                if Instant::now() < confirm_at {
                    continue;
                }
                let was_away = self.known.is_away;
                self.confirm().await;
                self.renew(lease).await;
                let pause = match self.known.is_away {
                    true => RETRY_PERIOD,
                    false => CONFIRM_PERIOD,
                };
                confirm_at = Instant::now() + pause;
                if was_away && !self.known.is_away {
                    // The watch may hang on a connection that the outage cut.
                    break None;
                }
            };
            let Some(outcome) = outcome else {
                continue;
            };
            self.count("watch", outcome.as_ref().err());
            match outcome {
                Ok(WatchOutcome::Changes { events, revision }) => {
                    self.note_success();
                    let has_changes = !events.is_empty();
                    for event in events {
                        let now = self.shared.clock.now();
                        self.known.apply_event(&self.catalog, event, now);
                    }
                    self.known.revision = Some(revision);
                    if has_changes {
                        self.publish();
                    }
                    tokio::time::sleep(self.watch_pause()).await;
                }
                Ok(WatchOutcome::HistoryGone) => {
                    log::info!("event=store_history_gone revision={revision}");
                    self.known.revision = None;
                }
                Err(error) => {
                    self.note_failure("watch", &error);
                    confirm_at = Instant::now();
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
        }
    }

    /// Shows that the configuration that is known is still the newest, or takes over a newer one.
    async fn confirm(&mut self) {
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
        match outcome {
            Ok(TxnOutcome::Conflict(items)) => {
                self.note_success();
                for item in &items {
                    self.known.apply_item(&self.catalog, item);
                }
                self.publish();
                if self.known.config.is_some() {
                    self.shared.note_confirmed(began);
                }
            }
            Ok(_) => {
                self.note_success();
                if self.known.config.is_some() {
                    self.shared.note_confirmed(began);
                }
            }
            Err(error) => self.note_failure("confirm", &error),
        }
    }

    /// Keeps this VM's own key alive.
    async fn renew(&mut self, lease: &mut Option<u64>) {
        if self.known.is_away || self.shared.is_stopping() {
            return;
        }
        if let Some(id) = *lease {
            let outcome = self.store.renew_lease(id).await;
            self.count("renew", outcome.as_ref().err());
            if !matches!(outcome, Ok(false)) {
                return;
            }
            *lease = None;
        }
        let opened = self.store.open_lease(ENTRY_TTL).await;
        self.count("lease", opened.as_ref().err());
        let Ok(id) = opened else {
            return;
        };
        let site = &self.shared.site;
        let record = EntryRecord {
            vm: site.vm.to_string(),
            peer_addr: site.peer_addr,
        };
        let txn = StoreTxn {
            writes: vec![KeyWrite {
                key: format!("{ENTRY_PREFIX}{}", site.vm),
                value: record.to_bytes(),
                lease: id,
            }],
            ..StoreTxn::default()
        };
        let outcome = self.store.commit(&txn).await;
        self.count("register", outcome.as_ref().err());
        if let Err(error) = outcome {
            self.note_failure("register", &error);
            return;
        }
        *lease = Some(id);
    }

    fn watch_pause(&self) -> Duration {
        let own = self.shared.site.vm.as_str();
        match &self.known.coordinator {
            Some(record) if record.vm == own => COORDINATOR_PAUSE,
            _ => {
                let more = self.known.entries.len().saturating_sub(10) as u32;
                let most = self.shared.bounds().drain_time.as_duration() / PAUSE_DIVISOR;
                (WATCH_PAUSE + PAUSE_PER_VM * more).min(most)
            }
        }
    }

    fn note_failure(&mut self, call: &str, error: &StoreError) {
        if !self.known.is_away {
            log::warn!("event=store_lost call={call} reason={error:?}");
        }
        self.known.is_away = true;
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
        self.known.returned_at = Some(now);
    }

    fn count(&self, call: &str, error: Option<&StoreError>) {
        let outcome = match error {
            None => "ok",
            Some(StoreError::Refused(_)) => "refused",
            Some(StoreError::NotSent(_)) => "not_sent",
            Some(StoreError::Unknown(_)) => "unknown",
            Some(StoreError::Malformed(_)) => "malformed",
        };
        let calls = &self.shared.metrics.store_calls;
        calls.with_label_values(&[call, outcome]).inc();
    }

    fn publish(&self) {
        let known = &self.known;
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
