//! Accepts connections of callers and of other entry VMs.

use std::rc::Rc;

use bergamot_intake::IntakeDecision;
use bergamot_ports::{CallerDialect, CallerLimits};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use super::FrontContext;
use super::head_timer::HeadTimer;
use super::pace::AcceptedAt;
use super::server::serve_connection;
use crate::connection_set::{ConnectionAdmission, ConnectionSet};
use crate::listen::{close_listener, next_connection};

/// Size of the receive buffer of a caller's socket, of which the kernel makes twice as much. What
/// waits there unread counts as memory.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Who sends the requests of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestSource {
    /// Callers.
    Callers,
    /// Entry VMs that forward requests of their callers.
    Peers,
}

impl RequestSource {
    /// Returns the source's name in metrics.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
        }
    }
}

/// Accepts callers until the listener must close, and then those in its accept queue.
pub async fn accept_callers<Dialect>(front: Rc<FrontContext<Dialect>>, listener: TcpListener)
where
    Dialect: CallerDialect + 'static,
{
    accept(&front, listener, RequestSource::Callers).await;
    front.stop.record_listener_closed();
}

/// Accepts entry VMs that forward requests, until the listener for callers must close.
pub async fn accept_peers<Dialect>(front: Rc<FrontContext<Dialect>>, listener: TcpListener)
where
    Dialect: CallerDialect + 'static,
{
    accept(&front, listener, RequestSource::Peers).await;
}

async fn accept<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    listener: TcpListener,
    source: RequestSource,
) where
    Dialect: CallerDialect + 'static,
{
    // The sockets of accepted connections have the same buffer.
    if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(SOCKET_BUFFER_BYTES) {
        log::debug!(
            "event=socket_buffer_not_set source={} reason={error:?}",
            source.as_str()
        );
    }
    let mut closing = front.stop.closing();
    let mut connections = ConnectionSet::default();
    loop {
        tokio::select! {
            stream = next_connection(&listener) => {
                let admission = admit_connection(front, &mut connections, source);
                if admission != ConnectionAdmission::Refused {
                    spawn_connection(front, &mut connections, stream, source);
                }
                if admission == ConnectionAdmission::Replaces {
                    // The aborted connection closes before another one is accepted.
                    tokio::task::yield_now().await;
                }
            }
            _ = closing.wait_for(|is_closing| *is_closing) => break,
        }
    }
    for stream in close_listener(listener) {
        if admit_connection(front, &mut connections, source) != ConnectionAdmission::Refused {
            spawn_connection(front, &mut connections, stream, source);
        }
    }
}

/// Decides whether a new connection is served. Otherwise it is closed unread.
fn admit_connection<Dialect>(
    front: &FrontContext<Dialect>,
    connections: &mut ConnectionSet<HeadTimer>,
    source: RequestSource,
) -> ConnectionAdmission {
    if source == RequestSource::Callers && is_turned_away(front) {
        return ConnectionAdmission::Refused;
    }
    let shares = front.shared.resource_shares();
    let most = match source {
        RequestSource::Callers => shares.caller_connections,
        RequestSource::Peers => shares.forward_connections,
    };
    let admission = connections.admit(most);
    let outcome = match admission {
        ConnectionAdmission::Admitted => return admission,
        ConnectionAdmission::Replaces => "replaced",
        ConnectionAdmission::Refused => "refused",
    };
    log::debug!(
        "event=connections_full source={} outcome={outcome}",
        source.as_str()
    );
    let given_up = &front.shared.metrics.connections_given_up;
    given_up
        .with_label_values(&[source.as_str(), outcome])
        .inc();
    admission
}

/// Spawns the task of a connection. The connection is counted before its task first runs, so that a
/// shutdown waits for it.
fn spawn_connection<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    connections: &mut ConnectionSet<HeadTimer>,
    stream: TcpStream,
    source: RequestSource,
) where
    Dialect: CallerDialect + 'static,
{
    if let Some(guard) = front.stop.accept() {
        let front = Rc::clone(front);
        let limits = caller_limits(&front);
        let timer = HeadTimer::new(limits.header_timeout.as_duration());
        let connection_timer = timer.clone();
        let accepted_at = AcceptedAt::now();
        let task = tokio::task::spawn_local(async move {
            accepted_at.record_delay(&front, source.as_str());
            serve_connection(front, stream, source, limits, timer).await;
            drop(guard);
        });
        connections.insert(task.abort_handle(), connection_timer);
    }
}

fn caller_limits<Dialect>(front: &FrontContext<Dialect>) -> CallerLimits {
    let view = front.shared.view.load();
    let config = view.config.as_ref();
    config
        .map(|config| config.caller_limits)
        .unwrap_or_default()
}

/// Decides whether a connection of a caller is closed unread, as this thread has no time for its request,
/// and counts it. Its caller is served by another VM sooner.
fn is_turned_away<Dialect>(front: &FrontContext<Dialect>) -> bool {
    let decision = front.intake.borrow_mut().decide();
    let outcome = match decision {
        IntakeDecision::Accept => "accepted",
        IntakeDecision::TurnAway => "turned_away",
    };
    let connections = &front.shared.metrics.caller_connections;
    connections.with_label_values(&[outcome]).inc();
    decision == IntakeDecision::TurnAway
}
