//! The groups thread: one entry VM at a time coordinates the replica groups.
//!
//! The VM that owns the coordinator's lease in the store does so. Its fencing number is the ordinal
//! of the revision at which it took over, which rises also across restores of the store. It sends
//! orders only while the last renewal of the lease is recent enough.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bergamot_groups::{GroupAction, GroupPlanner};
use bergamot_peer::{PeerNotice, SuspicionNotice, frame};
use bergamot_ports::{
    KeyCondition, KeyWrite, StateStore, StoreLease, StoreRevision, StoreTxn, TxnOutcome,
    UpstreamControl,
};
use bergamot_types::prelude::*;
use futures::stream::{FuturesUnordered, StreamExt};
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

use crate::group_actions::{
    CompletedAction, MAX_CONCURRENT_CALLS, OrderWindow, act, record_completed,
};
use crate::lead_term::{CoordinatorTerm, LEASE_TTL};
use crate::own_keys::{COORDINATOR_KEY, EntryRecord, TERM_KEY};
use crate::planner_input::{engine_service, update_planner};
use crate::shared::SharedState;
use crate::view::ClusterView;

/// Period of lease renewals. Two in a row may fail.
const RENEW_PERIOD: Duration = Duration::from_millis(400);
/// Longest time between two planner steps, for conditions that no change of the view announces.
const STEP_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two planner steps. On an eighth of a core a step over 296 upstreams takes
/// up to 8 ms; with one step after each of a group's 16 answers the next queries timed out.
const STEP_GAP: Duration = Duration::from_millis(20);
/// Least ratio of the gap to the duration of the last step. Limits steps to a third of the CPU: a
/// step over 3,000 upstreams that all load takes 26 ms of a whole core.
const STEP_GAP_FACTOR: u32 = 2;
/// How much longer each VM waits than its predecessor in the order of succession before it tries to
/// become coordinator. About the time in which most VMs learn of a successor, so that only a few
/// try in vain, each at the cost of three calls to the store.
const TAKEOVER_STAGGER: Millis = Millis(80);

/// Competes for the coordinator's lease, and coordinates the groups while it owns the lease.
pub struct GroupCoordinator<Store, Control> {
    shared: Arc<SharedState>,
    store: Rc<Store>,
    control: Rc<Control>,
    /// Limits the calls to upstreams that are in flight.
    calls: Rc<Semaphore>,
    /// Stalled leaders, as seen by this VM.
    stall_notices: mpsc::Receiver<SuspicionNotice>,
    /// Stalled leaders, as seen by other VMs.
    peer_stall_notices: mpsc::Receiver<SuspicionNotice>,
    /// Socket that sends notices to the coordinator.
    socket: UdpSocket,
}

