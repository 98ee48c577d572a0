//! Requests to models. A stream that breaks off resumes at another replica.

mod chunks;
mod completion_request;
mod events;

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

use self::chunks::{full_answer_response, stored_answer, streamed_response};
use self::completion_request::CompletionRequest;
use self::events::EventReader;
use super::FrontContext;
use super::answer::{CallerResponse, Refusal};
use super::call::{CallContext, CallSpec, FailedAttempt};
use super::claimed::{ClaimOutcome, GrantedClaim, claim};
use super::request::{CallerRequest, allow};
use super::server::InFlight;
use super::upstream::{common_headers, deadline_error, group_headers, outcome_name, sent_outcome};
use crate::routing_state::RouteName;

/// Number of answer chunks buffered for a slow caller.
const CHUNK_BUFFER: usize = 64;
/// Content type of a streamed answer.
const EVENT_STREAM_TYPE: &str = "text/event-stream";
/// The event that terminates a streamed answer.
const STREAM_DONE: &str = "data: [DONE]\n\n";

/// One chunk of an answer to the caller.
enum AnswerChunk {
    /// The chunk of one token, as JSON text.
    Token(String),
    /// The last chunk, which carries the usage, as JSON text.
    Last(String),
    /// The error that ended the request.
    Failed(ErrorKind),
}

/// Handles a request to a model.
///
/// # Errors
/// The rejection, if no replica answered.
pub async fn handle(
    front: &Arc<FrontContext>,
    request: CallerRequest,
    active_bundle: &ActiveBundle,
    account: &AccountSpec,
    is_chat: bool,
    in_flight: InFlight,
) -> Result<CallerResponse, Refusal> {
    let (completion, body) = CompletionRequest::read(&request, is_chat)?;
    let model = active_bundle
        .document
        .model(completion.model.as_str())
        .ok_or(ErrorKind::NotFound)?;
    allow(&model.accounts, account)?;
    let is_idempotent = !request.at_most_once;
    let claim_guard = match claim(front, &request, &account.name, is_idempotent).await? {
        ClaimOutcome::Replay(answer) => return Ok(answer),
        ClaimOutcome::Granted(granted) => Some(granted),
        ClaimOutcome::NotNeeded => None,
    };
    let spec = CallSpec {
        id: request.id.clone(),
        account: account.name.clone(),
        priority: account.priority,
        route: RouteName::Model(model.name.clone()),
        prefix: completion.prefix(),
        print: request.print(&account.name),
        is_idempotent,
        arrived_at: request.arrived_at,
        deadline: request.deadline,
    };
    let mut call = match CallContext::admit(front, spec, in_flight).await {
        Ok(call) => call,
        Err(refusal) => {
            count_request(front, refusal.kind.code());
            if let Some(granted) = claim_guard {
                granted.record_failure(refusal.kind);
            }
            return Err(refusal);
        }
    };
    let (chunk_sender, chunk_receiver) = mpsc::channel(CHUNK_BUFFER);
    let path = request.path.clone();
    let id = request.id.clone();
    let key = request.idempotency_key.clone();
    let is_stream = completion.stream;
    // Accounts for the body that is sent to replicas, which is about as large.
    let received_body = request.body.clone();
    tokio::spawn(async move {
        let _received_body = received_body;
        let mut sink = ChunkSink {
            chunk_sender,
            must_finish: claim_guard.is_some(),
            sent_chunks: claim_guard.is_some().then(Vec::new),
        };
        let outcome = run_attempts(&mut call, &path, &body, key.as_deref(), &mut sink).await;
        finish_call(&call, outcome, sink, claim_guard, is_chat, is_stream).await;
    });
    match is_stream {
        true => streamed_response(chunk_receiver, id).await,
        false => full_answer_response(chunk_receiver, &id, is_chat).await,
    }
}

/// Passes chunks to the caller and collects them for the claim.
struct ChunkSink {
    chunk_sender: mpsc::Sender<AnswerChunk>,
    /// Whether the request runs to completion even if the caller disconnects.
    must_finish: bool,
    /// The chunks sent so far, if the answer is to be stored.
    sent_chunks: Option<Vec<String>>,
}

