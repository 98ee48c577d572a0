//! Notes requests that were broken off at upstreams, and finds out whether these have ended.

use std::rc::Rc;
use std::time::Duration;

use bergamot_ports::UpstreamState;
use bergamot_quarantine::{
    BreakCause, BrokenRun, CrashEvidence, QuarantineAction, QuarantineEvent, RequestStanding,
};
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;
use rand::seq::IteratorRandom;

use super::FrontContext;
use super::attempt::SentRequest;
use super::pool::ConnectError;
use super::state::CallState;

/// Other upstreams that are asked whether a failure domain is within reach. One harmful request ends several of a small
/// domain in a second, but hardly just these.
const WITNESSES: usize = 3;
/// Time for which a request waits that may be to blame for ends, before it goes on. What other VMs saw of the last end is
/// here by then: three datagrams, each through processes on an eighth of a core. It may blame another request, and it
/// gives those that nothing tells apart leaders of their own.
const NEWS_TIME: Duration = Duration::from_millis(30);

/// Notes that a request was broken off after it was sent and so many events had come from its run.
///
/// Returns at once for nearly all. Only where an upstream ended under this request before, it is found out first
/// whether this one has too.
pub async fn note_break<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    upstream: &RouteUpstream,
    events: u32,
    cause: BreakCause,
) where
    Dialect: 'static,
{
    let incarnation = &upstream.incarnation;
    if !is_staying(front, incarnation) {
        return;
    }
    let print = request.print();
    let has_open_crash = front.shared.quarantine.lock().has_open_crash(print);
    let run = BrokenRun { print, events };
    let must_probe = handle(
        front,
        QuarantineEvent::Broken {
            incarnation,
            run,
            cause,
        },
    );
    if has_open_crash {
        let (front_of_probe, upstream) = (Rc::clone(front), upstream.clone());
        // On a task of its own, as it is to be found out also where the caller leaves meanwhile.
        let probing =
            tokio::task::spawn_local(async move { probe(&front_of_probe, &upstream).await });
        let _ = probing.await;
        let standing = front.shared.quarantine.lock().standing(print);
        if standing != RequestStanding::Good {
            tokio::time::sleep(NEWS_TIME).await;
        }
    } else if must_probe {
        let (front, upstream) = (Rc::clone(front), upstream.clone());
        tokio::task::spawn_local(async move { probe(&front, &upstream).await });
    }
}

/// Notes that a request's caller left, or its time was up, while an upstream may run it. Without it such a request ended 19
/// upstreams in a test in which others were allowed three (10 of them later than 3 s after the third).
pub fn note_left<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    incarnation: &UpstreamIncarnation,
    events: u32,
) {
    if is_staying(front, incarnation) {
        let print = request.print();
        let (run, cause) = (BrokenRun { print, events }, BreakCause::CallerLeft);
        handle(
            front,
            QuarantineEvent::Broken {
                incarnation,
                run,
                cause,
            },
        );
    }
}

/// Notes when it is dropped that the caller of a request at an upstream has left before any event came, unless the request
/// came to an end.
pub struct LeftGuard<'a, Dialect> {
    front: &'a FrontContext<Dialect>,
    request: &'a SentRequest,
    incarnation: &'a UpstreamIncarnation,
    has_ended: bool,
}

impl<'a, Dialect> LeftGuard<'a, Dialect> {
    /// Watches a request that is about to be sent.
    pub fn new(
        front: &'a FrontContext<Dialect>,
        request: &'a SentRequest,
        incarnation: &'a UpstreamIncarnation,
    ) -> Self {
        Self {
            front,
            request,
            incarnation,
            has_ended: false,
        }
    }

    /// The request came to an end that is accounted for elsewhere.
    pub fn end(mut self) {
        self.has_ended = true;
    }
}

impl<Dialect> Drop for LeftGuard<'_, Dialect> {
    fn drop(&mut self) {
        if !self.has_ended {
            note_left(self.front, self.request, self.incarnation, 0);
        }
    }
}

/// Notes that one upstream alone answered a request whole. An answer that was put together from several proves nothing:
/// the last of them ran a part of it only.
pub fn note_whole<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
) {
    let is_by_one = state.possible_runs.len() == 1 && request.call.resume_after.is_none();
    if is_by_one && !front.shared.quarantine.lock().is_empty() {
        handle(front, QuarantineEvent::Answered(request.print()));
    }
}

