//! Serves requests that other entry VMs forward.

use std::rc::Rc;

use bergamot_ports::CallerDialect;
use bergamot_types::prelude::*;
use hyper::Request;
use hyper::body::Incoming;

use super::super::FrontContext;
use super::super::admit::{admit, discard_body, discard_later};
use super::super::answer::{CallerAnswer, set_reuse};
use super::super::attempt::SentRequest;
use super::super::call::{refuse_body, serve};
use super::super::deadline::with_deadline;
use super::super::panics::answer_panicked;
use super::super::refusal::{CallRefusal, RETURN_STOPPING, log_refusal, refuse};
use super::super::state::CallState;
use super::super::trace::RequestTrace;
use super::ServedPlace;
use super::context::{ForwardContext, ForwardVerdict, insert_reaches_none, insert_upstream};
use crate::body::read_body;
use crate::panics::catch_panic;

/// Answers a request that another entry VM forwards. The answer carries a verdict for that VM.
/// Returns the request's place too, which is kept until the answer was sent.
pub async fn answer_peer<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    request: Request<Incoming>,
    trace: Rc<RequestTrace>,
) -> (CallerAnswer, Option<ServedPlace>)
where
    Dialect: CallerDialect + 'static,
{
    let taken = take_request(Rc::clone(&front), request, Rc::clone(&trace));
    let (mut answer, place) = catch_panic(taken)
        .await
        .unwrap_or_else(|panic| (answer_panicked(&front, &trace, &panic), None));
    let refusal = answer.extensions().get::<CallRefusal>();
    let verdict = refusal.map_or(ForwardVerdict::Answered, |refusal| {
        ForwardVerdict::of_refusal(refusal.kind)
    });
    verdict.insert_into(answer.headers_mut());
    if verdict == ForwardVerdict::Declined && check_reach(&front).is_err() {
        insert_reaches_none(answer.headers_mut());
    }
    let upstream = answer.extensions().get::<UpstreamIncarnation>().cloned();
    if let Some(upstream) = upstream {
        insert_upstream(answer.headers_mut(), &upstream);
    }
    let served = &front.shared.metrics.forwards_served;
    served.with_label_values(&[verdict.as_str()]).inc();
    (answer, place)
}

async fn take_request<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    request: Request<Incoming>,
    trace: Rc<RequestTrace>,
) -> (CallerAnswer, Option<ServedPlace>)
where
    Dialect: CallerDialect + 'static,
{
    let (mut head, mut body) = request.into_parts();
    let secret = front.shared.forward_secret;
    let context = ForwardContext::take_from(&mut head.headers, secret);
    let call = front.dialect.read_call(&head);
    let (context, mut call) = match (context, call) {
        (Ok(context), Ok(call)) => (context, call),
        (Err(error), _) => {
            log::warn!("event=forward_not_accepted reason=\"{error}\"");
            let reuse = discard_body(body).await;
            let mut answer = refuse(&front, None, ErrorKind::Forbidden.into());
            set_reuse(&mut answer, reuse);
            return (answer, None);
        }
        (_, Err(kind)) => return (refuse(&front, None, kind.into()), None),
    };
    call.resume_after = context.resume_after;
    let id = call.id.clone();
    trace.record_id(&id);
    let now = front.now();
    let arrived = Millis(now.0.saturating_sub(context.elapsed.0));
    let admitted = match check_reach(&front) {
        Ok(()) => admit(&front, &call, head.uri.path(), arrived, trace),
        Err(refusal) => Err(refusal),
    };
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let reuse = discard_body(body).await;
            let mut answer = log_refusal(&front, &id, None, refusal);
            set_reuse(&mut answer, reuse);
            return (answer, None);
        }
    };
    let (limit, caller) = (admitted.body_limit, admitted.caller);
    let mut state = admitted.state;
    apply_context(&mut state, &context, now);
    let Some(place) = front.forwards.enter(caller.priority) else {
        let reuse = discard_body(body).await;
        let refusal = CallRefusal::retry_in(ErrorKind::UpstreamsUnreachable, RETURN_STOPPING);
        let mut answer = log_refusal(&front, &id, Some(&state), refusal);
        set_reuse(&mut answer, reuse);
        return (answer, None);
    };
    log::info!(
        "event=taken_from_peer request={id} vm={} elapsed={} time_left={} runs={}",
        context.vm,
        context.elapsed,
        context.time_left,
        context.possible_runs.len()
    );
    let body_read = read_body(&front.bodies, &mut body, limit);
    let body_read = with_deadline(front.shared.clock, state.deadline, body_read).await;
    let body = match body_read.unwrap_or(Err(ErrorKind::RequestTimeout)) {
        Ok(body) => body,
        Err(kind) => {
            let refusal = refuse_body(&front, kind, &state, admitted.config);
            let mut answer = log_refusal(&front, &id, Some(&state), refusal);
            set_reuse(&mut answer, discard_later(body));
            return (answer, Some(place));
        }
    };
    state.trace.record_received();
    // The VM that forwards the request has counted it and its model's demand.
    let request = Rc::new(SentRequest::new(head, body, call, caller));
    (serve(front, request, state).await, Some(place))
}

/// Refuses a forwarded request that this VM could not send to an upstream either.
fn check_reach<Dialect>(front: &FrontContext<Dialect>) -> Result<(), CallRefusal> {
    match front.monitor.borrow().partition.is_partitioned() {
        true => Err(CallRefusal::retry_in(
            ErrorKind::UpstreamsUnreachable,
            RETURN_STOPPING,
        )),
        false => Ok(()),
    }
}

/// Continues the request as the VM that forwards it left it. It may run once more.
fn apply_context(state: &mut CallState, context: &ForwardContext, now: Millis) {
    state.deadline = state.deadline.min(now + context.time_left);
    // Upstreams that the other VM did not reach are not to be avoided here.
    state.tried.clone_from(&context.possible_runs);
    state.possible_runs.clone_from(&context.possible_runs);
    state.arrivals = context.arrivals as usize;
    state.is_forwarded = true;
    let runs = u32::try_from(context.possible_runs.len()).unwrap_or(u32::MAX);
    state.route.max_attempts = state.route.max_attempts.min(runs.saturating_add(1));
}
