//! Callers' connections, readiness, and shutdown.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_bounded::{BoundedStream, ByteMeter, IntakeBounds};
use bergamot_intake::IntakeDecision;
use bergamot_ports::{CallerDialect, CallerLimits};
use bergamot_types::prelude::*;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use indexmap::IndexMap;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use super::FrontContext;
use super::answer::{GuardedBody, full_body};
use super::call::answer;
use super::forward::serve::answer_peer;
use super::gates::update_backing_off_metric;
use super::head_timer::{HeadTimer, TimedStream};
use super::limits::update_limited_metric;
use super::pace::AcceptedAt;
use super::panics::answer_panicked;
use super::trace::{RequestTrace, TracedAnswer};
use super::warmup;
use crate::connection_set::{ActivityMark, ConnectionAdmission, ConnectionSet};
use crate::listen::{close_listener, next_connection};
use crate::panics::catch_panic;
use crate::stop::StopControl;

/// Time between two cleanups of expired connections and of upstreams that are no longer listed.
const SWEEP_PERIOD: Duration = Duration::from_secs(2);
/// Most open connections to the readiness listener.
const MAX_READY_CONNECTIONS: usize = 16;
/// Size of the receive buffer of a caller's socket, of which the kernel makes twice as much. What
/// waits there unread counts as memory.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;
/// The smallest buffer size that the HTTP library accepts for the head of a request.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// Bytes that a body of one byte in each chunk takes for each of them, rounded up.
const CHUNK_OVERHEAD_FACTOR: u64 = 8;

/// Time to read requests that have arrived on idle connections before these are closed. The runtime
/// may not have polled the sockets yet.
const FINAL_READ_TIME: Duration = Duration::from_millis(5);

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
                    // The connection that gave way closes before another one is accepted.
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

async fn serve_connection<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    stream: TcpStream,
    source: RequestSource,
    limits: CallerLimits,
    timer: HeadTimer,
) where
    Dialect: CallerDialect + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller_lost reason={error:?}");
        return;
    }
    let service = service_fn(|request: Request<Incoming>| {
        let front = Rc::clone(&front);
        let timer = timer.clone();
        // Boxed, as an idle connection would keep room for it.
        Box::pin(async move {
            let head_guard = timer.record_head();
            let trace = Rc::new(RequestTrace::begin(&front.shared, timer));
            let (front_ref, trace_ref) = (Rc::clone(&front), Rc::clone(&trace));
            let (mut response, place) = match source {
                RequestSource::Callers => {
                    let answered = catch_panic(answer(front_ref, request, trace_ref)).await;
                    let answered =
                        answered.unwrap_or_else(|panic| answer_panicked(&front, &trace, &panic));
                    (answered, None)
                }
                RequestSource::Peers => answer_peer(front_ref, request, trace_ref).await,
            };
            if front.shared.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let traced = TracedAnswer::new(trace, head_guard, place);
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, traced)))
        })
    });
    let stream = TimedStream::new(stream, timer.clone());
    let stream = BoundedStream::new(stream, ByteMeter::new(request_bounds(&limits), None));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library measures this timeout from the last answer, so it applies to idle connections
        // too.
        .header_read_timeout(limits.idle_timeout.as_duration())
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let outcome = drive(&front.stop, connection, &timer).await;
    if let Err(error) = outcome {
        log::debug!("event=caller_connection_ended reason={error:?}");
    }
}

/// Returns what a request may take on its connection: a head, and the largest body in the smallest
/// chunks.
fn request_bounds(limits: &CallerLimits) -> IntakeBounds {
    let body_bytes = (limits.body_bytes as u64).saturating_mul(CHUNK_OVERHEAD_FACTOR);
    let head_bytes = limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES) as u64;
    IntakeBounds {
        max_bytes: body_bytes.saturating_add(2 * head_bytes),
        trickle: None,
    }
}

