//! Admission of a call: route lookup and authorization.

use std::cell::Cell;
use std::rc::Rc;

use bergamot_ports::{AccountGrant, CallerCall, Route, ServingConfig};
use bergamot_routing::longest_delay;
use bergamot_types::prelude::*;
use hyper::body::{Body, Incoming};

use super::FrontContext;
use super::refusal::{CallRefusal, RETURN_STOPPING, refuse_by_config};
use super::residency::{LatestHomes, check_admission};
use super::state::CallState;
use super::trace::RequestTrace;
use crate::discard::{DiscardEnd, REJECTED_BODY_TIMEOUT, discard_rest, drop_pieces};
use crate::view::ConfigStanding;

/// Maximum number of bytes read from a rejected request's body before the response is sent.
const MAX_AWAITED_BODY_BYTES: usize = 64 << 10;
/// Deadline assumed for callers that send none.
const DEFAULT_DEADLINE: Millis = Millis(3_000);
/// Maximum time that a request waits for a configuration that this VM is about to read or confirm.
/// When 195 VMs start together, half of them have their configuration after 0.75 s, and callers
/// give up after one second.
const MAX_CONFIG_WAIT: Millis = Millis(1_000);
/// Time after process start within which the first configuration is expected. Covers the VM that
/// reads the store and the VMs that get their copy from it. A VM without a configuration by then is
/// cut off from the store.
const CONFIG_START_TIMEOUT: Millis = Millis(3_000);

/// Waits for the first configuration of a VM that has just started, as long as one can be expected.
/// Serves the caller late instead of rejecting the request: without the wait, 195 VMs that start
/// together reject 1,890 requests within two seconds.
pub async fn await_config<Dialect>(front: &FrontContext<Dialect>, call: &CallerCall) {
    let time_left = call.deadline.unwrap_or(DEFAULT_DEADLINE);
    let wait = MAX_CONFIG_WAIT.min(longest_delay(time_left));
    let shared = &front.shared;
    let mut changes = shared.view_changed.subscribe();
    let has_config = || shared.view.load().config.is_some();
    if has_config() || shared.is_store_unreachable() || shared.clock.age() > CONFIG_START_TIMEOUT {
        return;
    }
    let config_loaded = async { while !has_config() && changes.changed().await.is_ok() {} };
    // On a timeout, `admit` rejects the request because there is no configuration.
    let _ = tokio::time::timeout(wait.as_duration(), config_loaded).await;
}

/// Like [`admit`]. Decides once more after a confirmation of the configuration if the call would be
/// refused because of one that may be outdated.
pub async fn admit_confirmed<Dialect>(
    front: &FrontContext<Dialect>,
    call: &CallerCall,
    path: &str,
    arrived: Millis,
    trace: Rc<RequestTrace>,
) -> Result<AdmittedCall, CallRefusal> {
    let admitted = admit(front, call, path, arrived, Rc::clone(&trace));
    match admitted {
        Err(refusal) if refusal.kind == ErrorKind::ConfigUnconfirmed => {
            await_confirmation(front, call).await;
            admit(front, call, path, arrived, trace)
        }
        admitted => admitted,
    }
}

/// Waits until the configuration was confirmed recently enough to refuse a call for good, as after a
/// suspension of this VM. Returns at once while the store is unreachable, since another VM may serve
/// the caller sooner.
async fn await_confirmation<Dialect>(front: &FrontContext<Dialect>, call: &CallerCall) {
    let shared = &front.shared;
    if shared.is_store_unreachable() {
        return;
    }
    let time_left = call.deadline.unwrap_or(DEFAULT_DEADLINE);
    let wait = MAX_CONFIG_WAIT.min(longest_delay(time_left));
    let confirmed = async {
        loop {
            let changed = shared.config_confirmed.notified();
            let standing = shared.view.load().config_standing(front.now());
            if shared.may_refuse_by(standing) {
                return;
            }
            changed.await;
        }
    };
    // On a timeout, the call is rejected because the configuration is unconfirmed.
    let _ = tokio::time::timeout(wait.as_duration(), confirmed).await;
}

/// The account and the priority of a caller.
pub struct AdmittedCaller {
    /// The account that the call's key belongs to. `None` if the configuration has no accounts, or
    /// if a call on a public route has no known key.
    pub account: Option<ClientAccount>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Home regions of the call.
    pub homes: LatestHomes,
}

/// A call that has a route and an account.
pub struct AdmittedCall {
    /// State of the call.
    pub state: CallState,
    /// The caller's account and priority.
    pub caller: AdmittedCaller,
    /// Maximum size of the request body in bytes.
    pub body_limit: usize,
    /// The configuration by which it was admitted.
    pub config: ConfigStanding,
}

