//! One request from its head to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bergamot_ports::{CallerCall, CallerDialect, RefusalContext, Route, RouteKind, ServingConfig};
use bergamot_types::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::Incoming;

use super::FrontContext;
use super::answer::{CallerAnswer, whole_body};
use super::attempt::{AttemptError, OpenReply, SentRequest, send};
use super::book::UpstreamChoice;
use super::relay::relay_events;
use crate::view::{ClusterView, RouteUpstream};

/// When to come back where no upstream serves: about the time in which a group is repaired.
const RETURN_NO_UPSTREAM: Millis = Millis(600);
/// When to come back where the upstreams are full: a few answers end by then.
const RETURN_FULL: Millis = Millis(300);
/// When to come back where the configuration is not confirmed: the store is asked again by then.
const RETURN_UNCONFIRMED: Millis = Millis(800);
/// When to come back where this VM is stopping: at once, as another VM takes the request.
const RETURN_STOPPING: Millis = Millis(50);
/// One part in so many of a route's objective may be spent waiting for an upstream. A refusal
/// that comes later costs the caller its own retry in time.
const WAIT_DIVISOR: u64 = 5;
/// Sends that were refused unrun on top of those that may run. Each is a repeat that all entry
/// VMs share a bound for.
const MAX_REFUSED_SENDS: usize = 2;
/// Time without anything from an upstream after which requests there count as standing still.
/// Engines answer in passes of some 50 ms; the longest prompt holds a pass for 120 ms.
pub const QUIET_TIME: Millis = Millis(600);
/// Time between two looks while a request waits at an engine.
pub const LOOK_PERIOD: Millis = Millis(120);
/// The least time that a request waits for anything from its upstream.
const MIN_WAIT: Millis = Millis(250);
/// The same where nothing came from it yet: requests may wait there behind those of other VMs.
/// Callers leave after two seconds.
const QUEUE_TIME: Millis = Millis(1_300);
/// The same for asking the coordinator to look at the group, which costs a few questions.
pub const DOUBT_TIME: Millis = Millis(350);

/// Why a request is refused, and when to come back.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallRefusal {
    /// Why.
    pub kind: ErrorKind,
    /// When to come back.
    pub retry_after: Option<Millis>,
}

impl From<ErrorKind> for CallRefusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }
}

impl CallRefusal {
    const fn later(kind: ErrorKind, wait: Millis) -> Self {
        Self {
            kind,
            retry_after: Some(wait),
        }
    }
}

/// Where a request stands.
pub struct CallState {
    /// Its route.
    pub route: Route,
    /// The service that was drawn for it.
    pub service: ServiceName,
    /// When its head had arrived.
    pub arrived: Millis,
    /// When it must have its final answer.
    pub deadline: Millis,
    /// Upstreams that it was sent to.
    tried: Vec<UpstreamId>,
    /// Of these, where it may have run.
    run_at: Vec<UpstreamId>,
}

impl CallState {
    /// Whether it may have run.
    pub fn may_have_run(&self) -> bool {
        !self.run_at.is_empty()
    }

    /// Upstreams that it was sent to.
    pub fn sends(&self) -> usize {
        self.tried.len()
    }

    /// The upstream that it was last sent to.
    pub fn last_upstream(&self) -> &str {
        self.tried.last().map_or("-", UpstreamId::as_str)
    }

    /// The refusal that is true given what was sent.
    pub fn truthful(&self, refusal: CallRefusal) -> CallRefusal {
        let says_not_run = refusal.kind.answer().ran == RanState::No;
        match (self.may_have_run(), says_not_run, refusal.kind) {
            (true, true, ErrorKind::DeadlineBeforeSend) => ErrorKind::DeadlineAfterSend.into(),
            (true, true, _) => ErrorKind::UpstreamLost.into(),
            _ => refusal,
        }
    }
}

/// Answers a request.
pub async fn answer<Dialect>(
    front: Rc<FrontContext<Dialect>>,
    request: Request<Incoming>,
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
    let admitted = admit(&front, &call, head.uri.path(), arrived);
    let limit = admitted.as_ref().map_or(0, |admitted| admitted.body_limit);
    let (state, account, priority) = match admitted {
        Ok(admitted) => (admitted.state, admitted.account, admitted.priority),
        Err(refusal) => return log_refusal(&front, &id, None, refusal),
    };
    let left = state.deadline.since(arrived).as_duration();
    let body = match read_body(body, limit, left).await {
        Ok(body) => body,
        Err(kind) => return log_refusal(&front, &id, Some(&state), kind.into()),
    };
    let request = SentRequest {
        method: head.method,
        uri: head.uri,
        body,
        call,
        account,
        priority,
    };
    front
        .budget
        .borrow_mut()
        .note_request(arrived, &state.service);
    serve(front, request, state).await
}

