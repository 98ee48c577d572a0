//! Connections of callers, readiness, and the stop.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bergamot_ports::CallerDialect;
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
use super::answer::{HeldBody, whole_body};
use super::call::answer;
use super::gates::show_backing_off;
use super::head_timer::{HeadTimer, TimedStream};
use super::limits::show_limited;
use super::trace::{RequestTrace, TracedAnswer};
use crate::listen::{close_listener, next_connection};
use crate::stop::StopControl;

/// Time between two looks at idle connections and at what is not listed any more.
const SWEEP_PERIOD: Duration = Duration::from_secs(2);
/// The smallest buffer that the library takes for a request's head, in bytes.
const MIN_HEAD_BUFFER: usize = 8_192;

/// Time for what has arrived on idle connections to be read before they are closed: the runtime may not know of it yet.
const LATE_READ_TIME: Duration = Duration::from_millis(5);

/// Takes in callers until the listener is to be closed, and then those who wait to be accepted.
pub async fn accept_callers<Dialect>(front: Rc<FrontContext<Dialect>>, listener: TcpListener)
where
    Dialect: CallerDialect + 'static,
{
    let mut closing = front.stop.closing();
    loop {
        tokio::select! {
            stream = next_connection(&listener) => take_caller(&front, stream),
            _ = closing.wait_for(|is_closing| *is_closing) => break,
        }
    }
    for stream in close_listener(listener) {
        take_caller(&front, stream);
    }
    front.stop.note_listener_closed();
}

/// Counts a connection before its task first runs, so that a stop waits for it.
fn take_caller<Dialect>(front: &Rc<FrontContext<Dialect>>, stream: TcpStream)
where
    Dialect: CallerDialect + 'static,
{
    if let Some(guard) = front.stop.accept() {
        let front = Rc::clone(front);
        tokio::task::spawn_local(async move {
            serve_caller(front, stream).await;
            drop(guard);
        });
    }
}

async fn serve_caller<Dialect>(front: Rc<FrontContext<Dialect>>, stream: TcpStream)
where
    Dialect: CallerDialect + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller_lost reason={error:?}");
        return;
    }
    let limits = front
        .shared
        .view
        .load()
        .config
        .as_ref()
        .map(|config| config.caller_limits);
    let limits = limits.unwrap_or_default();
    let timer = HeadTimer::new(limits.header_timeout.as_duration());
    let service = service_fn(|request: Request<Incoming>| {
        let front = Rc::clone(&front);
        let timer = timer.clone();
        async move {
            let arrived = timer.arrived();
            let trace = Rc::new(RequestTrace::begin(&front.shared));
            let mut response = answer(Rc::clone(&front), request, Rc::clone(&trace)).await;
            if front.shared.is_stopping() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let held = TracedAnswer::new(trace, arrived);
            Ok::<_, Infallible>(response.map(|body| HeldBody::new(body, held)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts this time from the last answer, so it bounds idle connections too.
        .header_read_timeout(limits.idle_timeout.as_duration())
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BUFFER))
        .serve_connection(TokioIo::new(TimedStream::new(stream, timer.clone())), service);
    let ended = drive(&front.stop, connection, &timer).await;
    if let Err(error) = ended {
        log::debug!("event=caller_connection_ended reason={error:?}");
    }
}

/// Drives a connection to its end, and closes it in time where the process stops.
async fn drive<Service>(
    stop: &StopControl,
    connection: http1::Connection<TokioIo<TimedStream>, Service>,
    timer: &HeadTimer,
) -> hyper::Result<()>
where
    Service: HttpService<Incoming, ResBody = HeldBody<TracedAnswer>>,
    Service::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (overdue, silent) = (timer.overdue(), timer.silent());
    tokio::pin!(connection, overdue, silent);
    let mut closing = stop.closing();
    let mut is_told = false;
    loop {
        tokio::select! {
            // What has arrived is read before an order to close is looked at.
            biased;
            ended = connection.as_mut() => return ended,
            () = overdue.as_mut() => return Ok(()),
            _ = closing.wait_for(|is_closing| *is_closing), if !is_told => {
                is_told = true;
                // What has arrived meanwhile, as after a suspension, is read first.
                tokio::select! {
                    biased;
                    ended = connection.as_mut() => return ended,
                    () = tokio::time::sleep(LATE_READ_TIME) => {}
                }
                // One whose first request is still to come would be closed unread. The answer to that closes it.
                if timer.has_been_used() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = silent.as_mut(), if is_told => return Ok(()),
        }
    }
}

/// Answers the balancer.
pub async fn accept_ready<Dialect>(front: Rc<FrontContext<Dialect>>, listener: TcpListener)
where
    Dialect: 'static,
{
    loop {
        let stream = next_connection(&listener).await;
        let front = Rc::clone(&front);
        tokio::task::spawn_local(async move {
            let service = service_fn(|_request| {
                let status = match is_ready(&front) {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                let mut response = Response::new(whole_body(Bytes::new()));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=ready_connection_ended reason={error:?}");
            }
        });
    }
}

/// Whether callers should be sent here.
fn is_ready<Dialect>(front: &FrontContext<Dialect>) -> bool {
    let has_config = front.shared.view.load().config.is_some();
    has_config && !front.shared.is_stopping() && front.shared.is_confirmed(front.now())
}

/// Forgets what was held against a leader when its group changes.
pub async fn follow_groups<Dialect>(front: Rc<FrontContext<Dialect>>) {
    let mut changes = front.shared.view_changed.subscribe();
    let mut known: IndexMap<UpstreamIncarnation, Option<GroupId>> = IndexMap::new();
    while changes.changed().await.is_ok() {
        let view = front.shared.view.load_full();
        let leaders = view
            .pools
            .values()
            .flat_map(|pool| pool.models.values().flatten());
        let now: IndexMap<_, _> = leaders
            .map(|leader| (leader.incarnation.clone(), leader.group.clone()))
            .collect();
        let mut book = front.monitor.borrow_mut();
        let vms: Vec<&str> = view.entries.keys().map(String::as_str).collect();
        let leaders = view.pools.values();
        let leaders = leaders.flat_map(|pool| pool.models.values().flatten());
        book.assign_leaders(leaders, &vms, front.shared.site.vm.as_str());
        for (incarnation, group) in &now {
            if known.get(incarnation).is_some_and(|old| old != group) {
                book.record_group_change(incarnation);
            }
        }
        known = now;
    }
}

/// Closes what is not needed any more, now and then.
pub async fn sweep<Dialect>(front: Rc<FrontContext<Dialect>>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let view = front.shared.view.load_full();
        let is_listed = |incarnation: &UpstreamIncarnation| view.is_listed(incarnation);
        front.pool.retain(is_listed);
        let now = front.now();
        front.monitor.borrow_mut().retain(is_listed, now);
        front.quota.borrow_mut().retain(is_listed, now);
        show_limited(&front);
        show_backing_off(&front);
        let uses = front.demand.borrow_mut().demands(front.now());
        front.shared.demand.store(Arc::new(uses));
    }
}
