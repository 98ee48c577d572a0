//! Requests to models: streams that go on at another replica when one breaks.

mod events;
mod pieces;
mod question;

use std::sync::Arc;

use bergamot_bundle::AccountSpec;
use bergamot_bundle::roll::ActiveBundle;
use bergamot_engine::headers::{EPOCH, GROUP};
use bergamot_engine::{SseEvent, SseParser, UpstreamReply, UpstreamRequest};
use bergamot_routing::resume::TokenStep;
use bergamot_routing::{SentOutcome, StreamResume, UpstreamFact};
use bergamot_types::prelude::*;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use serde_json::Value;
use tokio::sync::mpsc;

use self::events::EventReader;
use self::pieces::{kept_answer, stream_answer, whole_answer};
use self::question::ModelQuestion;
use super::FrontContext;
use super::answer::{CallerAnswer, Refusal};
use super::call::{CallContext, CallSpec, FailedAttempt};
use super::claimed::{ClaimOutcome, GrantedClaim, claim};
use super::request::{CallerRequest, allow};
use super::server::InFlight;
use super::upstream::{common_headers, group_headers, late, outcome_name, sent_outcome};
use crate::routing_state::RouteName;

/// Pieces of an answer that wait for a slow caller.
const PIECES: usize = 64;
/// Content type of a stream.
const EVENT_STREAM: &str = "text/event-stream";
/// The end of a stream.
const DONE: &str = "data: [DONE]\n\n";

/// A piece of an answer on its way to the caller.
enum Piece {
    /// One token's chunk, as JSON text.
    Token(String),
    /// The last chunk.
    Last(String),
    /// The request failed.
    Failed(ErrorKind),
}

/// Answers a request to a model.
///
/// # Errors
/// The refusal, if no replica answered.
pub async fn answer(
    front: &Arc<FrontContext>,
    request: CallerRequest,
    force: &ActiveBundle,
    account: &AccountSpec,
    is_chat: bool,
    in_flight: InFlight,
) -> Result<CallerAnswer, Refusal> {
    let (question, body) = ModelQuestion::read(&request, is_chat)?;
    let model = force
        .document
        .model(question.model.as_str())
        .ok_or(ErrorKind::NotFound)?;
    allow(&model.accounts, account)?;
    let is_idempotent = !request.at_most_once;
    let claimed = match claim(front, &request, &account.name, is_idempotent).await? {
        ClaimOutcome::Replay(answer) => return Ok(answer),
        ClaimOutcome::Granted(granted) => Some(granted),
        ClaimOutcome::NotNeeded => None,
    };
    let spec = CallSpec {
        id: request.id.clone(),
        account: account.name.clone(),
        priority: account.priority,
        route: RouteName::Model(model.name.clone()),
        prefix: question.prefix(),
        print: request.print(&account.name),
        is_idempotent,
        arrived: request.arrived,
        deadline: request.deadline,
    };
    let mut call = match CallContext::admit(front, spec, in_flight).await {
        Ok(call) => call,
        Err(refusal) => {
            count(front, refusal.kind.code());
            if let Some(granted) = claimed {
                granted.failed(refusal.kind);
            }
            return Err(refusal);
        }
    };
    let (sender, receiver) = mpsc::channel(PIECES);
    let path = request.path.clone();
    let id = request.id.clone();
    let key = request.idempotency_key.clone();
    let is_stream = question.stream;
    tokio::spawn(async move {
        let mut sink = PieceSink {
            sender,
            must_finish: claimed.is_some(),
            kept: claimed.is_some().then(Vec::new),
        };
        let outcome = drive(&mut call, &path, &body, key.as_deref(), &mut sink).await;
        finish(&call, outcome, sink, claimed, is_chat, is_stream).await;
    });
    match is_stream {
        true => stream_answer(receiver, id).await,
        false => whole_answer(receiver, &id, is_chat).await,
    }
}