struct AdmittedCall {
    state: CallState,
    account: Option<ClientAccount>,
    priority: u8,
    body_limit: usize,
}

/// Finds the route and the account of a call.
fn admit<Dialect>(
    front: &FrontContext<Dialect>,
    call: &CallerCall,
    path: &str,
    arrived: Millis,
) -> Result<AdmittedCall, CallRefusal> {
    let view = front.shared.view.load();
    let config = view
        .config
        .as_ref()
        .ok_or(CallRefusal::later(ErrorKind::NoBundle, RETURN_UNCONFIRMED))?;
    let route = config.route(&call.host, path).ok_or(ErrorKind::NotFound)?;
    let (account, rank) = authorize(config, route, call)?;
    let service = draw_service(route, &call.id).ok_or(ErrorKind::NoUpstream)?;
    let timeout = call
        .deadline
        .map_or(route.timeout, |it| it.min(route.timeout));
    let stop_end = front.shared.stop_end(arrived);
    if stop_end.is_some_and(|end| arrived + timeout > end) {
        // It could be cut before its end.
        let kind = ErrorKind::ShuttingDown;
        return Err(CallRefusal::later(kind, RETURN_STOPPING));
    }
    Ok(AdmittedCall {
        state: CallState {
            route: route.clone(),
            service,
            arrived,
            deadline: arrived + timeout,
            tried: Vec::new(),
            run_at: Vec::new(),
        },
        account,
        priority: rank.unwrap_or(route.priority),
        body_limit: config.caller_limits.body_bytes,
    })
}