/// Finds the route and the account of a call. Fails with the rejection to send to the caller.
pub fn admit<Dialect>(
    front: &FrontContext<Dialect>,
    call: &CallerCall,
    path: &str,
    arrived: Millis,
    trace: Rc<RequestTrace>,
) -> Result<AdmittedCall, CallRefusal> {
    let view = front.shared.view.load();
    let Some(config) = &view.config else {
        let time_left = call.deadline.unwrap_or(DEFAULT_DEADLINE);
        let wait = front
            .outage(arrived)
            .return_delay(time_left, rand::random());
        return Err(CallRefusal::retry_in(ErrorKind::NoBundle, wait));
    };
    let time_left = call.deadline.unwrap_or(DEFAULT_DEADLINE);
    let standing = view.config_standing(front.now());
    let refuse = |kind| refuse_by_config(front, standing, kind, time_left);
    let route = config.route(&call.host, path);
    let route = route.ok_or_else(|| refuse(ErrorKind::NotFound))?;
    let grant = authorize(config, route, call).map_err(refuse)?;
    let homes = LatestHomes::new(route, grant);
    check_admission(front, call, &homes)?;
    let service = pick_service(route, &call.id).ok_or(ErrorKind::NoUpstream)?;
    let timeout = call
        .deadline
        .map_or(route.timeout, |time_left| time_left.min(route.timeout));
    let latest_answer_end = front.stop.answer_deadline(arrived);
    if latest_answer_end.is_some_and(|latest| arrived + timeout > latest) {
        // The process could stop before the answer is complete, which would abort it.
        let kind = ErrorKind::ShuttingDown;
        return Err(CallRefusal::retry_in(kind, RETURN_STOPPING));
    }
    Ok(AdmittedCall {
        state: CallState {
            logged_bound: Cell::default(),
            route: route.clone(),
            service,
            arrived,
            deadline: arrived + timeout,
            tried: Vec::new(),
            arrivals: 0,
            possible_runs: Vec::new(),
            disconnected: Vec::new(),
            is_forwarded: false,
            retry_taken_at: None,
            trace,
        },
        caller: AdmittedCaller {
            account: grant.map(|grant| grant.account.clone()),
            priority: grant
                .and_then(|grant| grant.priority)
                .unwrap_or(route.priority),
            homes,
        },
        body_limit: config.caller_limits.body_bytes,
        config: standing,
    })
}

/// Returns the grant of a call's key. None if the configuration has no accounts, or if a call on a
/// public route has no known key.
pub fn authorize<'a>(
    config: &'a ServingConfig,
    route: &Route,
    call: &CallerCall,
) -> Result<Option<&'a AccountGrant>, ErrorKind> {
    let grant = config.grant(call.key.as_ref());
    let needs_grant = config.accounts.is_some() && !route.is_public;
    match grant {
        None if needs_grant => Err(ErrorKind::Unauthorized),
        grant => Ok(grant),
    }
}

/// Picks a service of a route by weight. The choice depends on the request id only, so that every
/// attempt of a request gets the same service.
pub fn pick_service(route: &Route, id: &RequestId) -> Option<ServiceName> {
    let total: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    if total == 0 {
        return route.targets.first().map(|target| target.service.clone());
    }
    let mut weight_offset = hash_bytes(id.as_str().as_bytes()) % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if weight_offset < weight {
            return Some(target.service.clone());
        }
        weight_offset -= weight;
    }
    None
}

/// Whether the connection of a rejected request can carry another one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectionReuse {
    /// The whole body was read.
    Reusable,
    /// Some of the body is left, and the connection closes after the response.
    Closes,
}

/// Reads and drops a rejected request's body. Closing a connection with unread bytes resets it, and
/// the caller would never see the error response. What is left of a large body is read while the
/// response is sent.
pub async fn discard_body(mut body: Incoming) -> ConnectionReuse {
    if body.size_hint().lower() <= MAX_AWAITED_BODY_BYTES as u64 {
        let reading = drop_pieces(&mut body, MAX_AWAITED_BODY_BYTES);
        let read = tokio::time::timeout(REJECTED_BODY_TIMEOUT, reading).await;
        if read == Ok(DiscardEnd::Whole) {
            return ConnectionReuse::Reusable;
        }
    }
    discard_later(body)
}

/// Reads and drops the rest of a body while its response is sent.
pub fn discard_later(body: Incoming) -> ConnectionReuse {
    tokio::task::spawn_local(discard_rest(body));
    ConnectionReuse::Closes
}
