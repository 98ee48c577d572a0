//! Handling of one request, from its head to its answer.

use std::rc::Rc;
use std::sync::atomic::Ordering;

use bergamot_ports::{CallerDialect, RouteKind};
use bergamot_quarantine::BreakCause;
use bergamot_types::prelude::*;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::EXPECT;

use super::FrontContext;
use super::admit::{
    AdmittedCall, ConnectionReuse, admit_confirmed, await_config, discard_body, discard_later,
};
use super::answer::{CallerAnswer, set_reuse};
use super::attempt::{AttemptError, OpenReply, SentRequest};
use super::breaks::{CallerLeftGuard, RunProgress, record_break, record_complete_answer};
use super::deadline::{DeadlinePassed, with_deadline};
use super::forward::send::{ForwardOutcome, forward, must_forward};
use super::hedge::{HedgeEnd, HedgedRequest, log_failed_attempt};
use super::held::HeldBody;
use super::large::pass_on_reply;
use super::open::record_opened;
use super::plan::{PlannedSend, UpstreamScope, plan};
use super::refusal::{
    CallRefusal, RETURN_MEMORY_FULL, log_refusal, promises_not_run, refuse, refuse_by_config,
};
use super::relay::{EventSource, relay_events};
use super::residency::record_bound_demand;
use super::state::CallState;
use super::trace::RequestTrace;
use crate::body::read_body;
use crate::view::ConfigStanding;

/// How long the body of a failure is awaited if the request may be sent again.
const FAILURE_BODY_TIME: Millis = Millis(500);

/// Admits a request, reads its body and returns the answer.
pub async fn answer<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    request: Request<Incoming>,
    trace: Rc<RequestTrace>,
) -> CallerAnswer
where
    Dialect: CallerDialect + 'static,
{
    let arrived = front.now();
    front.shared.has_traffic.store(true, Ordering::Relaxed);
    let (head, mut body) = request.into_parts();
    let call = match front.dialect.read_call(&head) {
        Ok(call) => call,
        Err(kind) => return refuse(&front, None, kind.into()),
    };
    let id = call.id.clone();
    trace.record_id(&id);
    if let Err(error) = &call.shared_parts {
        front.shared.metrics.unreadable_prompt_parts.inc();
        log::info!("event=prompt_parts_unreadable request={id} reason=\"{error}\"");
    }
    let expects_continue = head.headers.contains_key(EXPECT);
    await_config(&front, &call).await;
    let admitted = admit_confirmed(&front, &call, head.uri.path(), arrived, trace).await;
    let AdmittedCall {
        state,
        caller,
        body_limit,
        config,
    } = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            // A caller that sent `Expect: 100-continue` has not sent its body yet and gets the
            // error response instead of `100 Continue`.
            let reuse = match expects_continue {
                true => ConnectionReuse::Reusable,
                false => discard_body(body).await,
            };
            let mut answer = log_refusal(&front, &id, None, refusal);
            set_reuse(&mut answer, reuse);
            return answer;
        }
    };
    let body_read = read_body(&front.bodies, &mut body, body_limit);
    let body_read = with_deadline(front.shared.clock, state.deadline, body_read).await;
    let body = match body_read.unwrap_or(Err(ErrorKind::RequestTimeout)) {
        Ok(body) => body,
        Err(kind) => {
            let refusal = refuse_body(&front, kind, &state, config);
            let mut answer = log_refusal(&front, &id, Some(&state), refusal);
            // A caller that waits for `100 Continue` would be told to send the body.
            let reuse = match expects_continue {
                true => ConnectionReuse::Closes,
                false => discard_later(body),
            };
            set_reuse(&mut answer, reuse);
            return answer;
        }
    };
    state.trace.record_received();
    let request = Rc::new(SentRequest::new(head, body, call, caller));
    front
        .budget
        .borrow_mut()
        .record_request(arrived, &state.service);
    if let Some(model) = &request.call.model {
        let prompt_tokens = request.call.prompt_tokens();
        front
            .demand
            .borrow_mut()
            .record_request(arrived, model, prompt_tokens);
        record_bound_demand(&front, &request, model);
    }
    serve(front, request, state).await
}

/// Returns the refusal of a request whose body was not read. Its size limit follows from the
/// configuration by which it was admitted.
pub fn refuse_body<Dialect>(
    front: &FrontContext<Dialect>,
    kind: ErrorKind,
    state: &CallState,
    config: ConfigStanding,
) -> CallRefusal {
    if kind == ErrorKind::MemoryFull {
        return CallRefusal::retry_in(kind, RETURN_MEMORY_FULL);
    }
    if kind != ErrorKind::TooLarge {
        return kind.into();
    }
    let time_left = state.deadline.since(front.now());
    refuse_by_config(front, config, kind, time_left)
}

