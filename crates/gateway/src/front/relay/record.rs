//! Records what happened to a stream of events: timing, breaks, and callers that disconnected.

use bergamot_ports::CallerDialect;
use bergamot_quarantine::BreakCause;
use bergamot_routing::{PartitionEvent, RouteUpstream};

use super::super::attempt::OpenReply;
use super::super::breaks::{RunProgress, record_break, record_caller_left, record_complete_answer};
use super::super::partition::observe;
use super::{EventRelay, FirstEvent};

impl<Dialect> EventRelay<Dialect>
where
    Dialect: CallerDialect + 'static,
{
    /// Records the time between two events of one upstream.
    pub(super) fn record_gap(&mut self, reply: &OpenReply) {
        let now = self.front.now();
        let previous = self.upstream_last_at.replace(now);
        let (Some(previous), Some(model)) = (previous, &self.request.call.model) else {
            return;
        };
        let upstream = &reply.upstream;
        let mut monitor = self.front.monitor.borrow_mut();
        let latencies = monitor.latencies.get_mut(model);
        latencies.record_gap(now.since(previous), upstream.speed, upstream.slots);
    }

    pub(super) fn record_first_event(&self, reply: &OpenReply) {
        let now = self.front.now();
        let upstream = &reply.upstream;
        let objective = self.state.route.objective;
        let took = now.since(reply.run.sent_at);
        let mut monitor = self.front.monitor.borrow_mut();
        let is_sample = monitor.record_first_event(upstream, took, objective, now);
        if let Some(model) = self.request.call.model.as_ref().filter(|_| is_sample) {
            let latencies = monitor.latencies.get_mut(model);
            latencies.record_first_event(
                took,
                reply.run.expected_first_event,
                upstream.speed,
                upstream.slots,
            );
        }
    }

    pub(super) fn update_metrics(&mut self, reply: &OpenReply) {
        let now = self.front.now();
        let metrics = &self.front.shared.metrics;
        let kind = [self.state.route.kind.as_str()];
        match self.last_event_at {
            Some(previous) => {
                self.longest_gap = self.longest_gap.max(now.since(previous));
                let gap = now.since(previous).as_secs_f64();
                metrics.event_gap.with_label_values(&kind).observe(gap);
            }
            None => {
                self.first = FirstEvent {
                    elapsed: now.since(self.state.arrived),
                    sends: self.state.sends(),
                    plan_time: reply.run.sent_at.since(self.state.arrived),
                    event_time: now.since(reply.run.sent_at),
                    connect_time: reply.connect_latency,
                    head_time: reply.head_latency,
                };
                let took = self.first.elapsed.as_secs_f64();
                metrics.first_piece.with_label_values(&kind).observe(took);
            }
        }
        self.last_event_at = Some(now);
    }

    pub(super) fn record_finished(&self, reply: OpenReply) {
        let incarnation = reply.upstream.incarnation.clone();
        let mut monitor = self.front.monitor.borrow_mut();
        monitor.record_success(&reply.upstream);
        drop(monitor);
        let status = reply.head.status;
        record_complete_answer(&self.front, &self.request, &self.state, status);
        if let Some(model) = &self.request.call.model {
            let took = self.front.now().since(reply.run.sent_at);
            self.front.delays.borrow_mut().record_answer(model, took);
            if self.request.call.resume_after.is_none() {
                let mut demand = self.front.demand.borrow_mut();
                demand.record_answer(model, self.delivered_events);
            }
        }
        let keep_alive = reply.facts.keep_alive;
        self.front
            .pool
            .give_back(&incarnation, reply.connection, keep_alive);
    }

    pub(super) async fn record_broken(
        &mut self,
        reply: &OpenReply,
        cause: BreakCause,
        reason: &str,
    ) {
        let now = self.front.now();
        if cause == BreakCause::Closed {
            observe(
                &self.front,
                PartitionEvent::Failed((&reply.upstream).into()),
            );
            self.state
                .disconnected
                .push(reply.upstream.incarnation.clone());
        }
        self.front
            .monitor
            .borrow_mut()
            .record_failure(&reply.upstream.incarnation, now);
        self.log_broken(&reply.upstream, reason);
        let (request, upstream) = (&self.request, &reply.upstream);
        let progress = self.progress(reply);
        record_break(&self.front, request, upstream, progress, cause).await;
    }

    pub(super) fn log_broken(&self, upstream: &RouteUpstream, reason: &str) {
        log::info!(
            "event=stream_broken request={} print={} parts={} route={} upstream={} group={} events={} last_event={} reason={reason:?}",
            self.request.call.id,
            self.request.print(),
            self.request.part_list(),
            self.state.route.name,
            upstream.incarnation,
            upstream.group.as_ref().map_or("-", |group| group.as_str()),
            self.delivered_events,
            self.last_event_id.unwrap_or_default(),
        );
    }

    pub(super) fn record_caller_left(&self, reply: &OpenReply) {
        let incarnation = &reply.upstream.incarnation;
        let progress = self.progress(reply);
        record_caller_left(&self.front, &self.request, incarnation, progress);
    }

    const fn progress(&self, reply: &OpenReply) -> RunProgress {
        RunProgress {
            sent_at: reply.run.sent_at,
            events: self.upstream_events,
        }
    }
}
