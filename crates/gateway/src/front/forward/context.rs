//! What a forwarded request and its answer carry in addition to those of the caller.

use bergamot_types::prelude::*;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// The secret of the VM that is to serve the request. A caller does not know it.
const SECRET_HEADER: HeaderName = HeaderName::from_static("bergamot-forward-secret");
/// The request's [`ForwardContext`].
const CONTEXT_HEADER: HeaderName = HeaderName::from_static("bergamot-forward-context");
/// The [`ForwardVerdict`] of an answer.
const VERDICT_HEADER: HeaderName = HeaderName::from_static("bergamot-forward-verdict");

/// Present if the VM did not take the request because it reaches no upstream. Not a verdict of its
/// own, as VMs of an earlier version would not know it.
const REACHES_NONE_HEADER: HeaderName = HeaderName::from_static("bergamot-forward-reaches-none");

/// The id of the upstream that gave an answer.
const UPSTREAM_HEADER: HeaderName = HeaderName::from_static("bergamot-forward-upstream");

/// State of a request at the VM that forwards it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ForwardContext {
    /// The VM that forwards it.
    pub vm: String,
    /// Time since its head had arrived from the caller.
    pub elapsed: Millis,
    /// Time until its final answer is due.
    pub time_left: Millis,
    /// The upstreams at which it may have run.
    pub possible_runs: Vec<UpstreamIncarnation>,
    /// How many sends may have reached an upstream.
    pub arrivals: u32,
    /// The last event that its caller has received, if it resumes a stream.
    pub resume_after: Option<u64>,
}

/// Why a request is not accepted from another VM.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum ContextError {
    /// It carries another secret than this VM's, as after a restart of this VM, or none.
    #[error("the secret is not this VM's")]
    WrongSecret,
    /// Its context is missing or cannot be decoded.
    #[error("the context cannot be read")]
    Unreadable,
}

impl ForwardContext {
    /// Adds this context to the headers of a request to the VM with this secret.
    pub fn insert_into(&self, headers: &mut HeaderMap, secret: u64) {
        let bytes = postcard::to_stdvec(self).unwrap_or_else(|error| {
            log::error!("event=record_not_written reason={error:?}");
            Vec::new()
        });
        insert(headers, CONTEXT_HEADER, &hex::encode(bytes));
        insert(headers, SECRET_HEADER, &format!("{secret:016x}"));
    }

    /// Takes the context out of a request's headers.
    ///
    /// # Errors
    /// See [`ContextError`].
    pub fn take_from(headers: &mut HeaderMap, secret: u64) -> Result<Self, ContextError> {
        let presented = headers.remove(SECRET_HEADER);
        let expected = format!("{secret:016x}");
        if presented.is_none_or(|presented| presented.as_bytes() != expected.as_bytes()) {
            return Err(ContextError::WrongSecret);
        }
        let context = headers.remove(CONTEXT_HEADER);
        let context = context.ok_or(ContextError::Unreadable)?;
        let bytes = hex::decode(context.as_bytes()).map_err(|_| ContextError::Unreadable)?;
        postcard::from_bytes(&bytes).map_err(|_| ContextError::Unreadable)
    }
}

/// What an answer means to the VM that forwarded the request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ForwardVerdict {
    /// An upstream's answer.
    Answered,
    /// Nothing was sent. Another VM may serve the request.
    Declined,
    /// The request was refused and has not run. No other VM would serve it either.
    Refused,
    /// The request may have run, and has no answer.
    Lost,
}

impl ForwardVerdict {
    /// Returns the verdict on a refusal by the VM that serves a forwarded request.
    pub fn of_refusal(kind: ErrorKind) -> Self {
        let response = kind.response();
        match kind {
            // What only this VM lacks, or knows differently.
            ErrorKind::UpstreamsUnreachable
            | ErrorKind::MemoryFull
            | ErrorKind::NoBundle
            | ErrorKind::ConfigUnconfirmed
            | ErrorKind::ShuttingDown
            | ErrorKind::Unauthorized
            | ErrorKind::Forbidden
            | ErrorKind::NotFound
            | ErrorKind::BadRequest
            | ErrorKind::Internal => Self::Declined,
            _ if response.ran == RanState::No => Self::Refused,
            _ => Self::Lost,
        }
    }

    /// Returns the name in headers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Declined => "declined",
            Self::Refused => "refused",
            Self::Lost => "lost",
        }
    }

    /// Adds this verdict to the headers of an answer.
    pub fn insert_into(self, headers: &mut HeaderMap) {
        insert(headers, VERDICT_HEADER, self.as_str());
    }

    /// Takes the verdict out of an answer's headers. Returns `None` if there is none, or an unknown
    /// one.
    pub fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        let text = headers.remove(VERDICT_HEADER)?;
        let verdicts = [Self::Answered, Self::Declined, Self::Refused, Self::Lost];
        let mut verdicts = verdicts.into_iter();
        verdicts.find(|verdict| verdict.as_str().as_bytes() == text.as_bytes())
    }
}

/// Adds the upstream that gave an answer to the answer's headers.
pub fn insert_upstream(headers: &mut HeaderMap, incarnation: &UpstreamIncarnation) {
    insert(headers, UPSTREAM_HEADER, incarnation.as_str());
}

/// Takes the id of the upstream that gave an answer out of the answer's headers.
pub fn take_upstream(headers: &mut HeaderMap) -> Option<UpstreamId> {
    let id = headers.remove(UPSTREAM_HEADER)?;
    Some(UpstreamId::new(id.to_str().ok()?))
}

/// Adds to a declining answer that its VM reaches no upstream.
pub fn insert_reaches_none(headers: &mut HeaderMap) {
    insert(headers, REACHES_NONE_HEADER, "1");
}

/// Takes out of an answer's headers whether its VM reaches no upstream.
pub fn take_reaches_none(headers: &mut HeaderMap) -> bool {
    headers.remove(REACHES_NONE_HEADER).is_some()
}

fn insert(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
