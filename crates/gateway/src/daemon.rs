//! Starts the duties and stops them.

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

use crate::front::FrontContext;
use crate::front::ends::{follow_ends, review_ends};
use crate::front::exchange::exchange;
use crate::front::server::{accept_callers, accept_ready, follow_groups, sweep};
use crate::groups::GroupsDuty;
use crate::listen::next_connection;
use crate::shared::SharedState;
use crate::signals::{ProcessSignal, SignalSet};
use crate::stop::StopControl;
use crate::sync::SyncDuty;

/// Leaders at which requests stand still that wait for the groups' duty at most.
const QUIET_RING: usize = 256;
/// Records of requests under which upstreams ended that wait for the store at most: a minute of one leader that ends each
/// second with 16 streams from here.
const RECORD_RING: usize = 1_024;
/// Time between two looks at the settings, which may change without a signal.
const RELOAD_PERIOD: Duration = Duration::from_secs(5);

/// Reads the settings again.
pub type SettingsReader = Box<dyn Fn() -> anyhow::Result<VmSite> + Send>;

/// The daemon.
pub struct GatewayDaemon<Ports> {
    shared: Arc<SharedState>,
    ports: Ports,
    reader: Option<SettingsReader>,
    quiet: mpsc::Receiver<SuspicionNotice>,
    records: mpsc::Receiver<QuarantineRecord>,
}

impl<Ports> GatewayDaemon<Ports>
where
    Ports: PortSet,
{
    /// A daemon for a site. Nothing is started yet.
    pub fn new(site: VmSite, ports: Ports) -> Self {
        let (quiet_sender, quiet) = mpsc::channel(QUIET_RING);
        let (record_sender, records) = mpsc::channel(RECORD_RING);
        Self {
            shared: SharedState::new(site, quiet_sender, record_sender),
            ports,
            reader: None,
            quiet,
            records,
        }
    }

    /// Reads the settings again on a hang-up signal, and now and then.
    #[must_use]
    pub fn with_reader(mut self, reader: SettingsReader) -> Self {
        self.reader = Some(reader);
        self
    }

    /// Runs until the process is told to stop and nothing is in flight any more.
    ///
    /// # Errors
    /// When an address cannot be bound or a thread cannot be started.
    pub fn run(self) -> anyhow::Result<()> {
        let site = self.shared.site.clone();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        // Before callers can connect: until signals are taken over, one ends the process at once.
        let signals = {
            let _entered = runtime.enter();
            SignalSet::take()?
        };
        let caller = bind(site.caller_addr)?;
        let ready = bind(site.ready_addr)?;
        let metrics = bind(site.metrics_addr)?;
        let peer = std::net::UdpSocket::bind(site.peer_addr)
            .with_context(|| format!("peer address {}", site.peer_addr))?;
        peer.set_nonblocking(true)?;
        let peer_sender = peer.try_clone()?;
        let news = bind(site.peer_addr)?;
        let (doubt_sender, doubts) = mpsc::channel(QUIET_RING);
        log::info!(
            "event=started vm={} failure_domain={} callers={} peers={}",
            site.vm,
            site.failure_domain,
            site.caller_addr,
            site.peer_addr
        );
        let (shared, ports, records) = (Arc::clone(&self.shared), self.ports.clone(), self.records);
        spawn_duty("store", move || async move {
            let store = Rc::new(ports.store());
            SyncDuty::new(shared, store, ports.catalog())
                .run(news, records)
                .await;
        })?;
        let (shared, ports, quiet) = (Arc::clone(&self.shared), self.ports.clone(), self.quiet);
        spawn_duty("groups", move || async move {
            let socket = match UdpSocket::from_std(peer_sender) {
                Ok(socket) => socket,
                Err(error) => {
                    log::error!("event=duty_not_started duty=groups reason={error:?}");
                    return;
                }
            };
            let store = Rc::new(ports.store());
            let control = Rc::new(ports.control());
            GroupsDuty::new(shared, store, control, quiet, doubts, socket)
                .run()
                .await;
        })?;
        let shared = Arc::clone(&self.shared);
        spawn_duty("metrics", move || serve_metrics(shared, metrics))?;
        let local = LocalSet::new();
        local.block_on(
            &runtime,
            serve(
                self.shared,
                self.ports,
                self.reader,
                signals,
                FrontSockets {
                    caller,
                    ready,
                    peer,
                },
                doubt_sender,
            ),
        )
    }
}

