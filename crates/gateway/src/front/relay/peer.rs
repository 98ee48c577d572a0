//! Events of a stream that another entry VM receives from an upstream.

use bergamot_ports::CallerDialect;
use bergamot_quarantine::BreakCause;
use bergamot_types::prelude::*;
use http_body_util::BodyExt;

use super::super::events::EventSplitter;
use super::super::forward::send::{ForwardOutcome, PeerReply, forward, must_forward};
use super::{EventRelay, NextEvent, RelayEnd};

/// The outcome of resuming a stream at another entry VM.
pub(super) enum PeerResume {
    /// The stream goes on there.
    Opened(Box<PeerReply>),
    /// The stream cannot be resumed.
    Failed,
    /// The request may have run there, and may be sent once more.
    TryAgain,
    /// This VM resumes the stream itself.
    NotForwarded,
}

impl<Dialect> EventRelay<Dialect>
where
    Dialect: CallerDialect + 'static,
{
    /// Forwards the events that another VM receives, until they end or break off.
    pub(super) async fn relay_from_peer(&mut self, reply: PeerReply) -> RelayEnd {
        let mut reply = reply;
        let mut splitter = EventSplitter::default();
        loop {
            match self.next_peer_event(&mut reply, &mut splitter).await {
                NextEvent::Event(event) => {
                    // Events that the caller already has may be repeated.
                    if event.id.is_some() && event.id <= self.last_event_id {
                        continue;
                    }
                    self.record_peer_event();
                    self.last_event_id = event.id.or(self.last_event_id);
                    self.delivered_events += 1;
                    if let Err(end) = self.queue.push(event.bytes).await {
                        return RelayEnd::Final(end.as_str());
                    }
                }
                NextEvent::End => {
                    reply.finish(&self.front);
                    return RelayEnd::Final("ok");
                }
                NextEvent::Silent => {}
                NextEvent::CallerLeft => return RelayEnd::Final("caller_left"),
                NextEvent::DeadlinePassed => {
                    return RelayEnd::Final("deadline_exceeded_after_send");
                }
                NextEvent::Broken(_, reason) => {
                    log::info!(
                        "event=forward_lost request={} vm={} reason={reason:?} waited={}",
                        self.request.call.id,
                        reply.vm,
                        self.front.now().since(self.state.arrived)
                    );
                    return RelayEnd::Broken;
                }
            }
        }
    }

    async fn next_peer_event(
        &self,
        reply: &mut PeerReply,
        splitter: &mut EventSplitter,
    ) -> NextEvent {
        let broken = |reason: &str| NextEvent::Broken(BreakCause::Closed, reason.to_owned());
        loop {
            if let Some(event) = splitter.next_event() {
                return NextEvent::Event(event);
            }
            if splitter.is_endless() {
                return broken("an event does not end");
            }
            let time_left = self.state.deadline.since(self.front.now());
            if time_left == Millis::ZERO {
                return NextEvent::DeadlinePassed;
            }
            let timeout = time_left.as_duration();
            let frame = tokio::select! {
                frame = tokio::time::timeout(timeout, reply.body.frame()) => frame,
                () = self.queue.sender.closed() => return NextEvent::CallerLeft,
            };
            match frame {
                Err(_) => {}
                Ok(None) if splitter.has_partial() => {
                    return broken("the stream ended within an event");
                }
                Ok(None) => return NextEvent::End,
                Ok(Some(Err(error))) => return broken(&error.to_string()),
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        splitter.push(data);
                    }
                }
            }
        }
    }

    /// Records the timing of an event for the log and the metrics.
    fn record_peer_event(&mut self) {
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
                self.first.elapsed = now.since(self.state.arrived);
                self.first.sends = self.state.sends();
                let took = self.first.elapsed.as_secs_f64();
                metrics.first_piece.with_label_values(&kind).observe(took);
            }
        }
        self.last_event_at = Some(now);
    }

    /// Resumes the stream at another entry VM, if this one reaches no upstream.
    pub(super) async fn resume_at_peer(&mut self) -> PeerResume {
        if !must_forward(&self.front, &self.state) {
            return PeerResume::NotForwarded;
        }
        let (front, request) = (&self.front, &self.request);
        match forward(front, request, &mut self.state, self.last_event_id).await {
            ForwardOutcome::Opened(reply) => {
                log::info!(
                    "event=stream_resumed request={} upstream=by-{} after={}",
                    request.call.id,
                    reply.vm,
                    self.last_event_id.unwrap_or_default()
                );
                PeerResume::Opened(reply)
            }
            ForwardOutcome::Lost | ForwardOutcome::ErrorAnswer(_) => PeerResume::TryAgain,
            ForwardOutcome::NotForwarded => PeerResume::NotForwarded,
            ForwardOutcome::Answered(_) => PeerResume::Failed,
            ForwardOutcome::Refused(refusal) => {
                log::info!(
                    "event=stream_not_resumed request={} kind={}",
                    request.call.id,
                    refusal.kind
                );
                PeerResume::Failed
            }
        }
    }
}
