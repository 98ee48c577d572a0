//! Partitions of this VM from all upstreams: what connections show, probes, and log lines.

use std::rc::Rc;
use std::time::Duration;

use bergamot_ports::{CallerDialect, UpstreamEntry, UpstreamState};
use bergamot_routing::{PartitionAction, PartitionEvent, RouteUpstream, draw_probes};
use futures::future::join_all;
use http_body_util::{BodyExt, Full};

use super::FrontContext;
use super::pool::{ConnectError, UpstreamConnection};

/// Time between two rounds of probes while this VM reaches no upstream. Callers are served through
/// other VMs meanwhile, so a partition that ended is noticed soon enough.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// How long a probe waits for an answer on its connection. A report needs no free slot.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Opens a connection to an upstream and records whether it was established.
///
/// # Errors
/// See [`ConnectError`]. No part of a request was sent.
pub async fn connect_new<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
) -> Result<UpstreamConnection, ConnectError> {
    let connection = front.pool.connect_new(upstream.addr).await;
    let event = match &connection {
        Ok(_) => PartitionEvent::Connected,
        Err(_) => PartitionEvent::ConnectFailed(&upstream.incarnation),
    };
    count_connect(front, &connection);
    observe(front, event);
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
            front.shared.metrics.set_state("upstreams_unreachable", 1);
        }
        Some(PartitionAction::LogRegained { duration }) => {
            log::info!("event=upstreams_reachable after={duration}");
            front.shared.metrics.set_state("upstreams_unreachable", 0);
        }
    }
}

/// Probes upstreams whenever this VM suspects that it reaches none, until it reaches some.
pub async fn watch_partition<Dialect>(front: Rc<FrontContext<Dialect>>)
where
    Dialect: CallerDialect,
{
    loop {
        front.partition_suspected.notified().await;
        while front.monitor.borrow().partition.is_in_doubt() {
            let probed = probe_upstreams(&front).await;
            observe(&front, PartitionEvent::ProbesEnded { probed });
            if front.monitor.borrow().partition.is_partitioned() {
                tokio::time::sleep(PROBE_PERIOD).await;
            }
        }
    }
}

/// Probes some upstreams at once. Returns how many.
async fn probe_upstreams<Dialect>(front: &FrontContext<Dialect>) -> usize
where
    Dialect: CallerDialect,
{
    let targets: Vec<UpstreamEntry> = {
        let view = front.shared.view.load();
        let staying = view
            .upstreams
            .values()
            .filter(|entry| entry.state != UpstreamState::Draining);
        let staying = staying.map(|entry| (&entry.failure_domain, entry));
        let drawn = draw_probes(staying, rand::random()).into_iter();
        drawn.cloned().collect()
    };
    let probes = targets.iter().map(|entry| probe(front, entry));
    join_all(probes).await;
    targets.len()
}

/// Asks an upstream for a report on a new connection, which is kept for requests if it answers. An
/// upstream of a plain service has no reports; its connection is evidence enough.
async fn probe<Dialect>(front: &FrontContext<Dialect>, entry: &UpstreamEntry)
where
    Dialect: CallerDialect,
{
    let connection = front.pool.connect_new(entry.addr).await;
    count_connect(front, &connection);
    let Ok(mut connection) = connection else {
        return;
    };
    if entry.fabric.is_some() {
        let request = front.dialect.report_request(entry);
        let request = request.map(|()| Full::default());
        let exchange = async {
            let answer = connection.sender.send_request(request).await?;
            answer.into_body().collect().await
        };
        let Ok(Ok(_)) = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await else {
            return;
        };
    }
    let opened_at = connection.opened_at;
    front.pool.give_back(&entry.incarnation, connection, None);
    observe(front, PartitionEvent::Received { opened_at });
}