/// Where pieces go.
struct PieceSink {
    sender: mpsc::Sender<Piece>,
    /// Whether the request runs to its end also when the caller has left.
    must_finish: bool,
    /// The pieces, for keeping the answer.
    kept: Option<Vec<String>>,
}

impl PieceSink {
    /// Passes a piece on; false if nobody wants the rest.
    async fn push(&mut self, piece: Piece) -> bool {
        if let (Some(kept), Piece::Token(text) | Piece::Last(text)) = (&mut self.kept, &piece) {
            kept.push(text.clone());
        }
        self.sender.send(piece).await.is_ok() || self.must_finish
    }
}

/// How a driven request ended.
enum DriveOutcome {
    Answered,
    CallerLeft,
    Failed(ErrorKind),
}

async fn drive(
    call: &mut CallContext,
    path: &str,
    body: &Bytes,
    key: Option<&str>,
    sink: &mut PieceSink,
) -> DriveOutcome {
    let mut resume = StreamResume::default();
    loop {
        let (fact, attempt) = match call.plan().await {
            Ok(planned) => planned,
            Err(kind) => return DriveOutcome::Failed(call.truthful(kind)),
        };
        let json = HeaderValue::from_static("application/json");
        let mut headers = common_headers(call, Some(&json), key);
        group_headers(&mut headers, &fact, resume.next_offset());
        let outgoing = UpstreamRequest {
            method: Method::POST,
            path: path.to_owned(),
            headers,
            body: body.clone(),
        };
        call.note_sent(&fact);
        let attempt = attempt.send();
        let began = resume.next_offset();
        let outcome = stream(call, &fact, outgoing, &mut resume, sink).await;
        match outcome {
            StreamOutcome::Answered => {
                attempt.answered();
                call.note_ended(&fact, "ok");
                call.note_whole();
                return DriveOutcome::Answered;
            }
            StreamOutcome::CallerLeft => {
                call.note_ended(&fact, "caller_left");
                return DriveOutcome::CallerLeft;
            }
            StreamOutcome::Broken(outcome, reason) => {
                call.note_ended(&fact, outcome_name(outcome));
                log::info!(
                    "event=attempt_failed request={} upstream={} offset={} reason={reason:?}",
                    call.spec.id,
                    fact.id,
                    resume.next_offset()
                );
                if outcome == SentOutcome::Broken {
                    let events = resume.next_offset().saturating_sub(began) as u32;
                    call.note_break(&fact, events).await;
                }
                let next = attempt.failed(outcome);
                if let Err(kind) = call.after_failure(&fact, FailedAttempt { outcome, next }) {
                    return DriveOutcome::Failed(call.truthful(kind));
                }
                if call.now() >= call.spec.deadline {
                    return DriveOutcome::Failed(call.truthful(late(call)));
                }
                if resume.next_offset() > 0 {
                    resume.resume();
                }
            }
        }
    }
}

/// How one attempt's stream ended.
enum StreamOutcome {
    Answered,
    CallerLeft,
    Broken(SentOutcome, String),
}

async fn stream(
    call: &CallContext,
    fact: &UpstreamFact,
    outgoing: UpstreamRequest,
    resume: &mut StreamResume,
    sink: &mut PieceSink,
) -> StreamOutcome {
    let sent_at = call.now();
    let left = call.spec.deadline.since(sent_at).as_duration();
    let sent = call.front.client.send(fact.addr, outgoing);
    let reply = tokio::select! {
        reply = tokio::time::timeout(left, sent) => reply,
        () = call.upstream_lost(&fact.id) => return broken("silent, and without evidence"),
    };
    let reply = match reply {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => return StreamOutcome::Broken(sent_outcome(&error), error.to_string()),
        Err(_) => return broken("no answer before the deadline"),
    };
    if !is_from(&reply, fact) {
        return broken("answered by another group or epoch");
    }
    if reply.status() != StatusCode::OK {
        return broken("an error status without a word on whether it ran");
    }
    let mut reader = EventReader {
        reply,
        parser: SseParser::default(),
        upstream: fact.id.clone(),
        idle: call.front.shared.settings.tuning.stream_idle,
    };
    let mut last_at: Option<Millis> = None;
    loop {
        let event = match reader.next(call).await {
            Ok(event) => event,
            Err(error) => return broken(&error.to_string()),
        };
        let Some(offset) = event.id.as_deref().and_then(|id| id.parse().ok()) else {
            return end(&event, resume, sink).await;
        };
        match resume.accept_token(offset) {
            TokenStep::Skip => continue,
            TokenStep::Gap => return broken("a token is missing"),
            TokenStep::Deliver => {}
        }
        observe(call, fact, sent_at, &mut last_at, offset);
        if !sink.push(Piece::Token(event.data)).await {
            return StreamOutcome::CallerLeft;
        }
    }
}

