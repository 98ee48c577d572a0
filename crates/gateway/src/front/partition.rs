//! Partitions of this VM from all upstreams: what connections show, probes, and log lines.

use std::rc::Rc;
use std::time::Duration;

use bergamot_ports::{CallerDialect, UpstreamEntry, UpstreamState};
use bergamot_routing::{
    PartitionAction, PartitionEvent, RouteUpstream, SuspectUpstream, draw_probes,
};
use bergamot_types::prelude::*;
use futures::future::join_all;
use http_body_util::{BodyExt, Limited};

use super::FrontContext;
use super::held::ReplyBody;
use super::pool::{ConnectError, UpstreamConnection};
use crate::outgoing::OutgoingBody;

/// Time between two rounds of probes while this VM reaches no upstream. Callers are served through
/// other VMs meanwhile, so a partition that ended is noticed soon enough.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// How long a probe waits for an answer on its connection. A report needs no free slot.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest report in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// How long after its establishment a connection is checked on which no answer is awaited.
const RESET_TIME: Duration = Duration::from_millis(50);

/// Opens a connection to an upstream and records whether it was established.
///
/// # Errors
/// See [`ConnectError`]. No part of a request was sent.
pub async fn connect_new<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
) -> Result<UpstreamConnection, ConnectError> {
    let connection = front.pool.connect_new(upstream.addr).await;
    count_connect(front, &connection);
    if connection.is_err() {
        observe(front, PartitionEvent::Failed(upstream.into()));
    }
    connection
}

fn count_connect<Dialect>(
    front: &FrontContext<Dialect>,
    connection: &Result<UpstreamConnection, ConnectError>,
) {
    let outcome = match connection {
        Ok(_) => "connected",
        Err(ConnectError::Refused(_)) => "refused",
        Err(ConnectError::Failed(_)) => "failed",
    };
    let connects = &front.shared.metrics.connects;
    connects.with_label_values(&[outcome]).inc();
}

/// Passes an event to the partition state and performs the action that follows.
pub fn observe<Dialect>(front: &FrontContext<Dialect>, event: PartitionEvent<'_>) {
    let now = front.now();
    let action = front.monitor.borrow_mut().partition.handle(now, event);
    match action {
        None => {}
        Some(PartitionAction::Probe) => front.partition_suspected.notify_one(),
        Some(PartitionAction::LogLost(facts)) => {
            log::warn!(
                "event=upstreams_unreachable suspects={} probed={} detected_after={} silent_for={}",
                facts.suspects,
                facts.probed,
                facts.detected_after,
                facts.silent_for
            );
            front.shared.set_upstreams_unreachable(true);
        }
        Some(PartitionAction::LogRegained { duration }) => {
            log::info!("event=upstreams_reachable after={duration}");
            front.shared.set_upstreams_unreachable(false);
        }
    }
}

/// Probes upstreams whenever this VM suspects that it reaches none, until it reaches some.
pub async fn watch_partition<Dialect>(front: Rc<FrontContext<Dialect>>)
where
    Dialect: CallerDialect,
{
    loop {
        tokio::select! {
            () = front.partition_suspected.notified() => {}
            () = front.shared.control_unanswered.notified() => {
                observe_control(&front);
                continue;
            }
        }
        while front.monitor.borrow().partition.is_in_doubt() {
            let probes_ended = probe_upstreams(&front).await;
            observe(&front, probes_ended);
            if front.monitor.borrow().partition.is_partitioned() {
                tokio::time::sleep(PROBE_PERIOD).await;
            }
        }
    }
}

/// Records the upstreams that did not answer the coordinator of this VM. It may be the only one that
/// notices, if this VM has few callers.
fn observe_control<Dialect>(front: &FrontContext<Dialect>) {
    let view = front.shared.view.load();
    for incarnation in &front.shared.take_unanswered_control() {
        if let Some(entry) = view.upstreams.get(&incarnation.id) {
            let suspect = SuspectUpstream {
                incarnation,
                failure_domain: &entry.failure_domain,
            };
            observe(front, PartitionEvent::Failed(suspect));
        }
    }
}

/// Probes some upstreams at once. Returns the event that ends the round.
async fn probe_upstreams<Dialect>(front: &FrontContext<Dialect>) -> PartitionEvent<'static>
where
    Dialect: CallerDialect,
{
    let targets: Vec<UpstreamEntry> = {
        let view = front.shared.view.load();
        let entries = view.upstreams.values();
        let staying = entries.filter(|entry| entry.state != UpstreamState::Draining);
        let has_reports = staying.clone().any(has_report);
        let probed = staying.filter(|entry| has_report(entry) || !has_reports);
        let probed = probed.map(|entry| (&entry.failure_domain, entry));
        // A partition between failure domains leaves the one of this VM.
        let home = &front.shared.site.failure_domain;
        let monitor = front.monitor.borrow();
        let rank_of = |domain: &FailureDomain| match domain == home {
            true => 0,
            false => 1 + u8::from(monitor.partition.is_suspect_domain(domain)),
        };
        let drawn = draw_probes(probed, rank_of, rand::random()).into_iter();
        drawn.cloned().collect()
    };
    let probes = targets.iter().map(|entry| probe(front, entry));
    let outcomes = join_all(probes).await;
    let unanswered = outcomes.into_iter();
    let unanswered = unanswered.filter(|outcome| *outcome == ProbeOutcome::Unanswered);
    PartitionEvent::ProbesEnded {
        probed: targets.len(),
        unanswered: unanswered.count(),
    }
}

/// The outcome of a probe.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ProbeOutcome {
    /// The upstream was reached.
    Answered,
    /// It accepted the connection, and did not answer in time.
    Unanswered,
    /// No connection was established, or it was closed.
    Failed,
}

/// Whether an upstream answers requests for a report. Those of plain services do not.
fn has_report(entry: &UpstreamEntry) -> bool {
    entry.fabric.is_some()
}

/// Asks an upstream for a report on a new connection, which is kept for requests if it answers. An
/// upstream without reports counts as reached if it does not close the connection at once.
async fn probe<Dialect>(front: &FrontContext<Dialect>, entry: &UpstreamEntry) -> ProbeOutcome
where
    Dialect: CallerDialect,
{
    let connection = front.pool.connect_new(entry.addr).await;
    count_connect(front, &connection);
    let Ok(mut connection) = connection else {
        return ProbeOutcome::Failed;
    };
    if has_report(entry) {
        let request = front.dialect.report_request(entry);
        let request = request.map(|()| OutgoingBody::default());
        let exchange = async {
            let answer = connection.sender.send_request(request).await;
            let body = ReplyBody::new(answer.ok()?.into_body(), connection.meter.clone());
            Limited::new(body, MAX_REPORT_BYTES).collect().await.ok()
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(Some(_)) => {}
            Ok(None) => return ProbeOutcome::Failed,
            Err(_) => return ProbeOutcome::Unanswered,
        }
    } else {
        tokio::time::sleep(RESET_TIME).await;
    }
    if connection.sender.is_closed() {
        return ProbeOutcome::Failed;
    }
    let opened_at = connection.opened_at;
    front.pool.give_back(&entry.incarnation, connection, None);
    observe(front, PartitionEvent::Received { opened_at });
    ProbeOutcome::Answered
}
