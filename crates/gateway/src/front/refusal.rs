//! Error responses of this system: why a request was rejected, and when its caller should return.

use bergamot_ports::{CallerDialect, RefusalContext};
use bergamot_routing::longest_delay;
use bergamot_types::prelude::*;
use bytes::Bytes;

use super::FrontContext;
use super::answer::{CallerAnswer, full_body};
use super::state::CallState;
use crate::view::ConfigStanding;

/// Return delay if no upstream serves the request. About the time that the repair of a group takes.
pub const RETURN_NO_UPSTREAM: Millis = Millis(600);

/// Return delay for a quarantined request, under which upstreams crashed. Nothing changes until an
/// operator has looked at it or the model has another version. Callers that return sooner are
/// rejected at once.
pub const RETURN_QUARANTINED: Millis = Millis::from_secs(600);

/// The shortest return delay. About the time that a new connection of the caller takes.
pub const MIN_RETURN_DELAY: Millis = Millis(20);

/// Upper bound of the random time added until an upstream accepts requests again, so that callers
/// that were rejected together do not return to it at the same moment.
pub const RETURN_SPREAD: Millis = Millis(200);

/// Shortest return delay while all upstreams are in evacuated failure domains, unless the caller has
/// less time left. Operators end an evacuation after seconds to minutes.
pub const RETURN_EVACUATED: Millis = Millis::from_secs(2);

/// Upper bound of the random time added to [`RETURN_EVACUATED`], a third of the sum, so that the
/// callers of an evacuated domain do not all return at the same moment.
pub const EVACUATED_SPREAD: Millis = Millis::from_secs(1);

/// Return delay if this VM is stopping. Short, as another VM accepts the request.
pub const RETURN_STOPPING: Millis = Millis(50);

/// Return delay if this VM has no memory left for a request's body. Short, as another VM may have.
pub const RETURN_MEMORY_FULL: Millis = Millis(100);

/// Whether an answer with this status promises that the request has not run and never will.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Why a request is rejected, and when its caller should return.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallRefusal {
    /// The reason.
    pub kind: ErrorKind,
    /// The return delay, if the caller is asked to return.
    pub retry_after: Option<Millis>,
    /// The configuration by which it was decided, if it depends on one.
    pub decided_by: Option<ConfigStanding>,
}

impl From<ErrorKind> for CallRefusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
            decided_by: None,
        }
    }
}

impl CallRefusal {
    /// Corrects a refusal that states that the request did not run, if it may have run.
    pub fn truthful(self, state: &CallState) -> Self {
        self.after_possible_run(state.may_have_run())
    }

    /// Corrects a refusal of a request, given whether the request may have run.
    pub fn after_possible_run(self, may_have_run: bool) -> Self {
        let response = self.kind.response();
        let states_not_run = response.ran == RanState::No || promises_not_run(response.status);
        match (may_have_run, states_not_run, self.kind) {
            (true, true, ErrorKind::DeadlineBeforeSend) => ErrorKind::DeadlineAfterSend.into(),
            (true, true, _) => ErrorKind::UpstreamLost.into(),
            _ => self,
        }
    }

    /// Creates a refusal with a return delay.
    pub const fn retry_in(kind: ErrorKind, delay: Millis) -> Self {
        Self {
            kind,
            retry_after: Some(delay),
            decided_by: None,
        }
    }

    /// States the configuration by which the request is refused.
    #[must_use]
    pub const fn by_config(self, standing: ConfigStanding) -> Self {
        Self {
            decided_by: Some(standing),
            ..self
        }
    }
}

/// Returns the refusal of a request for a reason that follows from a configuration. Callers do not
/// return after such a reason, so it is given only if the configuration was confirmed recently.
pub fn refuse_by_config<Dialect>(
    front: &FrontContext<Dialect>,
    standing: ConfigStanding,
    kind: ErrorKind,
    time_left: Millis,
) -> CallRefusal {
    match front.shared.may_refuse_by(standing) {
        true => CallRefusal::from(kind).by_config(standing),
        false => refuse_unconfirmed(front, standing, time_left),
    }
}

/// Returns the refusal of a request by a configuration that was not confirmed recently enough.
pub fn refuse_unconfirmed<Dialect>(
    front: &FrontContext<Dialect>,
    standing: ConfigStanding,
    time_left: Millis,
) -> CallRefusal {
    let outage = front.outage(front.now());
    let delay = outage.return_delay(time_left, rand::random());
    CallRefusal::retry_in(ErrorKind::ConfigUnconfirmed, delay).by_config(standing)
}

/// Logs and counts a refusal, and returns the error response.
pub fn log_refusal<Dialect>(
    front: &FrontContext<Dialect>,
    id: &RequestId,
    state: Option<&CallState>,
    refusal: CallRefusal,
) -> CallerAnswer
where
    Dialect: CallerDialect,
{
    let now = front.now();
    let left = state.map(|state| state.deadline.since(now));
    let refusal = CallRefusal {
        retry_after: refusal.retry_after.map(|delay| match left {
            // A quarantine outlasts the caller's deadline, so its delay is not shortened to it.
            Some(left) if refusal.kind != ErrorKind::Quarantined => delay.min(longest_delay(left)),
            _ => delay,
        }),
        ..refusal
    };
    let config = refusal
        .decided_by
        .unwrap_or_else(|| front.shared.view.load().config_standing(now));
    log::info!(
        "event=refused request={id} kind={} status={} route={} sends={} ran={} waited={} config={} config_age={} retry_after={}",
        refusal.kind,
        refusal.kind.response().status,
        state.map_or("-", |state| state.route.name.as_str()),
        state.map_or(0, CallState::sends),
        refusal.kind.response().ran,
        state.map_or(Millis::ZERO, |state| now.since(state.arrived)),
        config.version,
        config.age,
        refusal.retry_after.unwrap_or_default(),
    );
    let kind = state.map_or("none", |state| state.route.kind.as_str());
    let requests = &front.shared.metrics.requests;
    requests
        .with_label_values(&[kind, refusal.kind.code()])
        .inc();
    refuse(front, Some(id), refusal)
}

pub fn refuse<Dialect>(
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
    let mut answer = CallerAnswer::from_parts(head, full_body(Bytes::from(body)));
    answer.extensions_mut().insert(refusal);
    answer
}

#[cfg(test)]
mod tests;
