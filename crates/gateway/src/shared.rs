//! State that is shared by the threads of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use bergamot_groups::{MembershipLog, ModelDemand};
use bergamot_membership::prelude::*;
use bergamot_peer::SuspicionNotice;
use bergamot_ports::{ServingBounds, VmSite};
use bergamot_quarantine::{QuarantineRecord, QuarantineState};
use bergamot_resources::prelude::*;
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc, watch};

use crate::clock::BootClock;
use crate::duty::DutyWatch;
use crate::front::pace::ParkMeter;
use crate::front::residency::warn_of_unknown_regions;
use crate::metrics::GatewayMetrics;
use crate::own_keys::ForwardEndpoint;
use crate::view::{ClusterView, ConfigStanding};

/// Subtracted from the time for which a confirmed configuration is valid. A request may wait this
/// long between the check and its arrival at the upstream.
pub const CONFIRM_MARGIN: Millis = Millis(400);

/// How long a peer's answer that it has no fresh store updates is valid. While the store is
/// unreachable, each VM asks peers twice a second, alternating between two of them.
const PEER_STALE_VALIDITY: Millis = Millis(1_500);

/// State that every thread reads.
pub struct SharedState {
    /// Settings of this process, as read at its start.
    pub site: VmSite,
    /// The bounds in force. A reload changes them.
    bounds: ArcSwap<ServingBounds>,
    /// How the VM's memory and descriptors are divided. A reload changes it.
    resource_shares: ArcSwap<ResourceShares>,
    /// The clock that all times in this state refer to.
    pub clock: BootClock,
    /// Time in which the callers' thread waits for events.
    pub parks: Arc<ParkMeter>,
    /// The metrics.
    pub metrics: GatewayMetrics,
    /// The members that left their groups, as far as the store was read.
    pub memberships: Arc<Mutex<MembershipLog>>,
    /// The latest view of the store's contents.
    pub view: ArcSwap<ClusterView>,
    /// Counts views. A change notifies subscribers of a new view or the start of a stop.
    pub view_changed: watch::Sender<u64>,
    /// Notified when the configuration in the published view may have been confirmed.
    pub config_confirmed: Notify,
    /// The latest time at which the published view was known to be complete, in milliseconds. 0
    /// means never.
    view_current_at: AtomicU64,
    /// When a peer last answered that it has no fresh store updates either, in milliseconds. 0
    /// means never.
    peer_stale_at: AtomicU64,
    /// Whether the last call to the store failed.
    store_unreachable: AtomicBool,
    /// Whether other VMs report their requests in flight to this one.
    collects_reports: AtomicBool,
    /// Number of entry VMs in the list as last read. `None` before the first read.
    listed_vms: watch::Sender<Option<usize>>,
    /// How this VM obtains updates of the store.
    feed_role: Mutex<FeedRole>,
    /// Whether this VM reaches no upstream.
    upstreams_unreachable: AtomicBool,
    /// Upstreams that did not answer orders or queries of this VM, until the front has taken note.
    unanswered_control: Mutex<IndexSet<UpstreamIncarnation>>,
    /// Notified when an upstream did not answer an order or a query.
    pub control_unanswered: Notify,
    /// Ends of background loops that the process cannot go on without.
    pub duties: DutyWatch,
    /// Whether the process is stopping.
    pub stopping: AtomicBool,
    /// What requests that other VMs forward to this process must carry.
    pub forward_secret: u64,
    /// Whether entry VMs have not served before this process started.
    is_first_start: AtomicBool,
    /// Whether a caller's request has arrived since the start.
    pub has_traffic: AtomicBool,
    /// When the stop signal arrived, in milliseconds. 0 means not yet.
    stop_started_at: AtomicU64,
    /// Demand of this VM's callers, by model.
    pub demand: ArcSwap<IndexMap<ModelName, ModelDemand>>,
    /// Notices of stalled leaders, for the coordinator.
    pub stall_notices: mpsc::Sender<SuspicionNotice>,
    /// Requests that were running when upstreams crashed.
    pub quarantine: Mutex<QuarantineState>,
    /// Quarantine records to write to the store.
    pub records: mpsc::Sender<QuarantineRecord>,
}

impl SharedState {
    /// Creates the state of a process that has just started.
    pub fn new(
        site: VmSite,
        stall_notices: mpsc::Sender<SuspicionNotice>,
        records: mpsc::Sender<QuarantineRecord>,
    ) -> Arc<Self> {
        Self::with_clock(site, stall_notices, records, BootClock::default())
    }

