//! Logs what a process exchanges with the store and its peers, with the duties that it has, so that
//! the cost of each role shows in the logs of a large fleet.

use std::sync::Arc;
use std::time::Duration;

use bergamot_membership::prelude::*;
use prometheus::core::Collector;

use crate::shared::SharedState;

/// Period of the lines. A thousand VMs write 100 lines a second in all.
const USAGE_PERIOD: Duration = Duration::from_secs(10);

/// Totals since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
struct UsageTotals {
    store_calls: u64,
    feed_requests: u64,
    feed_requests_served: u64,
    datagrams_sent: u64,
    datagram_bytes_sent: u64,
    datagrams_received: u64,
    datagram_bytes_received: u64,
    connections: u64,
    thread_us: u64,
    thread_busy_us: u64,
    thread_late_us: u64,
}

impl UsageTotals {
    fn read(shared: &SharedState) -> Self {
        let metrics = &shared.metrics;
        let datagrams = |direction| metrics.datagrams.with_label_values(&[direction]).get();
        let bytes = |direction| metrics.datagram_bytes.with_label_values(&[direction]).get();
        let thread_us = |thread_use| metrics.thread_time.with_label_values(&[thread_use]).get();
        Self {
            connections: sum(&metrics.caller_connections),
            thread_us: thread_us("all"),
            thread_busy_us: thread_us("busy"),
            thread_late_us: thread_us("late"),
            store_calls: sum(&metrics.store_calls),
            feed_requests: sum(&metrics.feed_requests),
            feed_requests_served: metrics.feed_requests_served.get(),
            datagrams_sent: datagrams("sent"),
            datagram_bytes_sent: bytes("sent"),
            datagrams_received: datagrams("received"),
            datagram_bytes_received: bytes("received"),
        }
    }
}

/// Returns the sum of a counter over all labels.
fn sum<Metric>(metric: &Metric) -> u64
where
    Metric: Collector,
{
    let families = metric.collect();
    let metrics = families.iter().flat_map(|family| family.get_metric());
    let values = metrics.map(|metric| metric.get_counter().get_value());
    values.sum::<f64>() as u64
}

/// Logs the usage of each period until the process stops.
pub(crate) async fn log_usage(shared: Arc<SharedState>) {
    let mut earlier = UsageTotals::default();
    while !shared.is_stopping() {
        tokio::time::sleep(USAGE_PERIOD).await;
        let totals = UsageTotals::read(&shared);
        log_period(&shared, earlier, totals);
        earlier = totals;
    }
}

fn log_period(shared: &SharedState, earlier: UsageTotals, totals: UsageTotals) {
    let thread_us = totals.thread_us - earlier.thread_us;
    log::info!(
        "event=usage period={} duties={} millicores={} store_calls={} feed_requests={} \
         feed_requests_served={} datagrams_sent={} datagram_bytes_sent={} datagrams_received={} \
         datagram_bytes_received={} connections={} busy={} late={}",
        USAGE_PERIOD.as_millis(),
        duties(shared),
        shared.site.millicores,
        totals.store_calls - earlier.store_calls,
        totals.feed_requests - earlier.feed_requests,
        totals.feed_requests_served - earlier.feed_requests_served,
        totals.datagrams_sent - earlier.datagrams_sent,
        totals.datagram_bytes_sent - earlier.datagram_bytes_sent,
        totals.datagrams_received - earlier.datagrams_received,
        totals.datagram_bytes_received - earlier.datagram_bytes_received,
        totals.connections - earlier.connections,
        permille(totals.thread_busy_us - earlier.thread_busy_us, thread_us),
        permille(totals.thread_late_us - earlier.thread_late_us, thread_us),
    );
}

fn permille(part: u64, whole: u64) -> u64 {
    part * 1_000 / whole.max(1)
}

/// Returns the duties of this VM that cost more than serving its own callers, joined by commas.
fn duties(shared: &SharedState) -> String {
    let duties = [
        ("coordinator", shared.is_coordinator()),
        ("reader", shared.feed_role() == FeedRole::Reader),
        ("collector", shared.is_collector()),
    ];
    let held = duties.iter().filter(|(_, is_held)| *is_held);
    let names: Vec<&str> = held.map(|(name, _)| *name).collect();
    match names.is_empty() {
        true => "-".to_owned(),
        false => names.join(","),
    }
}
