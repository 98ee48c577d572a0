//! Publishes what is known of the store, and counts calls and restores of it.

use bergamot_ports::{StateStore, StoreCatalog, StoreError, StoreGeneration};

use super::StoreSync;
use super::quarantine::apply_crash_record_changes;
use crate::evacuations::{EvacuationChange, RESTORED_EVACUATION_HOLD};
use crate::shared::SharedState;
use crate::view::{ClusterView, build_pools};

impl<Store, Catalog> StoreSync<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    pub(super) fn count_store_call(&mut self, call: &str, error: Option<&StoreError>) {
        count_call(&self.shared, call, error);
        self.note_generation(self.store.generation(), call);
    }

    /// Returns the latest generation that the store or a peer reported.
    pub(super) fn latest_generation(&self) -> StoreGeneration {
        self.store
            .generation()
            .max(self.generation.unwrap_or_default())
    }

    /// Handles that the store is in `generation`, as reported by an answer to `call`. After a restore
    /// everything is read again.
    pub(super) fn note_generation(&mut self, generation: StoreGeneration, call: &str) {
        let known = self.generation.unwrap_or(generation);
        let is_first_answer = self.generation.is_none();
        self.generation = Some(known.max(generation));
        // When the store was restored before this process started is not known.
        if is_first_answer && generation > StoreGeneration::default() {
            self.known.found_restored_at = Some(self.shared.clock.now());
        }
        if generation <= known {
            return;
        }
        log::warn!(
            "event=store_restored generation={generation} before={known} call={call} revision={} config={}",
            self.known.revision.unwrap_or_default(),
            self.known.config_version()
        );
        self.shared.metrics.store_restores.inc();
        self.shared
            .metrics
            .set_state("store_generation", generation.0 as i64);
        self.known.revision = None;
        self.known.record_restore(self.shared.clock.now());
    }

    pub(super) fn publish(&mut self) {
        self.rank_peers();
        self.log_evacuations(None);
        self.known.log_unlisted();
        apply_crash_record_changes(&self.shared, &self.known.take_crash_record_changes());
        let known = &self.known;
        let evacuated_count = known.evacuations.evacuations().len();
        let metrics = &self.shared.metrics;
        metrics.set_state("evacuated_domains", evacuated_count as i64);
        let is_unreadable = known.stored_config.is_unreadable();
        metrics.set_state("config_unreadable", i64::from(is_unreadable));
        let mut feed_state = self.feed_state.borrow_mut();
        if feed_state.config_version != known.config_version() {
            feed_state.config.clone_from(&known.config_item);
            feed_state.config_version = known.config_version();
        }
        feed_state.returned_at = known.store_returned_at;
        feed_state.restored_at = known.restored_at;
        feed_state.evacuations.clone_from(&known.evacuations);
        drop(feed_state);
        self.log_config_change();
        let known = &self.known;
        let pools = known
            .config
            .as_ref()
            .map(|config| build_pools(config, &known.upstreams, known.evacuations.evacuations()));
        self.shared.publish(ClusterView {
            config: known.config.clone(),
            confirmation: known.confirmation.clone(),
            upstreams: known.upstreams.clone(),
            revision: known.revision.unwrap_or_default(),
            pools: pools.unwrap_or_default(),
            cold_entries: known
                .statements
                .cold_entries(known.config.as_deref(), &known.upstreams),
            entries: known.entries.clone(),
            coordinator: known.coordinator.clone(),
            coordinator_revision: known.coordinator_revision,
            restored_at: known.restored_at.max(known.found_restored_at),
            holds: known.holds.clone(),
            term: known.term,
            has_had_coordinator: known.has_had_coordinator,
            evacuations: known.evacuations.evacuations().clone(),
            ended_evacuations: known.evacuations.ended(self.shared.clock.now()),
        });
        self.record_view_current();
    }

    /// Logs that requests are about to be decided by another configuration, with its source and the time
    /// within which this VM has learned of it.
    fn log_config_change(&self) {
        let (now, version) = (self.shared.clock.now(), self.known.config_version());
        let previous = self.shared.view.load().config_standing(now);
        if version == previous.version {
            return;
        }
        self.shared
            .metrics
            .set_state("config_version", version as i64);
        let known_after = match previous.version {
            0 => "-".to_owned(),
            _ => previous.age.to_string(),
        };
        log::info!(
            "event=config_published version={version} before={} source={} known_after={known_after}",
            previous.version,
            self.source
        );
    }

    /// Passes on since when the published view is known to be complete. Must not be called while
    /// known changes are not published.
    pub(super) fn record_view_current(&self) {
        let current_at = self.feed_state.borrow().freshness.current_at();
        self.shared.record_view_current(current_at);
    }

    /// Logs the changes of the evacuations, with their source and the time within which this VM has
    /// learned of them. The source is that of the last changes unless one is given.
    pub(super) fn log_evacuations(&mut self, source: Option<&str>) {
        let changes = std::mem::take(&mut self.known.evacuation_changes);
        if changes.is_empty() {
            return;
        }
        let age = self
            .feed_state
            .borrow()
            .freshness
            .age(self.shared.clock.now());
        let known_after = match self.known.read_generation {
            Some(_) => age.to_string(),
            None => "-".to_owned(),
        };
        let source = source.unwrap_or(&self.source);
        for change in changes {
            match change {
                EvacuationChange::Evacuated(domain, revision) => log::info!(
                    "event=domain_evacuated domain={domain} revision={revision} source={source} known_after={known_after}"
                ),
                EvacuationChange::Returned(domain, revision) => log::info!(
                    "event=domain_returned domain={domain} revision={revision} source={source} known_after={known_after}"
                ),
                EvacuationChange::HoldBegan(domain) => log::warn!(
                    "event=evacuation_held domain={domain} for={RESTORED_EVACUATION_HOLD} reason=\"the restored store lacks its key\""
                ),
                EvacuationChange::HoldEnded(domain) => log::warn!(
                    "event=evacuation_hold_ended domain={domain} reason=\"its key was not written again after the restore\""
                ),
            }
        }
    }
}

/// Counts a call to the store in the metrics.
pub(super) fn count_call(shared: &SharedState, call: &str, error: Option<&StoreError>) {
    let outcome = match error {
        None => "ok",
        Some(StoreError::Refused(_)) => "refused",
        Some(StoreError::NotSent(_)) => "not_sent",
        Some(StoreError::Unknown(_)) => "unknown",
        Some(StoreError::Restored) => "restored",
        Some(StoreError::Malformed(_)) => "malformed",
    };
    let calls = &shared.metrics.store_calls;
    calls.with_label_values(&[call, outcome]).inc();
}
