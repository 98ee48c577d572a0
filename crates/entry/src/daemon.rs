//! Starts and stops the duties.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;
use arc_swap::ArcSwap;
use bergamot_claims::{ClaimOptions, ClaimState};
use bergamot_engine::EngineClient;
use bergamot_gateway::body::BodyBudget;
use bergamot_gateway::duty::{DutyEnd, DutyWatch};
use bergamot_roster::{Member, RosterOptions};
use bergamot_types::prelude::*;
use parking_lot::Mutex;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, watch};

use crate::clock::BootClock;
use crate::control::{ControlEvent, ControlOptions, ControlState};
use crate::duty::{SharedState, admin, claims, control, limits, peer, platform, probe};
use crate::front::{self, FrontContext};
use crate::metrics::EntryMetrics;
use crate::ring::ring;
use crate::route_view::RouteView;
use crate::routing_state::RoutingState;
use crate::settings::EntrySettings;
use crate::shares::resource_shares;
use crate::tls::TlsReloader;

/// Capacity of the ring to the control duty, in items.
const CONTROL_RING_SIZE: usize = 8_192;
/// Capacity of every other ring, in items.
const DUTY_RING_SIZE: usize = 4_096;
/// Interval between checks for changed certificate files.
const TLS_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which a stop checks what it waits for. This is the longest that a stop is delayed
/// after the last answer.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long callers are accepted after a stop begins, so that peers and the load balancer learn of
/// it first.
const STOP_GRACE_TIME: Duration = Duration::from_millis(500);

/// How long a stop waits until claim owners have confirmed all notices. A notice to an owner that
/// does not answer is sent five times within 3.5 s. Callers have been answered by then, but if a
/// notice is lost, a retry of the request does not get the stored answer.
const CLAIM_FLUSH_TIMEOUT: Duration = Duration::from_secs(4);

/// The result of a stop.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StopOutcome {
    /// All requests in flight completed.
    Graceful,
    /// This many requests in flight were aborted, at the deadline or because the stop was urgent.
    Aborted(i64),
}

/// A running daemon.
pub struct EntryDaemon {
    shared: Arc<SharedState>,
    caller_addr: SocketAddr,
    peer_addr: SocketAddr,
    admin_addr: SocketAddr,
    front_stop: watch::Sender<bool>,
    duty_stops: Vec<mpsc::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
    front: Option<JoinHandle<()>>,
}

impl EntryDaemon {
    /// Binds the addresses and starts all duties. Must be called outside of an async runtime.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound or the TLS files are invalid.
    pub fn start(settings: EntrySettings) -> anyhow::Result<Self> {
        let caller_listener = std::net::TcpListener::bind(settings.caller_addr)
            .with_context(|| format!("caller_addr {}", settings.caller_addr))?;
        let admin_listener = std::net::TcpListener::bind(settings.admin_addr)
            .with_context(|| format!("admin_addr {}", settings.admin_addr))?;
        let (peer_listener, peer_socket) = bind_peer(settings.peer_addr)?;
        let tls = settings.tls.as_ref().map(TlsReloader::load).transpose()?;
        let (caller_addr, admin_addr) =
            (caller_listener.local_addr()?, admin_listener.local_addr()?);
        let peer_addr = peer_listener.local_addr()?;
        let incarnation = rand::random::<u64>() >> 1;
        let (control_ring, control_inbox) = ring("control", CONTROL_RING_SIZE);
        let (platform_ring, platform_inbox) = ring("platform", DUTY_RING_SIZE);
        let (peer_ring, peer_inbox) = ring("peer", DUTY_RING_SIZE);
        let (probe_ring, probe_inbox) = ring("probe", DUTY_RING_SIZE);
        let (claims_ring, claims_inbox) = ring("claims", DUTY_RING_SIZE);
        let routing = RoutingState::new(
            settings.entry.clone(),
            settings.balance.clone(),
            settings.tuning.clone(),
        );
        let shared = Arc::new(SharedState {
            incarnation,
            clock: BootClock::default(),
            metrics: EntryMetrics::new(),
            view: ArcSwap::from_pointee(RouteView::default()),
            quarantine: Mutex::default(),
            routing: Mutex::new(routing),
            stopping: AtomicBool::new(false),
            in_flight: AtomicI64::new(0),
            claim_notes: Arc::default(),
            are_claims_closed: AtomicBool::new(false),
            control: control_ring,
            platform: platform_ring,
            peer: peer_ring,
            probe: probe_ring,
            claims: claims_ring,
            kv_calls: ArcSwap::from_pointee(serde_json::Value::Null),
            duties: DutyWatch::default(),
            settings,
        });
        let mut daemon = Self {
            caller_addr,
            peer_addr,
            admin_addr,
            front_stop: watch::channel(false).0,
            duty_stops: Vec::new(),
            threads: Vec::new(),
            front: None,
            shared: Arc::clone(&shared),
        };
        let state = control_state(&shared, peer_addr);
        daemon.spawn("control", |shared| {
            control::run(shared, control_inbox, state)
        })?;
        daemon.spawn("platform", |shared| platform::run(shared, platform_inbox))?;
        daemon.spawn("probe", |shared| probe::run(shared, probe_inbox))?;
        let claim_state = claim_state(&shared);
        daemon.spawn("claims", |shared| {
            claims::run(shared, claims_inbox, claim_state)
        })?;
        daemon.spawn("peer", |shared| async move {
            let sockets = (
                UdpSocket::from_std(peer_socket),
                TcpListener::from_std(peer_listener),
            );
            if let (Ok(socket), Ok(listener)) = sockets {
                peer::run(shared, peer_inbox, socket, listener).await;
            }
        })?;
        daemon.spawn("admin", |shared| async move {
            if let Ok(listener) = listen(admin_listener) {
                admin::run(shared, listener).await;
            }
        })?;
        daemon.spawn("limits", limits::run)?;
        daemon.start_front(caller_listener, tls.map(Arc::new))?;
        log::info!(
            "event=entry_started entry={} caller={caller_addr} peer={peer_addr} admin={admin_addr}",
            shared.settings.entry
        );
        Ok(daemon)
    }

