//! The groups' duty: one entry VM at a time coordinates the replica groups.
//!
//! Whoever holds the lease in the store does. Its fencing number is the revision at which it took
//! over; it gives orders only while a renewal confirmed the lease recently enough.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bergamot_groups::{GroupAction, GroupOptions, GroupPlanner};
use bergamot_peer::{PeerNotice, SuspicionNotice, frame};
use bergamot_ports::{
    EngineSpec, KeyCondition, KeyWrite, StateStore, StoreTxn, TxnOutcome, UpstreamControl, VmSite,
};
use bergamot_types::prelude::*;
use futures::stream::{FuturesUnordered, StreamExt};
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::Instant;

use crate::group_actions::{DoneAction, MAX_CALLS, OrderWindow, act, note_done};
use crate::lead_term::{LEASE_TTL, LeadTerm};
use crate::own_keys::{COORDINATOR_KEY, EntryRecord, TERM_KEY};
use crate::shared::SharedState;
use crate::view::ClusterView;

/// Time between two renewals: two may fail.
const RENEW_PERIOD: Duration = Duration::from_millis(400);
/// Time between two looks while there is work, for what no change announces.
const STEP_PERIOD: Duration = Duration::from_millis(100);
/// The least time between two looks. On an eighth of a core a look at 296 upstreams takes up to 8 ms;
/// one after each of the 16 answers of a group made the next questions run out of time.
const STEP_GAP: Duration = Duration::from_millis(20);
/// The gap is at least so many times what the last look took, so that looks take a third of the
/// processor at most: one at 3,000 upstreams that all load takes 26 ms of a whole core.
const STEP_SHARE: u32 = 2;
/// What each VM waits longer than the one before it in the order of succession before it tries to
/// become coordinator. About as long as news of a successor takes to most others, so that a few try
/// in vain and not all: three calls to the store each.
const TAKEOVER_STEP: Millis = Millis(80);

/// The state of the duty.
pub struct GroupsDuty<Store, Control> {
    shared: Arc<SharedState>,
    store: Rc<Store>,
    control: Rc<Control>,
    /// Bounds the calls to upstreams that are on their way.
    calls: Rc<Semaphore>,
    /// Leaders from which nothing comes, as this VM sees it.
    quiet: mpsc::Receiver<SuspicionNotice>,
    /// The same as other VMs see it.
    doubts: mpsc::Receiver<SuspicionNotice>,
    /// Where notices to the coordinator leave.
    socket: UdpSocket,
}