/// The account that a call's key leads to, and its rank.
fn authorize(
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
fn draw_service(route: &Route, id: &RequestId) -> Option<ServiceName> {
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

async fn read_body(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, ErrorKind> {
    let whole = tokio::time::timeout(time, Limited::new(body, limit).collect()).await;
    match whole {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ErrorKind::TooLarge),
        Ok(Err(_)) => Err(ErrorKind::BadRequest),
        Err(_) => Err(ErrorKind::RequestTimeout),
    }
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
        let upstream = match planned {
            Ok(upstream) => upstream,
            Err(refusal) => {
                let refusal = state.truthful(refusal);
                // The upstream's own failure says more than ours.
                return match failed {
                    Some(answer) => answer,
                    None => log_refusal(&front, &request.call.id, Some(&state), refusal),
                };
            }
        };
        let tried = try_once(&front, &request, &mut state, &upstream).await;
        match tried {
            TryOutcome::Opened(reply) => {
                return relay_events(front, request, state, *reply).await;
            }
            TryOutcome::Answered(answer) => return answer,
            TryOutcome::OwnFailure(answer) if !state.route.is_repeatable() => return answer,
            TryOutcome::OwnFailure(answer) => failed = Some(answer),
            TryOutcome::Failed(error) => {
                log::info!(
                    "event=attempt_failed request={} route={} upstream={} attempt={} outcome={} reason=\"{error}\" waited={}",
                    request.call.id,
                    state.route.name,
                    upstream.id,
                    state.sends(),
                    error.as_str(),
                    front.now().since(state.arrived),
                );
                let may_go_on = state.route.is_repeatable() || !state.may_have_run();
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
    upstream: &RouteUpstream,
) -> TryOutcome
where
    Dialect: CallerDialect + 'static,
{
    match open(front, request, state, upstream, request.call.resume_after).await {
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

/// Sends a request once and waits for the head of its answer, with all the accounts kept.
pub async fn open<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &mut CallState,
    upstream: &RouteUpstream,
    resume_after: Option<u64>,
) -> Result<OpenReply, AttemptError>
where
    Dialect: CallerDialect,
{
    let began = front.now();
    let left = state.deadline.since(began);
    let is_engine = upstream.group.is_some();
    state.tried.push(upstream.id.clone());
    let sent = send(front, request, upstream, left, resume_after);
    tokio::pin!(sent);
    let outcome = loop {
        let now = front.now();
        let pause = match is_engine {
            true => LOOK_PERIOD.min(state.deadline.since(now)),
            false => state.deadline.since(now),
        };
        match tokio::time::timeout(pause.as_duration(), &mut sent).await {
            Ok(outcome) => break outcome,
            Err(_) if front.now() >= state.deadline => {
                break Err(AttemptError::Broken(
                    "no answer before the deadline".to_owned(),
                ));
            }
            Err(_) if is_engine && look_quiet(front, upstream, began) => {
                break Err(AttemptError::Broken("nothing comes from it".to_owned()));
            }
            Err(_) => {}
        }
    };
    let now = front.now();
    let kind = state.route.kind.as_str();
    let name = outcome
        .as_ref()
        .map_or_else(AttemptError::as_str, |_| "answered");
    let attempts = &front.shared.metrics.attempts;
    attempts.with_label_values(&[kind, name]).inc();
    let mut book = front.book.borrow_mut();
    match &outcome {
        Ok(_) => book.note_progress(&upstream.id, now),
        Err(error) => {
            match error {
                // Nothing answers there: others will wait as long in vain.
                AttemptError::NotSent(_) | AttemptError::Misdirected if is_engine => {
                    book.note_quiet(&upstream.id, now);
                }
                _ => book.note_failure(&upstream.id, now),
            }
            if error.may_have_run() {
                state.run_at.push(upstream.id.clone());
            }
            if matches!(error, AttemptError::Refused(_)) {
                book.decrease(&upstream.id, upstream.slots);
            }
            if matches!(
                error,
                AttemptError::NoListener(_) | AttemptError::NotSent(_)
            ) {
                report_quiet(front, upstream);
            }
        }
    }
    if outcome.is_ok() {
        state.run_at.push(upstream.id.clone());
    }
    outcome
}

/// Whether nothing has come from the upstream since `since`, nor for the quiet time. Tells the
/// coordinator when it is in doubt.
pub fn look_quiet<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    since: Millis,
) -> bool {
    let now = front.now();
    let load = front.book.borrow().load(&upstream.id);
    let silence = load.silence(now);
    let (doubt_time, quiet_time) = match load.has_moved() {
        true => (DOUBT_TIME, QUIET_TIME),
        false => (QUIET_TIME, QUEUE_TIME),
    };
    if silence >= doubt_time {
        report_quiet(front, upstream);
    }
    // A request that came when the upstream had long been silent needs not wait all that time.
    let is_quiet = silence >= quiet_time && now.since(since) >= MIN_WAIT;
    if is_quiet {
        front.book.borrow_mut().note_quiet(&upstream.id, now);
    }
    is_quiet
}

fn report_quiet<Dialect>(front: &FrontContext<Dialect>, upstream: &RouteUpstream) {
    if upstream.group.is_none() {
        return;
    }
    if let Err(error) = front.shared.quiet.try_send(upstream.id.clone()) {
        log::debug!(
            "event=quiet_not_passed_on upstream={} reason={error}",
            upstream.id
        );
    }
}

/// Reads the rest of an answer that is not a stream.
async fn finish_whole<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &CallState,
    reply: OpenReply,
) -> TryOutcome
where
    Dialect: CallerDialect,
{
    let left = state.deadline.since(front.now()).as_duration();
    let body = tokio::time::timeout(left, reply.body.collect()).await;
    drop(reply.flight);
    let broken = |reason: String| {
        let now = front.now();
        front
            .book
            .borrow_mut()
            .note_failure(&reply.upstream.id, now);
        TryOutcome::Failed(AttemptError::Broken(reason))
    };
    let body = match body {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return broken(error.to_string()),
        Err(_) => return broken("the answer did not end before the deadline".to_owned()),
    };
    let (id, keep_alive) = (&reply.upstream.id, reply.facts.keep_alive);
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
        "event=answered request={} route={} upstream={id} attempt={} status={} waited={waited}",
        request.call.id,
        state.route.name,
        state.sends(),
        reply.head.status.as_u16(),
    );
    count(front, state.route.kind, outcome);
    let first = &front.shared.metrics.first_piece;
    let first = first.with_label_values(&[state.route.kind.as_str()]);
    first.observe(waited.as_secs_f64());
    match is_failure {
        true => {
            front.book.borrow_mut().note_failure(id, front.now());
            TryOutcome::OwnFailure(answer)
        }
        false => {
            front.book.borrow_mut().note_success(id);
            TryOutcome::Answered(answer)
        }
    }
}

/// Counts a request's outcome.
pub fn count<Dialect>(front: &FrontContext<Dialect>, kind: RouteKind, outcome: &str) {
    let requests = &front.shared.metrics.requests;
    requests.with_label_values(&[kind.as_str(), outcome]).inc();
}

/// Chooses the next upstream, or says why there is none.
pub async fn plan<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &mut CallState,
) -> Result<RouteUpstream, CallRefusal> {
    let wait_end = state.arrived + Millis(state.route.objective.0 / WAIT_DIVISOR);
    let mut changes = front.shared.view_changed.subscribe();
    loop {
        changes.mark_unchanged();
        let refusal = match plan_now(front, request, state) {
            Ok(upstream) => return Ok(upstream),
            Err(refusal) => refusal,
        };
        let now = front.now();
        let may_wait = refusal.kind == ErrorKind::NoUpstream && now < wait_end;
        if !may_wait {
            return Err(refusal);
        }
        let pause = wait_end.since(now).as_duration();
        let _ = tokio::time::timeout(pause, changes.changed()).await;
    }
}

fn plan_now<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    state: &mut CallState,
) -> Result<RouteUpstream, CallRefusal> {
    let now = front.now();
    if now >= state.deadline {
        return Err(ErrorKind::DeadlineBeforeSend.into());
    }
    let view: Arc<ClusterView> = front.shared.view.load_full();
    let config = view.config.as_ref().ok_or(ErrorKind::NoBundle)?;
    check_key(front, config, request, state, now)?;
    let no_upstream = CallRefusal::later(ErrorKind::NoUpstream, RETURN_NO_UPSTREAM);
    let pool = view.pools.get(&state.service).ok_or(no_upstream)?;
    let upstreams = match &request.call.model {
        Some(model) if !pool.models.is_empty() => pool.models.get(model).ok_or(no_upstream)?,
        _ => &pool.plain,
    };
    let refused = CallRefusal::later(ErrorKind::UpstreamRefused, RETURN_FULL);
    // An upstream that is gone does not count against the most that a request may be sent to.
    let is_listed = |id: &&UpstreamId| view.upstreams.contains_key(*id);
    let runs = state.run_at.iter().filter(is_listed).count();
    let is_spent = runs >= state.route.max_attempts as usize
        || state.tried.len() >= state.route.max_attempts as usize + MAX_REFUSED_SENDS;
    if is_spent {
        return Err(refused);
    }
    let home = &front.shared.site.failure_domain;
    let book = front.book.borrow();
    let must_go_on = state.may_have_run();
    let chosen = match book.choose(upstreams, home, &state.tried, now, must_go_on) {
        UpstreamChoice::Chosen(chosen) => chosen,
        UpstreamChoice::Full => {
            log::info!(
                "event=no_room request={} in_flight_and_limits={}",
                request.call.id,
                book.describe(upstreams)
            );
            return Err(CallRefusal::later(ErrorKind::Overloaded, RETURN_FULL));
        }
        UpstreamChoice::None if state.tried.is_empty() => return Err(no_upstream),
        UpstreamChoice::None => return Err(refused),
    };
    if !state.tried.is_empty() {
        let mut budget = front.budget.borrow_mut();
        budget.set_bounds(front.shared.bounds(), view.entries.len());
        if !budget.take(now, &state.service) {
            return Err(refused);
        }
    }
    Ok(chosen.clone())
}

