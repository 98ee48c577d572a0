//! Requests to plain services.

use std::sync::Arc;

use bergamot_bundle::AccountSpec;
use bergamot_bundle::roll::ActiveBundle;
use bergamot_engine::headers::RAN;
use bergamot_engine::{UpstreamReply, UpstreamRequest};
use bergamot_routing::SentOutcome;
use bergamot_types::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Response, StatusCode};

use super::FrontContext;
use super::answer::{CallerResponse, Refusal, full_response, mark_ran, set_request_id};
use super::call::{CallContext, CallSpec, FailedAttempt};
use super::claimed::{ClaimOutcome, GrantedClaim, claim};
use super::request::{CallerRequest, allow};
use super::server::InFlight;
use super::upstream::{common_headers, deadline_error, outcome_name, sent_outcome};
use crate::routing_state::RouteName;

/// Path prefix of requests to plain services.
pub const PATH_PREFIX: &str = "/services/";
/// The largest accepted answer of a plain service.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// The complete answer of a plain service.
struct ServiceReply {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Handles a request to a plain service.
///
/// # Errors
/// The rejection, if no upstream of the service answered.
pub async fn handle(
    front: &Arc<FrontContext>,
    request: CallerRequest,
    active_bundle: &ActiveBundle,
    account: &AccountSpec,
    in_flight: InFlight,
) -> Result<CallerResponse, Refusal> {
    let target = request.path.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let (name, path) = target.split_once('/').unwrap_or((target, ""));
    let path = format!("/{path}");
    let spec = active_bundle
        .document
        .service(name)
        .ok_or(ErrorKind::NotFound)?;
    allow(&spec.accounts, account)?;
    let is_declared_idempotent = spec.is_idempotent(request.method.as_str(), &path);
    let is_idempotent = is_declared_idempotent && !request.at_most_once;
    let route = RouteName::Service(spec.name.clone());
    let claim_guard = match claim(front, &request, &account.name, is_idempotent).await? {
        ClaimOutcome::Replay(answer) => return Ok(answer),
        ClaimOutcome::Granted(granted) => Some(granted),
        ClaimOutcome::NotNeeded => None,
    };
    let spec = CallSpec {
        id: request.id.clone(),
        account: account.name.clone(),
        priority: account.priority,
        route,
        prefix: hash_bytes(request.id.as_str().as_bytes()),
        print: request.print(&account.name),
        is_idempotent,
        arrived_at: request.arrived_at,
        deadline: request.deadline,
    };
    let front = Arc::clone(front);
    // A non-idempotent request runs to completion even if the caller disconnects, so that its answer can be stored.
    let task = tokio::spawn(async move {
        let outcome = run_call(&front, spec, &request, &path, in_flight).await;
        record_outcome(claim_guard, &outcome);
        outcome
    });
    let mut guard = AbortOnDrop {
        handle: Some(task.abort_handle()),
        is_detached: !is_idempotent,
    };
    let outcome = task.await;
    guard.handle = None;
    outcome.map_err(|_| Refusal::from(ErrorKind::UpstreamLost))?
}

/// Aborts a task when its caller disconnects, unless the task must run to completion.
struct AbortOnDrop {
    handle: Option<tokio::task::AbortHandle>,
    is_detached: bool,
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take().filter(|_| !self.is_detached) {
            handle.abort();
        }
    }
}

fn record_outcome(claim_guard: Option<GrantedClaim>, outcome: &Result<CallerResponse, Refusal>) {
    let Some(granted) = claim_guard else {
        return;
    };
    match outcome {
        Ok(answer) => {
            let stored_body = answer.extensions().get::<StoredBody>();
            let content_type = answer.headers().get(CONTENT_TYPE);
            let content_type = content_type.and_then(|value| value.to_str().ok());
            let content_type = content_type.unwrap_or("application/octet-stream");
            granted.record_answer(
                answer.status(),
                content_type,
                stored_body.map(|stored_body| &*stored_body.0),
            );
        }
        Err(refusal) => granted.record_failure(refusal.kind),
    }
}

/// A copy of the response body, attached to the response as an extension so that the claim can store it.
#[derive(Clone)]
struct StoredBody(Bytes);

