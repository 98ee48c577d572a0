//! Calls of plain services.

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
use super::answer::{CallerAnswer, Refusal, mark_ran, name_request, whole};
use super::call::{CallContext, CallSpec, FailedAttempt};
use super::claimed::{ClaimOutcome, GrantedClaim, claim};
use super::request::{CallerRequest, allow};
use super::server::InFlight;
use super::upstream::{common_headers, late, outcome_name, sent_outcome};
use crate::routing_state::RouteName;

/// Where plain services are called.
pub const PATH_PREFIX: &str = "/services/";
/// The largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A plain service's whole answer.
struct ServiceReply {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Answers a call of a plain service.
///
/// # Errors
/// The refusal, if no service answered.
pub async fn answer(
    front: &Arc<FrontContext>,
    request: CallerRequest,
    force: &ActiveBundle,
    account: &AccountSpec,
    in_flight: InFlight,
) -> Result<CallerAnswer, Refusal> {
    let rest = request.path.strip_prefix(PATH_PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let path = format!("/{path}");
    let spec = force.document.service(name).ok_or(ErrorKind::NotFound)?;
    allow(&spec.accounts, account)?;
    let rule = spec.is_idempotent(request.method.as_str(), &path);
    let is_idempotent = rule && !request.at_most_once;
    let route = RouteName::Service(spec.name.clone());
    let claimed = match claim(front, &request, &account.name, is_idempotent).await? {
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
        arrived: request.arrived,
        deadline: request.deadline,
    };
    let front = Arc::clone(front);
    // A claimed call runs to its end also when the caller leaves, so that its answer is kept.
    let task = tokio::spawn(async move {
        let run = run(&front, spec, &request, &path, in_flight).await;
        settle(claimed, &run);
        run
    });
    let mut guard = AbortOnDrop {
        handle: Some(task.abort_handle()),
        is_detached: !is_idempotent,
    };
    let outcome = task.await;
    guard.handle = None;
    outcome.map_err(|_| Refusal::from(ErrorKind::UpstreamLost))?
}

/// Ends a task with its caller, unless it has to run to its end.
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

fn settle(claimed: Option<GrantedClaim>, run: &Result<CallerAnswer, Refusal>) {
    let Some(granted) = claimed else {
        return;
    };
    match run {
        Ok(answer) => {
            let kept = answer.extensions().get::<KeptBody>();
            let kind = answer.headers().get(CONTENT_TYPE);
            let kind = kind.and_then(|kind| kind.to_str().ok());
            let kind = kind.unwrap_or("application/octet-stream");
            granted.answered(answer.status(), kind, kept.map(|kept| &*kept.0));
        }
        Err(refusal) => granted.failed(refusal.kind),
    }
}

/// The body of an answer, beside the answer, for keeping.
#[derive(Clone)]
struct KeptBody(Bytes);

async fn run(
    front: &Arc<FrontContext>,
    spec: CallSpec,
    request: &CallerRequest,
    path: &str,
    in_flight: InFlight,
) -> Result<CallerAnswer, Refusal> {
    let mut call = match CallContext::admit(front, spec, in_flight).await {
        Ok(call) => call,
        Err(refusal) => {
            count(front, refusal.kind.code());
            return Err(refusal);
        }
    };
    match attempts(&mut call, request, path).await {
        Ok(reply) => {
            let took = call.now().since(call.spec.arrived).as_secs_f64();
            let metrics = &front.shared.metrics;
            metrics
                .first_token
                .with_label_values(&["service"])
                .observe(took);
            count(front, "ok");
            Ok(to_caller(reply, &call.spec.id))
        }
        Err(kind) => {
            let kind = call.truthful(kind);
            let is_true = kind.response().ran != RanState::No || !call.maybe_ran();
            Invariant::NotRunIsTrue.check(is_true, || format!("request={} {kind}", call.spec.id));
            count(front, kind.code());
            Err(kind.into())
        }
    }
}

fn count(front: &FrontContext, outcome: &str) {
    let requests = &front.shared.metrics.requests;
    requests.with_label_values(&["service", outcome]).inc();
}

async fn attempts(
    call: &mut CallContext,
    request: &CallerRequest,
    path: &str,
) -> Result<ServiceReply, ErrorKind> {
    loop {
        let (fact, attempt) = call.plan().await?;
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
        let left = call.spec.deadline.since(call.now()).as_duration();
        let sent_at = call.now();
        call.note_sent(&fact);
        let attempt = attempt.send();
        let exchange = async {
            let reply = call.front.client.send(fact.addr, outgoing).await?;
            read(reply).await
        };
        match tokio::time::timeout(left, exchange).await {
            Ok(Ok(reply)) => {
                attempt.answered();
                call.note_first(&fact, sent_at);
                call.note_ended(&fact, "ok");
                call.note_whole();
                return Ok(reply);
            }
            Ok(Err(error)) => {
                let outcome = sent_outcome(&error);
                call.note_ended(&fact, outcome_name(outcome));
                log::info!(
                    "event=attempt_failed request={} upstream={} reason={error:?}",
                    call.spec.id,
                    fact.id
                );
                if outcome == SentOutcome::Broken {
                    call.note_break(&fact, 0).await;
                }
                let next = attempt.failed(outcome);
                call.after_failure(&fact, FailedAttempt { outcome, next })?;
            }
            Err(_) => {
                let outcome = SentOutcome::Broken;
                call.note_ended(&fact, "deadline");
                let next = attempt.failed(outcome);
                let _ = call.after_failure(&fact, FailedAttempt { outcome, next });
                return Err(late(call));
            }
        }
    }
}

async fn read(reply: UpstreamReply) -> Result<ServiceReply, bergamot_engine::Error> {
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

fn to_caller(reply: ServiceReply, id: &RequestId) -> CallerAnswer {
    let kind = reply.headers.get(CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok());
    let kind = kind.unwrap_or("application/octet-stream").to_owned();
    let kept = KeptBody(reply.body.clone());
    let mut answer: Response<_> = whole(reply.status, &kind, reply.body);
    answer.extensions_mut().insert(kept);
    if !answer.headers().contains_key(RAN) {
        mark_ran(&mut answer);
    }
    name_request(&mut answer, id);
    answer
}
