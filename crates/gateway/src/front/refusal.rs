//! Answers of this system's own: why a request was not served, and when to come back.

use bergamot_ports::{CallerDialect, RefusalContext};
use bergamot_routing::longest_delay;
use bergamot_types::prelude::*;
use bytes::Bytes;

use super::FrontContext;
use super::answer::{CallerAnswer, whole_body};
use super::state::CallState;

/// When to come back where no upstream serves: about the time in which a group is repaired.
pub const RETURN_NO_UPSTREAM: Millis = Millis(600);

/// When to come back with a request under which upstreams ended: nothing changes before an operator has looked, or
/// the model has another version. Callers that come sooner are refused at once.
pub const RETURN_QUARANTINED: Millis = Millis::from_secs(600);

/// The shortest time after which a caller is told to come back: what its new connection takes.
pub const LEAST_RETURN: Millis = Millis(20);

/// Drawn on top of the time until an upstream takes requests again: callers who were refused together do not come back to it in
/// the same moment.
pub const RETURN_SPREAD: Millis = Millis(200);

/// When to come back where this VM is stopping: at once, as another VM takes the request.
pub const RETURN_STOPPING: Millis = Millis(50);

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
    /// The refusal that is true given what was sent.
    pub fn truthful(self, state: &CallState) -> Self {
        let says_not_run = self.kind.response().ran == RanState::No;
        match (state.may_have_run(), says_not_run, self.kind) {
            (true, true, ErrorKind::DeadlineBeforeSend) => ErrorKind::DeadlineAfterSend.into(),
            (true, true, _) => ErrorKind::UpstreamLost.into(),
            _ => self,
        }
    }

    /// A refusal that says when to come back.
    pub const fn retry_in(kind: ErrorKind, wait: Millis) -> Self {
        Self {
            kind,
            retry_after: Some(wait),
        }
    }
}

/// Logs and counts a refusal and makes its answer.
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
        retry_after: refusal.retry_after.map(|wait| match left {
            // Within its patience nothing changes for it.
            Some(left) if refusal.kind != ErrorKind::Quarantined => wait.min(longest_delay(left)),
            _ => wait,
        }),
        ..refusal
    };
    log::info!(
        "event=refused request={id} kind={} status={} route={} sends={} ran={} waited={} config_age={} retry_after={}",
        refusal.kind,
        refusal.kind.response().status,
        state.map_or("-", |state| state.route.name.as_str()),
        state.map_or(0, CallState::sends),
        refusal.kind.response().ran,
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
    CallerAnswer::from_parts(head, whole_body(Bytes::from(body)))
}