fn broken(reason: &str) -> StreamOutcome {
    StreamOutcome::Broken(SentOutcome::Broken, reason.to_owned())
}

/// Whether the answer comes from the group and epoch the request was meant for.
fn is_from(reply: &UpstreamReply, fact: &UpstreamFact) -> bool {
    let header = |name: &str| {
        let value = reply.headers().get(name);
        value.and_then(|value| value.to_str().ok())
    };
    let is_group = header(GROUP) == Some(fact.id.as_str());
    let epoch = fact.epoch.to_string();
    let is_own = is_group && header(EPOCH) == Some(epoch.as_str());
    Invariant::WholeGroup.check(is_own || reply.status() != StatusCode::OK, || {
        format!("group={:?} wanted={}", header(GROUP), fact.id)
    });
    is_own || reply.status() != StatusCode::OK
}

async fn end(event: &SseEvent, resume: &mut StreamResume, sink: &mut PieceSink) -> StreamOutcome {
    let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
    let length = chunk["usage"]["completion_tokens"].as_u64();
    if !length.is_some_and(|length| resume.finish(length)) {
        return broken("the stream ended early");
    }
    match sink.push(Piece::Last(event.data.clone())).await {
        true => StreamOutcome::Answered,
        false => StreamOutcome::CallerLeft,
    }
}

fn observe(
    call: &CallContext,
    fact: &UpstreamFact,
    sent_at: Millis,
    last_at: &mut Option<Millis>,
    offset: u64,
) {
    let now = call.now();
    let metrics = &call.front.shared.metrics;
    match *last_at {
        Some(last) => {
            let gap = now.since(last).as_secs_f64();
            let histogram = &metrics.between_tokens;
            histogram.with_label_values(&["model"]).observe(gap);
        }
        None => {
            call.note_first(fact, sent_at);
            if offset == 0 {
                let took = now.since(call.spec.arrived).as_secs_f64();
                let histogram = &metrics.first_token;
                histogram.with_label_values(&["model"]).observe(took);
            }
        }
    }
    *last_at = Some(now);
}

async fn finish(
    call: &CallContext,
    outcome: DriveOutcome,
    mut sink: PieceSink,
    claimed: Option<GrantedClaim>,
    is_chat: bool,
    is_stream: bool,
) {
    let front = &call.front;
    match outcome {
        DriveOutcome::Answered => {
            count(front, "ok");
            let kept = sink.kept.take().unwrap_or_default();
            if let Some(granted) = claimed {
                let (kind, body) = kept_answer(&kept, &call.spec.id, is_chat, is_stream);
                granted.answered(StatusCode::OK, kind, Some(body.as_bytes()));
            }
        }
        DriveOutcome::CallerLeft => count(front, "caller_left"),
        DriveOutcome::Failed(kind) => {
            let is_true = kind.response().ran != RanState::No || !call.maybe_ran();
            Invariant::NotRunIsTrue.check(is_true, || format!("request={} {kind}", call.spec.id));
            count(front, kind.code());
            if let Some(granted) = claimed {
                granted.failed(kind);
            }
            sink.push(Piece::Failed(kind)).await;
        }
    }
}

fn count(front: &FrontContext, outcome: &str) {
    let requests = &front.shared.metrics.requests;
    requests.with_label_values(&["model", outcome]).inc();
}
