//! Records requests that were interrupted at upstreams, and finds out whether the upstreams
//! crashed.

use std::rc::Rc;
use std::time::Duration;

use bergamot_ports::UpstreamState;
use bergamot_quarantine::{
    BreakCause, BrokenRun, CrashEvidence, PartRuns, QuarantineAction, QuarantineEvent,
    RequestStanding,
};
use bergamot_routing::RouteUpstream;
use bergamot_types::prelude::*;
use hyper::StatusCode;
use rand::seq::IteratorRandom;

use super::FrontContext;
use super::attempt::SentRequest;
use super::pool::ConnectError;
use super::state::CallState;

/// Number of other upstreams that are probed to find out whether a failure domain is reachable. A
/// single harmful request can crash several upstreams of a small domain within a second, but hardly
/// exactly the probed ones.
const PROBED_PEERS: usize = 3;
/// How long a suspected request waits before its retry. By then the notices of other VMs about the
/// last crash have arrived: three datagrams, each handled by a process with an eighth of a core.
/// The notices may blame another request, and they give requests that cannot be told apart separate
/// leaders.
const CRASH_NOTICE_WAIT: Duration = Duration::from_millis(30);

/// How far a request had come at an upstream when it was interrupted.
#[derive(Clone, Copy, Debug)]
pub struct RunProgress {
    /// When it was sent to the upstream.
    pub sent_at: Millis,
    /// Number of events that had arrived from the upstream.
    pub events: u32,
}

impl RunProgress {
    /// A request that was sent at `sent_at` and has no event yet.
    pub const fn begun(sent_at: Millis) -> Self {
        Self { sent_at, events: 0 }
    }
}

/// Records that a request was interrupted after it was sent.
///
/// Returns at once for nearly all requests. If an upstream has crashed before while it ran this
/// request, or one more crash would put a part of its prompt into quarantine, waits until a probe
/// shows whether this upstream crashed too.
pub async fn record_break<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    upstream: &RouteUpstream,
    progress: RunProgress,
    cause: BreakCause,
) where
    Dialect: 'static,
{
    let incarnation = &upstream.incarnation;
    if !is_listed_and_staying(front, incarnation) {
        return;
    }
    let print = request.print();
    let must_resolve = {
        let quarantine = front.shared.quarantine.lock();
        quarantine.has_open_crash(print) || quarantine.has_suspected_part(request.part_prints())
    };
    let must_probe = handle_break(front, request, incarnation, progress, cause);
    if must_resolve {
        let (probe_front, upstream) = (Rc::clone(front), upstream.clone());
        // Runs as a separate task, so that the probe completes even if the caller disconnects.
        let probe_task =
            tokio::task::spawn_local(async move { probe(&probe_front, &upstream).await });
        let _ = probe_task.await;
        let must_await_notices = {
            let mut quarantine = front.shared.quarantine.lock();
            quarantine.standing(print) != RequestStanding::Good
                || quarantine.has_suspected_part(request.part_prints())
        };
        if must_await_notices {
            tokio::time::sleep(CRASH_NOTICE_WAIT).await;
        }
    } else if must_probe {
        let (front, upstream) = (Rc::clone(front), upstream.clone());
        tokio::task::spawn_local(async move { probe(&front, &upstream).await });
    }
}

/// Records that a request's caller disconnected, or that its deadline passed, while an upstream may
/// run the request. Without this record, a harmful request whose callers leave crashes 19 upstreams
/// where 3 are allowed, 10 of them more than 3 s after the third.
pub fn record_caller_left<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    incarnation: &UpstreamIncarnation,
    progress: RunProgress,
) {
    if is_listed_and_staying(front, incarnation) {
        handle_break(
            front,
            request,
            incarnation,
            progress,
            BreakCause::CallerLeft,
        );
    }
}

/// Passes the break of a request and of the parts of its prompt to the quarantine state. Returns
/// whether the caller must probe the upstream.
fn handle_break<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    incarnation: &UpstreamIncarnation,
    progress: RunProgress,
    cause: BreakCause,
) -> bool {
    let RunProgress { sent_at, events } = progress;
    let run = BrokenRun {
        print: request.print(),
        events,
    };
    let runs = PartRuns {
        prints: request.part_prints(),
        events,
        sent_at,
    };
    let must_probe = handle(
        front,
        QuarantineEvent::Broken {
            incarnation,
            run,
            cause,
        },
    );
    handle(
        front,
        QuarantineEvent::PartsBroken {
            incarnation,
            runs,
            cause,
        },
    );
    must_probe
}

