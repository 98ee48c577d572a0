//! Forwards a stream of events, which may resume at another upstream.

mod peer;
mod record;

use std::rc::Rc;

use bergamot_ports::CallerDialect;
use bergamot_quarantine::BreakCause;
use bergamot_routing::PartitionEvent;
use bergamot_types::prelude::*;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::FrontContext;
use super::answer::{AnswerChunk, BrokenAnswer, CallerAnswer, streamed_body};
use super::attempt::{OpenReply, SentRequest};
use super::events::{EventSplitter, StreamEvent};
use super::forward::send::PeerReply;
use super::open::open;
use super::partition::observe;
use super::plan::plan;
use super::quiet::{
    AnswerStage, STALL_CHECK_PERIOD, check_stall, record_given_up, record_received,
};
use super::state::CallState;
use peer::PeerResume;

/// Number of events buffered for a slow caller before back pressure reaches the upstream.
const EVENT_BUFFER_SIZE: usize = 64;

/// Time for buffered events to be sent before the connection of a broken answer is closed.
const FLUSH_TIME: std::time::Duration = std::time::Duration::from_millis(5);

/// Where the events of a stream come from.
pub enum EventSource {
    /// An upstream.
    Upstream(Box<OpenReply>),
    /// Another entry VM, which receives them from an upstream.
    Peer(Box<PeerReply>),
}

/// The next event of an upstream's stream, or why there is none.
enum NextEvent {
    Event(StreamEvent),
    End,
    Broken(BreakCause, String),
    CallerLeft,
    DeadlinePassed,
}

/// How the forwarding of one source's events ended.
enum RelayEnd {
    /// With this outcome of the stream.
    Final(&'static str),
    /// The source broke off, and the stream may resume at another one.
    Broken,
}

/// Forwards the events of an opened reply. Resumes at another upstream if the stream breaks.
pub async fn relay_events<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    request: SentRequest,
    state: CallState,
    source: EventSource,
) -> CallerAnswer
where
    Dialect: CallerDialect + 'static,
{
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER_SIZE);
    let mut answer = CallerAnswer::new(streamed_body(receiver));
    let head = match &source {
        EventSource::Upstream(reply) => &reply.head,
        EventSource::Peer(reply) => &reply.head,
    };
    *answer.status_mut() = head.status;
    *answer.headers_mut() = front.dialect.answer_headers(head);
    if let EventSource::Upstream(reply) = &source {
        answer
            .extensions_mut()
            .insert(reply.upstream.incarnation.clone());
    }
    let relay = EventRelay {
        last_event_id: request.call.resume_after,
        last_event_at: None,
        delivered_events: 0,
        upstream_events: 0,
        upstream_last_at: None,
        first: FirstEvent::default(),
        longest_gap: Millis::ZERO,
        front,
        request,
        state,
        sender,
    };
    tokio::task::spawn_local(relay.run(source));
    answer
}

/// Timing of the first event of a stream.
#[derive(Default)]
struct FirstEvent {
    /// Time from the head of the request to the event.
    elapsed: Millis,
    /// How many times the request had been sent.
    sends: usize,
    /// Time from the head of the request to the send that produced the event.
    plan_time: Millis,
    /// Time from that send to the event.
    event_time: Millis,
    /// Time that connecting took.
    connect_time: Millis,
    /// Time that the head of the answer took.
    head_time: Millis,
}

struct EventRelay<Dialect> {
    front: Rc<FrontContext<Dialect>>,
    request: SentRequest,
    state: CallState,
    sender: mpsc::Sender<AnswerChunk>,
    last_event_id: Option<u64>,
    last_event_at: Option<Millis>,
    delivered_events: u64,
    /// How many of the delivered events are from the current upstream.
    upstream_events: u32,
    /// When the last event from the current upstream arrived.
    upstream_last_at: Option<Millis>,
    first: FirstEvent,
    longest_gap: Millis,
}