    /// Creates the state of a process that has just started, with the given clock.
    pub fn with_clock(
        site: VmSite,
        stall_notices: mpsc::Sender<SuspicionNotice>,
        records: mpsc::Sender<QuarantineRecord>,
        clock: BootClock,
    ) -> Arc<Self> {
        Arc::new(Self {
            bounds: ArcSwap::from_pointee(site.bounds),
            resource_shares: ArcSwap::from_pointee(ResourceShares::of(site.limits)),
            site,
            clock,
            parks: Arc::default(),
            metrics: GatewayMetrics::new(),
            memberships: Arc::default(),
            view: ArcSwap::from_pointee(ClusterView::default()),
            view_changed: watch::channel(0).0,
            config_confirmed: Notify::new(),
            view_current_at: AtomicU64::new(0),
            peer_stale_at: AtomicU64::new(0),
            store_unreachable: AtomicBool::new(false),
            collects_reports: AtomicBool::new(false),
            listed_vms: watch::channel(None).0,
            feed_role: Mutex::default(),
            upstreams_unreachable: AtomicBool::new(false),
            unanswered_control: Mutex::default(),
            control_unanswered: Notify::new(),
            duties: DutyWatch::default(),
            stopping: AtomicBool::new(false),
            forward_secret: rand::random(),
            is_first_start: AtomicBool::new(false),
            has_traffic: AtomicBool::new(false),
            stop_started_at: AtomicU64::new(0),
            demand: ArcSwap::default(),
            stall_notices,
            quarantine: Mutex::default(),
            records,
        })
    }