/// Attempts an admitted request at upstreams until one answers or no further attempt is allowed. While
/// this VM reaches none, other VMs send it.
pub async fn serve<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    request: Rc<SentRequest>,
    mut state: CallState,
) -> CallerAnswer
where
    Dialect: CallerDialect + 'static,
{
    let mut upstream_failure: Option<CallerAnswer> = None;
    let mut forwarded = None;
    loop {
        let resume_after = request.call.resume_after;
        let outcome = match forwarded.take() {
            Some(outcome) => outcome,
            None if must_forward(&front, &state) => {
                forward(&front, &request, &mut state, resume_after).await
            }
            None => ForwardOutcome::NotForwarded,
        };
        match outcome {
            ForwardOutcome::Opened(reply) => {
                return relay_events(front, request, state, EventSource::Peer(reply)).await;
            }
            ForwardOutcome::Answered(answer) => return answer,
            ForwardOutcome::ErrorAnswer(answer) if !state.route.is_retryable() => return answer,
            ForwardOutcome::ErrorAnswer(answer) => {
                upstream_failure = Some(answer);
                continue;
            }
            ForwardOutcome::Lost if state.route.is_retryable() => continue,
            ForwardOutcome::Lost => {
                let kind = lost_kind(&front, &state);
                return log_refusal(&front, &request.call.id, Some(&state), kind.into());
            }
            ForwardOutcome::Refused(refusal) => {
                return refuse_or_fail(&front, &request, &state, refusal, upstream_failure);
            }
            ForwardOutcome::NotForwarded => {}
        }
        let planned = plan(&front, &request, &mut state, UpstreamScope::All).await;
        let planned = match planned {
            Ok(planned) => planned,
            Err(refusal) => {
                return refuse_or_fail(&front, &request, &state, refusal, upstream_failure);
            }
        };
        let upstream = planned.upstream.clone();
        let outcome = attempt_once(&front, &request, &mut state, planned).await;
        match outcome {
            AttemptOutcome::Forwarded(outcome) => forwarded = Some(outcome),
            AttemptOutcome::Opened(reply) => {
                return relay_events(front, request, state, EventSource::Upstream(reply)).await;
            }
            AttemptOutcome::Answered(answer) => return answer,
            AttemptOutcome::ErrorAnswer(answer) if !state.route.is_retryable() => return answer,
            AttemptOutcome::ErrorAnswer(answer) => upstream_failure = Some(answer),
            AttemptOutcome::Failed(error) => {
                log_failed_attempt(&front, &request, &state, &upstream, &error);
                let may_retry = state.route.is_retryable() || !state.may_have_run();
                if !may_retry {
                    let kind = lost_kind(&front, &state);
                    return log_refusal(&front, &request.call.id, Some(&state), kind.into());
                }
            }
        }
    }
}

/// Returns the upstream's failure, which is more specific than a rejection by this VM, or rejects
/// the request.
fn refuse_or_fail<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    refusal: CallRefusal,
    upstream_failure: Option<CallerAnswer>,
) -> CallerAnswer
where
    Dialect: CallerDialect,
{
    let refusal = refusal.truthful(state);
    upstream_failure.unwrap_or_else(|| log_refusal(front, &request.call.id, Some(state), refusal))
}

/// Returns the kind of the refusal of a request that was sent and has no answer.
fn lost_kind<Dialect>(front: &FrontContext<Dialect>, state: &CallState) -> ErrorKind {
    match front.now() >= state.deadline {
        true => ErrorKind::DeadlineAfterSend,
        false => ErrorKind::UpstreamLost,
    }
}

/// The outcome of one attempt.
pub enum AttemptOutcome {
    /// The head of a successful event stream arrived.
    Opened(Box<OpenReply>),
    /// The upstream's complete answer.
    Answered(CallerAnswer),
    /// The upstream's complete answer with a 5xx status.
    ErrorAnswer(CallerAnswer),
    /// Another entry VM took the request meanwhile.
    Forwarded(ForwardOutcome),
    /// The attempt failed without an answer.
    Failed(AttemptError),
}