impl<Dialect> EventRelay<Dialect>
where
    Dialect: CallerDialect + 'static,
{
    async fn run(mut self, source: EventSource) {
        let mut source = source;
        let outcome = loop {
            let relayed = match source {
                EventSource::Upstream(reply) => self.relay_from_upstream(*reply).await,
                EventSource::Peer(reply) => self.relay_from_peer(*reply).await,
            };
            match relayed {
                RelayEnd::Final(outcome) => break outcome,
                RelayEnd::Broken => match self.resume_for_caller().await {
                    Ok(resumed) => source = resumed,
                    Err(outcome) => break outcome,
                },
            }
        };
        if outcome != "ok" {
            // Buffered events are sent before the connection is closed.
            tokio::time::sleep(FLUSH_TIME).await;
            let _ = self.sender.send(Err(BrokenAnswer)).await;
        }
        self.log_ended(outcome);
        self.front.count_outcome(self.state.route.kind, outcome);
    }

    fn log_ended(&self, outcome: &str) {
        let (route, first) = (&self.state.route, &self.first);
        log::info!(
            "event=stream_ended request={} parts={} route={} upstream={} outcome={outcome} sends={} events={} last_event={} objective={} pause_objective={} first={} first_sends={} planned={} connected={} head={} first_took={} longest_gap={} took={}",
            self.request.call.id,
            self.request.part_list(),
            route.name,
            self.state.last_upstream(),
            self.state.sends(),
            self.delivered_events,
            self.last_event_id.unwrap_or_default(),
            route.objective,
            route.pause_objective.unwrap_or(route.timeout),
            first.elapsed,
            first.sends,
            first.plan_time,
            first.connect_time,
            first.head_time,
            first.event_time,
            self.longest_gap,
            self.front.now().since(self.state.arrived),
        );
    }

    /// Forwards the events of one upstream, and records how its stream ended.
    async fn relay_from_upstream(&mut self, reply: OpenReply) -> RelayEnd {
        let mut reply = reply;
        match self.relay_upstream(&mut reply).await {
            NextEvent::End | NextEvent::Event(_) => {
                self.record_finished(reply);
                RelayEnd::Final("ok")
            }
            NextEvent::CallerLeft => {
                self.record_caller_left(&reply);
                RelayEnd::Final("caller_left")
            }
            NextEvent::DeadlinePassed => {
                self.record_caller_left(&reply);
                RelayEnd::Final("deadline_exceeded_after_send")
            }
            NextEvent::Broken(cause, reason) => {
                self.record_broken(&reply, cause, &reason).await;
                RelayEnd::Broken
            }
        }
    }

    /// Forwards the events of one upstream until its stream ends or breaks.
    async fn relay_upstream(&mut self, reply: &mut OpenReply) -> NextEvent {
        let mut splitter = EventSplitter::default();
        self.upstream_events = 0;
        self.upstream_last_at = None;
        loop {
            let event = match self.next_event(reply, &mut splitter).await {
                NextEvent::Event(event) => event,
                outcome => return outcome,
            };
            // After a resumption the upstream may begin with events that the caller already has.
            if event.id.is_some() && event.id <= self.last_event_id {
                continue;
            }
            if self.upstream_events == 0 {
                self.record_first_event(reply);
            }
            self.record_gap(reply);
            self.update_metrics(reply);
            self.last_event_id = event.id.or(self.last_event_id);
            self.delivered_events += 1;
            self.upstream_events += 1;
            if self.sender.send(Ok(event.bytes)).await.is_err() {
                return NextEvent::CallerLeft;
            }
        }
    }

    async fn next_event(&self, reply: &mut OpenReply, splitter: &mut EventSplitter) -> NextEvent {
        let broken = |reason: &str| NextEvent::Broken(BreakCause::Closed, reason.to_owned());
        loop {
            if let Some(event) = splitter.next_event() {
                return NextEvent::Event(event);
            }
            if splitter.is_overlong() {
                return broken("an event exceeds the maximum length");
            }
            let now = self.front.now();
            let time_left = self.state.deadline.since(now);
            if time_left == Millis::ZERO {
                return NextEvent::DeadlinePassed;
            }
            let timeout = time_left.min(STALL_CHECK_PERIOD).as_duration();
            let frame = tokio::select! {
                frame = tokio::time::timeout(timeout, reply.body.frame()) => frame,
                () = self.sender.closed() => return NextEvent::CallerLeft,
            };
            match frame {
                Err(_) if self.is_stalled(reply) => {
                    self.record_given_up(reply);
                    let reason = "the upstream is stalled".to_owned();
                    return NextEvent::Broken(BreakCause::Stalled, reason);
                }
                Err(_) => {}
                Ok(None) if splitter.has_partial() => {
                    return broken("the stream ended within an event");
                }
                Ok(None) => return NextEvent::End,
                Ok(Some(Err(error))) => return broken(&error.to_string()),
                Ok(Some(Ok(frame))) => {
                    record_received(&self.front, &reply.upstream.incarnation);
                    let opened_at = reply.connection.opened_at;
                    observe(&self.front, PartitionEvent::Received { opened_at });
                    if let Some(data) = frame.data_ref() {
                        reply.flight.mark_begun();
                        splitter.push(data);
                    }
                }
            }
        }
    }

    /// Whether the upstream is stalled.
    fn is_stalled(&self, reply: &OpenReply) -> bool {
        let model = self.request.call.model.as_ref();
        check_stall(&self.front, &reply.upstream, model, reply.run)
    }

    fn record_given_up(&self, reply: &OpenReply) {
        let stage = match self.upstream_events {
            0 => AnswerStage::FirstEvent,
            _ => AnswerStage::NextEvent,
        };
        let (front, request) = (&self.front, &self.request);
        record_given_up(front, request, &reply.upstream, reply.run, stage);
    }

    /// Resumes the stream at another upstream, unless the caller disconnects first. The error is
    /// the outcome of the stream.
    async fn resume_for_caller(&mut self) -> Result<EventSource, &'static str> {
        let caller = self.sender.clone();
        tokio::select! {
            // Checked first, so that nothing is sent for a caller that has disconnected.
            biased;
            () = caller.closed() => Err("caller_left"),
            resumed = self.resume() => resumed.ok_or("upstream_lost"),
        }
    }

    /// Resumes the stream at another upstream, whether or not the caller is connected.
    async fn resume(&mut self) -> Option<EventSource> {
        if !self.state.route.is_resumable {
            log::info!(
                "event=stream_not_resumed request={} kind=not_resumable",
                self.request.call.id
            );
            return None;
        }
        loop {
            match self.resume_at_peer().await {
                PeerResume::Opened(reply) => return Some(EventSource::Peer(reply)),
                PeerResume::Failed => return None,
                PeerResume::TryAgain => continue,
                PeerResume::NotForwarded => {}
            }
            let planned = match plan(&self.front, &self.request, &mut self.state).await {
                Ok(planned) => planned,
                Err(refusal) => {
                    log::info!(
                        "event=stream_not_resumed request={} kind={}",
                        self.request.call.id,
                        refusal.kind
                    );
                    return None;
                }
            };
            let (front, request) = (&self.front, &self.request);
            let opened = open(
                front,
                request,
                &mut self.state,
                &planned,
                self.last_event_id,
            )
            .await;
            let upstream = &planned.upstream;
            match opened {
                Ok(reply) if reply.head.status.is_success() => {
                    log::info!(
                        "event=stream_resumed request={} upstream={} after={}",
                        self.request.call.id,
                        upstream.incarnation,
                        self.last_event_id.unwrap_or_default()
                    );
                    return Some(EventSource::Upstream(Box::new(reply)));
                }
                Ok(reply) => {
                    self.upstream_events = 0;
                    let reason = reply.head.status.as_str();
                    self.record_broken(&reply, BreakCause::Closed, reason).await;
                }
                Err(error) => log::info!(
                    "event=attempt_failed request={} print={} parts={} route={} upstream={} attempt={} outcome={} reason=\"{error}\"",
                    self.request.call.id,
                    self.request.print(),
                    self.request.part_list(),
                    self.state.route.name,
                    upstream.incarnation,
                    self.state.sends(),
                    error.as_str(),
                ),
            }
        }
    }
}
