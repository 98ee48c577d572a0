//! Starts the threads of the daemon and stops them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bergamot_peer::SuspicionNotice;
use bergamot_ports::{PortSet, VmSite};
use bergamot_quarantine::QuarantineRecord;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::connection_set::{ActivityMark, ConnectionSet};
use crate::duty::{run_required, run_restarted};
use crate::front::FrontContext;
use crate::front::accept::{accept_callers, accept_peers};
use crate::front::ends::{follow_crashes, review_crashes};
use crate::front::exchange::exchange;
use crate::front::partition::watch_partition;
use crate::front::server::{accept_ready, follow_groups, sweep};
use crate::groups::GroupCoordinator;
use crate::listen::next_connection;
use crate::shared::SharedState;
use crate::signals::{ProcessSignal, SignalSet};
use crate::stop::StopControl;
use crate::sync::StoreSync;
use crate::usage::log_usage;

/// Capacity of a channel of stall notices to the groups thread.
const STALL_NOTICE_CAPACITY: usize = 256;
/// Capacity of the channel of quarantine records that wait to be stored. Covers a minute in which
/// one leader crashes every second with 16 streams from this VM.
const RECORD_CAPACITY: usize = 1_024;
/// Period at which the settings are read again, as they may change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(5);

/// Most open connections to the metrics listener.
const MAX_METRICS_CONNECTIONS: usize = 16;

/// Function that reads the settings.
pub type SettingsReader = Box<dyn Fn() -> anyhow::Result<VmSite> + Send>;

/// The daemon of an entry VM.
pub struct GatewayDaemon<Ports> {
    shared: Arc<SharedState>,
    ports: Ports,
    read_settings: Option<SettingsReader>,
    stall_notices: mpsc::Receiver<SuspicionNotice>,
    records: mpsc::Receiver<QuarantineRecord>,
}

impl<Ports> GatewayDaemon<Ports>
where
    Ports: PortSet,
{
    /// Creates the daemon of a site without starting it.
    pub fn new(site: VmSite, ports: Ports) -> Self {
        let (stall_sender, stall_notices) = mpsc::channel(STALL_NOTICE_CAPACITY);
        let (record_sender, records) = mpsc::channel(RECORD_CAPACITY);
        Self {
            shared: SharedState::new(site, stall_sender, record_sender),
            ports,
            read_settings: None,
            stall_notices,
            records,
        }
    }

    /// Sets the function that reads the settings again on `SIGHUP` and periodically.
    #[must_use]
    pub fn with_reader(mut self, read_settings: SettingsReader) -> Self {
        self.read_settings = Some(read_settings);
        self
    }

    /// Runs until the process has received a stop signal and no request is in flight.
    ///
    /// # Errors
    /// If an address cannot be bound or a thread cannot be started, or if a background loop ended
    /// that the process cannot go on without; requests in flight have ended then too.
    pub fn run(self) -> anyhow::Result<()> {
        let site = self.shared.site.clone();
        let (park, unpark) = (
            Arc::clone(&self.shared.parks),
            Arc::clone(&self.shared.parks),
        );
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .on_thread_park(move || park.park())
            .on_thread_unpark(move || unpark.unpark())
            .build()?;
        // Done before callers can connect: a signal without a handler ends the process at once.
        let signals = {
            let _entered = runtime.enter();
            SignalSet::install()?
        };
        let caller_listener = bind(site.caller_addr)?;
        let ready_listener = bind(site.ready_addr)?;
        let metrics_listener = bind(site.metrics_addr)?;
        let forward_listener = site.forward_addr.map(bind).transpose()?;
        let peer_socket = std::net::UdpSocket::bind(site.peer_addr)
            .with_context(|| format!("cannot bind peer address {}", site.peer_addr))?;
        peer_socket.set_nonblocking(true)?;
        let peer_sender = peer_socket.try_clone()?;
        let feed_listener = bind(site.peer_addr)?;
        let (peer_stall_sender, peer_stall_notices) = mpsc::channel(STALL_NOTICE_CAPACITY);
        log::info!(
            "event=started vm={} failure_domain={} callers={} peers={}",
            site.vm,
            site.failure_domain,
            site.caller_addr,
            site.peer_addr
        );
        let (shared, ports, records) = (Arc::clone(&self.shared), self.ports.clone(), self.records);
        spawn_thread(&self.shared, "store", move || async move {
            let store = Rc::new(ports.store());
            StoreSync::new(shared, store, ports.catalog())
                .run(feed_listener, records)
                .await;
        })?;
        let (shared, ports, stall_notices) = (
            Arc::clone(&self.shared),
            self.ports.clone(),
            self.stall_notices,
        );
        spawn_thread(&self.shared, "groups", move || async move {
            let socket = match UdpSocket::from_std(peer_sender) {
                Ok(socket) => socket,
                Err(error) => {
                    log::error!("event=duty_not_started duty=groups reason={error:?}");
                    return;
                }
            };
            let store = Rc::new(ports.store());
            let control = Rc::new(ports.control());
            GroupCoordinator::new(
                shared,
                store,
                control,
                stall_notices,
                peer_stall_notices,
                socket,
            )
            .run()
            .await;
        })?;
        let shared = Arc::clone(&self.shared);
        spawn_thread(&self.shared, "metrics", move || async move {
            let usage_shared = Arc::clone(&shared);
            let log_usage = move || log_usage(Arc::clone(&usage_shared));
            tokio::task::spawn_local(run_restarted(Arc::clone(&shared), "usage", log_usage));
            serve_metrics(shared, metrics_listener).await;
        })?;
        let local = LocalSet::new();
        local.block_on(
            &runtime,
            serve(
                self.shared,
                self.ports,
                self.read_settings,
                signals,
                FrontSockets {
                    caller_listener,
                    ready_listener,
                    forward_listener,
                    peer_socket,
                },
                peer_stall_sender,
            ),
        )
    }
}

