//! Callers' connections, readiness, and shutdown.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_bounded::{BoundedStream, ByteMeter, IntakeBounds};
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
use tokio::net::{TcpListener, TcpStream};

use super::FrontContext;
use super::accept::RequestSource;
use super::answer::{GuardedBody, full_body};
use super::call::answer;
use super::forward::serve::answer_peer;
use super::gates::update_backing_off_metric;
use super::head_timer::{HeadTimer, TimedStream};
use super::limits::update_limited_metric;
use super::panics::answer_panicked;
use super::trace::{RequestTrace, TracedAnswer};
use super::warmup;
use crate::connection_set::{ActivityMark, ConnectionSet};
use crate::listen::next_connection;
use crate::panics::catch_panic;
use crate::stop::StopControl;

/// Time between two cleanups of expired connections and of upstreams that are no longer listed.
const SWEEP_PERIOD: Duration = Duration::from_secs(2);
/// Most open connections to the readiness listener.
const MAX_READY_CONNECTIONS: usize = 16;
/// The smallest buffer size that the HTTP library accepts for the head of a request.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

/// Bytes that a body of one byte in each chunk takes for each of them, rounded up.
const CHUNK_OVERHEAD_FACTOR: u64 = 8;

/// Time to read requests that have arrived on idle connections before these are closed. The runtime
/// may not have polled the sockets yet.
const FINAL_READ_TIME: Duration = Duration::from_millis(5);

/// Serves the requests of a connection until it closes.
pub(super) async fn serve_connection<Dialect>(
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