/// Sends a request, and to further upstreams while the first is silent, up to the head of an answer.
async fn attempt_once<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &Rc<SentRequest>,
    state: &mut CallState,
    planned: PlannedSend,
) -> AttemptOutcome
where
    Dialect: CallerDialect + 'static,
{
    let mut hedged = HedgedRequest {
        front,
        request,
        resume_after: request.call.resume_after,
        state,
    };
    let attempt = hedged.send(planned, |reply| reply);
    match hedged.first_output(attempt, |reply| reply).await {
        HedgeEnd::Won { output: reply, .. } => {
            record_opened(front, &reply);
            let is_stream = state.route.kind == RouteKind::Streaming;
            if is_stream && reply.head.status.is_success() {
                return AttemptOutcome::Opened(Box::new(reply));
            }
            read_whole_answer(front, request, state, reply).await
        }
        HedgeEnd::Forwarded(outcome) => AttemptOutcome::Forwarded(outcome),
        HedgeEnd::Failed(error) => AttemptOutcome::Failed(error),
        HedgeEnd::DeadlinePassed => {
            let reason = "no answer head arrived before the deadline";
            AttemptOutcome::Failed(AttemptError::Broken(reason.to_owned()))
        }
    }
}

/// Reads the body of an answer that is not a stream, and records the outcome.
async fn read_whole_answer<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &Rc<SentRequest>,
    state: &CallState,
    reply: OpenReply,
) -> AttemptOutcome
where
    Dialect: CallerDialect + 'static,
{
    let clock = front.shared.clock;
    let sent_at = reply.run.sent_at;
    let guard = CallerLeftGuard::new(front, request, &reply.upstream.incarnation, sent_at);
    let mut reply = reply;
    let reading = HeldBody::read(&mut reply.body, &front.held);
    let is_failure = reply.head.status.is_server_error();
    let is_replaceable = is_failure && state.route.is_retryable();
    let body_deadline = match is_replaceable {
        true => state.deadline.min(front.now() + FAILURE_BODY_TIME),
        false => state.deadline,
    };
    let body = with_deadline(clock, body_deadline, reading).await;
    // An answer that states that the request did not run never gets here, so its status would
    // promise what is not known.
    let status = reply.head.status.as_u16();
    let is_false_promise = state.route.kind != RouteKind::Idempotent && promises_not_run(status);
    let body = match body {
        Ok(Ok(beginning)) if !beginning.is_whole && !is_replaceable && !is_false_promise => {
            let answer = pass_on_reply(front, request, state, reply, beginning, guard);
            return AttemptOutcome::Answered(answer);
        }
        body => body,
    };
    match &body {
        Ok(_) => guard.finish(),
        Err(DeadlinePassed) => drop(guard),
    }
    drop(reply.flight);
    let interrupted = |reason: String| {
        let now = front.now();
        front
            .monitor
            .borrow_mut()
            .record_failure(&reply.upstream.incarnation, now);
        AttemptOutcome::Failed(AttemptError::Broken(reason))
    };
    let body = match body {
        Ok(Ok(body)) if body.is_whole => body,
        // A failure is not passed on before it is known whether another upstream answers.
        Ok(Ok(_)) => return interrupted(format!("the body of status {status} is too large")),
        Ok(Err(error)) => {
            let (upstream, progress) = (&reply.upstream, RunProgress::begun(sent_at));
            record_break(front, request, upstream, progress, BreakCause::Closed).await;
            return interrupted(error.to_string());
        }
        Err(_) => return interrupted("the body did not end in time".to_owned()),
    };
    let (id, keep_alive) = (&reply.upstream.incarnation, reply.facts.keep_alive);
    front.pool.give_back(id, reply.connection, keep_alive);
    if is_false_promise {
        let reason = format!("status {status} without a statement that nothing ran");
        if is_failure {
            return interrupted(reason);
        }
        // The cause may be the caller, for whom the upstream is not to be avoided.
        return AttemptOutcome::Failed(AttemptError::Broken(reason));
    }
    let mut answer = CallerAnswer::new(body.into_answer_body());
    *answer.status_mut() = reply.head.status;
    *answer.headers_mut() = front.dialect.answer_headers(&reply.head);
    answer.extensions_mut().insert(id.clone());
    let waited = front.now().since(state.arrived);
    let outcome = if is_failure { "upstream_failure" } else { "ok" };
    log::info!(
        "event=answered request={} route={} upstream={id} attempt={} status={} objective={} waited={waited}",
        request.call.id,
        state.route.name,
        state.sends(),
        reply.head.status.as_u16(),
        state.route.objective,
    );
    front.count_outcome(state.route.kind, outcome);
    let first_piece = &front.shared.metrics.first_piece;
    let first_piece = first_piece.with_label_values(&[state.route.kind.as_str()]);
    first_piece.observe(waited.as_secs_f64());
    match is_failure {
        true => {
            front.monitor.borrow_mut().record_failure(id, front.now());
            AttemptOutcome::ErrorAnswer(answer)
        }
        false => {
            front.monitor.borrow_mut().record_success(&reply.upstream);
            record_complete_answer(front, request, state, reply.head.status);
            AttemptOutcome::Answered(answer)
        }
    }
}