/// Records, when dropped, that the caller of a request disconnected. [`Self::finish`] disarms it.
pub struct CallerLeftGuard<Dialect> {
    front: Rc<FrontContext<Dialect>>,
    request: Rc<SentRequest>,
    incarnation: UpstreamIncarnation,
    progress: RunProgress,
    is_finished: bool,
}

impl<Dialect> CallerLeftGuard<Dialect> {
    /// Watches a request that is sent at `sent_at`.
    pub fn new(
        front: &Rc<FrontContext<Dialect>>,
        request: &Rc<SentRequest>,
        incarnation: &UpstreamIncarnation,
        sent_at: Millis,
    ) -> Self {
        Self {
            front: Rc::clone(front),
            request: Rc::clone(request),
            incarnation: incarnation.clone(),
            progress: RunProgress::begun(sent_at),
            is_finished: false,
        }
    }

    /// Watches a request that has come so far.
    pub fn at(mut self, progress: RunProgress) -> Self {
        self.progress = progress;
        self
    }

    /// Disarms the guard: the attempt finished and its outcome is recorded elsewhere.
    pub fn finish(mut self) {
        self.is_finished = true;
    }
}

impl<Dialect> Drop for CallerLeftGuard<Dialect> {
    fn drop(&mut self) {
        if !self.is_finished {
            record_caller_left(&self.front, &self.request, &self.incarnation, self.progress);
        }
    }
}

/// Records that a single upstream answered a request completely. An answer that was resumed at
/// other upstreams does not count, because the last of them ran only a part of the request. Only a
/// success shows that the parts of its prompt are harmless, as no other answer needs them.
pub fn record_complete_answer<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    status: StatusCode,
) {
    let has_single_upstream = state.possible_runs.len() == 1 && request.call.resume_after.is_none();
    if !has_single_upstream {
        return;
    }
    let parts = request.part_prints();
    if status.is_success() && !parts.is_empty() {
        handle(front, QuarantineEvent::PartsAnswered(parts));
    }
    if !front.shared.quarantine.lock().is_empty() {
        handle(front, QuarantineEvent::Answered(request.print()));
    }
}

/// Whether an upstream is listed in the directory and announced neither there nor in an answer that
/// it leaves. The stop of a leaving upstream is planned and not a crash.
pub fn is_listed_and_staying<Dialect>(
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

/// Checks whether anything listens at an upstream where a request was interrupted. Opens one
/// connection per suspected crash; if the connection is accepted, the next request to the upstream
/// uses it.
async fn probe<Dialect>(front: &FrontContext<Dialect>, upstream: &RouteUpstream) {
    let incarnation = &upstream.incarnation;
    match front.pool.connect_new(upstream.addr).await {
        Ok(connection) => front.pool.give_back(incarnation, connection, None),
        Err(ConnectError::Refused(_)) => record_no_listener(front, incarnation).await,
        // The address does not respond. The directory may provide evidence later.
        Err(ConnectError::Failed(_)) => {}
    }
}

/// Records that nothing listens at the address of an upstream, if requests were interrupted there
/// and its failure domain is reachable. A connection refused by a partition is no evidence of a
/// crash: counting it, a partition between 29 VMs and 110 upstreams held back 7 requests and put
/// 1 into quarantine within half a second.
pub async fn record_no_listener<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
) {
    if !front.shared.quarantine.lock().may_have_crashed(incarnation) {
        return;
    }
    if !is_domain_reachable(front, incarnation).await {
        log::info!(
            "event=end_not_counted upstream={incarnation} reason=\"no other upstream of its failure domain accepts connections\""
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

/// Whether other upstreams in the failure domain of an upstream accept connections. True if there
/// are no others.
async fn is_domain_reachable<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
) -> bool {
    let addrs = {
        let view = front.shared.view.load();
        let Some(entry) = view.upstreams.get(&incarnation.id) else {
            return true;
        };
        let domain_peers = view.upstreams.values().filter(|peer| {
            let is_same_domain = peer.failure_domain == entry.failure_domain;
            is_same_domain
                && peer.incarnation.id != incarnation.id
                && peer.state != UpstreamState::Draining
        });
        domain_peers
            .map(|peer| peer.addr)
            .choose_multiple(&mut rand::rng(), PROBED_PEERS)
    };
    for addr in &addrs {
        if front.pool.connect_new(*addr).await.is_ok() {
            return true;
        }
    }
    addrs.is_empty()
}

/// Passes an event to the quarantine state and performs the actions that follow. Returns whether
/// the caller must probe the upstream, which this function leaves to it.
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
                let crash_counter = &front.shared.metrics.upstream_ends;
                crash_counter.with_label_values(&[evidence.as_str()]).inc();
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