impl<Store, Control> GroupsDuty<Store, Control>
where
    Store: StateStore,
    Control: UpstreamControl,
{
    /// A duty that does not coordinate yet.
    pub fn new(
        shared: Arc<SharedState>,
        store: Rc<Store>,
        control: Rc<Control>,
        quiet: mpsc::Receiver<SuspicionNotice>,
        doubts: mpsc::Receiver<SuspicionNotice>,
        socket: UdpSocket,
    ) -> Self {
        Self {
            shared,
            store,
            control,
            calls: Rc::new(Semaphore::new(MAX_CALLS)),
            quiet,
            doubts,
            socket,
        }
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        let mut changes = self.shared.view_changed.subscribe();
        loop {
            let view = self.shared.view.load_full();
            let is_vacant = view.coordinator.is_none() && view.revision > 0;
            let has_groups = engine_service(&view).is_some();
            if is_vacant && has_groups && !self.shared.is_stopping() {
                let wait = takeover_wait(&view, &self.shared.site);
                let given_up = async {
                    let is_taken = |count: &u64| *count > 0 && self.shared.has_coordinator();
                    let must_not = |count: &u64| is_taken(count) || self.shared.is_stopping();
                    let _ = changes.wait_for(must_not).await;
                };
                let waited = tokio::time::timeout(wait.as_duration(), given_up).await;
                if waited.is_ok() {
                    continue;
                }
                if let Some(term) = self.take_over(&view).await {
                    self.lead(term).await;
                    continue;
                }
            }
            tokio::select! {
                _ = changes.changed() => {}
                notice = self.quiet.recv() => self.pass_on(notice).await,
                // Meant for a coordinator; this VM is none any more.
                Some(_) = self.doubts.recv() => {}
                () = tokio::time::sleep(RENEW_PERIOD), if is_vacant => {}
            }
        }
    }

    /// Tells the coordinator of a leader from which nothing comes.
    async fn pass_on(&self, notice: Option<SuspicionNotice>) {
        let Some(notice) = notice else {
            // The senders live as long as the process.
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

    /// Tries to become the coordinator, and gives it up where the process is told to stop meanwhile.
    async fn take_over(&self, view: &ClusterView) -> Option<LeadTerm> {
        let confirmed_at = self.shared.clock.now();
        let ttl = LEASE_TTL.as_duration();
        let lease = match self.store.open_lease(ttl).await {
            Ok(lease) => lease,
            Err(error) => {
                log::info!("event=takeover_failed reason={error:?}");
                return None;
            }
        };
        if self.shared.is_stopping() {
            self.end_lease(lease).await;
            return None;
        }
        let record = EntryRecord::of(&self.shared.site);
        let write = |key: &str, lease: u64| KeyWrite {
            key: key.to_owned(),
            value: record.to_bytes(),
            lease,
        };
        let condition = |key: &str, revision: u64| KeyCondition {
            key: key.to_owned(),
            revision,
        };
        let txn = StoreTxn {
            conditions: vec![
                condition(COORDINATOR_KEY, 0),
                condition(TERM_KEY, view.term),
            ],
            writes: vec![write(COORDINATOR_KEY, lease), write(TERM_KEY, 0)],
            removes: Vec::new(),
        };
        match self.store.commit(&txn).await {
            Ok(TxnOutcome::Done(fence)) => {
                log::info!(
                    "event=coordinator_begins fence={fence} before={}",
                    view.term
                );
                let is_first = view.term == 0;
                Some(LeadTerm::new(lease, fence, is_first, confirmed_at))
            }
            outcome => {
                // When the answer was lost the lease may hold the place: it ends with it.
                log::info!("event=takeover_lost outcome={outcome:?}");
                self.end_lease(lease).await;
                None
            }
        }
    }

    async fn end_lease(&self, lease: u64) {
        if let Err(error) = self.store.revoke_lease(lease).await {
            log::info!("event=lease_not_ended reason={error:?}");
        }
    }

    /// Coordinates until the lease is lost or the process stops.
    async fn lead(&mut self, mut term: LeadTerm) {
        let shared = Arc::clone(&self.shared);
        let mut changes = shared.view_changed.subscribe();
        changes.mark_changed();
        let mut renewals = tokio::time::interval(RENEW_PERIOD);
        renewals.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut planner: Option<GroupPlanner> = None;
        let mut running = FuturesUnordered::new();
        let mut soon = Instant::now();
        let mut step_at = soon;
        loop {
            tokio::select! {
                biased;
                _ = renewals.tick() => {
                    // The place is given up next, however long the store takes for a renewal.
                    if !shared.is_stopping() && !self.renew(&mut term).await {
                        break;
                    }
                }
                Some(done) = running.next(), if !running.is_empty() => {
                    note_done(&shared, planner.as_mut(), &done);
                    step_at = soon;
                }
                _ = changes.changed() => {
                    let view = shared.view.load_full();
                    update(&shared, &mut planner, &view, &term);
                    step_at = soon;
                }
                notice = self.quiet.recv() => {
                    let questions = self.doubt(&term, planner.as_mut(), notice);
                    running.extend(questions.into_iter().map(|it| self.carry_out(&term, it)));
                }
                notice = self.doubts.recv() => {
                    let questions = self.doubt(&term, planner.as_mut(), notice);
                    running.extend(questions.into_iter().map(|it| self.carry_out(&term, it)));
                }
                () = tokio::time::sleep_until(step_at) => {}
            }
            if shared.is_stopping() {
                self.end_lease(term.lease).await;
                log::info!("event=coordinator_ends reason=stopping");
                return;
            }
            if Instant::now() < step_at {
                continue;
            }
            let began = Instant::now();
            let now = shared.clock.now();
            let Some(planner) = planner.as_mut().filter(|_| term.allows_orders(now)) else {
                step_at = began + STEP_PERIOD;
                continue;
            };
            if shared.has_traffic.load(Ordering::Relaxed) {
                planner.record_traffic();
            }
            planner.set_demand(shared.demand.load().as_ref().clone());
            for action in planner.step(now) {
                running.push(self.carry_out(&term, action));
            }
            let gap = STEP_GAP.max(began.elapsed() * STEP_SHARE);
            soon = Instant::now() + gap;
            step_at = Instant::now() + STEP_PERIOD.max(gap);
            if planner.is_fenced() {
                log::warn!("event=coordinator_fenced fence={}", term.fence);
                break;
            }
        }
        log::info!("event=coordinator_ends reason=lease");
    }

    /// The questions to a group from whose leader nothing comes.
    fn doubt(
        &self,
        term: &LeadTerm,
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
        term: &LeadTerm,
        action: GroupAction,
    ) -> impl Future<Output = DoneAction> + use<Store, Control> {
        let (store, control) = (Rc::clone(&self.store), Rc::clone(&self.control));
        let window = OrderWindow {
            clock: self.shared.clock,
            until: term.orders_until(),
        };
        act(store, control, Rc::clone(&self.calls), window, action)
    }

    /// Renews the lease. False when it is lost.
    async fn renew(&self, term: &mut LeadTerm) -> bool {
        let began = self.shared.clock.now();
        match self.store.renew_lease(term.lease).await {
            Ok(true) => {
                term.note_confirmed(began);
                true
            }
            Ok(false) => false,
            Err(error) => {
                log::info!("event=lease_not_renewed reason={error:?}");
                // An outage may pause leases; a lapsed one shows when the store answers again.
                true
            }
        }
    }
}

/// How long this VM leaves the place to those before it: the ones with the most processor first, as
/// the coordinator has the most to do, and else in an order that is new for each term. VMs that are
/// not known yet, as at the first start, all count as the first: their waits are drawn.
fn takeover_wait(view: &ClusterView, site: &VmSite) -> Millis {
    let order = |millicores: u32, vm: &str| (millicores, rendezvous_score(view.term, vm));
    let own = order(site.millicores, site.vm.as_str());
    let entries = view.entries.values();
    let before = entries.filter(|entry| order(entry.millicores, &entry.vm) > own);
    let drawn = rand::rng().random_range(0..TAKEOVER_STEP.0);
    Millis(TAKEOVER_STEP.0 * before.count() as u64 + drawn)
}

fn engine_service(view: &ClusterView) -> Option<(ServiceName, EngineSpec)> {
    let services = view.config.as_ref()?.services.values();
    let mut engines = services.filter_map(|spec| {
        let engine = spec.engine.clone()?;
        Some((spec.name.clone(), engine))
    });
    engines.next()
}

fn update(
    shared: &SharedState,
    planner: &mut Option<GroupPlanner>,
    view: &ClusterView,
    term: &LeadTerm,
) {
    let Some((service, spec)) = engine_service(view) else {
        return;
    };
    let planner = planner.get_or_insert_with(|| {
        let options = GroupOptions {
            stall_time: shared.bounds().stall_time,
            ..GroupOptions::default()
        };
        let now = shared.clock.now();
        let holds = view.holds.iter();
        let inherited = holds.map(|(group, members)| (GroupId::new(group), members.clone()));
        let inherited = inherited.collect();
        let (fence, is_first) = (term.fence, term.is_first);
        GroupPlanner::new(options, spec.clone(), fence, is_first, inherited, now)
    });
    planner.set_spec(spec);
    let entries = view.upstreams.values();
    let members = entries.filter(|entry| entry.service == service);
    planner.set_directory(members, view.revision, shared.clock.now());
}
