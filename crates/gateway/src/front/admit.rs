//! Finds the route and the account of a call, and reads its body.

use std::rc::Rc;

use bergamot_ports::{CallerCall, Route, ServingConfig};
use bergamot_routing::longest_delay;
use bergamot_types::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::FrontContext;
use super::refusal::{CallRefusal, RETURN_STOPPING};
use super::state::CallState;
use super::trace::RequestTrace;

/// How long the rest of a refused request's body is waited for: callers who send it in pieces get its end out within that.
const REFUSED_BODY_TIME: Millis = Millis(1_000);
/// How much of it is read at most.
const REFUSED_BODY_BYTES: usize = 1 << 20;
/// The time a caller is taken to wait that does not say it; not tuned.
const ASSUMED_DEADLINE: Millis = Millis(3_000);
/// The longest that a request waits for the first configuration of a VM that has just started. Half of 195 VMs that
/// started together had it 0.75 s after their start, and callers have a second to give before they leave.
const START_WAIT: Millis = Millis(1_000);
/// Time from its start in which a VM's first configuration can be expected: what a reader of the store needs, and
/// those that take it from the reader. One that has none by then is cut off.
const START_TIME: Millis = Millis(3_000);

/// Waits for the first configuration of a VM that has just started, while it can be expected. The caller is served
/// late then, instead of being refused: 1,890 requests were, in two seconds after 195 VMs had started together
/// (counted from the logs of a day).
pub async fn await_config<Dialect>(front: &FrontContext<Dialect>, call: &CallerCall) {
    let left = call.deadline.unwrap_or(ASSUMED_DEADLINE);
    let wait = START_WAIT.min(longest_delay(left));
    let shared = &front.shared;
    let mut changes = shared.view_changed.subscribe();
    let has_config = || shared.view.load().config.is_some();
    if has_config() || shared.is_store_away() || shared.clock.age() > START_TIME {
        return;
    }
    let config = async { while !has_config() && changes.changed().await.is_ok() {} };
    // Without one the request is refused next.
    let _ = tokio::time::timeout(wait.as_duration(), config).await;
}

/// Who calls, and how urgently.
pub struct AdmittedCaller {
    /// Whose call it is.
    pub account: Option<ClientAccount>,
    /// 0 is the most urgent.
    pub priority: u8,
}

/// A call that has a route and an account.
pub struct AdmittedCall {
    /// Where it stands.
    pub state: CallState,
    /// Who calls.
    pub caller: AdmittedCaller,
    /// The largest body that is taken, in bytes.
    pub body_limit: usize,
}

/// Finds the route and the account of a call.
pub fn admit<Dialect>(
    front: &FrontContext<Dialect>,
    call: &CallerCall,
    path: &str,
    arrived: Millis,
    trace: Rc<RequestTrace>,
) -> Result<AdmittedCall, CallRefusal> {
    let view = front.shared.view.load();
    let Some(config) = &view.config else {
        let left = call.deadline.unwrap_or(ASSUMED_DEADLINE);
        let wait = front.outage(arrived).return_delay(left, rand::random());
        return Err(CallRefusal::retry_in(ErrorKind::NoBundle, wait));
    };
    let route = config.route(&call.host, path).ok_or(ErrorKind::NotFound)?;
    let (account, rank) = authorize(config, route, call)?;
    let service = draw_service(route, &call.id).ok_or(ErrorKind::NoUpstream)?;
    let timeout = call
        .deadline
        .map_or(route.timeout, |it| it.min(route.timeout));
    let answer_end = front.stop.answer_end(arrived);
    if answer_end.is_some_and(|end| arrived + timeout > end) {
        // It could be cut before its end.
        let kind = ErrorKind::ShuttingDown;
        return Err(CallRefusal::retry_in(kind, RETURN_STOPPING));
    }
    Ok(AdmittedCall {
        state: CallState {
            route: route.clone(),
            service,
            arrived,
            deadline: arrived + timeout,
            tried: Vec::new(),
            arrivals: 0,
            possible_runs: Vec::new(),
            disconnected: Vec::new(),
            retry_taken_at: None,
            trace,
        },
        caller: AdmittedCaller {
            account,
            priority: rank.unwrap_or(route.priority),
        },
        body_limit: config.caller_limits.body_bytes,
    })
}

/// The account that a call's key leads to, and its rank.
pub fn authorize(
    config: &ServingConfig,
    route: &Route,
    call: &CallerCall,
) -> Result<(Option<ClientAccount>, Option<u8>), ErrorKind> {
    let Some(accounts) = &config.accounts else {
        return Ok((None, None));
    };
    let grant = call.key.as_ref().and_then(|key| accounts.get(key));
    match grant {
        Some(grant) => Ok((Some(grant.account.clone()), grant.priority)),
        None if route.is_public => Ok((None, None)),
        None => Err(ErrorKind::Unauthorized),
    }
}

/// The service of a route, drawn by weight. The same request gets the same one.
pub fn draw_service(route: &Route, id: &RequestId) -> Option<ServiceName> {
    let total: u64 = route.targets.iter().map(|it| u64::from(it.weight)).sum();
    if total == 0 {
        return route.targets.first().map(|it| it.service.clone());
    }
    let mut point = hash_bytes(id.as_str().as_bytes()) % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return Some(target.service.clone());
        }
        point -= weight;
    }
    None
}

/// Reads the rest of a refused request. A connection that is closed with bytes unread is reset, and its caller never sees
/// the refusal.
pub async fn discard_body(body: Incoming) {
    let whole = Limited::new(body, REFUSED_BODY_BYTES).collect();
    // Whatever comes of it, the refusal stands.
    let _ = tokio::time::timeout(REFUSED_BODY_TIME.as_duration(), whole).await;
}

/// Reads a body of so many bytes at most.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, ErrorKind> {
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(ErrorKind::TooLarge),
        Err(_) => Err(ErrorKind::BadRequest),
    }
}