impl<Store, Control> GroupCoordinator<Store, Control>
where
    Store: StateStore,
    Control: UpstreamControl,
{
    /// Creates a coordinator that does not own the lease yet.
    pub fn new(
        shared: Arc<SharedState>,
        store: Rc<Store>,
        control: Rc<Control>,
        stall_notices: mpsc::Receiver<SuspicionNotice>,
        peer_stall_notices: mpsc::Receiver<SuspicionNotice>,
        socket: UdpSocket,
    ) -> Self {
        Self {
            shared,
            store,
            control,
            calls: Rc::new(Semaphore::new(MAX_CONCURRENT_CALLS)),
            stall_notices,
            peer_stall_notices,
            socket,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut view_changes = self.shared.view_changed.subscribe();
        loop {
            let view = self.shared.view.load_full();
            let lacks_coordinator = is_vacant(&view, &self.shared);
            let has_groups = engine_service(&view).is_some();
            if lacks_coordinator && has_groups && unfit_reason(&self.shared).is_none() {
                let delay = takeover_wait(&view, &self.shared);
                let takeover_not_needed = async {
                    let has_successor = |count: &u64| {
                        *count > 0 && !is_vacant(&self.shared.view.load(), &self.shared)
                    };
                    let must_give_up =
                        |count: &u64| has_successor(count) || unfit_reason(&self.shared).is_some();
                    let _ = view_changes.wait_for(must_give_up).await;
                };
                let timeout_outcome =
                    tokio::time::timeout(delay.as_duration(), takeover_not_needed).await;
                if timeout_outcome.is_ok() {
                    continue;
                }
                let view = self.shared.view.load_full();
                if let Some(term) = self.take_over(&view).await {
                    self.coordinate(term).await;
                    continue;
                }
            }
            tokio::select! {
                _ = view_changes.changed() => {}
                notice = self.stall_notices.recv() => self.forward_notice(notice).await,
                // The notice is meant for a coordinator, and this VM no longer is one.
                Some(_) = self.peer_stall_notices.recv() => {}
                () = tokio::time::sleep(RENEW_PERIOD), if lacks_coordinator => {}
            }
        }
    }

    /// Forwards a notice about a stalled leader to the coordinator.
    async fn forward_notice(&self, notice: Option<SuspicionNotice>) {
        let Some(notice) = notice else {
            // Unreachable: the senders live as long as the process.
            return std::future::pending().await;
        };
        let view = self.shared.view.load_full();
        let Some(coordinator) = &view.coordinator else {
            return;
        };
        let bytes = match frame::encode(&PeerNotice::Quiet(notice)) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=notice_not_written reason={error:?}");
                return;
            }
        };
        let sent = self.socket.send_to(&bytes, coordinator.peer_addr).await;
        if let Err(error) = sent {
            log::debug!("event=notice_not_sent reason={error:?}");
        }
    }

    /// Tries to become the coordinator. Gives up if the process begins to stop meanwhile.
    async fn take_over(&self, view: &ClusterView) -> Option<CoordinatorTerm> {
        let confirmed_at = self.shared.clock.now();
        let ttl = LEASE_TTL.as_duration();
        let lease = match self.store.open_lease(ttl).await {
            Ok(lease) => lease,
            Err(error) => {
                log::info!("event=takeover_failed reason={error:?}");
                return None;
            }
        };
        if unfit_reason(&self.shared).is_some() {
            self.revoke_lease(lease).await;
            return None;
        }
        let record = EntryRecord::of(&self.shared.site);
        let new_write = |key: &str, lease: Option<StoreLease>| KeyWrite {
            key: key.to_owned(),
            value: record.to_bytes(),
            lease,
        };
        let new_condition = |key: &str, revision: StoreRevision| KeyCondition {
            key: key.to_owned(),
            revision,
        };
        let txn = StoreTxn {
            conditions: vec![
                new_condition(COORDINATOR_KEY, view.coordinator_revision),
                new_condition(TERM_KEY, view.term),
            ],
            writes: vec![
                new_write(COORDINATOR_KEY, Some(lease)),
                new_write(TERM_KEY, None),
            ],
            removes: Vec::new(),
        };
        match self.store.commit(&txn).await {
            Ok(TxnOutcome::Done(revision)) => {
                let fence = revision.to_ordinal();
                log::info!(
                    "event=coordinator_begins fence={fence} before={}",
                    view.term
                );
                let is_first = !view.has_had_coordinator;
                Some(CoordinatorTerm::new(lease, fence, is_first, confirmed_at))
            }
            outcome => {
                // If the answer was lost, the coordinator key may exist; it is removed with the
                // lease.
                log::info!("event=takeover_lost outcome={outcome:?}");
                self.revoke_lease(lease).await;
                None
            }
        }
    }

    async fn revoke_lease(&self, lease: StoreLease) {
        if let Err(error) = self.store.revoke_lease(lease).await {
            log::info!("event=lease_not_ended reason={error:?}");
        }
    }

    /// Coordinates the groups until the lease is lost or the process stops.
    async fn coordinate(&mut self, mut term: CoordinatorTerm) {
        let shared = Arc::clone(&self.shared);
        let mut view_changes = shared.view_changed.subscribe();
        view_changes.mark_changed();
        let mut renewals = tokio::time::interval(RENEW_PERIOD);
        renewals.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut planner: Option<GroupPlanner> = None;
        let mut pending_actions = FuturesUnordered::new();
        let mut earliest_step_at = Instant::now();
        let mut step_at = earliest_step_at;
        loop {
            tokio::select! {
                biased;
                _ = renewals.tick() => {
                    // An unfit process revokes the lease below, so a slow renewal must not delay it.
                    if unfit_reason(&shared).is_none() && !self.renew(&mut term).await {
                        break;
                    }
                }
                Some(completed) = pending_actions.next(), if !pending_actions.is_empty() => {
                    record_completed(&shared, planner.as_mut(), &completed);
                    step_at = earliest_step_at;
                }
                _ = view_changes.changed() => {
                    let view = shared.view.load_full();
                    update_planner(&shared, &mut planner, &view, &term);
                    step_at = earliest_step_at;
                }
                notice = self.stall_notices.recv() => {
                    let queries = self.queries_for_stall(&term, planner.as_mut(), notice);
                    pending_actions
                        .extend(queries.into_iter().map(|action| self.carry_out(&term, action)));
                }
                notice = self.peer_stall_notices.recv() => {
                    let queries = self.queries_for_stall(&term, planner.as_mut(), notice);
                    pending_actions
                        .extend(queries.into_iter().map(|action| self.carry_out(&term, action)));
                }
                () = tokio::time::sleep_until(step_at) => {}
            }
            if let Some(reason) = unfit_reason(&shared) {
                self.revoke_lease(term.lease).await;
                log::info!("event=coordinator_ends reason={reason}");
                return;
            }
            if Instant::now() < step_at {
                continue;
            }
            let step_started_at = Instant::now();
            let now = shared.clock.now();
            let Some(planner) = planner.as_mut().filter(|_| term.allows_orders(now)) else {
                step_at = step_started_at + STEP_PERIOD;
                continue;
            };
            if shared.has_traffic.load(Ordering::Relaxed) {
                planner.record_traffic();
            }
            planner.set_demand(shared.demand.load().as_ref().clone());
            for action in planner.step(now) {
                pending_actions.push(self.carry_out(&term, action));
            }
            let gap = STEP_GAP.max(step_started_at.elapsed() * STEP_GAP_FACTOR);
            earliest_step_at = Instant::now() + gap;
            step_at = Instant::now() + STEP_PERIOD.max(gap);
            if planner.is_fenced() {
                log::warn!("event=coordinator_fenced fence={}", term.fence);
                break;
            }
        }
        log::info!("event=coordinator_ends reason=lease");
    }

    /// Records a stalled leader and returns the queries to its group.
    fn queries_for_stall(
        &self,
        term: &CoordinatorTerm,
        planner: Option<&mut GroupPlanner>,
        notice: Option<SuspicionNotice>,
    ) -> Vec<GroupAction> {
        let now = self.shared.clock.now();
        let planner = planner.filter(|_| term.allows_orders(now));
        match (planner, notice) {
            (Some(planner), Some(notice)) => {
                planner.record_stall(&notice.leader, notice.is_certain, now)
            }
            _ => Vec::new(),
        }
    }

    fn carry_out(
        &self,
        term: &CoordinatorTerm,
        action: GroupAction,
    ) -> impl Future<Output = CompletedAction> + use<Store, Control> {
        let (store, control) = (Rc::clone(&self.store), Rc::clone(&self.control));
        let window = OrderWindow {
            clock: self.shared.clock,
            until: term.orders_until(),
        };
        act(store, control, Rc::clone(&self.calls), window, action)
    }

    /// Renews the lease. Returns `false` if it is lost.
    async fn renew(&self, term: &mut CoordinatorTerm) -> bool {
        let call_started_at = self.shared.clock.now();
        match self.store.renew_lease(term.lease).await {
            Ok(true) => {
                term.record_confirmation(call_started_at);
                true
            }
            Ok(false) => false,
            Err(error) => {
                log::info!("event=lease_not_renewed reason={error:?}");
                // The store may pause leases during an outage. Whether this one expired shows when
                // the store answers again.
                true
            }
        }
    }
}

