//! Metrics of the process, in the Prometheus text format.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Histogram buckets of durations, in seconds. Range from a plain response to the longest stream.
const TIME_BUCKETS: &[f64] = &[
    0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// All metrics of the serving path.
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests by route kind and outcome.
    pub requests: IntCounterVec,
    /// Attempts at upstreams by route kind and outcome.
    pub attempts: IntCounterVec,
    /// Retries by service and by whether the budget granted them.
    pub retries: IntCounterVec,
    /// New connections to upstreams by outcome.
    pub connects: IntCounterVec,
    /// Requests offered to other entry VMs by outcome.
    pub forwards: IntCounterVec,
    /// Requests that other entry VMs forwarded here, by outcome.
    pub forwards_served: IntCounterVec,
    /// Time to the first piece of a response, in seconds, by route kind.
    pub first_piece: HistogramVec,
    /// Time between two events of a stream, in seconds.
    pub event_gap: HistogramVec,
    /// Calls to the store by call and outcome.
    pub store_calls: IntCounterVec,
    /// Restores of the store that this VM noticed.
    pub store_restores: IntCounter,
    /// Requests to peers for store updates, by outcome.
    pub feed_requests: IntCounterVec,
    /// Requests of peers for store updates that were answered.
    pub feed_requests_served: IntCounter,
    /// Datagrams to and from other entry VMs, by direction.
    pub datagrams: IntCounterVec,
    /// Bytes of these datagrams, by direction.
    pub datagram_bytes: IntCounterVec,
    /// Orders to upstreams by order and outcome.
    pub orders: IntCounterVec,
    /// Crashes of upstreams that were running requests from this VM, by evidence.
    pub upstream_ends: IntCounterVec,
    /// Answers given up because nothing was received from their upstream, by what was due.
    pub answers_given_up: IntCounterVec,
    /// Upstreams from which data arrived after answers there had been given up.
    pub stall_recoveries: IntCounter,
    /// Requests for permits to send to upstreams that advertise a limit, by outcome.
    pub permits: IntCounterVec,
    /// Requests for permits to send to cold upstreams, by outcome.
    pub warm_up_permits: IntCounterVec,
    /// Requests whose list of prompt parts could not be read.
    pub unreadable_prompt_parts: IntCounter,
    /// Background loops that ended and were begun again, by loop.
    pub duty_restarts: IntCounterVec,
    /// Connections to upstreams and other entry VMs on which bytes arrived without end.
    pub endless_answers: IntCounter,
    /// Panics that ended a request, by what was being done for it.
    pub request_panics: IntCounterVec,
    /// Connections from callers, by outcome.
    pub caller_connections: IntCounterVec,
    /// Connections that were closed for want of descriptors or memory, by source and reason.
    pub connections_given_up: IntCounterVec,
    /// Request bodies that were given up for want of memory, by reason.
    pub bodies_given_up: IntCounterVec,
    /// Time from accepting a connection to the first run of its task, in seconds.
    pub accept_delay: HistogramVec,
    /// Time of the callers' thread, in microseconds, by use.
    pub thread_time: IntCounterVec,
    /// Gauges of the process's state, by name.
    pub state: IntGaugeVec,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl GatewayMetrics {
    /// Creates and registers all metrics with a value of zero.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("the metric's name and labels are constants");
            register(&registry, Box::new(metric.clone()));
            metric
        };
        let plain_counter = |name: &str, help: &str| {
            let metric = IntCounter::new(name, help).expect("the metric's name is a constant");
            register(&registry, Box::new(metric.clone()));
            metric
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(TIME_BUCKETS.to_vec());
            let metric = HistogramVec::new(options, labels)
                .expect("the metric's name and labels are constants");
            register(&registry, Box::new(metric.clone()));
            metric
        };
        let state = IntGaugeVec::new(Opts::new("bergamot_state", "Numbers of state"), &["name"])
            .expect("the metric's name and labels are constants");
        register(&registry, Box::new(state.clone()));
        Self {
            requests: counter(
                "bergamot_requests_total",
                "Requests by route kind and outcome",
                &["kind", "outcome"],
            ),
            attempts: counter(
                "bergamot_attempts_total",
                "Attempts at upstreams by route kind and outcome",
                &["kind", "outcome"],
            ),
            retries: counter(
                "bergamot_retries_total",
                "Retries by service, granted or denied by the budget, or refunded to it",
                &["service", "outcome"],
            ),
            connects: counter(
                "bergamot_upstream_connects_total",
                "New connections to upstreams by outcome",
                &["outcome"],
            ),
            forwards: counter(
                "bergamot_forwards_total",
                "Requests offered to other entry VMs by outcome",
                &["outcome"],
            ),
            forwards_served: counter(
                "bergamot_forwards_served_total",
                "Requests that other entry VMs forwarded to this one, by outcome",
                &["outcome"],
            ),
            first_piece: histogram(
                "bergamot_first_piece_seconds",
                "Time to the first piece of an answer",
                &["kind"],
            ),
            event_gap: histogram(
                "bergamot_event_gap_seconds",
                "Time between two events of a stream",
                &["kind"],
            ),
            store_calls: counter(
                "bergamot_store_calls_total",
                "Calls to the store by call and outcome",
                &["call", "outcome"],
            ),
            store_restores: plain_counter(
                "bergamot_store_restores_total",
                "Restores of the store from an older copy that this VM noticed",
            ),
            feed_requests: counter(
                "bergamot_news_total",
                "Questions to peers for changes of the store, by outcome",
                &["outcome"],
            ),
            feed_requests_served: plain_counter(
                "bergamot_feed_requests_served_total",
                "Requests of peers for changes of the store that were answered",
            ),
            datagrams: counter(
                "bergamot_datagrams_total",
                "Datagrams to and from other entry VMs, by direction",
                &["direction"],
            ),
            datagram_bytes: counter(
                "bergamot_datagram_bytes_total",
                "Bytes of datagrams to and from other entry VMs, by direction",
                &["direction"],
            ),
            orders: counter(
                "bergamot_orders_total",
                "Orders to upstreams by order and outcome",
                &["order", "outcome"],
            ),
            upstream_ends: counter(
                "bergamot_upstream_ends_total",
                "Upstreams that ended while requests from here ran there, by the evidence",
                &["evidence"],
            ),
            answers_given_up: counter(
                "bergamot_answers_given_up_total",
                "Answers given up because nothing was received from their upstream, by what was due",
                &["stage"],
            ),
            stall_recoveries: plain_counter(
                "bergamot_stall_recoveries_total",
                "Upstreams that sent data after answers there had been given up",
            ),
            permits: counter(
                "bergamot_permits_total",
                "Permits asked for to send to upstreams that advertise a limit, by outcome",
                &["outcome"],
            ),
            warm_up_permits: counter(
                "bergamot_warmup_permits_total",
                "Permits asked for to send to cold upstreams, by outcome",
                &["outcome"],
            ),
            unreadable_prompt_parts: plain_counter(
                "bergamot_unreadable_prompt_parts_total",
                "Requests whose list of prompt parts could not be read",
            ),
            duty_restarts: counter(
                "bergamot_duty_restarts_total",
                "Background loops that ended and were begun again, by loop",
                &["duty"],
            ),
            endless_answers: plain_counter(
                "bergamot_endless_answers_total",
                "Connections to upstreams and entry VMs on which bytes arrived that are no answer",
            ),
            request_panics: counter(
                "bergamot_request_panics_total",
                "Panics that ended a request, by what was being done for it",
                &["stage"],
            ),
            caller_connections: counter(
                "bergamot_caller_connections_total",
                "Connections from callers by outcome",
                &["outcome"],
            ),
            connections_given_up: counter(
                "bergamot_connections_given_up_total",
                "Connections closed at the bound on open ones, by source: replaced by a new one, or refused",
                &["source", "reason"],
            ),
            bodies_given_up: counter(
                "bergamot_bodies_given_up_total",
                "Request bodies given up for want of memory: refused, or stalled while others needed their room",
                &["reason"],
            ),
            accept_delay: histogram(
                "bergamot_accept_delay_seconds",
                "Time from accepting a connection to the first run of its task, by source",
                &["source"],
            ),
            thread_time: counter(
                "bergamot_callers_thread_us_total",
                "Time of the callers' thread in microseconds: all, busy, or late to handle a timer",
                &["use"],
            ),
            state,
            registry,
        }
    }

    /// Renders all metrics in the text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoder = TextEncoder::new();
        if let Err(error) = encoder.encode(&self.registry.gather(), &mut text) {
            log::error!("event=metrics_failed reason={error:?}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Counts a datagram of `bytes` bytes, either `sent` or `received`.
    pub fn count_datagram(&self, direction: &str, bytes: usize) {
        self.datagrams.with_label_values(&[direction]).inc();
        let total = self.datagram_bytes.with_label_values(&[direction]);
        total.inc_by(bytes as u64);
    }

    /// Sets the state gauge called `name`.
    pub fn set_state(&self, name: &str, value: i64) {
        self.state.with_label_values(&[name]).set(value);
    }
}

fn register(registry: &Registry, metric: Box<dyn prometheus::core::Collector>) {
    if let Err(error) = registry.register(metric) {
        log::error!("event=metric_not_registered reason={error:?}");
    }
}
