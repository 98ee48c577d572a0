//! What the duties share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use bergamot_groups::ModelDemand;
use bergamot_peer::SuspicionNotice;
use bergamot_ports::{ServingBounds, VmSite};
use bergamot_quarantine::{QuarantineRecord, QuarantineState};
use bergamot_types::prelude::*;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::{mpsc, watch};

use crate::clock::BootClock;
use crate::metrics::GatewayMetrics;
use crate::view::ClusterView;

/// Taken off the time for which a confirmed configuration counts: a request may still wait this
/// long between the check and its arrival at the upstream.
pub const CONFIRM_MARGIN: Millis = Millis(400);

/// How long a peer's word counts that it has no fresh news: while the store is away each VM asks peers twice a
/// second, two of them in turn.
const PEER_AWAY_TIME: Millis = Millis(1_500);

/// State that every duty reads.
pub struct SharedState {
    /// Where this process runs.
    pub site: VmSite,
    /// The bounds in force; a reload changes them.
    bounds: ArcSwap<ServingBounds>,
    /// The clock of all times here.
    pub clock: BootClock,
    /// The metrics.
    pub metrics: GatewayMetrics,
    /// What was read from the store.
    pub view: ArcSwap<ClusterView>,
    /// Tells of each new view.
    pub view_changed: watch::Sender<u64>,
    /// When the last read that showed the newest configuration began, in milliseconds; 0: never.
    confirmed_at: AtomicU64,
    /// When a peer last said that it has no fresh news either, in milliseconds; 0: never.
    peer_away_at: AtomicU64,
    /// Whether the store did not answer the last call.
    store_away: AtomicBool,
    /// Whether the process is stopping.
    pub stopping: AtomicBool,
    /// Whether a caller's request has come in since the start.
    pub has_traffic: AtomicBool,
    /// When the signal to stop came, in milliseconds; 0: not yet.
    stop_began: AtomicU64,
    /// What callers ask of each model here.
    pub demand: ArcSwap<IndexMap<ModelName, ModelDemand>>,
    /// Leaders from which nothing comes, for the coordinator.
    pub quiet: mpsc::Sender<SuspicionNotice>,
    /// Requests under which upstreams ended.
    pub quarantine: Mutex<QuarantineState>,
    /// Records of them that are to be written to the store.
    pub records: mpsc::Sender<QuarantineRecord>,
}

impl SharedState {
    /// The state of a process that has just started.
    pub fn new(
        site: VmSite,
        quiet: mpsc::Sender<SuspicionNotice>,
        records: mpsc::Sender<QuarantineRecord>,
    ) -> Arc<Self> {
        Self::with_clock(site, quiet, records, BootClock::default())
    }

    /// The same with this clock.
    pub fn with_clock(
        site: VmSite,
        quiet: mpsc::Sender<SuspicionNotice>,
        records: mpsc::Sender<QuarantineRecord>,
        clock: BootClock,
    ) -> Arc<Self> {
        Arc::new(Self {
            bounds: ArcSwap::from_pointee(site.bounds),
            site,
            clock,
            metrics: GatewayMetrics::new(),
            view: ArcSwap::from_pointee(ClusterView::default()),
            view_changed: watch::channel(0).0,
            confirmed_at: AtomicU64::new(0),
            peer_away_at: AtomicU64::new(0),
            store_away: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            has_traffic: AtomicBool::new(false),
            stop_began: AtomicU64::new(0),
            demand: ArcSwap::default(),
            quiet,
            quarantine: Mutex::default(),
            records,
        })
    }

    /// The bounds in force.
    pub fn bounds(&self) -> ServingBounds {
        **self.bounds.load()
    }

    /// Takes over what a reload may change: the bounds. Addresses and names stay until a restart.
    pub fn reload(&self, site: &VmSite) {
        let known = self.bounds();
        let same_place = VmSite {
            bounds: self.site.bounds,
            ..site.clone()
        };
        if same_place != self.site {
            log::warn!("event=reload outcome=needs_restart site={site:?}");
        }
        if known == site.bounds {
            log::info!("event=reload outcome=unchanged");
            return;
        }
        self.bounds.store(Arc::new(site.bounds));
        log::info!("event=reload outcome=changed bounds={:?}", site.bounds);
    }

    /// Notes that a read begun at `began` showed the newest configuration.
    pub fn note_confirmed(&self, began: Millis) {
        self.confirmed_at.fetch_max(began.0, Ordering::SeqCst);
    }

    /// Notes that a peer has no fresh news of the store either.
    pub fn note_peer_away(&self, now: Millis) {
        self.peer_away_at.fetch_max(now.0, Ordering::SeqCst);
    }

    /// Whether peers are known to have no fresh news of the store either.
    pub fn are_peers_away(&self, now: Millis) -> bool {
        let at = Millis(self.peer_away_at.load(Ordering::SeqCst));
        now.since(at) < PEER_AWAY_TIME
    }

    /// Notes whether the store answers.
    pub fn set_store_away(&self, is_away: bool) {
        self.store_away.store(is_away, Ordering::SeqCst);
    }

    /// Whether the store did not answer the last call.
    pub fn is_store_away(&self) -> bool {
        self.store_away.load(Ordering::SeqCst)
    }

    /// How long ago the newest configuration was confirmed.
    pub fn config_age(&self, now: Millis) -> Millis {
        now.since(Millis(self.confirmed_at.load(Ordering::SeqCst)))
    }

    /// Whether a caller's key may still be trusted.
    pub fn is_confirmed(&self, now: Millis) -> bool {
        let Some(bound) = self.bounds().revoke_time else {
            return true;
        };
        self.config_age(now) < bound.since(CONFIRM_MARGIN)
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

    /// Notes the signal to stop.
    pub fn begin_stop(&self) {
        self.stop_began.store(self.clock.now().0, Ordering::SeqCst);
        self.stopping.store(true, Ordering::SeqCst);
        self.view_changed.send_modify(|count| *count += 1);
    }

    /// How long ago the signal to stop came. None before it.
    pub fn stop_age(&self, now: Millis) -> Option<Millis> {
        let began = Millis(self.stop_began.load(Ordering::SeqCst));
        self.is_stopping().then(|| now.since(began))
    }

    /// Publishes a new view.
    pub fn publish(&self, view: ClusterView) {
        self.view.store(Arc::new(view));
        self.view_changed.send_modify(|count| *count += 1);
    }
}
