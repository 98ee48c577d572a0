//! Forwards a stream of events, which may resume at another upstream.
//!
//! | module | contents |
//! | --- | --- |
//! | [`source`] | the events of one upstream's stream |
//! | [`peer`] | the events that another entry VM receives |
//! | [`queue`] | events that wait for the caller |
//! | [`resume`] | streams that go on at another upstream |
//! | [`record`] | what a stream shows of its upstream |

mod peer;
mod queue;
mod record;
mod resume;
mod source;

use std::rc::Rc;

use bergamot_ports::CallerDialect;
use bergamot_quarantine::BreakCause;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::answer::{AnswerMessage, CallerAnswer, streamed_body};
use super::attempt::{AttemptError, OpenReply, SentRequest};
use super::events::StreamEvent;
use super::forward::send::PeerReply;
use super::panics::record_panic;
use super::quiet::{STALL_CHECK_PERIOD, check_stall};
use super::state::CallState;
use crate::panics::catch_panic;
use queue::{EventQueue, QueueEnd};
use resume::SilenceEnd;
use source::{SourceEvent, SourceProgress, UpstreamSource};

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
    /// None yet: the upstream is stalled, and the stream may go on at another one.
    Silent,
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
    /// The stream goes on at another source.
    Moved(EventSource),
}

/// Forwards the events of an opened reply. Resumes at another upstream if the stream breaks.
pub async fn relay_events<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    request: Rc<SentRequest>,
    state: CallState,
    source: EventSource,
) -> CallerAnswer
where
    Dialect: CallerDialect + 'static,
{
    let (queue, receiver) = EventQueue::new(front.held.clone(), front.shared.clock, state.deadline);
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
        queue,
    };
    tokio::task::spawn_local(relay.run_guarded(source));
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
    request: Rc<SentRequest>,
    state: CallState,
    queue: EventQueue,
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
    /// Like [`Self::run`], and a panic breaks the answer off.
    async fn run_guarded(self, source: EventSource) {
        let (front, request) = (Rc::clone(&self.front), Rc::clone(&self.request));
        let sender = self.queue.sender.clone();
        let kind = self.state.route.kind;
        let Err(panic) = catch_panic(self.run(source)).await else {
            return;
        };
        record_panic(&front, Some(&request.call.id), "relay", &panic);
        front.count_outcome(kind, "panicked");
        tokio::time::sleep(FLUSH_TIME).await;
        // Fails if the caller has disconnected.
        let _ = sender.send(AnswerMessage::Broken).await;
    }

    async fn run(mut self, source: EventSource) {
        let mut source = source;
        let outcome = loop {
            let relayed = match source {
                EventSource::Upstream(reply) => self.relay_from_upstream(*reply).await,
                EventSource::Peer(reply) => self.relay_from_peer(*reply).await,
            };
            match relayed {
                RelayEnd::Final(outcome) => break outcome,
                RelayEnd::Moved(next) => source = next,
                RelayEnd::Broken => match self.resume_for_caller().await {
                    Ok(resumed) => source = resumed,
                    Err(outcome) => break outcome,
                },
            }
        };
        if outcome != "ok" {
            // Buffered events are sent before the connection is closed. If the queue is full, the
            // channel closes without an end, which breaks the answer off, too.
            tokio::time::sleep(FLUSH_TIME).await;
            let _ = self.queue.sender.try_send(AnswerMessage::Broken);
        }
        self.log_ended(outcome);
        self.front.count_outcome(self.state.route.kind, outcome);
        if outcome == "ok" {
            // Fails if the caller has disconnected.
            let _ = self.queue.sender.send(AnswerMessage::End).await;
        }
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
        let mut source = UpstreamSource::new(reply);
        self.upstream_events = 0;
        self.upstream_last_at = None;
        loop {
            let event = match self.next_event(&mut source).await {
                NextEvent::Event(event) => SourceEvent::Event(event),
                NextEvent::End => SourceEvent::End,
                NextEvent::Silent => match self.outwait_silence(source).await {
                    SilenceEnd::Progress(progress) => {
                        let SourceProgress {
                            source: next,
                            event,
                        } = *progress;
                        source = next;
                        event
                    }
                    SilenceEnd::Peer(peer) => return RelayEnd::Moved(peer),
                    SilenceEnd::Broken => return RelayEnd::Broken,
                    SilenceEnd::CallerLeft => return RelayEnd::Final("caller_left"),
                    SilenceEnd::DeadlinePassed => {
                        return RelayEnd::Final("deadline_exceeded_after_send");
                    }
                },
                NextEvent::CallerLeft => {
                    self.record_caller_left(&source.reply);
                    return RelayEnd::Final("caller_left");
                }
                NextEvent::DeadlinePassed => {
                    self.record_caller_left(&source.reply);
                    return RelayEnd::Final("deadline_exceeded_after_send");
                }
                NextEvent::Broken(cause, reason) => {
                    self.record_broken(&source.reply, cause, &reason).await;
                    return RelayEnd::Broken;
                }
            };
            let SourceEvent::Event(event) = event else {
                self.record_finished(source.reply);
                return RelayEnd::Final("ok");
            };
            if let Err(end) = self.deliver(&source.reply, event).await {
                self.record_caller_left(&source.reply);
                return RelayEnd::Final(end.as_str());
            }
        }
    }

    /// Sends an event to the caller. Fails if the caller has disconnected, or reads nothing.
    async fn deliver(&mut self, reply: &OpenReply, event: StreamEvent) -> Result<(), QueueEnd> {
        if self.upstream_events == 0 {
            self.record_first_event(reply);
        }
        self.record_gap(reply);
        self.update_metrics(reply);
        self.last_event_id = event.id.or(self.last_event_id);
        self.delivered_events += 1;
        self.upstream_events += 1;
        self.queue.push(event.bytes).await
    }

    async fn next_event(&self, source: &mut UpstreamSource) -> NextEvent {
        loop {
            let time_left = self.state.deadline.since(self.front.now());
            if time_left == Millis::ZERO {
                return NextEvent::DeadlinePassed;
            }
            let timeout = time_left.min(STALL_CHECK_PERIOD).as_duration();
            let event = source.next_event(&self.front, self.last_event_id);
            let event = tokio::select! {
                event = tokio::time::timeout(timeout, event) => event,
                () = self.queue.sender.closed() => return NextEvent::CallerLeft,
            };
            match event {
                // Nothing else can be done for a stream that may not be resumed than to wait.
                Err(_) if self.is_stalled(&source.reply) && self.state.route.is_resumable => {
                    return NextEvent::Silent;
                }
                Err(_) => {}
                Ok(Ok(SourceEvent::Event(event))) => return NextEvent::Event(event),
                Ok(Ok(SourceEvent::End)) => return NextEvent::End,
                Ok(Err(AttemptError::Broken(reason))) => {
                    return NextEvent::Broken(BreakCause::Closed, reason);
                }
                Ok(Err(error)) => return NextEvent::Broken(BreakCause::Closed, error.to_string()),
            }
        }
    }

    /// Whether the upstream is stalled.
    fn is_stalled(&self, reply: &OpenReply) -> bool {
        check_stall(&self.front, &self.request, &reply.upstream, reply.run)
    }
}
