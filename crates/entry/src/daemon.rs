//! Starts the duties and stops them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;
use arc_swap::ArcSwap;
use bergamot_claims::{ClaimOptions, ClaimState};
use bergamot_engine::EngineClient;
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
use crate::tls::TlsKeeper;

/// Items a ring to control holds.
const CONTROL_RING: usize = 8_192;
/// Items any other ring holds.
const DUTY_RING: usize = 4_096;
/// Time between two looks at the certificate files.
const TLS_CHECK: Duration = Duration::from_secs(5);
/// Time between two looks at what a stop waits for. An answer that was just given delays the end by this at most.
const STOP_LOOK: Duration = Duration::from_millis(10);
/// Time in which peers and balancer learn of a stop before callers are refused.
const STOP_NOTICE: Duration = Duration::from_millis(500);

/// How long a stop waits for notes on claims at most: an owner that doesn't answer is told five times in 3.5 s. Callers have been answered
/// by then; a note that is lost costs a repeat its answer.
const CLAIM_FLUSH_TIME: Duration = Duration::from_secs(4);

/// How a stop ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StopOutcome {
    /// Everything in flight ended by itself.
    Graceful,
    /// So many requests were cut at the deadline.
    Cut(i64),
}

/// A running daemon.
pub struct EntryDaemon {
    shared: Arc<SharedState>,
    caller_addr: SocketAddr,
    peer_addr: SocketAddr,
    admin_addr: SocketAddr,
    stop: watch::Sender<bool>,
    end: Vec<mpsc::Sender<()>>,
    threads: Vec<JoinHandle<()>>,
    front: Option<JoinHandle<()>>,
}