fn bind(addr: SocketAddr) -> anyhow::Result<std::net::TcpListener> {
    let listener =
        std::net::TcpListener::bind(addr).with_context(|| format!("listen address {addr}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn spawn_duty<Duty, Work>(name: &str, duty: Duty) -> anyhow::Result<()>
where
    Duty: FnOnce() -> Work + Send + 'static,
    Work: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    std::thread::Builder::new()
        .name(format!("duty-{name}"))
        .spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, async move { duty().await });
        })?;
    Ok(())
}

/// What the callers' duty listens on.
struct FrontSockets {
    caller: std::net::TcpListener,
    ready: std::net::TcpListener,
    peer: std::net::UdpSocket,
}

async fn serve<Ports>(
    shared: Arc<SharedState>,
    ports: Ports,
    reader: Option<SettingsReader>,
    mut signals: SignalSet,
    sockets: FrontSockets,
    doubts: mpsc::Sender<SuspicionNotice>,
) -> anyhow::Result<()>
where
    Ports: PortSet,
{
    let (crash_sender, crash_news) = mpsc::channel(RECORD_RING);
    let (still_sender, still_news) = mpsc::channel(RECORD_RING);
    let (quota_sender, quota_news) = mpsc::channel(RECORD_RING);
    let front = FrontContext::new(
        Arc::clone(&shared),
        ports.dialect(),
        crash_sender,
        still_sender,
        quota_sender,
    );
    let front = Rc::new(front);
    let caller = TcpListener::from_std(sockets.caller)?;
    let ready = TcpListener::from_std(sockets.ready)?;
    let peer = UdpSocket::from_std(sockets.peer)?;
    tokio::task::spawn_local(accept_callers(Rc::clone(&front), caller));
    tokio::task::spawn_local(accept_ready(Rc::clone(&front), ready));
    tokio::task::spawn_local(sweep(Rc::clone(&front)));
    tokio::task::spawn_local(follow_groups(Rc::clone(&front)));
    tokio::task::spawn_local(follow_ends(Rc::clone(&front)));
    tokio::task::spawn_local(review_ends(Rc::clone(&front)));
    tokio::task::spawn_local(exchange(
        Rc::clone(&front),
        peer,
        doubts,
        crash_news,
        still_news,
        quota_news,
    ));
    follow_settings(&shared, reader, &mut signals).await;
    front.stop.signal();
    tokio::select! {
        () = front.stop.wait_end() => {}
        () = ignore_signals(&front.stop, &mut signals) => {}
    }
    Ok(())
}

/// Reads the settings again on a hang-up signal, and now and then, until the process is told to stop.
async fn follow_settings(
    shared: &SharedState,
    reader: Option<SettingsReader>,
    signals: &mut SignalSet,
) {
    let mut looks = tokio::time::interval(RELOAD_PERIOD);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut known = shared.site.clone();
    loop {
        let is_told = tokio::select! {
            told = signals.next() => match told {
                ProcessSignal::Stop => return,
                ProcessSignal::Reload => true,
            },
            _ = looks.tick() => false,
        };
        let Some(reader) = &reader else {
            continue;
        };
        match reader() {
            Ok(site) if is_told || site != known => {
                shared.reload(&site);
                known = site;
            }
            Ok(_) => {}
            Err(error) => log::error!("event=reload outcome=unreadable reason={error:?}"),
        }
    }
}

/// Notes signals during a stop, which change nothing.
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
    loop {
        let stream = next_connection(&listener).await;
        let service = service_fn(|_request| {
            let text = shared.metrics.render();
            async move { Ok::<_, std::convert::Infallible>(Response::new(text)) }
        });
        let connection = http1::Builder::new()
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = connection.await {
            log::debug!("event=metrics_connection_ended reason={error:?}");
        }
    }
}
