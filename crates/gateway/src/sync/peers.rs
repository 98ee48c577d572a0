//! Obtains store updates from peers.

use std::net::SocketAddr;
use std::time::Duration;

use bergamot_feed::PeerDescriptor;
use bergamot_membership::prelude::*;
use bergamot_peer::{StoreUpdates, UpdateRequest, UpdateResponse};
use bergamot_ports::{StateStore, StoreCatalog, StoreGeneration};
use bergamot_types::prelude::*;
use tokio::time::Instant;

use super::StoreSync;
use crate::evacuations::EvacuationEvent;
use crate::outage::can_have_expired;

/// Period of requests to a peer. A change is known here after at most this period and the reader's
/// own pause, a fraction of the time after which a leaving upstream must get no new requests.
pub(super) const POLL_PERIOD: Duration = Duration::from_millis(250);

/// Maximum age of usable updates: the reader's confirmation period and its pause. Together with the
/// period of requests it stays below the two seconds after which a leaving upstream must get no new
/// requests.
pub(super) const MAX_UPDATE_AGE: Millis = Millis(1_300);

/// Why a peer's response is not usable.
#[derive(Debug, thiserror::Error)]
pub(super) enum FeedError {
    #[error("{0}")]
    NoAnswer(#[from] bergamot_peer::Error),
    #[error("the peer's updates are {0} old, which exceeds the maximum age")]
    Stale(Millis),
    #[error("the peer relays updates from another peer")]
    Relayed,
    #[error(
        "the peer no longer has the updates since the requested revision; everything is read again"
    )]
    Forgotten,
    #[error(
        "the peer has not read the store since it was restored; its updates are of generation {0}"
    )]
    BeforeRestore(StoreGeneration),
    #[error("the peer has not read the store yet")]
    NotReady,
    #[error("the address of the peer is not known")]
    NoAddress,
}

impl FeedError {
    /// Whether the peer responded but has no fresh updates.
    const fn lacks_fresh_updates(&self) -> bool {
        matches!(
            self,
            Self::Stale(_) | Self::NotReady | Self::BeforeRestore(_)
        )
    }
}

/// What one response contained.
struct BatchSummary {
    has_changes: bool,
    has_more: bool,
}