impl ChunkSink {
    /// Sends a chunk to the caller. Returns whether the remaining chunks are still needed.
    async fn push(&mut self, chunk: AnswerChunk) -> bool {
        if let (Some(sent_chunks), AnswerChunk::Token(text) | AnswerChunk::Last(text)) =
            (&mut self.sent_chunks, &chunk)
        {
            sent_chunks.push(text.clone());
        }
        self.chunk_sender.send(chunk).await.is_ok() || self.must_finish
    }
}

/// How a request ended after all of its attempts.
enum CallOutcome {
    Answered,
    CallerLeft,
    Failed(ErrorKind),
}

async fn run_attempts(
    call: &mut CallContext,
    path: &str,
    body: &Bytes,
    key: Option<&str>,
    sink: &mut ChunkSink,
) -> CallOutcome {
    let mut resume = StreamResume::default();
    loop {
        let (fact, attempt) = match call.plan_attempt().await {
            Ok(planned) => planned,
            Err(kind) => return CallOutcome::Failed(call.error_for_run_state(kind)),
        };
        let content_type = HeaderValue::from_static("application/json");
        let mut headers = common_headers(call, Some(&content_type), key);
        group_headers(&mut headers, &fact, resume.next_offset());
        let outgoing = UpstreamRequest {
            method: Method::POST,
            path: path.to_owned(),
            headers,
            body: body.clone(),
        };
        call.record_sent(&fact);
        let attempt = attempt.send();
        let first_offset = resume.next_offset();
        let outcome = stream_attempt(call, &fact, outgoing, &mut resume, sink).await;
        match outcome {
            AttemptOutcome::Answered => {
                attempt.answered();
                call.record_attempt_ended(&fact, "ok");
                call.record_complete_answer();
                return CallOutcome::Answered;
            }
            AttemptOutcome::CallerLeft => {
                call.record_attempt_ended(&fact, "caller_left");
                return CallOutcome::CallerLeft;
            }
            AttemptOutcome::Broken(outcome, reason) => {
                call.record_attempt_ended(&fact, outcome_name(outcome));
                log::info!(
                    "event=attempt_failed request={} upstream={} offset={} reason={reason:?}",
                    call.spec.id,
                    fact.id,
                    resume.next_offset()
                );
                if outcome == SentOutcome::Broken {
                    let events = resume.next_offset().saturating_sub(first_offset) as u32;
                    call.record_broken_attempt(&fact, events).await;
                }
                let next = attempt.failed(outcome);
                if let Err(kind) =
                    call.record_failed_attempt(&fact, FailedAttempt { outcome, next })
                {
                    return CallOutcome::Failed(call.error_for_run_state(kind));
                }
                if call.now() >= call.spec.deadline {
                    return CallOutcome::Failed(call.error_for_run_state(deadline_error(call)));
                }
                if resume.next_offset() > 0 {
                    resume.resume();
                }
            }
        }
    }
}

/// How the stream of one attempt ended.
enum AttemptOutcome {
    Answered,
    CallerLeft,
    Broken(SentOutcome, String),
}

async fn stream_attempt(
    call: &CallContext,
    fact: &UpstreamFact,
    outgoing: UpstreamRequest,
    resume: &mut StreamResume,
    sink: &mut ChunkSink,
) -> AttemptOutcome {
    let sent_at = call.now();
    let time_left = call.spec.deadline.since(sent_at).as_duration();
    let sending = call.front.client.send(fact.addr, outgoing);
    let reply = tokio::select! {
        reply = tokio::time::timeout(time_left, sending) => reply,
        () = call.wait_for_stall(&fact.id) => return broken_attempt("upstream stalled without fresh evidence"),
    };
    let reply = match reply {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => return AttemptOutcome::Broken(sent_outcome(&error), error.to_string()),
        Err(_) => return broken_attempt("upstream did not answer before the deadline"),
    };
    if !is_from_group(&reply, fact) {
        return broken_attempt("answer came from another group or epoch");
    }
    if reply.status() != StatusCode::OK {
        return broken_attempt("error status does not state whether the request ran");
    }
    let mut reader = EventReader {
        reply,
        parser: SseParser::default(),
        upstream: fact.id.clone(),
        idle_timeout: call.front.shared.settings.tuning.stream_idle,
    };
    let mut last_token_at: Option<Millis> = None;
    loop {
        let event = match reader.next(call).await {
            Ok(event) => event,
            Err(error) => return broken_attempt(&error.to_string()),
        };
        let Some(offset) = event.id.as_deref().and_then(|id| id.parse().ok()) else {
            return finish_stream(&event, resume, sink).await;
        };
        match resume.accept_token(offset) {
            TokenStep::Skip => continue,
            TokenStep::Gap => return broken_attempt("stream skipped a token"),
            TokenStep::Deliver => {}
        }
        observe_token(call, fact, sent_at, &mut last_token_at, offset);
        if !sink.push(AnswerChunk::Token(event.data)).await {
            return AttemptOutcome::CallerLeft;
        }
    }
}

