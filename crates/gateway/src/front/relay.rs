//! A stream of events, over several upstreams if need be.

use std::rc::Rc;

use bergamot_ports::CallerDialect;
use bergamot_quarantine::BreakCause;
use bergamot_types::prelude::*;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::FrontContext;
use super::answer::{AnswerPiece, BrokenAnswer, CallerAnswer, relayed_body};
use super::attempt::{OpenReply, SentRequest};
use super::breaks::{note_break, note_left, note_whole};
use super::events::{EventSplitter, StreamEvent};
use super::open::open;
use super::plan::plan;
use super::quiet::{LOOK_PERIOD, look_quiet};
use super::state::CallState;

/// Events that wait for a slow caller at most, before the upstream is held back.
const WAITING_EVENTS: usize = 64;

/// Time for events to leave before a broken answer's connection is closed.
const FLUSH_TIME: std::time::Duration = std::time::Duration::from_millis(5);

/// What came next from an upstream's stream.
enum NextEvent {
    Event(StreamEvent),
    End,
    Broken(BreakCause, String),
    CallerLeft,
    DeadlinePassed,
}

/// Passes the events of an opened reply on, and goes on elsewhere when it breaks.
pub async fn relay_events<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    request: SentRequest,
    state: CallState,
    reply: OpenReply,
) -> CallerAnswer
where
    Dialect: CallerDialect + 'static,
{
    let (sender, receiver) = mpsc::channel(WAITING_EVENTS);
    let mut answer = CallerAnswer::new(relayed_body(receiver));
    *answer.status_mut() = reply.head.status;
    *answer.headers_mut() = front.dialect.answer_headers(&reply.head);
    let relay = EventRelay {
        last_event: request.call.resume_after,
        last_at: None,
        delivered: 0,
        run_events: 0,
        run_last_at: None,
        first: FirstEvent::default(),
        longest_gap: Millis::ZERO,
        front,
        request,
        state,
        sender,
    };
    tokio::task::spawn_local(relay.run(reply));
    answer
}

/// When a stream's first event came, and after what.
#[derive(Default)]
struct FirstEvent {
    /// Time from the request's head.
    after: Millis,
    /// Upstreams that it had been sent to.
    sends: usize,
    /// Time from the request's head to the send that brought it, and from there to the event.
    planned: Millis,
    took: Millis,
    /// Times that the connection and the answer's head took.
    connected: Millis,
    head_took: Millis,
}

struct EventRelay<Dialect> {
    front: Rc<FrontContext<Dialect>>,
    request: SentRequest,
    state: CallState,
    sender: mpsc::Sender<AnswerPiece>,
    last_event: Option<u64>,
    last_at: Option<Millis>,
    delivered: u64,
    /// Of these, the ones from the upstream that it runs at.
    run_events: u32,
    /// When the last one came from it.
    run_last_at: Option<Millis>,
    first: FirstEvent,
    longest_gap: Millis,
}

