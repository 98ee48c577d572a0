//! One request from its head to its answer.

use std::rc::Rc;
use std::sync::atomic::Ordering;

use bergamot_ports::{CallerDialect, RouteKind};
use bergamot_quarantine::BreakCause;
use bergamot_types::prelude::*;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::EXPECT;

use super::FrontContext;
use super::admit::{admit, await_config, discard_body, read_body};
use super::answer::{CallerAnswer, whole_body};
use super::attempt::{AttemptError, OpenReply, SentRequest};
use super::breaks::{LeftGuard, note_break, note_whole};
use super::deadline::{DeadlinePassed, before};
use super::open::open;
use super::plan::{PlannedSend, plan};
use super::refusal::{log_refusal, refuse};
use super::relay::relay_events;
use super::state::CallState;
use super::trace::RequestTrace;

/// Answers a request.
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
    let (head, body) = request.into_parts();
    let call = match front.dialect.read_call(&head) {
        Ok(call) => call,
        Err(kind) => return refuse(&front, None, kind.into()),
    };
    let id = call.id.clone();
    trace.record_id(&id);
    await_config(&front, &call).await;
    let admitted = admit(&front, &call, head.uri.path(), arrived, trace);
    let limit = admitted.as_ref().map_or(0, |admitted| admitted.body_limit);
    let (state, caller) = match admitted {
        Ok(admitted) => (admitted.state, admitted.caller),
        Err(refusal) => {
            // A caller who asks first whether to send it learns of the refusal instead.
            if !head.headers.contains_key(EXPECT) {
                discard_body(body).await;
            }
            return log_refusal(&front, &id, None, refusal);
        }
    };
    let read = read_body(body, limit);
    let read = before(front.shared.clock, state.deadline, read).await;
    let body = match read.unwrap_or(Err(ErrorKind::RequestTimeout)) {
        Ok(body) => body,
        Err(kind) => return log_refusal(&front, &id, Some(&state), kind.into()),
    };
    let request = SentRequest::new(head, body, call, caller);
    front
        .budget
        .borrow_mut()
        .note_request(arrived, &state.service);
    if let Some(model) = &request.call.model {
        let prompt = request.call.prompt_tokens();
        front
            .demand
            .borrow_mut()
            .record_request(arrived, model, prompt);
    }
    serve(front, request, state).await
}

/// Carries an admitted request to its answer.
async fn serve<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    request: SentRequest,
    mut state: CallState,
) -> CallerAnswer
where
    Dialect: CallerDialect + 'static,
{
    let mut failed: Option<CallerAnswer> = None;
    loop {
        let planned = plan(&front, &request, &mut state).await;
        let planned = match planned {
            Ok(planned) => planned,
            Err(refusal) => {
                let refusal = refusal.truthful(&state);
                // The upstream's own failure says more than ours.
                return match failed {
                    Some(answer) => answer,
                    None => log_refusal(&front, &request.call.id, Some(&state), refusal),
                };
            }
        };
        let tried = try_once(&front, &request, &mut state, &planned).await;
        match tried {
            TryOutcome::Opened(reply) => {
                return relay_events(front, request, state, *reply).await;
            }
            TryOutcome::Answered(answer) => return answer,
            TryOutcome::OwnFailure(answer) if !state.route.is_retryable() => return answer,
            TryOutcome::OwnFailure(answer) => failed = Some(answer),
            TryOutcome::Failed(error) => {
                log::info!(
                    "event=attempt_failed request={} print={} route={} upstream={} attempt={} outcome={} reason=\"{error}\" waited={}",
                    request.call.id,
                    request.print(),
                    state.route.name,
                    planned.upstream.incarnation,
                    state.sends(),
                    error.as_str(),
                    front.now().since(state.arrived),
                );
                let may_go_on = state.route.is_retryable() || !state.may_have_run();
                if !may_go_on {
                    let kind = match front.now() >= state.deadline {
                        true => ErrorKind::DeadlineAfterSend,
                        false => ErrorKind::UpstreamLost,
                    };
                    return log_refusal(&front, &request.call.id, Some(&state), kind.into());
                }
            }
        }
    }
}

/// What came of one try.
pub enum TryOutcome {
    /// A stream of events begins.
    Opened(Box<OpenReply>),
    /// The upstream's whole answer.
    Answered(CallerAnswer),
    /// The upstream's whole answer, which says that it failed.
    OwnFailure(CallerAnswer),
    /// No answer.
    Failed(AttemptError),
}

async fn try_once<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    state: &mut CallState,
    planned: &PlannedSend,
) -> TryOutcome
where
    Dialect: CallerDialect + 'static,
{
    match open(front, request, state, planned, request.call.resume_after).await {
        Ok(reply) => {
            let is_stream = state.route.kind == RouteKind::Streaming;
            if is_stream && reply.head.status.is_success() {
                return TryOutcome::Opened(Box::new(reply));
            }
            finish_whole(front, request, state, reply).await
        }
        Err(error) => TryOutcome::Failed(error),
    }
}

/// Reads the rest of an answer that is not a stream.
async fn finish_whole<Dialect>(
    front: &Rc<FrontContext<Dialect>>,
    request: &SentRequest,
    state: &CallState,
    reply: OpenReply,
) -> TryOutcome
where
    Dialect: CallerDialect + 'static,
{
    let clock = front.shared.clock;
    let guard = LeftGuard::new(front, request, &reply.upstream.incarnation);
    let body = before(clock, state.deadline, reply.body.collect()).await;
    match &body {
        Ok(_) => guard.end(),
        Err(DeadlinePassed) => drop(guard),
    }
    drop(reply.flight);
    let broken = |reason: String| {
        let now = front.now();
        front
            .monitor
            .borrow_mut()
            .record_failure(&reply.upstream.incarnation, now);
        TryOutcome::Failed(AttemptError::Broken(reason))
    };
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            note_break(front, request, &reply.upstream, 0, BreakCause::Closed).await;
            return broken(error.to_string());
        }
        Err(_) => return broken("the answer did not end before the deadline".to_owned()),
    };
    let (id, keep_alive) = (&reply.upstream.incarnation, reply.facts.keep_alive);
    front.pool.give_back(id, reply.connection, keep_alive);
    let is_failure = reply.head.status.is_server_error();
    if !is_failure && !reply.facts.is_signed && reply.head.status.is_success() {
        return broken("an answer without a signature".to_owned());
    }
    let mut answer = CallerAnswer::new(whole_body(body));
    *answer.status_mut() = reply.head.status;
    *answer.headers_mut() = front.dialect.answer_headers(&reply.head);
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
    let first = &front.shared.metrics.first_piece;
    let first = first.with_label_values(&[state.route.kind.as_str()]);
    first.observe(waited.as_secs_f64());
    match is_failure {
        true => {
            front.monitor.borrow_mut().record_failure(id, front.now());
            TryOutcome::OwnFailure(answer)
        }
        false => {
            front.monitor.borrow_mut().record_success(id);
            note_whole(front, request, state);
            TryOutcome::Answered(answer)
        }
    }
}