    /// Returns where this VM accepts requests that other VMs forward, if it accepts any.
    pub fn forward_endpoint(&self) -> Option<ForwardEndpoint> {
        let addr = self.site.forward_addr?;
        let secret = self.forward_secret;
        Some(ForwardEndpoint { addr, secret })
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> ServingBounds {
        **self.bounds.load()
    }

    /// Returns what callers may make this VM hold.
    pub fn resource_shares(&self) -> ResourceShares {
        **self.resource_shares.load()
    }

    /// Applies what a reload may change: the bounds, and the limits of the VM. Addresses and names change only with a
    /// restart.
    pub fn reload(&self, site: &VmSite) {
        let current_bounds = self.bounds();
        let fixed_settings = VmSite {
            bounds: self.site.bounds,
            limits: self.site.limits,
            ..site.clone()
        };
        if fixed_settings != self.site {
            log::warn!("event=reload outcome=needs_restart site={site:?}");
        }
        let shares = ResourceShares::of(site.limits);
        if shares != self.resource_shares() {
            self.resource_shares.store(Arc::new(shares));
            log::info!("event=reload outcome=changed shares={shares:?}");
        }
        if current_bounds == site.bounds {
            log::info!("event=reload outcome=unchanged");
            return;
        }
        self.bounds.store(Arc::new(site.bounds));
        log::info!("event=reload outcome=changed bounds={:?}", site.bounds);
    }

    /// Records that the published view lacked no change of the store at `at`.
    pub fn record_view_current(&self, at: Millis) {
        self.view_current_at.fetch_max(at.0, Ordering::SeqCst);
        self.config_confirmed.notify_waiters();
    }

    /// Returns when the list of entry VMs in the published view was last known to be current. A
    /// confirmation of the configuration does not suffice, as other changes may be pending.
    pub fn list_confirmed_at(&self) -> Millis {
        let view_current_at = Millis(self.view_current_at.load(Ordering::SeqCst));
        let confirmed_at = self.view.load().confirmation.confirmed_at();
        view_current_at.min(confirmed_at)
    }

    /// Records that a peer has no fresh store updates either.
    pub fn record_stale_peer(&self, now: Millis) {
        self.peer_stale_at.fetch_max(now.0, Ordering::SeqCst);
    }

    /// Whether a peer recently answered that it has no fresh store updates either.
    pub fn are_peers_stale(&self, now: Millis) -> bool {
        let reported_at = Millis(self.peer_stale_at.load(Ordering::SeqCst));
        now.since(reported_at) < PEER_STALE_VALIDITY
    }

    /// Sets whether the last call to the store failed.
    pub fn set_store_unreachable(&self, is_unreachable: bool) {
        self.store_unreachable
            .store(is_unreachable, Ordering::SeqCst);
    }

    /// Whether the last call to the store failed.
    pub fn is_store_unreachable(&self) -> bool {
        self.store_unreachable.load(Ordering::SeqCst)
    }

    /// Sets how this VM obtains updates of the store.
    pub fn set_feed_role(&self, role: FeedRole) {
        *self.feed_role.lock() = role;
    }

    /// Returns how this VM obtains updates of the store.
    pub fn feed_role(&self) -> FeedRole {
        *self.feed_role.lock()
    }

    /// Records that no entry VM has served before this process started.
    pub fn record_first_start(&self) {
        self.is_first_start.store(true, Ordering::SeqCst);
    }

    /// Whether no entry VM has served before this process started, as far as the store shows.
    pub fn is_first_start(&self) -> bool {
        self.is_first_start.load(Ordering::SeqCst)
    }

    /// Records the number of listed entry VMs.
    pub fn record_list(&self, vms: usize) {
        self.listed_vms.send_replace(Some(vms));
    }

    /// Returns the number of listed entry VMs, as far as known.
    pub fn listed_vms(&self) -> usize {
        self.listed_vms.borrow().unwrap_or_default()
    }

    /// Waits until the list of entry VMs has been read.
    pub async fn await_list(&self) {
        let mut listed_vms = self.listed_vms.subscribe();
        // The sender lives as long as this state.
        let _ = listed_vms.wait_for(Option::is_some).await;
    }

    /// Sets whether other VMs report their requests in flight to this one.
    pub fn set_collector(&self, is_collector: bool) {
        self.collects_reports.store(is_collector, Ordering::SeqCst);
    }

    /// Whether other VMs report their requests in flight to this one.
    pub fn is_collector(&self) -> bool {
        self.collects_reports.load(Ordering::SeqCst)
    }

    /// Returns how long this VM's key is to last without renewal.
    pub fn lease_term(&self) -> LeaseTerm {
        LeaseTerm::for_role(self.feed_role(), self.listed_vms())
    }

    /// Sets whether this VM reaches no upstream, and notifies subscribers of the view.
    pub fn set_upstreams_unreachable(&self, is_unreachable: bool) {
        self.upstreams_unreachable
            .store(is_unreachable, Ordering::SeqCst);
        let value = i64::from(is_unreachable);
        self.metrics.set_state("upstreams_unreachable", value);
        self.view_changed.send_modify(|count| *count += 1);
    }

    /// Records that an upstream did not answer an order or a query.
    pub fn record_unanswered_control(&self, incarnation: &UpstreamIncarnation) {
        self.unanswered_control.lock().insert(incarnation.clone());
        self.control_unanswered.notify_one();
    }

    /// Takes the upstreams that did not answer orders or queries since the last call.
    pub fn take_unanswered_control(&self) -> IndexSet<UpstreamIncarnation> {
        std::mem::take(&mut *self.unanswered_control.lock())
    }

    /// Whether this VM reaches no upstream.
    pub fn are_upstreams_unreachable(&self) -> bool {
        self.upstreams_unreachable.load(Ordering::SeqCst)
    }

    /// Returns the time since the configuration in the published view was confirmed.
    pub fn config_age(&self, now: Millis) -> Millis {
        self.view.load().confirmation.age(now)
    }

    /// Whether the configuration was confirmed recently enough to accept callers' API keys.
    pub fn is_confirmed(&self, now: Millis) -> bool {
        self.is_view_confirmed(&self.view.load(), now)
    }

    /// Whether the configuration in a view was confirmed recently enough to accept callers' API keys.
    pub fn is_view_confirmed(&self, view: &ClusterView, now: Millis) -> bool {
        let Some(revoke_time) = self.bounds().revoke_time else {
            return true;
        };
        view.confirmation.age(now) < revoke_time.since(CONFIRM_MARGIN)
    }

    /// Whether a configuration was confirmed recently enough to refuse a request for good because of it.
    /// Any later one that this VM does not know is then too recent to be in force everywhere.
    pub fn may_refuse_by(&self, standing: ConfigStanding) -> bool {
        let apply_time = self.bounds().config_apply_time;
        apply_time.is_none_or(|apply_time| standing.age < apply_time)
    }

    /// Whether this VM coordinates the groups.
    pub fn is_coordinator(&self) -> bool {
        let view = self.view.load();
        let coordinator = view.coordinator.as_ref();
        coordinator.is_some_and(|record| record.vm == self.site.vm.as_str())
    }

    /// Whether some VM coordinates the groups.
    pub fn has_coordinator(&self) -> bool {
        self.view.load().coordinator.is_some()
    }

    /// Whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Records the stop signal and notifies subscribers of the view.
    pub fn begin_stop(&self) {
        self.stop_started_at
            .store(self.clock.now().0, Ordering::SeqCst);
        self.stopping.store(true, Ordering::SeqCst);
        self.view_changed.send_modify(|count| *count += 1);
    }

    /// Returns the time since the stop signal, or `None` before it.
    pub fn stop_age(&self, now: Millis) -> Option<Millis> {
        let stop_started_at = Millis(self.stop_started_at.load(Ordering::SeqCst));
        self.is_stopping().then(|| now.since(stop_started_at))
    }

    /// Replaces the view and notifies its subscribers.
    pub fn publish(&self, view: ClusterView) {
        let previous = self.view.swap(Arc::new(view));
        let view = self.view.load();
        if let Some(config) = &view.config
            && previous.config.as_ref().map(|known| known.version) != Some(config.version)
        {
            warn_of_unknown_regions(config, &self.site.regions);
        }
        self.view_changed.send_modify(|count| *count += 1);
    }
}