fn bind(addr: SocketAddr) -> anyhow::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(addr)
        .with_context(|| format!("cannot bind listen address {addr}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Starts a thread whose task the process cannot go on without.
fn spawn_thread<Task, TaskFuture>(
    shared: &Arc<SharedState>,
    name: &'static str,
    task: Task,
) -> anyhow::Result<()>
where
    Task: FnOnce() -> TaskFuture + Send + 'static,
    TaskFuture: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let shared = Arc::clone(shared);
    std::thread::Builder::new()
        .name(format!("duty-{name}"))
        .spawn(move || {
            let local = LocalSet::new();
            let task = async move { task().await };
            local.block_on(&runtime, run_required(shared, name, task));
        })?;
    Ok(())
}

/// Sockets of the thread that serves callers.
struct FrontSockets {
    caller_listener: std::net::TcpListener,
    ready_listener: std::net::TcpListener,
    forward_listener: Option<std::net::TcpListener>,
    peer_socket: std::net::UdpSocket,
}

async fn serve<Ports>(
    shared: Arc<SharedState>,
    ports: Ports,
    read_settings: Option<SettingsReader>,
    mut signals: SignalSet,
    sockets: FrontSockets,
    peer_stall_notices: mpsc::Sender<SuspicionNotice>,
) -> anyhow::Result<()>
where
    Ports: PortSet,
{
    let (crash_sender, crash_notices) = mpsc::channel(RECORD_CAPACITY);
    let (stall_sender, leader_stall_notices) = mpsc::channel(RECORD_CAPACITY);
    let (limit_sender, limit_notices) = mpsc::channel(RECORD_CAPACITY);
    let front = FrontContext::new(
        Arc::clone(&shared),
        ports.dialect(),
        crash_sender,
        stall_sender,
        limit_sender,
    );
    let front = Rc::new(front);
    let caller_listener = TcpListener::from_std(sockets.caller_listener)?;
    let ready_listener = TcpListener::from_std(sockets.ready_listener)?;
    let peer_socket = UdpSocket::from_std(sockets.peer_socket)?;
    if let Some(listener) = sockets.forward_listener {
        let listener = TcpListener::from_std(listener)?;
        spawn_required(&shared, "peers", accept_peers(Rc::clone(&front), listener));
    }
    let (callers, ready) = (Rc::clone(&front), Rc::clone(&front));
    spawn_required(&shared, "callers", accept_callers(callers, caller_listener));
    spawn_required(&shared, "ready", accept_ready(ready, ready_listener));
    let exchange = exchange(
        Rc::clone(&front),
        peer_socket,
        peer_stall_notices,
        crash_notices,
        leader_stall_notices,
        limit_notices,
    );
    spawn_required(&shared, "exchange", exchange);
    spawn_restarted(&front, "sweep", sweep);
    let known_groups = Rc::default();
    spawn_restarted(&front, "groups_view", move |front| {
        follow_groups(front, Rc::clone(&known_groups))
    });
    spawn_restarted(&front, "partition", watch_partition);
    spawn_restarted(&front, "crashes", follow_crashes);
    spawn_restarted(&front, "crash_review", review_crashes);
    tokio::select! {
        () = follow_settings(&shared, read_settings, &mut signals) => {}
        () = shared.duties.wait_end() => {}
    }
    front.stop.signal();
    tokio::select! {
        () = front.stop.wait_end() => {}
        () = ignore_signals(&front.stop, &mut signals) => {}
    }
    shared
        .duties
        .first_end()
        .map_or(Ok(()), |end| Err(end.into()))
}

fn spawn_required<Running>(shared: &Arc<SharedState>, duty: &'static str, running: Running)
where
    Running: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(run_required(Arc::clone(shared), duty, running));
}

fn spawn_restarted<Dialect, Begin, Running>(
    front: &Rc<FrontContext<Dialect>>,
    duty: &'static str,
    begin: Begin,
) where
    Dialect: 'static,
    Begin: Fn(Rc<FrontContext<Dialect>>) -> Running + 'static,
    Running: Future<Output = ()> + 'static,
{
    let shared = Arc::clone(&front.shared);
    let front = Rc::clone(front);
    let begin = move || begin(Rc::clone(&front));
    tokio::task::spawn_local(run_restarted(shared, duty, begin));
}

/// Reads the settings again on `SIGHUP` and periodically, until a stop signal arrives.
async fn follow_settings(
    shared: &SharedState,
    read_settings: Option<SettingsReader>,
    signals: &mut SignalSet,
) {
    let mut reload_ticks = tokio::time::interval(RELOAD_PERIOD);
    reload_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut current_site = shared.site.clone();
    loop {
        let is_requested = tokio::select! {
            signal = signals.next() => match signal {
                ProcessSignal::Stop => return,
                ProcessSignal::Reload => true,
            },
            _ = reload_ticks.tick() => false,
        };
        let Some(read_settings) = &read_settings else {
            continue;
        };
        match read_settings() {
            Ok(site) if is_requested || site != current_site => {
                shared.reload(&site);
                current_site = site;
            }
            Ok(_) => {}
            Err(error) => log::error!("event=reload outcome=unreadable reason={error:?}"),
        }
    }
}

/// Logs signals that arrive during a stop; they have no other effect.
async fn ignore_signals(stop: &StopControl, signals: &mut SignalSet) {
    loop {
        match signals.next().await {
            ProcessSignal::Stop => stop.signal(),
            ProcessSignal::Reload => log::info!("event=reload outcome=stopping"),
        }
    }
}

async fn serve_metrics(shared: Arc<SharedState>, listener: std::net::TcpListener) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("event=duty_not_started duty=metrics reason={error:?}");
            return;
        }
    };
    let mut connections = ConnectionSet::<ActivityMark>::default();
    loop {
        let stream = next_connection(&listener).await;
        let shared = Arc::clone(&shared);
        connections.admit(MAX_METRICS_CONNECTIONS);
        let task = tokio::task::spawn_local(async move {
            let service = service_fn(|_request| {
                let metrics_text = shared.metrics.render();
                async move { Ok::<_, std::convert::Infallible>(Response::new(metrics_text)) }
            });
            let connection = http1::Builder::new()
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=metrics_connection_ended reason={error:?}");
            }
        });
        connections.insert(task.abort_handle(), ActivityMark::default());
    }
}
