//! Pools of connections to upstreams and to other entry VMs. A connection is reused and carries one request at a time.

use std::cell::RefCell;
use std::hash::Hash;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamot_bounded::{BoundedStream, ByteMeter, IntakeBounds, TrickleBound};
use bergamot_types::prelude::*;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use prometheus::IntCounter;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

use crate::clock::BootClock;
use crate::outgoing::OutgoingBody;

/// Timeout for establishing a connection. A lost SYN packet is sent again only after a second, by
/// which time another upstream would have answered; a live upstream accepts within a few
/// milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout for unacknowledged bytes, after which the connection fails. Detects network partitions.
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long an idle connection is kept if the upstream advertises no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Subtracted from the idle timeout of an upstream, which might otherwise close a connection while
/// a request is in transit.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Largest head of an answer in bytes, and how far the library reads ahead of a body.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Size of a socket's receive buffer, of which the kernel makes twice as much. What waits there while a caller does
/// not read its answer counts as memory.
const SOCKET_BUFFER_BYTES: u32 = 32 << 10;
/// What may arrive on a connection without a head or a piece of a body. Beyond it the bytes are no
/// answer, and the connection is closed.
const INTAKE_BOUNDS: IntakeBounds = IntakeBounds {
    max_bytes: 256 << 10,
    trickle: Some(TrickleBound {
        max_pieces: 64,
        small_bytes: 16 << 10,
    }),
};

/// Why a connection could not be established.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// No process listens at the address.
    #[error("connection refused: {0}")]
    Refused(std::io::Error),
    /// The connection was not established in time, or broke at once.
    #[error("connection not established: {0}")]
    Failed(String),
}

/// A connection in use. Dropping it before the complete answer was read closes it, so that the
/// upstream stops working on the request.
pub struct UpstreamConnection {
    /// Sends requests on the connection.
    pub sender: http1::SendRequest<OutgoingBody>,
    /// When the connection was established.
    pub opened_at: Millis,
    /// Counts what arrives.
    pub meter: ByteMeter,
    driver: JoinHandle<()>,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct IdleConnection {
    connection: UpstreamConnection,
    expires_at: Millis,
}

/// Idle connections, by upstream or VM.
pub struct ConnectionPool<Key = UpstreamIncarnation> {
    /// A clock that includes suspensions of this VM: upstreams close idle connections meanwhile.
    clock: BootClock,
    /// How often the other end is probed while nothing arrives; none if it is not.
    keep_alive: Option<Duration>,
    /// Counts connections on which bytes arrived without end.
    endless: IntCounter,
    idle: RefCell<IndexMap<Key, Vec<IdleConnection>>>,
}

impl<Key> ConnectionPool<Key>
where
    Key: Clone + Eq + Hash + 'static,
{
    /// Creates an empty pool. `endless` counts connections on which bytes arrived without end.
    pub fn new(clock: BootClock, endless: IntCounter) -> Self {
        Self {
            clock,
            endless,
            keep_alive: None,
            idle: RefCell::default(),
        }
    }

    /// Probes the other end of new connections at this interval while nothing arrives. A connection
    /// fails once nothing was acknowledged for [`USER_TIMEOUT`], which also applies to the probes.
    #[must_use]
    pub fn with_keep_alive(self, interval: Duration) -> Self {
        Self {
            keep_alive: Some(interval),
            ..self
        }
    }

    /// Opens a new connection, even if one is idle.
    ///
    /// # Errors
    /// See [`ConnectError`]. No part of a request was sent.
    pub async fn connect_new(&self, addr: SocketAddr) -> Result<UpstreamConnection, ConnectError> {
        let meter = ByteMeter::new(INTAKE_BOUNDS, Some(self.endless.clone()));
        let opening = open(addr, self.clock, self.keep_alive, meter);
        match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
            Ok(outcome) => outcome,
            Err(_) => Err(ConnectError::Failed("timed out".to_owned())),
        }
    }

    /// Returns the targets with an idle connection.
    pub fn idle_targets(&self) -> Vec<Key> {
        let now = self.clock.now();
        let pool = self.idle.borrow();
        let usable = pool
            .iter()
            .filter(|(_, idle)| idle.iter().any(|connection| connection.expires_at > now));
        usable.map(|(target, _)| target.clone()).collect()
    }

    /// Takes an idle connection to a target, if there is one.
    pub fn take_idle(&self, target: &Key) -> Option<UpstreamConnection> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(target)?;
        let now = self.clock.now();
        while let Some(entry) = idle.pop() {
            let is_usable = entry.expires_at > now
                && entry.connection.sender.is_ready()
                && !entry.connection.driver.is_finished();
            if is_usable {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its complete answer was read. `keep_alive` is the
    /// target's idle timeout in seconds.
    pub fn give_back(
        self: &Rc<Self>,
        target: &Key,
        mut connection: UpstreamConnection,
        keep_alive: Option<u64>,
    ) {
        let idle_timeout = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
        let idle_timeout = idle_timeout.saturating_sub(IDLE_MARGIN);
        let expires_at = self.clock.now() + Millis(idle_timeout.as_millis() as u64);
        let pool = Rc::clone(self);
        let target = target.clone();
        tokio::task::spawn_local(async move {
            // Fails if the upstream closes the connection after its answer, or sent bytes beyond
            // it.
            if connection.sender.ready().await.is_err() {
                return;
            }
            let idle_connection = IdleConnection {
                connection,
                expires_at,
            };
            pool.idle
                .borrow_mut()
                .entry(target)
                .or_default()
                .push(idle_connection);
        });
    }

    /// Closes expired connections, and those to targets that are no longer listed.
    pub fn retain<Keep>(&self, is_listed: Keep)
    where
        Keep: Fn(&Key) -> bool,
    {
        let now = self.clock.now();
        let mut pool = self.idle.borrow_mut();
        pool.retain(|target, idle| {
            idle.retain(|connection| connection.expires_at > now);
            is_listed(target) && !idle.is_empty()
        });
    }
}

async fn open(
    addr: SocketAddr,
    clock: BootClock,
    keep_alive: Option<Duration>,
    meter: ByteMeter,
) -> Result<UpstreamConnection, ConnectError> {
    let to_failed = |error: std::io::Error| ConnectError::Failed(error.to_string());
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.map_err(to_failed)?;
    if let Err(error) = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES) {
        log::debug!("event=socket_buffer_not_set addr={addr} reason={error:?}");
    }
    let stream = socket.connect(addr).await.map_err(|error| {
        match error.kind() == std::io::ErrorKind::ConnectionRefused {
            true => ConnectError::Refused(error),
            false => ConnectError::Failed(error.to_string()),
        }
    })?;
    stream.set_nodelay(true).map_err(to_failed)?;
    let socket = SockRef::from(&stream);
    socket
        .set_tcp_user_timeout(Some(USER_TIMEOUT))
        .map_err(to_failed)?;
    if let Some(interval) = keep_alive {
        let probes = TcpKeepalive::new()
            .with_time(interval)
            .with_interval(interval);
        if let Err(error) = socket.set_tcp_keepalive(&probes) {
            log::debug!("event=keep_alive_not_set addr={addr} reason={error:?}");
        }
    }
    let stream = BoundedStream::new(stream, meter.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) =
        handshake.map_err(|error| ConnectError::Failed(error.to_string()))?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=connection_ended addr={addr} reason={error:?}");
        }
    });
    Ok(UpstreamConnection {
        sender,
        opened_at: clock.now(),
        meter,
        driver,
    })
}
