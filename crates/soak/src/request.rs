//! Requests of callers, and the answers that the stand-ins give.

use std::time::Duration;

use bergamot_adapter::sample::SampleRequest;
use bergamot_site_standin::answers::EVENT_TOKENS;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};

use crate::harmful::MARKER;
use crate::site::UpstreamRole;

/// The header of a request's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "deadline-ms";
/// Events of a harmful stream: more than there is time for before its upstream ends.
const HARMFUL_EVENTS: u64 = 60;

/// What a request is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestKind {
    /// Idempotent, to the plain service.
    Read,
    /// Not idempotent, to the plain service.
    Bid,
    /// A stream that may be resumed, to a group; of so many events.
    Stream(u64),
    /// A stream that may be sent to one upstream only, of so many events.
    Single(UpstreamRole, u64),
    /// Idempotent, to the plain service, with a home region.
    Home,
    /// Idempotent, to the plain service, on the route that this version of the configuration added.
    Added(u64),
    /// Ends each upstream that runs it: a stream, or idempotent; the same number is the same request.
    Harmful(UpstreamRole, usize),
}

impl RequestKind {
    /// The upstreams that serve it.
    pub const fn role(self) -> UpstreamRole {
        match self {
            Self::Stream(_) => UpstreamRole::Engine,
            Self::Single(role, _) | Self::Harmful(role, _) => role,
            Self::Read | Self::Bid | Self::Home | Self::Added(_) => UpstreamRole::Desk,
        }
    }

    /// Whether it is a stream of events, and not a harmful one.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream(_) | Self::Single(..))
    }
}

/// What a caller asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallOrder<'a> {
    /// The request's id.
    pub(crate) id: &'a str,
    /// What it is for.
    pub(crate) kind: RequestKind,
    /// The key it carries.
    pub(crate) key: &'a str,
    /// Its deadline.
    pub(crate) deadline: Duration,
}

/// The request itself.
pub(crate) fn request(order: CallOrder<'_>) -> Option<Request<Full<Bytes>>> {
    let CallOrder {
        id,
        kind,
        key,
        deadline,
    } = order;
    let (method, path) = match kind {
        RequestKind::Read => (Method::GET, format!("/read/{id}")),
        RequestKind::Home => (Method::GET, format!("/home/{id}")),
        RequestKind::Added(number) => (Method::GET, format!("/added-{number}/{id}")),
        RequestKind::Bid => (Method::POST, format!("/bid/{id}")),
        RequestKind::Stream(_) => (Method::POST, format!("/stream/{id}")),
        RequestKind::Single(role, _) => (Method::POST, format!("/{}/{id}", role.single_route())),
        RequestKind::Harmful(role, number) => (Method::POST, harmful_path(role, number)),
    };
    let mut builder = Request::builder().method(method).uri(path);
    let answer_tokens = match kind {
        RequestKind::Stream(events) | RequestKind::Single(_, events) => Some(events * EVENT_TOKENS),
        RequestKind::Harmful(UpstreamRole::Engine, _) => Some(HARMFUL_EVENTS * EVENT_TOKENS),
        RequestKind::Harmful(UpstreamRole::Desk, _)
        | RequestKind::Read
        | RequestKind::Home
        | RequestKind::Added(_)
        | RequestKind::Bid => None,
    };
    let sample = SampleRequest {
        id,
        key,
        answer_tokens,
    };
    let has_model = kind.role() == UpstreamRole::Engine;
    let headers = sample.headers().into_iter();
    for (name, value) in headers.filter(|(name, _)| has_model || *name != "model") {
        let value = match name {
            DEADLINE_HEADER => deadline.as_millis().to_string(),
            _ => value,
        };
        builder = builder.header(name, value);
    }
    let body = match kind {
        RequestKind::Read | RequestKind::Home | RequestKind::Added(_) => Bytes::new(),
        RequestKind::Harmful(..) => Bytes::from_static(MARKER.as_bytes()),
        _ => Bytes::from(id.to_owned()),
    };
    builder.body(Full::new(body)).ok()
}

fn harmful_path(role: UpstreamRole, number: usize) -> String {
    match role {
        UpstreamRole::Engine => format!("/stream/harmful-{number}"),
        UpstreamRole::Desk => format!("/read/harmful-{number}"),
    }
}

fn whole_stream(events: u64) -> String {
    let events = (1..=events).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    events.collect()
}

/// What the stand-ins answer to this request.
pub(crate) fn whole_answer(id: &str, kind: RequestKind) -> String {
    match kind {
        RequestKind::Read => format!("GET /read/{id} 0"),
        RequestKind::Home => format!("GET /home/{id} 0"),
        RequestKind::Added(number) => format!("GET /added-{number}/{id} 0"),
        RequestKind::Bid => format!("POST /bid/{id} {}", id.len()),
        RequestKind::Stream(events) | RequestKind::Single(_, events) => whole_stream(events),
        RequestKind::Harmful(UpstreamRole::Engine, _) => whole_stream(HARMFUL_EVENTS),
        RequestKind::Harmful(role, number) => {
            format!("POST {} {}", harmful_path(role, number), MARKER.len())
        }
    }
}
