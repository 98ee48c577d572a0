//! Watches that no longer deliver changes although the store answers other calls.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bergamot_ports::{StateStore, StoreCatalog, StoreError, StoreRevision, WatchOutcome};
use bergamot_types::prelude::*;

use super::{StoreSync, WATCH_WAIT};

/// How long a watch may lack a change that a confirmation has shown, until the change is requested
/// by a second watch. The store answers watches at once.
const LATE_WATCH_TIME: Duration = Duration::from_millis(200);
/// How long both watches may lack such a change until they are given up. A retransmission on a
/// watch's connection takes up to a second.
const WATCH_STALL_TIMEOUT: Millis = Millis::from_secs(2);
/// Time for an answer that arrived while the confirmation was awaited to be read.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(20);

/// The outcome of a watch.
pub(super) type WatchResult = Result<WatchOutcome, StoreError>;

type PendingWatch = Pin<Box<dyn Future<Output = WatchResult>>>;

/// A watch, and a second one on a connection of its own if the first lacks a change. The first answer
/// counts, so that a connection that was only slow costs nothing.
pub(super) struct WatchPair {
    first: PendingWatch,
    second: Option<PendingWatch>,
    started_at: Millis,
    /// When the second watch begins, as a change is lacking.
    late_at: Option<Millis>,
}

impl WatchPair {
    /// When the first watch began.
    pub(super) const fn started_at(&self) -> Millis {
        self.started_at
    }

    /// Returns the time until the second watch is due, if it is.
    pub(super) fn time_until_late(&self, now: Millis) -> Option<Duration> {
        let late_at = self.late_at?;
        Some(late_at.since(now).as_duration())
    }

    /// Waits for the first answer.
    pub(super) async fn answer(&mut self) -> WatchResult {
        let Some(second) = &mut self.second else {
            return self.first.as_mut().await;
        };
        tokio::select! {
            outcome = &mut self.first => outcome,
            outcome = second => outcome,
        }
    }

    /// Returns an answer that has arrived.
    pub(super) async fn arrived_answer(&mut self) -> Option<WatchResult> {
        tokio::time::timeout(LATE_ANSWER_TIME, self.answer())
            .await
            .ok()
    }
}

impl<Store, Catalog> StoreSync<Store, Catalog>
where
    Store: StateStore + 'static,
    Catalog: StoreCatalog,
{
    /// Opens a watch from `revision`.
    pub(super) fn open_watches(&self, revision: StoreRevision) -> WatchPair {
        let mut watches = WatchPair {
            first: self.open_watch(revision),
            second: None,
            started_at: self.shared.clock.now(),
            late_at: None,
        };
        self.expect_answer(&mut watches);
        watches
    }

    fn open_watch(&self, revision: StoreRevision) -> PendingWatch {
        let store = Rc::clone(&self.store);
        Box::pin(async move { store.watch("", revision, WATCH_WAIT).await })
    }

    /// Makes the second watch due in a moment if a change is known to be lacking.
    pub(super) fn expect_answer(&self, watches: &mut WatchPair) {
        let is_lacking = self.feed_state.borrow().freshness.pending_since().is_some();
        if is_lacking && watches.second.is_none() && watches.late_at.is_none() {
            let delay = self.within_change_time(LATE_WATCH_TIME);
            let delay = Millis(delay.as_millis() as u64);
            watches.late_at = Some(self.shared.clock.now() + delay);
        }
    }

    /// Opens the second watch once it is due. Returns the answer of the first if it has arrived.
    pub(super) async fn open_due_watch(
        &self,
        watches: &mut WatchPair,
        revision: StoreRevision,
    ) -> Option<WatchResult> {
        let now = self.shared.clock.now();
        watches.late_at.take_if(|at| *at <= now)?;
        if let Some(outcome) = watches.arrived_answer().await {
            return Some(outcome);
        }
        log::warn!("event=watch_stalled revision={revision}");
        watches.second = Some(self.open_watch(revision));
        None
    }

    /// Whether both watches lack a change that was known to exist for [`WATCH_STALL_TIMEOUT`] of their
    /// time.
    pub(super) fn are_watches_stalled(&self, watches: &WatchPair) -> bool {
        let Some(pending_since) = self.feed_state.borrow().freshness.pending_since() else {
            return false;
        };
        let lacking_since = pending_since.max(watches.started_at);
        self.shared.clock.now().since(lacking_since) >= WATCH_STALL_TIMEOUT
    }

    /// Shortens a period by which changes reach this VM, in proportion, if a bound on the time of a
    /// change is below [`USUAL_CHANGE_TIME`].
    pub(super) fn within_change_time(&self, period: Duration) -> Duration {
        let bounds = self.shared.bounds();
        let change_times = [Some(bounds.drain_time), bounds.config_apply_time];
        let shortest = change_times.into_iter().flatten().min();
        let shortest = shortest.unwrap_or(USUAL_CHANGE_TIME);
        match shortest < USUAL_CHANGE_TIME {
            true => period.mul_f64(shortest.as_secs_f64() / USUAL_CHANGE_TIME.as_secs_f64()),
            false => period,
        }
    }
}

/// The bound on the time of a change for which the periods of the store thread are chosen. A VM that
/// reads the store takes up to 1.1 s of it, and each VM that passes the change on a period of requests.
const USUAL_CHANGE_TIME: Millis = Millis::from_secs(2);
