//! Finds the route and the account of a call, and reads its body.

use std::time::Duration;

use bergamot_ports::{CallerCall, Route, ServingConfig};
use bergamot_types::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::FrontContext;
use super::refusal::{CallRefusal, RETURN_STOPPING, RETURN_UNCONFIRMED};
use super::state::CallState;

/// A call that has a route and an account.
pub struct AdmittedCall {
    /// Where it stands.
    pub state: CallState,
    /// Whose it is.
    pub account: Option<ClientAccount>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The largest body that is taken, in bytes.
    pub body_limit: usize,
}

/// Finds the route and the account of a call.
pub fn admit<Dialect>(
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

pub async fn read_body(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, ErrorKind> {
    let whole = tokio::time::timeout(time, Limited::new(body, limit).collect()).await;
    match whole {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ErrorKind::TooLarge),
        Ok(Err(_)) => Err(ErrorKind::BadRequest),
        Err(_) => Err(ErrorKind::RequestTimeout),
    }
}