fn broken_attempt(reason: &str) -> AttemptOutcome {
    AttemptOutcome::Broken(SentOutcome::Broken, reason.to_owned())
}

/// Whether the answer comes from the group and epoch that the request was sent to.
fn is_from_group(reply: &UpstreamReply, fact: &UpstreamFact) -> bool {
    let reply_header = |name: &str| {
        let value = reply.headers().get(name);
        value.and_then(|value| value.to_str().ok())
    };
    let matches_group = reply_header(GROUP) == Some(fact.id.as_str());
    let epoch = fact.epoch.to_string();
    let is_expected = matches_group && reply_header(EPOCH) == Some(epoch.as_str());
    Invariant::WholeGroup.check(is_expected || reply.status() != StatusCode::OK, || {
        format!("group={:?} wanted={}", reply_header(GROUP), fact.id)
    });
    is_expected || reply.status() != StatusCode::OK
}

async fn finish_stream(
    event: &SseEvent,
    resume: &mut StreamResume,
    sink: &mut ChunkSink,
) -> AttemptOutcome {
    let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
    let completion_tokens = chunk["usage"]["completion_tokens"].as_u64();
    if !completion_tokens.is_some_and(|tokens| resume.finish(tokens)) {
        return broken_attempt("stream ended before all of its tokens");
    }
    match sink.push(AnswerChunk::Last(event.data.clone())).await {
        true => AttemptOutcome::Answered,
        false => AttemptOutcome::CallerLeft,
    }
}

fn observe_token(
    call: &CallContext,
    fact: &UpstreamFact,
    sent_at: Millis,
    last_token_at: &mut Option<Millis>,
    offset: u64,
) {
    let now = call.now();
    let metrics = &call.front.shared.metrics;
    match *last_token_at {
        Some(last) => {
            let token_gap = now.since(last).as_secs_f64();
            let histogram = &metrics.between_tokens;
            histogram.with_label_values(&["model"]).observe(token_gap);
        }
        None => {
            call.record_first_response(fact, sent_at);
            if offset == 0 {
                let latency = now.since(call.spec.arrived_at).as_secs_f64();
                let histogram = &metrics.first_token;
                histogram.with_label_values(&["model"]).observe(latency);
            }
        }
    }
    *last_token_at = Some(now);
}

async fn finish_call(
    call: &CallContext,
    outcome: CallOutcome,
    mut sink: ChunkSink,
    claim_guard: Option<GrantedClaim>,
    is_chat: bool,
    is_stream: bool,
) {
    let front = &call.front;
    match outcome {
        CallOutcome::Answered => {
            count_request(front, "ok");
            let sent_chunks = sink.sent_chunks.take().unwrap_or_default();
            if let Some(granted) = claim_guard {
                let (content_type, body) =
                    stored_answer(&sent_chunks, &call.spec.id, is_chat, is_stream);
                granted.record_answer(StatusCode::OK, content_type, Some(body.as_bytes()));
            }
        }
        CallOutcome::CallerLeft => count_request(front, "caller_left"),
        CallOutcome::Failed(kind) => {
            let is_truthful = kind.response().ran != RanState::No || !call.maybe_ran();
            Invariant::NotRunIsTrue
                .check(is_truthful, || format!("request={} {kind}", call.spec.id));
            count_request(front, kind.code());
            if let Some(granted) = claim_guard {
                granted.record_failure(kind);
            }
            sink.push(AnswerChunk::Failed(kind)).await;
        }
    }
}

fn count_request(front: &FrontContext, outcome: &str) {
    let requests = &front.shared.metrics.requests;
    requests.with_label_values(&["model", outcome]).inc();
}
