//! Connections to upstreams: few, kept, one request at a time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bergamot_types::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::clock::BootClock;

/// Time for a connection to be set up. A lost opening packet comes again after a second, by when
/// another upstream would have answered; one that lives takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which unacknowledged bytes end a connection: a partition is noticed by then.
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How long an idle connection is kept where the upstream does not say.
const DEFAULT_IDLE: Duration = Duration::from_millis(2_000);
/// Taken off the time that an upstream keeps idle connections: it may close one on which a
/// request is on its way.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// Nothing listens there.
    #[error("refused: {0}")]
    Refused(std::io::Error),
    /// It was not set up in time, or broke at once.
    #[error("not set up: {0}")]
    Failed(String),
}

/// A connection in use. Dropped before its answer was read whole, it is closed, so that the
/// upstream stops working on the request.
pub struct UpstreamConnection {
    /// Sends requests.
    pub sender: http1::SendRequest<Full<Bytes>>,
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

/// Idle connections by upstream.
pub struct ConnectionPool {
    /// Upstreams go on closing idle connections while this VM is suspended.
    clock: BootClock,
    idle: RefCell<IndexMap<UpstreamIncarnation, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new(clock: BootClock) -> Self {
        Self {
            clock,
            idle: RefCell::default(),
        }
    }

    /// An idle connection, or a new one.
    ///
    /// # Errors
    /// See [`ConnectError`]; nothing was sent.
    pub async fn connect(
        &self,
        incarnation: &UpstreamIncarnation,
        addr: SocketAddr,
    ) -> Result<UpstreamConnection, ConnectError> {
        match self.take_idle(incarnation) {
            Some(connection) => Ok(connection),
            None => self.connect_new(addr).await,
        }
    }

    /// A new connection, whatever is idle.
    ///
    /// # Errors
    /// See [`ConnectError`]; nothing was sent.
    pub async fn connect_new(&self, addr: SocketAddr) -> Result<UpstreamConnection, ConnectError> {
        match tokio::time::timeout(CONNECT_TIMEOUT, open(addr)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(ConnectError::Failed("no answer in time".to_owned())),
        }
    }

    /// Upstreams to which a connection is open that nobody uses.
    pub fn idle(&self) -> Vec<UpstreamIncarnation> {
        let now = self.clock.now();
        let pool = self.idle.borrow();
        let usable = pool
            .iter()
            .filter(|(_, idle)| idle.iter().any(|it| it.expires_at > now));
        usable.map(|(incarnation, _)| incarnation.clone()).collect()
    }

    fn take_idle(&self, incarnation: &UpstreamIncarnation) -> Option<UpstreamConnection> {
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(incarnation)?;
        let now = self.clock.now();
        while let Some(last) = idle.pop() {
            let is_usable = last.expires_at > now
                && last.connection.sender.is_ready()
                && !last.connection.driver.is_finished();
            if is_usable {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole. `keep_alive` is the upstream's idle time in
    /// seconds.
    pub fn give_back(
        self: &Rc<Self>,
        incarnation: &UpstreamIncarnation,
        mut connection: UpstreamConnection,
        keep_alive: Option<u64>,
    ) {
        let idle = keep_alive.map_or(DEFAULT_IDLE, Duration::from_secs);
        let idle = idle.saturating_sub(IDLE_MARGIN);
        let expires_at = self.clock.now() + Millis(idle.as_millis() as u64);
        let pool = Rc::clone(self);
        let incarnation = incarnation.clone();
        tokio::task::spawn_local(async move {
            // An upstream that closes after its answer, or sent bytes beyond it, never gets ready.
            if connection.sender.ready().await.is_err() {
                return;
            }
            let kept = IdleConnection {
                connection,
                expires_at,
            };
            pool.idle
                .borrow_mut()
                .entry(incarnation)
                .or_default()
                .push(kept);
        });
    }

    /// Closes the connections to upstreams that are not listed any more, and those that expired.
    pub fn retain<Keep>(&self, is_listed: Keep)
    where
        Keep: Fn(&UpstreamIncarnation) -> bool,
    {
        let now = self.clock.now();
        let mut pool = self.idle.borrow_mut();
        pool.retain(|incarnation, idle| {
            idle.retain(|it| it.expires_at > now);
            is_listed(incarnation) && !idle.is_empty()
        });
    }
}

async fn open(addr: SocketAddr) -> Result<UpstreamConnection, ConnectError> {
    let stream = TcpStream::connect(addr).await.map_err(|error| {
        match error.kind() == std::io::ErrorKind::ConnectionRefused {
            true => ConnectError::Refused(error),
            false => ConnectError::Failed(error.to_string()),
        }
    })?;
    let failed = |error: std::io::Error| ConnectError::Failed(error.to_string());
    stream.set_nodelay(true).map_err(failed)?;
    let socket = SockRef::from(&stream);
    socket
        .set_tcp_user_timeout(Some(USER_TIMEOUT))
        .map_err(failed)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) =
        handshake.map_err(|error| ConnectError::Failed(error.to_string()))?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=connection_ended addr={addr} reason={error:?}");
        }
    });
    Ok(UpstreamConnection { sender, driver })
}