/// Whether an upstream is in the directory and has said neither there nor in an answer that it leaves: the end of one that leaves is planned.
pub fn is_staying<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
) -> bool {
    let view = front.shared.view.load();
    let entry = view.upstreams.get(&incarnation.id);
    let is_listed = entry.is_some_and(|entry| {
        entry.incarnation == *incarnation && entry.state != UpstreamState::Draining
    });
    is_listed && !front.monitor.borrow().gates.is_leaving(incarnation)
}

/// Finds out whether anything listens where a request was broken off. One connection for each end that is
/// suspected; where something listens, the next request there uses it.
async fn probe<Dialect>(front: &FrontContext<Dialect>, upstream: &RouteUpstream) {
    let incarnation = &upstream.incarnation;
    match front.pool.connect_new(upstream.addr).await {
        Ok(connection) => front.pool.give_back(incarnation, connection, None),
        Err(ConnectError::Refused(_)) => note_no_listener(front, incarnation).await,
        // Nobody answers: the directory may tell later.
        Err(ConnectError::Failed(_)) => {}
    }
}

/// Notes that nothing listens where an upstream was, if requests were broken off there and its failure domain is within
/// reach. What a partition refuses is no end: in one that did, seven requests were held back and one was put in
/// quarantine within half a second (29 VMs cut off from 110 upstreams; from the logs of a day).
pub async fn note_no_listener<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
) {
    if !front.shared.quarantine.lock().may_have_crashed(incarnation) {
        return;
    }
    if !is_domain_reached(front, incarnation).await {
        log::info!(
            "event=end_not_counted upstream={incarnation} reason=\"nothing of its failure domain listens\""
        );
        return;
    }
    let evidence = CrashEvidence::NoListener;
    handle(
        front,
        QuarantineEvent::Crashed {
            incarnation,
            evidence,
        },
    );
}

/// Whether other upstreams of an upstream's failure domain take connections. True where there are none to ask.
async fn is_domain_reached<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
) -> bool {
    let addrs = {
        let view = front.shared.view.load();
        let Some(entry) = view.upstreams.get(&incarnation.id) else {
            return true;
        };
        let beside = view.upstreams.values().filter(|it| {
            let is_near = it.failure_domain == entry.failure_domain;
            is_near && it.incarnation.id != incarnation.id && it.state != UpstreamState::Draining
        });
        beside
            .map(|it| it.addr)
            .choose_multiple(&mut rand::rng(), WITNESSES)
    };
    for addr in &addrs {
        if front.pool.connect_new(*addr).await.is_ok() {
            return true;
        }
    }
    addrs.is_empty()
}

/// Takes in what happened and does what follows, but for finding out whether an upstream ended: true where that is to
/// be done.
pub fn handle<Dialect>(front: &FrontContext<Dialect>, event: QuarantineEvent<'_>) -> bool {
    let actions = front.shared.quarantine.lock().handle(front.now(), event);
    let mut must_probe = false;
    for action in actions {
        match action {
            QuarantineAction::Probe(_) => must_probe = true,
            QuarantineAction::LogCrash {
                incarnation,
                evidence,
            } => {
                let ends = &front.shared.metrics.upstream_ends;
                ends.with_label_values(&[evidence.as_str()]).inc();
                log::info!("event=upstream_ended upstream={incarnation} evidence={evidence}");
            }
            QuarantineAction::LogStrike {
                run,
                incarnation,
                crash_count,
            } => {
                log::info!(
                    "event=request_struck print={} upstream={incarnation} events={} ends={crash_count}",
                    run.print,
                    run.events
                );
            }
            QuarantineAction::Share(record) => {
                if let Err(error) = front.crash_records.try_send(record.clone()) {
                    log::info!("event=notice_not_sent reason=\"{error}\"");
                }
                if let Err(error) = front.shared.records.try_send(record) {
                    log::error!("event=record_not_written reason=\"{error}\"");
                }
            }
            QuarantineAction::Remove(_) => {}
        }
    }
    must_probe
}