async fn run_call(
    front: &Arc<FrontContext>,
    spec: CallSpec,
    request: &CallerRequest,
    path: &str,
    in_flight: InFlight,
) -> Result<CallerResponse, Refusal> {
    let mut call = match CallContext::admit(front, spec, in_flight).await {
        Ok(call) => call,
        Err(refusal) => {
            count_request(front, refusal.kind.code());
            return Err(refusal);
        }
    };
    match run_attempts(&mut call, request, path).await {
        Ok(reply) => {
            let latency = call.now().since(call.spec.arrived_at).as_secs_f64();
            let metrics = &front.shared.metrics;
            metrics
                .first_token
                .with_label_values(&["service"])
                .observe(latency);
            count_request(front, "ok");
            Ok(to_response(reply, &call.spec.id))
        }
        Err(kind) => {
            let kind = call.error_for_run_state(kind);
            let is_truthful = kind.response().ran != RanState::No || !call.maybe_ran();
            Invariant::NotRunIsTrue
                .check(is_truthful, || format!("request={} {kind}", call.spec.id));
            count_request(front, kind.code());
            Err(kind.into())
        }
    }
}

fn count_request(front: &FrontContext, outcome: &str) {
    let requests = &front.shared.metrics.requests;
    requests.with_label_values(&["service", outcome]).inc();
}

async fn run_attempts(
    call: &mut CallContext,
    request: &CallerRequest,
    path: &str,
) -> Result<ServiceReply, ErrorKind> {
    loop {
        let (fact, attempt) = call.plan_attempt().await?;
        let key = request.idempotency_key.as_deref();
        let outgoing = UpstreamRequest {
            method: request.method.clone(),
            path: match &request.query {
                Some(query) => format!("{path}?{query}"),
                None => path.to_owned(),
            },
            headers: common_headers(call, request.headers.get(CONTENT_TYPE), key),
            body: request.body.clone(),
        };
        let time_left = call.spec.deadline.since(call.now()).as_duration();
        let sent_at = call.now();
        call.record_sent(&fact);
        let attempt = attempt.send();
        let exchange = async {
            let reply = call.front.client.send(fact.addr, outgoing).await?;
            read_reply(reply).await
        };
        match tokio::time::timeout(time_left, exchange).await {
            Ok(Ok(reply)) => {
                attempt.answered();
                call.record_first_response(&fact, sent_at);
                call.record_attempt_ended(&fact, "ok");
                call.record_complete_answer();
                return Ok(reply);
            }
            Ok(Err(error)) => {
                let outcome = sent_outcome(&error);
                call.record_attempt_ended(&fact, outcome_name(outcome));
                log::info!(
                    "event=attempt_failed request={} upstream={} reason={error:?}",
                    call.spec.id,
                    fact.id
                );
                if outcome == SentOutcome::Broken {
                    call.record_broken_attempt(&fact, 0).await;
                }
                let next = attempt.failed(outcome);
                call.record_failed_attempt(&fact, FailedAttempt { outcome, next })?;
            }
            Err(_) => {
                let outcome = SentOutcome::Broken;
                call.record_attempt_ended(&fact, "deadline");
                let next = attempt.failed(outcome);
                let _ = call.record_failed_attempt(&fact, FailedAttempt { outcome, next });
                return Err(deadline_error(call));
            }
        }
    }
}

async fn read_reply(reply: UpstreamReply) -> Result<ServiceReply, bergamot_engine::Error> {
    let (head, body) = reply.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| bergamot_engine::Error::Broken(error.to_string()))?
        .to_bytes();
    Ok(ServiceReply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn to_response(reply: ServiceReply, id: &RequestId) -> CallerResponse {
    let content_type = reply.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type
        .unwrap_or("application/octet-stream")
        .to_owned();
    let stored_body = StoredBody(reply.body.clone());
    let mut response: Response<_> = full_response(reply.status, &content_type, reply.body);
    response.extensions_mut().insert(stored_body);
    if !response.headers().contains_key(RAN) {
        mark_ran(&mut response);
    }
    set_request_id(&mut response, id);
    response
}