impl<Dialect> EventRelay<Dialect>
where
    Dialect: CallerDialect + 'static,
{
    async fn run(mut self, reply: OpenReply) {
        let mut reply = reply;
        let outcome = loop {
            let ended = self.relay_one(&mut reply).await;
            match ended {
                NextEvent::End => {
                    self.finish(reply);
                    break "ok";
                }
                NextEvent::CallerLeft => {
                    self.note_left(&reply);
                    break "caller_left";
                }
                NextEvent::DeadlinePassed => {
                    self.note_left(&reply);
                    break "deadline_exceeded_after_send";
                }
                NextEvent::Broken(cause, reason) => {
                    self.note_broken(&reply, cause, &reason).await;
                    drop(reply);
                    match self.resume_for_caller().await {
                        Ok(next) => reply = next,
                        Err(outcome) => break outcome,
                    }
                }
                NextEvent::Event(_) => {}
            }
        };
        if outcome != "ok" {
            // Events that are ready leave before the connection is closed.
            tokio::time::sleep(FLUSH_TIME).await;
            let _ = self.sender.send(Err(BrokenAnswer)).await;
        }
        self.log_end(outcome);
        self.front.count_outcome(self.state.route.kind, outcome);
    }

    fn log_end(&self, outcome: &str) {
        let (route, first) = (&self.state.route, &self.first);
        log::info!(
            "event=stream_ended request={} route={} upstream={} outcome={outcome} sends={} events={} last_event={} objective={} pause_objective={} first={} first_sends={} planned={} connected={} head={} first_took={} longest_gap={} took={}",
            self.request.call.id,
            route.name,
            self.state.last_upstream(),
            self.state.sends(),
            self.delivered,
            self.last_event.unwrap_or_default(),
            route.objective,
            route.pause_objective.unwrap_or(route.timeout),
            first.after,
            first.sends,
            first.planned,
            first.connected,
            first.head_took,
            first.took,
            self.longest_gap,
            self.front.now().since(self.state.arrived),
        );
    }

    /// Passes on what one upstream sends, until it ends or breaks.
    async fn relay_one(&mut self, reply: &mut OpenReply) -> NextEvent {
        let mut splitter = EventSplitter::default();
        self.run_events = 0;
        self.run_last_at = None;
        loop {
            let event = match self.next_event(reply, &mut splitter).await {
                NextEvent::Event(event) => event,
                ended => return ended,
            };
            // After a resumption the upstream may begin with what the caller has already.
            if event.id.is_some() && event.id <= self.last_event {
                continue;
            }
            if self.run_events == 0 {
                self.note_first(reply);
            }
            self.note_pause(reply);
            self.observe(reply);
            self.last_event = event.id.or(self.last_event);
            self.delivered += 1;
            self.run_events += 1;
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
                return broken("an event is too long");
            }
            let now = self.front.now();
            let left = self.state.deadline.since(now);
            if left == Millis::ZERO {
                return NextEvent::DeadlinePassed;
            }
            let pause = left.min(LOOK_PERIOD).as_duration();
            let frame = tokio::select! {
                frame = tokio::time::timeout(pause, reply.body.frame()) => frame,
                () = self.sender.closed() => return NextEvent::CallerLeft,
            };
            match frame {
                Err(_) if self.is_still(reply) => {
                    let reason = "nothing comes from it".to_owned();
                    return NextEvent::Broken(BreakCause::Stalled, reason);
                }
                Err(_) => {}
                Ok(None) if splitter.has_partial() => {
                    return broken("it ended within an event");
                }
                Ok(None) => return NextEvent::End,
                Ok(Some(Err(error))) => return broken(&error.to_string()),
                Ok(Some(Ok(frame))) => {
                    let now = self.front.now();
                    let mut book = self.front.monitor.borrow_mut();
                    book.record_progress(&reply.upstream.incarnation, now);
                    drop(book);
                    if let Some(data) = frame.data_ref() {
                        reply.flight.note_begun();
                        splitter.push(data);
                    }
                }
            }
        }
    }

    /// Whether nothing comes from an upstream any more.
    fn is_still(&self, reply: &OpenReply) -> bool {
        let model = self.request.call.model.as_ref();
        look_quiet(&self.front, &reply.upstream, model, reply.run)
    }

    /// Notes the time between two events of one upstream.
    fn note_pause(&mut self, reply: &OpenReply) {
        let now = self.front.now();
        let last = self.run_last_at.replace(now);
        let (Some(last), Some(model)) = (last, &self.request.call.model) else {
            return;
        };
        let upstream = &reply.upstream;
        let mut book = self.front.monitor.borrow_mut();
        let pace = book.latencies.get_mut(model);
        pace.record_gap(now.since(last), upstream.speed, upstream.slots);
    }

    fn note_first(&self, reply: &OpenReply) {
        let now = self.front.now();
        let upstream = &reply.upstream;
        let objective = self.state.route.objective;
        let took = now.since(reply.run.sent_at);
        let mut book = self.front.monitor.borrow_mut();
        book.record_first_event(&upstream.incarnation, upstream.slots, took, objective, now);
        if let Some(model) = &self.request.call.model {
            let pace = book.latencies.get_mut(model);
            pace.record_first_event(
                took,
                reply.run.expected_first_event,
                upstream.speed,
                upstream.slots,
            );
        }
    }

    fn observe(&mut self, reply: &OpenReply) {
        let now = self.front.now();
        let metrics = &self.front.shared.metrics;
        let kind = [self.state.route.kind.as_str()];
        match self.last_at {
            Some(last) => {
                self.longest_gap = self.longest_gap.max(now.since(last));
                let gap = now.since(last).as_secs_f64();
                metrics.event_gap.with_label_values(&kind).observe(gap);
            }
            None => {
                self.first = FirstEvent {
                    after: now.since(self.state.arrived),
                    sends: self.state.sends(),
                    planned: reply.run.sent_at.since(self.state.arrived),
                    took: now.since(reply.run.sent_at),
                    connected: reply.connected,
                    head_took: reply.head_took,
                };
                let took = self.first.after.as_secs_f64();
                metrics.first_piece.with_label_values(&kind).observe(took);
            }
        }
        self.last_at = Some(now);
    }

    fn finish(&self, reply: OpenReply) {
        let id = reply.upstream.incarnation.clone();
        self.front.monitor.borrow_mut().record_success(&id);
        note_whole(&self.front, &self.request, &self.state);
        if let Some(model) = &self.request.call.model {
            let took = self.front.now().since(reply.run.sent_at);
            self.front
                .return_delays
                .borrow_mut()
                .record_answer(model, took);
            if self.request.call.resume_after.is_none() {
                let mut demand = self.front.demand.borrow_mut();
                demand.record_answer(model, self.delivered);
            }
        }
        let keep_alive = reply.facts.keep_alive;
        self.front.pool.give_back(&id, reply.connection, keep_alive);
    }

    async fn note_broken(&mut self, reply: &OpenReply, cause: BreakCause, reason: &str) {
        let now = self.front.now();
        if cause == BreakCause::Closed {
            self.state
                .disconnected
                .push(reply.upstream.incarnation.clone());
        }
        self.front
            .monitor
            .borrow_mut()
            .record_failure(&reply.upstream.incarnation, now);
        log::info!(
            "event=stream_broken request={} print={} route={} upstream={} group={} events={} last_event={} reason={reason:?}",
            self.request.call.id,
            self.request.print(),
            self.state.route.name,
            reply.upstream.incarnation,
            reply
                .upstream
                .group
                .as_ref()
                .map_or("-", |group| group.as_str()),
            self.delivered,
            self.last_event.unwrap_or_default(),
        );
        let (request, upstream) = (&self.request, &reply.upstream);
        note_break(&self.front, request, upstream, self.run_events, cause).await;
    }

    fn note_left(&self, reply: &OpenReply) {
        let incarnation = &reply.upstream.incarnation;
        note_left(&self.front, &self.request, incarnation, self.run_events);
    }

    /// Opens the rest of the stream at another upstream, for as long as its caller is there. The error is how it ended.
    async fn resume_for_caller(&mut self) -> Result<OpenReply, &'static str> {
        let caller = self.sender.clone();
        tokio::select! {
            // A caller who has left is noticed before anything is sent.
            biased;
            () = caller.closed() => Err("caller_left"),
            resumed = self.resume() => resumed.ok_or("upstream_lost"),
        }
    }

    /// The same without regard to the caller.
    async fn resume(&mut self) -> Option<OpenReply> {
        if !self.state.route.is_resumable {
            return None;
        }
        loop {
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
            let opened = open(front, request, &mut self.state, &planned, self.last_event).await;
            let upstream = &planned.upstream;
            match opened {
                Ok(reply) if reply.head.status.is_success() => {
                    log::info!(
                        "event=stream_resumed request={} upstream={} after={}",
                        self.request.call.id,
                        upstream.incarnation,
                        self.last_event.unwrap_or_default()
                    );
                    return Some(reply);
                }
                Ok(reply) => {
                    self.run_events = 0;
                    let reason = reply.head.status.as_str();
                    self.note_broken(&reply, BreakCause::Closed, reason).await;
                }
                Err(error) => log::info!(
                    "event=attempt_failed request={} print={} route={} upstream={} attempt={} outcome={} reason=\"{error}\"",
                    self.request.call.id,
                    self.request.print(),
                    self.state.route.name,
                    upstream.incarnation,
                    self.state.sends(),
                    error.as_str(),
                ),
            }
        }
    }
}