/// Returns the reason why this VM may not coordinate, if there is one. Orders of a VM that reaches no
/// upstream are lost, and what it asks upstreams has no answer.
fn unfit_reason(shared: &SharedState) -> Option<&'static str> {
    if shared.is_stopping() {
        return Some("stopping");
    }
    shared
        .are_upstreams_unreachable()
        .then_some("upstreams_unreachable")
}

/// Returns how long this VM waits for others to take over before it tries itself. VMs with the most
/// CPU come first, as the coordinator has the most work; ties are broken by an order that differs
/// for each term. VMs that are not known yet, as at the first start, all count as the first; random
/// jitter tells them apart.
fn takeover_wait(view: &ClusterView, shared: &SharedState) -> Millis {
    let site = &shared.site;
    let succession_rank =
        |millicores: u32, vm: &str| (millicores, rendezvous_score(view.term.to_ordinal(), vm));
    let own_rank = succession_rank(site.millicores, site.vm.as_str());
    let entries = view.entries.values();
    let earlier_entries =
        entries.filter(|entry| succession_rank(entry.millicores, &entry.vm) > own_rank);
    let jitter = rand::rng().random_range(0..TAKEOVER_STAGGER.0);
    let stagger = Millis(TAKEOVER_STAGGER.0 * earlier_entries.count() as u64 + jitter);
    // A coordinator may not have noticed a restore, in which its record was lost, until its lease
    // would have ended.
    let lease_end = view.restored_at.map_or(Millis::ZERO, |at| at + LEASE_TTL);
    stagger + lease_end.since(shared.clock.now())
}

/// Whether no VM coordinates as far as the view tells: none is recorded, or this VM is although it
/// does not. The record of an earlier term may come back with a restored store.
fn is_vacant(view: &ClusterView, shared: &SharedState) -> bool {
    let is_read = view.revision > StoreRevision::ZERO;
    let coordinator = view.coordinator.as_ref();
    is_read && coordinator.is_none_or(|record| record.vm == shared.site.vm.as_str())
}