/// Drives a connection until it ends, and closes it in time if the process stops.
async fn drive<Service>(
    stop: &StopControl,
    connection: http1::Connection<TokioIo<BoundedStream<TimedStream>>, Service>,
    timer: &HeadTimer,
) -> hyper::Result<()>
where
    Service: HttpService<Incoming, ResBody = GuardedBody<TracedAnswer>>,
    Service::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (head_overdue, first_byte_overdue) = (timer.head_overdue(), timer.first_byte_overdue());
    tokio::pin!(connection, head_overdue, first_byte_overdue);
    let mut closing = stop.closing();
    let mut is_close_requested = false;
    loop {
        tokio::select! {
            // Reads arrived requests before it checks whether to close.
            biased;
            outcome = connection.as_mut() => return outcome,
            () = head_overdue.as_mut() => return Ok(()),
            _ = closing.wait_for(|is_closing| *is_closing), if !is_close_requested => {
                is_close_requested = true;
                // Requests that have arrived in the meantime, as after a suspension, are read
                // first.
                tokio::select! {
                    biased;
                    outcome = connection.as_mut() => return outcome,
                    () = tokio::time::sleep(FINAL_READ_TIME) => {}
                }
                // A graceful shutdown would close a new connection without reading its first
                // request. Such a connection closes with the answer to that request.
                if timer.has_been_used() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = first_byte_overdue.as_mut(), if is_close_requested => return Ok(()),
        }
    }
}

/// Answers the readiness checks of the load balancer.
pub async fn accept_ready<Dialect>(front: Rc<FrontContext<Dialect>>, listener: TcpListener)
where
    Dialect: 'static,
{
    let mut connections = ConnectionSet::<ActivityMark>::default();
    loop {
        let stream = next_connection(&listener).await;
        let front = Rc::clone(&front);
        connections.admit(MAX_READY_CONNECTIONS);
        let activity = ActivityMark::default();
        let connection_activity = activity.clone();
        let task = tokio::task::spawn_local(async move {
            let service = service_fn(|_request| {
                activity.touch();
                let status = match is_ready(&front) {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                let mut response = Response::new(full_body(Bytes::new()));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=ready_connection_ended reason={error:?}");
            }
        });
        connections.insert(task.abort_handle(), connection_activity);
    }
}

/// Whether the load balancer should send callers to this VM.
fn is_ready<Dialect>(front: &FrontContext<Dialect>) -> bool {
    let has_config = front.shared.view.load().config.is_some();
    has_config && !front.shared.is_stopping() && front.shared.is_confirmed(front.now())
}

/// The group of each leader.
pub type LeaderGroups = IndexMap<UpstreamIncarnation, Option<GroupId>>;

/// Follows changes of the groups: assigns leaders to entry VMs, and clears the failures of a leader
/// whose group changed.
///
/// `known_groups` holds the groups that were last seen.
pub async fn follow_groups<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    known_groups: Rc<RefCell<LeaderGroups>>,
) {
    let mut changes = front.shared.view_changed.subscribe();
    changes.mark_changed();
    while changes.changed().await.is_ok() {
        let view = front.shared.view.load_full();
        let leaders = view
            .pools
            .values()
            .flat_map(|pool| pool.models.values().flatten());
        let current_groups: LeaderGroups = leaders
            .map(|leader| (leader.incarnation.clone(), leader.group.clone()))
            .collect();
        let mut monitor = front.monitor.borrow_mut();
        let vms: Vec<&str> = view.entries.keys().map(String::as_str).collect();
        let leaders = view.pools.values();
        let leaders = leaders.flat_map(|pool| pool.models.values().flatten());
        monitor.assign_leaders(leaders, &vms, front.shared.site.vm.as_str());
        for (incarnation, group) in &current_groups {
            let known_groups = known_groups.borrow();
            let previous = known_groups.get(incarnation);
            if previous.is_some_and(|previous| previous != group) {
                monitor.record_group_change(incarnation);
            }
        }
        known_groups.replace(current_groups);
    }
}

/// Periodically closes expired connections, drops the state of upstreams that are no longer listed,
/// and publishes the current demand.
pub async fn sweep<Dialect>(front: Rc<FrontContext<Dialect>>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let view = front.shared.view.load_full();
        let is_listed = |incarnation: &UpstreamIncarnation| view.is_listed(incarnation);
        front.pool.retain(is_listed);
        front.forwards.retain(|vm| view.entries.contains_key(vm));
        let now = front.now();
        front.monitor.borrow_mut().retain(is_listed, now);
        front.quota.borrow_mut().retain(is_listed, now);
        warmup::review(&front);
        front
            .bodies
            .set_share(front.shared.resource_shares().body_bytes);
        let body_bytes = i64::try_from(front.bodies.held_bytes()).unwrap_or(i64::MAX);
        front.shared.metrics.set_state("body_bytes", body_bytes);
        update_limited_metric(&front);
        update_backing_off_metric(&front);
        let demands = front.demand.borrow_mut().demands(front.now());
        front.shared.demand.store(Arc::new(demands));
    }
}