impl<Store, Catalog> StoreSync<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Ranks the known entry VMs as peers.
    pub(super) fn rank_peers(&mut self) {
        let site = &self.shared.site;
        let own = PeerDescriptor {
            vm: site.vm.to_string(),
            failure_domain: site.failure_domain.clone(),
            millicores: site.millicores,
        };
        let peers = self.known.entries.values().map(|entry| PeerDescriptor {
            vm: entry.vm.clone(),
            failure_domain: entry.failure_domain.clone(),
            millicores: entry.millicores,
        });
        self.ranking.rank_peers(peers, &own);
        let role = match self.ranking.is_store_reader() {
            true => FeedRole::Reader,
            false => FeedRole::Follower,
        };
        self.shared.set_feed_role(role);
        self.shared.record_list(self.known.entries.len());
        let followers = self.ranking.followers().iter().map(String::as_str);
        let now = self.shared.clock.now();
        self.presence.borrow_mut().set_followers(now, followers);
    }

    /// Polls peers one after another until one has fresh updates. Returns `false` if none has. If a
    /// peer lacks the updates since the known revision, schedules a full read.
    pub(super) async fn poll_peers(&mut self, peers: &[String]) -> bool {
        for vm in peers {
            let Err(error) = self.poll_peer(vm).await else {
                self.peer_failures.swap_remove(vm);
                return true;
            };
            self.record_unusable(vm, &error);
            if matches!(error, FeedError::Forgotten) {
                self.known.revision = None;
                return true;
            }
            let now = self.shared.clock.now();
            if error.lacks_fresh_updates() {
                self.shared.record_stale_peer(now);
            }
            self.ranking.back_off(vm, self.is_cut_off(), now);
        }
        false
    }

    /// Logs and counts an unusable response of a peer. Logs only if the kind of error changed:
    /// while the store is unreachable, each VM gets the same error four times a second.
    pub(super) fn record_unusable(&mut self, vm: &str, error: &FeedError) {
        let kind = std::mem::discriminant(error);
        let previous_kind = self.peer_failures.insert(vm.to_owned(), kind);
        if previous_kind != Some(kind) {
            log::info!("event=news_not_usable peer={vm} reason=\"{error}\"");
        }
        self.count_feed_request("failed");
    }

    /// Polls one peer until it has no more updates. Publishes received updates even if a later
    /// request fails.
    async fn poll_peer(&mut self, vm: &str) -> Result<(), FeedError> {
        let entry = self.known.entries.get(vm);
        let addr = entry.ok_or(FeedError::NoAddress)?.peer_addr;
        let mut has_changes = false;
        let outcome = loop {
            match self.poll_once(addr).await {
                Ok(batch) => {
                    has_changes |= batch.has_changes;
                    if !batch.has_more {
                        break Ok(());
                    }
                }
                Err(error) => break Err(error),
            }
        };
        if outcome.is_ok() {
            self.set_source(vm);
        }
        match has_changes {
            true => self.publish(),
            false => self.record_view_current(),
        }
        outcome
    }

    /// Requests and applies the next batch of updates.
    async fn poll_once(&mut self, addr: SocketAddr) -> Result<BatchSummary, FeedError> {
        let requested_at = self.shared.clock.now();
        let known = self.known.revision.unwrap_or_default();
        let request = UpdateRequest {
            requester: self.own_key,
            after: known,
            unaffected_until: known,
            lacks_config_after: self
                .has_failed_peer_confirm
                .then_some(self.known.config_version()),
        };
        let updates = self.request_updates(addr, request).await?;
        let batch = BatchSummary {
            has_changes: !updates.changes.is_empty() || updates.config.is_some(),
            has_more: updates.has_more,
        };
        self.apply_updates(updates, requested_at, addr).await;
        Ok(batch)
    }

    /// Sends one request. Returns an error if the response is not usable.
    pub(super) async fn request_updates(
        &mut self,
        addr: SocketAddr,
        request: UpdateRequest,
    ) -> Result<StoreUpdates, FeedError> {
        let requested_at = self.shared.clock.now();
        let updates = match self.feed_client.request_updates(addr, request).await? {
            UpdateResponse::Changes(updates) => *updates,
            UpdateResponse::Forgotten => return Err(FeedError::Forgotten),
            UpdateResponse::NotReady => return Err(FeedError::NotReady),
        };
        let generation = updates.reached.generation;
        if generation < self.latest_generation() {
            return Err(FeedError::BeforeRestore(generation));
        }
        // A VM that can reach the store accepts relayed updates only from a relay of its failure
        // domain, whose reader goes on reading the store.
        if updates.is_relayed && !self.is_cut_off() && !self.is_relay(addr) {
            return Err(FeedError::Relayed);
        }
        let age = self.shared.clock.now().since(requested_at) + updates.age;
        if age > MAX_UPDATE_AGE {
            return Err(FeedError::Stale(age));
        }
        self.count_feed_request("answered");
        Ok(updates)
    }

    /// Whether the VM at `addr` is a relay that this VM follows.
    fn is_relay(&self, addr: SocketAddr) -> bool {
        let mut entries = self.known.entries.values();
        entries.any(|entry| entry.peer_addr == addr && self.ranking.is_relay(&entry.vm))
    }

    pub(super) fn count_feed_request(&self, outcome: &str) {
        let feed_requests = &self.shared.metrics.feed_requests;
        feed_requests.with_label_values(&[outcome]).inc();
    }

    /// Applies the response to a request sent at `requested_at`. Ages in the response are counted
    /// from then, so that they are overestimated rather than underestimated.
    async fn apply_updates(
        &mut self,
        mut updates: StoreUpdates,
        requested_at: Millis,
        addr: SocketAddr,
    ) {
        self.apply_store_return(&updates, requested_at);
        self.apply_retained(&updates, requested_at);
        let now = self.shared.clock.now();
        for change in std::mem::take(&mut updates.changes) {
            self.apply_change(change, now);
        }
        let fresh_at = Millis(requested_at.0.saturating_sub(updates.age.0));
        let is_complete = !updates.has_more;
        self.advance_revision(updates.revision);
        if is_complete {
            self.feed_state
                .borrow_mut()
                .freshness
                .mark_current(fresh_at);
        }
        if let Some(item) = &updates.config {
            self.known.apply_config(&self.catalog, item);
            self.has_failed_peer_confirm = false;
        }
        self.apply_confirmation(&updates, requested_at, addr).await;
    }

    /// Applies the times at which a peer saw the store come back and noticed a restore. Ends the outage
    /// for this VM, as its peer reaches the store.
    pub(super) fn apply_store_return(&mut self, updates: &StoreUpdates, requested_at: Millis) {
        let current_at = self.feed_state.borrow().freshness.current_at();
        let returned_at = updates
            .since_return
            .map(|since_return| Millis(requested_at.0.saturating_sub(since_return.0)))
            // Otherwise the peer alone was cut off, or this VM has applied the return before.
            .filter(|at| can_have_expired(current_at, *at, &self.shared.bounds()));
        self.end_outage(returned_at);
        if let Some(returned_at) = returned_at {
            self.known.record_store_return(returned_at);
        }
        if let Some(since_restore) = updates.since_restore {
            let restored_at = Millis(requested_at.0.saturating_sub(since_restore.0));
            self.known.restored_at = self.known.restored_at.max(Some(restored_at));
        }
    }

    /// Applies the ends of evacuations that a peer knows of, and the evacuations that it keeps in
    /// force because a restored store lacks them.
    pub(super) fn apply_retained(&mut self, updates: &StoreUpdates, requested_at: Millis) {
        let now = self.shared.clock.now();
        for end in &updates.evacuation_ends {
            let event = EvacuationEvent::EndedAtPeer {
                domain: end.domain.clone(),
                revision: end.revision,
                ended_at: Millis(requested_at.0.saturating_sub(end.age.0)),
            };
            self.known.apply_evacuation(event, now);
        }
        for retained in &updates.retained_evacuations {
            let event = EvacuationEvent::Retained {
                domain: retained.domain.clone(),
                revision: retained.revision,
                held_since: Millis(requested_at.0.saturating_sub(retained.age.0)),
            };
            self.known.apply_evacuation(event, now);
        }
    }

    /// Applies the confirmation of the configuration by the peer at `addr`, or reads the newer
    /// configuration that the peer knows of.
    pub(super) async fn apply_confirmation(
        &mut self,
        updates: &StoreUpdates,
        requested_at: Millis,
        addr: SocketAddr,
    ) {
        let known = self.known.config_version();
        if updates.config_version > known && !self.read_config_from(addr).await {
            self.confirm_when_due().await;
        }
        // A peer with an older configuration confirms nothing.
        if updates.config_version == known && self.known.config.is_some() {
            let confirmed_at = requested_at.0.saturating_sub(updates.config_age.0);
            self.known.confirmation.record(Millis(confirmed_at));
        }
    }

    /// Reads the configuration from the peer at `addr`. Returns `false` if the peer did not send
    /// it.
    ///
    /// If each of 195 VMs read configurations of 1,500 routes from the store, that would cost 2,245
    /// calls a day.
    async fn read_config_from(&mut self, addr: SocketAddr) -> bool {
        let requested_at = self.shared.clock.now();
        let known = self.known.revision.unwrap_or_default();
        let request = UpdateRequest {
            requester: self.own_key,
            after: known,
            unaffected_until: known,
            lacks_config_after: Some(self.known.config_version()),
        };
        let updates = match self.request_updates(addr, request).await {
            Ok(updates) => updates,
            Err(error) => {
                log::info!("event=news_not_usable peer={addr} reason=\"{error}\"");
                return false;
            }
        };
        let Some(item) = &updates.config else {
            return false;
        };
        self.known.apply_config(&self.catalog, item);
        if self.known.config_version() != updates.config_version {
            return false;
        }
        let confirmed_at = requested_at.0.saturating_sub(updates.config_age.0);
        self.known.confirmation.record(Millis(confirmed_at));
        self.publish();
        true
    }

    /// Reads from the store a configuration that a peer knows of, unless a retry is not due yet.
    async fn confirm_when_due(&mut self) {
        if self.has_failed_peer_confirm && Instant::now() < self.confirm_at {
            return;
        }
        let outcome = self.confirm().await;
        self.has_failed_peer_confirm = outcome.is_err();
        if let Err(error) = outcome {
            log::warn!("event=config_not_read reason={error:?}");
            self.store.reset();
            self.schedule_confirm();
        }
    }
}