/// Checks the caller's key once more, by the newest configuration, right before sending.
fn check_key<Dialect>(
    front: &FrontContext<Dialect>,
    config: &ServingConfig,
    request: &SentRequest,
    state: &CallState,
    now: Millis,
) -> Result<(), CallRefusal> {
    if config.accounts.is_none() || state.route.is_public {
        return Ok(());
    }
    if !front.shared.is_confirmed(now) {
        let kind = ErrorKind::ConfigUnconfirmed;
        return Err(CallRefusal::later(kind, RETURN_UNCONFIRMED));
    }
    authorize(config, &state.route, &request.call)?;
    Ok(())
}

/// Logs and counts a refusal and makes its answer.
fn log_refusal<Dialect>(
    front: &FrontContext<Dialect>,
    id: &RequestId,
    state: Option<&CallState>,
    refusal: CallRefusal,
) -> CallerAnswer
where
    Dialect: CallerDialect,
{
    let now = front.now();
    log::info!(
        "event=refused request={id} kind={} status={} route={} sends={} ran={} waited={} config_age={} retry_after={}",
        refusal.kind,
        refusal.kind.answer().status,
        state.map_or("-", |state| state.route.name.as_str()),
        state.map_or(0, CallState::sends),
        refusal.kind.answer().ran,
        state.map_or(Millis::ZERO, |state| now.since(state.arrived)),
        front.shared.config_age(now),
        refusal.retry_after.unwrap_or_default(),
    );
    let kind = state.map_or("none", |state| state.route.kind.as_str());
    let requests = &front.shared.metrics.requests;
    requests
        .with_label_values(&[kind, refusal.kind.code()])
        .inc();
    refuse(front, Some(id), refusal)
}

fn refuse<Dialect>(
    front: &FrontContext<Dialect>,
    id: Option<&RequestId>,
    refusal: CallRefusal,
) -> CallerAnswer
where
    Dialect: CallerDialect,
{
    let context = RefusalContext {
        kind: refusal.kind,
        id,
        retry_after: refusal.retry_after,
    };
    let (head, body) = front.dialect.refusal(&context).into_parts();
    CallerAnswer::from_parts(head, whole_body(Bytes::from(body)))
}