impl EntryDaemon {
    /// Binds the addresses and starts every duty. Call it outside of any runtime.
    ///
    /// # Errors
    /// When an address is taken or the TLS files are unfit.
    pub fn start(settings: EntrySettings) -> anyhow::Result<Self> {
        let caller = std::net::TcpListener::bind(settings.caller_addr)
            .with_context(|| format!("caller_addr {}", settings.caller_addr))?;
        let admin_listener = std::net::TcpListener::bind(settings.admin_addr)
            .with_context(|| format!("admin_addr {}", settings.admin_addr))?;
        let (peer_listener, peer_socket) = bind_peer(settings.peer_addr)?;
        let tls = settings.tls.as_ref().map(TlsKeeper::load).transpose()?;
        let (caller_addr, admin_addr) = (caller.local_addr()?, admin_listener.local_addr()?);
        let peer_addr = peer_listener.local_addr()?;
        let incarnation = rand::random::<u64>() >> 1;
        let (control_ring, control_inbox) = ring("control", CONTROL_RING);
        let (platform_ring, platform_inbox) = ring("platform", DUTY_RING);
        let (peer_ring, peer_inbox) = ring("peer", DUTY_RING);
        let (probe_ring, probe_inbox) = ring("probe", DUTY_RING);
        let (claims_ring, claims_inbox) = ring("claims", DUTY_RING);
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
            settings,
        });
        let mut daemon = Self {
            caller_addr,
            peer_addr,
            admin_addr,
            stop: watch::channel(false).0,
            end: Vec::new(),
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
        daemon.start_front(caller, tls.map(Arc::new))?;
        log::info!(
            "event=entry_started entry={} caller={caller_addr} peer={peer_addr} admin={admin_addr}",
            shared.settings.entry
        );
        Ok(daemon)
    }

    fn spawn<Duty, Work>(&mut self, name: &str, duty: Duty) -> anyhow::Result<()>
    where
        Duty: FnOnce(Arc<SharedState>) -> Work + Send + 'static,
        Work: Future<Output = ()> + 'static,
    {
        let shared = Arc::clone(&self.shared);
        let (end, mut ended) = mpsc::channel::<()>(1);
        self.end.push(end);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread = std::thread::Builder::new()
            .name(format!("duty-{name}"))
            .spawn(move || {
                runtime.block_on(async {
                    tokio::select! {
                        () = duty(shared) => {}
                        _ = ended.recv() => {}
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
        tls: Option<Arc<TlsKeeper>>,
    ) -> anyhow::Result<()> {
        let tuning = &self.shared.settings.tuning;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(tuning.caller_threads)
            .thread_name("duty-callers")
            .enable_all()
            .build()?;
        let context = Arc::new(FrontContext {
            client: EngineClient::new(tuning.connect_timeout.as_duration()),
            shared: Arc::clone(&self.shared),
        });
        let stop = self.stop.subscribe();
        let shared = Arc::clone(&self.shared);
        let thread = std::thread::Builder::new()
            .name("duty-front".to_owned())
            .spawn(move || {
                runtime.block_on(async {
                    if let Some(keeper) = tls.clone() {
                        tokio::spawn(async move {
                            loop {
                                tokio::time::sleep(TLS_CHECK).await;
                                keeper.refresh();
                            }
                        });
                    }
                    if let Ok(listener) = listen(listener) {
                        front::serve(context, listener, tls, stop).await;
                    }
                    // A claimed request goes on when its caller has left, and would end with this runtime. No request can
                    // come any more, so the count only falls.
                    while shared.in_flight.load(Ordering::SeqCst) > 0 {
                        tokio::time::sleep(STOP_LOOK).await;
                    }
                });
                runtime.shutdown_background();
            })?;
        self.front = Some(thread);
        Ok(())
    }

    /// Where callers connect.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Where peers connect.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Where operators connect.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        admin::not_ready(&self.shared).is_none()
    }

    /// The roll in force here, zero before the first.
    pub fn roll_number(&self) -> u64 {
        let view = self.shared.view.load();
        view.force.as_ref().map_or(0, |force| force.record.number)
    }

    /// Members of the roster, if every one of them had settled on it when it was read.
    pub fn settled_members(&self) -> Option<usize> {
        let view = self.shared.view.load();
        let roster = &view.roster;
        (roster.settled == roster.epoch).then_some(roster.members.len())
    }

    /// Serving groups that this VM knows of.
    pub fn routable_groups(&self) -> usize {
        self.shared.view.load().groups.len()
    }

    /// Stops: takes no new requests, lets those in flight end, then ends the duties.
    ///
    /// `is_urgent` is asked over and over; once true, what is in flight is cut.
    pub fn stop(mut self, is_urgent: impl Fn() -> bool) -> StopOutcome {
        let shared = Arc::clone(&self.shared);
        shared.stopping.store(true, Ordering::SeqCst);
        shared.send_control(ControlEvent::Stopping);
        std::thread::sleep(STOP_NOTICE);
        let _ = self.stop.send(true);
        let started = std::time::Instant::now();
        let most = shared.settings.tuning.stop_deadline.as_duration();
        let in_flight = || shared.in_flight.load(Ordering::SeqCst);
        let is_done = |front: &Option<JoinHandle<()>>| {
            let front_done = front.as_ref().is_none_or(JoinHandle::is_finished);
            front_done && in_flight() == 0
        };
        while !is_done(&self.front) && started.elapsed() < most && !is_urgent() {
            std::thread::sleep(STOP_LOOK);
        }
        let cut = in_flight();
        let is_planned = !is_urgent() && started.elapsed() < most;
        Invariant::GracefulStop.check(!is_planned || cut == 0, || format!("cut={cut}"));
        log::info!(
            "event=entry_stopped entry={} cut={cut}",
            shared.settings.entry
        );
        if cut == 0 {
            // First nothing is granted any more, then the count is read: what comes later is refused and leaves nothing open.
            shared.are_claims_closed.store(true, Ordering::SeqCst);
            let closed = std::time::Instant::now();
            let notes = || shared.claim_notes.load(Ordering::SeqCst);
            while notes() > 0 && closed.elapsed() < CLAIM_FLUSH_TIME && !is_urgent() {
                std::thread::sleep(STOP_LOOK);
            }
            if notes() > 0 {
                log::warn!("event=claim_notes_cut notes={}", notes());
            }
        }
        // What else was said to peers is on its way for a moment yet.
        std::thread::sleep(STOP_NOTICE / 5);
        self.end.clear();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        match cut {
            0 => StopOutcome::Graceful,
            cut => StopOutcome::Cut(cut),
        }
    }

    /// Ends at once, as a crash would: nothing is told to anyone. For tests of failures.
    pub fn kill(mut self) {
        self.end.clear();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn listen(listener: std::net::TcpListener) -> std::io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Binds TCP and UDP on the same port.
fn bind_peer(addr: SocketAddr) -> anyhow::Result<(std::net::TcpListener, std::net::UdpSocket)> {
    const TRIES: u32 = 20;
    let mut last = None;
    for _ in 0..TRIES {
        let listener = std::net::TcpListener::bind(addr)?;
        match std::net::UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => {
                listener.set_nonblocking(true)?;
                socket.set_nonblocking(true)?;
                return Ok((listener, socket));
            }
            Err(error) => last = Some(error),
        }
    }
    Err(anyhow::anyhow!(
        "peer_addr {addr}: no port is free for both TCP and UDP: {last:?}"
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
