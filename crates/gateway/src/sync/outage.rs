//! Begin and end of an outage of the store, as this VM sees it.

use std::time::Duration;

use bergamot_ports::{StateStore, StoreCatalog, StoreError};
use bergamot_types::prelude::*;

use super::StoreSync;
use super::peers::MAX_UPDATE_AGE;
use crate::outage::StoreOutage;

/// Period of retries while the store is unreachable, at a VM that serves its updates to peers, and at
/// the coordinator. A call that takes longer is followed by the next at once.
pub(super) const RETRY_PERIOD: Duration = Duration::from_millis(300);
/// Period of retries at those peers, which also poll that VM four times a second. Together with the
/// duration of a failed call it stays below the three seconds after which a VM whose link is back
/// must be up to date.
const FOLLOWER_RETRY_PERIOD: Duration = Duration::from_millis(1_200);
/// Period of retries while a peer answers that it has no fresh updates either. The VM that reads
/// the store finds out sooner and serves its updates. Failed calls also count as load: 1,600 in an
/// outage of 8 s with 195 VMs.
const STALE_PEER_RETRY_PERIOD: Duration = Duration::from_millis(4_000);

impl<Store, Catalog> StoreSync<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Records that a call to the store failed that had begun at `started_at`.
    pub(super) fn record_failure(&mut self, call: &str, started_at: Millis, error: &StoreError) {
        let now = self.shared.clock.now();
        let is_served_by_peer = self.has_failed_call && self.follows_store() && self.is_fresh(now);
        if !is_served_by_peer {
            self.begin_outage(call, started_at, error);
        }
        self.has_failed_call = true;
        let pause = match self.follows_store() {
            true => RETRY_PERIOD.saturating_sub(now.since(started_at).as_duration()),
            false if self.shared.are_peers_stale(now) => STALE_PEER_RETRY_PERIOD,
            false => FOLLOWER_RETRY_PERIOD,
        };
        self.schedule_retry(pause);
        self.store.reset();
    }

    /// Whether the known state of the store is as recent as updates from a peer must be.
    fn is_fresh(&self, now: Millis) -> bool {
        self.feed_state.borrow().freshness.age(now) <= MAX_UPDATE_AGE
    }

    fn begin_outage(&mut self, call: &str, started_at: Millis, error: &StoreError) {
        if !self.known.is_store_unreachable() {
            log::warn!("event=store_lost call={call} reason={error:?}");
            self.ranking.end_backoffs();
        }
        let now = self.shared.clock.now();
        let outage = StoreOutage {
            current_at: self.feed_state.borrow().freshness.current_at(),
            failed_at: started_at,
        };
        self.outage.get_or_insert(outage).failed_at = started_at;
        self.known.begin_outage(now);
        self.shared.set_store_unreachable(true);
    }

    /// Records that a call to the store succeeded.
    pub(super) fn record_success(&mut self) {
        self.has_failed_call = false;
        self.end_outage(None);
    }

    /// Ends the outage, if there is one. A peer may know when the store `returned_at`.
    pub(super) fn end_outage(&mut self, returned_at: Option<Millis>) {
        let Some(outage) = self.outage.take() else {
            return;
        };
        let now = self.shared.clock.now();
        let own_estimate = outage.returned_at(now, &self.shared.bounds());
        let returned_at = returned_at.or(own_estimate);
        log::info!(
            "event=store_regained config_age={} current_age={} failed_age={} returned={}",
            self.shared.config_age(now),
            now.since(outage.current_at),
            now.since(outage.failed_at),
            returned_at.map_or_else(|| "-".to_owned(), |at| now.since(at).to_string())
        );
        self.known.end_outage(returned_at, now);
        self.feed_state.borrow_mut().returned_at = self.known.store_returned_at;
        self.shared.set_store_unreachable(false);
    }
}