    fn spawn<Duty, DutyFuture>(&mut self, name: &'static str, duty: Duty) -> anyhow::Result<()>
    where
        Duty: FnOnce(Arc<SharedState>) -> DutyFuture + Send + 'static,
        DutyFuture: Future<Output = ()> + 'static,
    {
        let shared = Arc::clone(&self.shared);
        let (stop_sender, mut stop_receiver) = mpsc::channel::<()>(1);
        self.duty_stops.push(stop_sender);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name(format!("duty-{name}"))
            .spawn(move || {
                runtime.block_on(async {
                    tokio::select! {
                        () = shared.watch(name, duty(Arc::clone(&shared))) => {}
                        _ = stop_receiver.recv() => {}
                    }
                });
                runtime.shutdown_background();
            })?;
        self.threads.push(thread);
        Ok(())
    }

    fn start_front(
        &mut self,
        listener: std::net::TcpListener,
        tls: Option<Arc<TlsReloader>>,
    ) -> anyhow::Result<()> {
        let tuning = &self.shared.settings.tuning;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(tuning.caller_threads)
            .thread_name("duty-callers")
            .enable_all()
            .build()?;
        let shares = resource_shares(tuning);
        let bodies = BodyBudget::new(
            self.shared.clock,
            shares.body_bytes,
            self.shared.metrics.bodies_given_up.clone(),
        );
        let context = Arc::new(FrontContext {
            bodies: Arc::new(bodies),
            client: EngineClient::new(tuning.connect_timeout.as_duration()),
            shared: Arc::clone(&self.shared),
        });
        let stop = self.front_stop.subscribe();
        let shared = Arc::clone(&self.shared);
        let thread = std::thread::Builder::new()
            .name("duty-front".to_owned())
            .spawn(move || {
                runtime.block_on(async {
                    if let Some(keeper) = tls.clone() {
                        shared.spawn_required("tls_files", async move {
                            loop {
                                tokio::time::sleep(TLS_CHECK_INTERVAL).await;
                                keeper.refresh();
                            }
                        });
                    }
                    let serving = async {
                        if let Ok(listener) = listen(listener) {
                            let most = shares.caller_connections;
                            front::serve(context, listener, tls, stop, most).await;
                        }
                    };
                    shared.watch("callers", serving).await;
                    // A claimed request continues after its caller disconnected, and dropping the
                    // runtime would abort it. No new requests arrive here, so the count only falls.
                    while shared.in_flight.load(Ordering::SeqCst) > 0 {
                        tokio::time::sleep(STOP_POLL_INTERVAL).await;
                    }
                });
                runtime.shutdown_background();
            })?;
        self.front = Some(thread);
        Ok(())
    }

    /// Returns the address that callers connect to.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Returns the address that peers connect to.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Returns the address that operators connect to.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Whether the load balancer should send callers to this VM.
    pub fn is_ready(&self) -> bool {
        admin::not_ready(&self.shared).is_none()
    }

    /// Returns the number of the active roll, or zero before the first.
    pub fn roll_number(&self) -> u64 {
        let view = self.shared.view.load();
        view.active_bundle
            .as_ref()
            .map_or(0, |active_bundle| active_bundle.record.number)
    }

    /// Returns the number of roster members, or `None` unless all had settled on the roster when it
    /// was read.
    pub fn settled_members(&self) -> Option<usize> {
        let view = self.shared.view.load();
        let roster = &view.roster;
        (roster.settled == roster.epoch).then_some(roster.members.len())
    }

    /// Returns the number of groups that this VM can route to.
    pub fn routable_groups(&self) -> usize {
        self.shared.view.load().groups.len()
    }

    /// Returns the first end of a loop that the process cannot go on without. It must be stopped
    /// then, so that a new process takes its place.
    pub fn duty_end(&self) -> Option<DutyEnd> {
        self.shared.duties.first_end()
    }

    /// Stops the daemon: refuses new requests, waits for those in flight, then stops the duties.
    ///
    /// `is_urgent` is polled. Once it returns `true`, requests in flight are aborted.
    pub fn stop(mut self, is_urgent: impl Fn() -> bool) -> StopOutcome {
        let shared = Arc::clone(&self.shared);
        shared.stopping.store(true, Ordering::SeqCst);
        shared.send_control(ControlEvent::Stopping);
        std::thread::sleep(STOP_GRACE_TIME);
        let _ = self.front_stop.send(true);
        let started_at = std::time::Instant::now();
        let stop_deadline = shared.settings.tuning.stop_deadline.as_duration();
        let in_flight = || shared.in_flight.load(Ordering::SeqCst);
        let is_done = |front: &Option<JoinHandle<()>>| {
            let is_front_done = front.as_ref().is_none_or(JoinHandle::is_finished);
            is_front_done && in_flight() == 0
        };
        while !is_done(&self.front) && started_at.elapsed() < stop_deadline && !is_urgent() {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        let aborted = in_flight();
        let in_time = !is_urgent() && started_at.elapsed() < stop_deadline;
        Invariant::GracefulStop.check(!in_time || aborted == 0, || format!("cut={aborted}"));
        log::info!(
            "event=entry_stopped entry={} cut={aborted}",
            shared.settings.entry
        );
        if aborted == 0 {
            // Claims are closed before the count is read, so that a later claim is refused and adds
            // no notice.
            shared.are_claims_closed.store(true, Ordering::SeqCst);
            let closed_at = std::time::Instant::now();
            let pending_notices = || shared.claim_notes.load(Ordering::SeqCst);
            while pending_notices() > 0 && closed_at.elapsed() < CLAIM_FLUSH_TIMEOUT && !is_urgent()
            {
                std::thread::sleep(STOP_POLL_INTERVAL);
            }
            if pending_notices() > 0 {
                log::warn!("event=claim_notes_cut notes={}", pending_notices());
            }
        }
        // Gives the last messages to peers time to be sent.
        std::thread::sleep(STOP_GRACE_TIME / 5);
        self.duty_stops.clear();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        match aborted {
            0 => StopOutcome::Graceful,
            aborted => StopOutcome::Aborted(aborted),
        }
    }

    /// Stops at once without notifying anyone, like a crash. For tests of failures.
    pub fn kill(mut self) {
        self.duty_stops.clear();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn listen(listener: std::net::TcpListener) -> std::io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Binds TCP and UDP to the same port. With port 0, the system chooses the TCP port and the same
/// UDP port may be taken, so the choice is repeated.
fn bind_peer(addr: SocketAddr) -> anyhow::Result<(std::net::TcpListener, std::net::UdpSocket)> {
    const MAX_BIND_ATTEMPTS: u32 = 20;
    let mut last_error = None;
    for _ in 0..MAX_BIND_ATTEMPTS {
        let listener = std::net::TcpListener::bind(addr)?;
        match std::net::UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => {
                listener.set_nonblocking(true)?;
                socket.set_nonblocking(true)?;
                return Ok((listener, socket));
            }
            Err(error) => last_error = Some(error),
        }
    }
    Err(anyhow::anyhow!(
        "peer_addr {addr}: no port is free for both TCP and UDP: {last_error:?}"
    ))
}

fn control_state(shared: &SharedState, peer_addr: SocketAddr) -> ControlState {
    let settings = &shared.settings;
    let tuning = &settings.tuning;
    let me = Member {
        entry: settings.entry.clone(),
        vm: settings.vm.clone(),
        incarnation: shared.incarnation,
        failure_domain: settings.failure_domain.clone(),
        peer_addr,
        since: 0,
    };
    let options = ControlOptions {
        roster: RosterOptions {
            period: tuning.heartbeat_period,
            suspect_after: tuning.suspect_after,
            ..RosterOptions::default()
        },
        placement: settings.placement.clone(),
        probe_period: tuning.probe_period,
        evidence_max_age: settings.balance.evidence_max_age,
        gate_timeout: tuning.gate_timeout,
        operators: settings.operators.clone(),
    };
    ControlState::new(me, options)
}

fn claim_state(shared: &SharedState) -> ClaimState {
    let tuning = &shared.settings.tuning;
    let options = ClaimOptions {
        retention: tuning.keep_answers,
        copy_timeout: Millis(tuning.peer_timeout.0 + 100),
        ..ClaimOptions::default()
    };
    ClaimState::new(shared.settings.entry.clone(), options)
}

#[cfg(test)]
mod tests;
