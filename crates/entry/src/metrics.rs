//! Metrics of the process, exposed in the Prometheus text format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};

use bergamot_types::invariant::INVARIANTS;

/// Histogram buckets of durations, in seconds.
const TIME_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// The metrics of an entry VM's daemon.
pub struct EntryMetrics {
    registry: Registry,
    /// Requests by kind (`model`, `service`) and outcome (`ok` or an error code).
    pub requests: IntCounterVec,
    /// Attempts at upstreams by kind and outcome.
    pub attempts: IntCounterVec,
    /// Time to the first token or answer, in seconds.
    pub first_token: HistogramVec,
    /// Time between tokens, in seconds.
    pub between_tokens: HistogramVec,
    /// Requests in flight by kind.
    pub in_flight: IntGaugeVec,
    /// Claims by verdict.
    pub claims: IntCounterVec,
    /// Calls to the platform by call and outcome.
    pub platform_calls: IntCounterVec,
    /// Messages to and from peers by kind and direction.
    pub peer_messages: IntCounterVec,
    /// Bytes to and from peers by direction.
    pub peer_bytes: IntCounterVec,
    /// Datagrams and frames that were dropped, by reason.
    pub dropped: IntCounterVec,
    /// Request bodies given up for want of memory, by reason.
    pub bodies_given_up: IntCounterVec,
    /// Callers' connections closed at the bound on open ones, by reason.
    pub connections_given_up: IntCounterVec,
    /// Gauges of the VM's state by name, such as the roll number, roster epoch and group count.
    pub state: IntGaugeVec,
    /// Violated invariants by name. Any value above zero is a defect.
    pub violations: IntGaugeVec,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl EntryMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("the metric's name and labels are constants");
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntGaugeVec::new(Opts::new(name, help), labels)
                .expect("the metric's name and labels are constants");
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(TIME_BUCKETS.to_vec());
            let metric = HistogramVec::new(options, labels)
                .expect("the metric's name and labels are constants");
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        Self {
            requests: counter(
                "bergamot_requests_total",
                "Callers' requests by kind and outcome",
                &["kind", "outcome"],
            ),
            attempts: counter(
                "bergamot_attempts_total",
                "Attempts at upstreams by kind and outcome",
                &["kind", "outcome"],
            ),
            first_token: histogram(
                "bergamot_first_token_seconds",
                "Time to the first token or answer",
                &["kind"],
            ),
            between_tokens: histogram(
                "bergamot_between_tokens_seconds",
                "Time between tokens",
                &["kind"],
            ),
            in_flight: gauge("bergamot_in_flight", "Requests in flight", &["kind"]),
            claims: counter(
                "bergamot_claims_total",
                "Claims of idempotency keys by verdict",
                &["verdict"],
            ),
            platform_calls: counter(
                "bergamot_platform_calls_total",
                "Calls to the platform",
                &["call", "outcome"],
            ),
            peer_messages: counter(
                "bergamot_peer_messages_total",
                "Messages between entry VMs",
                &["kind", "direction"],
            ),
            peer_bytes: counter(
                "bergamot_peer_bytes_total",
                "Bytes between entry VMs",
                &["direction"],
            ),
            bodies_given_up: counter(
                "bergamot_bodies_given_up_total",
                "Request bodies given up for want of memory: refused, or stalled while others needed their room",
                &["reason"],
            ),
            connections_given_up: counter(
                "bergamot_connections_given_up_total",
                "Callers' connections closed at the bound on open ones: replaced by a new one, or refused",
                &["reason"],
            ),
            dropped: counter(
                "bergamot_dropped_total",
                "Messages dropped by reason",
                &["reason"],
            ),
            state: gauge("bergamot_state", "Numbers of this VM's state", &["name"]),
            violations: gauge(
                "bergamot_invariant_violations",
                "Broken promises; anything above zero is a defect",
                &["invariant"],
            ),
            registry,
        }
    }

    /// Returns all metrics in the text format.
    pub fn render(&self) -> String {
        for invariant in INVARIANTS {
            let name = format!("{invariant:?}");
            let count = invariant.violations() as i64;
            self.violations.with_label_values(&[&name]).set(count);
        }
        let mut text = Vec::new();
        let encoder = TextEncoder::new();
        if let Err(error) = encoder.encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics_failed reason={error:?}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Sets a gauge of the VM's state.
    pub fn set_state(&self, name: &str, value: i64) {
        self.state.with_label_values(&[name]).set(value);
    }
}
