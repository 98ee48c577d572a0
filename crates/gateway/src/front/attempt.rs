//! One try at one upstream.

use std::cell::OnceCell;

use bergamot_ports::{CallerCall, CallerDialect, OutgoingContext, ReplyFacts};
use bergamot_quarantine::RequestPrint;
use bergamot_routing::{DispatchedRequest, RouteUpstream};
use bergamot_types::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as ReplyParts;
use hyper::{Method, Request, Uri};

use super::FrontContext;
use super::admit::AdmittedCaller;
use super::flight::{ConnectGuard, FlightGuard};
use super::gates::note_gate;
use super::limits::record_limit;
use super::permits::{SendPermit, may_send};
use super::pool::{ConnectError, UpstreamConnection};

/// What stays the same over all attempts of a request.
pub struct SentRequest {
    /// The method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// The body.
    pub body: Bytes,
    /// The caller's call.
    pub call: CallerCall,
    /// Whose request it is.
    pub account: Option<ClientAccount>,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Its print, once that was asked for.
    print: OnceCell<RequestPrint>,
}

impl SentRequest {
    /// A request that was read whole.
    pub fn new(
        head: RequestParts,
        body: Bytes,
        call: CallerCall,
        admitted: AdmittedCaller,
    ) -> Self {
        Self {
            method: head.method,
            uri: head.uri,
            body,
            call,
            account: admitted.account,
            priority: admitted.priority,
            print: OnceCell::new(),
        }
    }

    /// What is the same for this request however often it comes. Worked out when first asked for: most requests need
    /// none.
    pub fn print(&self) -> RequestPrint {
        *self.print.get_or_init(|| {
            let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
            RequestPrint::of(self.account.as_ref(), path, &self.body)
        })
    }
}

/// An answer whose body is still to be read. Closes its connection when dropped.
pub struct OpenReply {
    /// The upstream.
    pub upstream: RouteUpstream,
    /// The answer's head.
    pub head: ReplyParts,
    /// What the head says.
    pub facts: ReplyFacts,
    /// The answer's body.
    pub body: Incoming,
    /// The connection, to be given back.
    pub connection: UpstreamConnection,
    /// What was known of the request when it was sent.
    pub run: DispatchedRequest,
    /// Time that the connection took.
    pub connected: Millis,
    /// Time from there to the answer's head.
    pub head_took: Millis,
    /// Counts the request at the upstream.
    pub flight: FlightGuard,
}

/// Why an attempt has no answer.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// Nothing was sent.
    #[error("nothing was sent: {0}")]
    NotSent(String),
    /// The upstream took no more requests once it was connected to, so nothing was sent.
    #[error("nothing was sent, the upstream takes no more for now")]
    HeldBack,
    /// Nothing listens there, so nothing was sent.
    #[error("nothing was sent, the connection was refused: {0}")]
    NoListener(String),
    /// The upstream said that it did not run the request.
    #[error("refused unrun with status {0}")]
    Refused(u16),
    /// The same, and that this VM is to back off for a time.
    #[error("refused unrun, to back off for {0} ms")]
    BackingOff(Millis),
    /// Another run of the upstream listens there, or it leads no group.
    #[error("another upstream was meant")]
    Misdirected,
    /// It was sent and may have run.
    #[error("broken after it was sent: {0}")]
    Broken(String),
}

impl AttemptError {
    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Broken(_))
    }

    /// Whether the request may have reached the upstream, run or not.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(
            self,
            Self::NotSent(_) | Self::NoListener(_) | Self::HeldBack
        )
    }

    /// The outcome's name in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::HeldBack => "held_back",
            Self::NoListener(_) => "no_listener",
            Self::Refused(_) => "refused",
            Self::BackingOff(_) => "back_off",
            Self::Misdirected => "misdirected",
            Self::Broken(_) => "broken",
        }
    }
}

/// Sends a request and waits for the head of its answer.
pub async fn send<Dialect>(
    front: &FrontContext<Dialect>,
    request: &SentRequest,
    upstream: &RouteUpstream,
    permit: SendPermit,
    run: DispatchedRequest,
    time_left: Millis,
    resume_after: Option<u64>,
) -> Result<OpenReply, AttemptError>
where
    Dialect: CallerDialect,
{
    let sent_at = run.sent_at;
    let flight = FlightGuard::enter(
        &front.monitor,
        &upstream.incarnation,
        request.call.model.as_ref(),
        request.call.prompt_tokens(),
        sent_at,
    );
    let connecting = ConnectGuard::enter(&front.monitor, &upstream.incarnation, sent_at);
    let connection = front
        .pool
        .connect(&upstream.incarnation, upstream.addr)
        .await;
    drop(connecting);
    let connected = front.now().since(sent_at);
    match &connection {
        Ok(_) => front
            .monitor
            .borrow_mut()
            .record_connected(&upstream.incarnation),
        Err(_) => {
            let now = front.now();
            front
                .monitor
                .borrow_mut()
                .record_connect_failure(&upstream.incarnation, now);
        }
    }
    let mut connection = connection.map_err(|error| match error {
        ConnectError::Refused(error) => AttemptError::NoListener(error.to_string()),
        ConnectError::Failed(reason) => AttemptError::NotSent(reason),
    })?;
    if !may_send(front, request, upstream, permit) {
        front
            .pool
            .give_back(&upstream.incarnation, connection, None);
        return Err(AttemptError::HeldBack);
    }
    let context = OutgoingContext {
        upstream: &upstream.incarnation.id,
        account: request.account.as_ref(),
        time_left,
        priority: request.priority,
        resume_after,
    };
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = front.dialect.outgoing_headers(&request.call, &context);
    let reply = connection.sender.try_send_request(outgoing).await;
    let reply = reply.map_err(|mut failed| {
        let reason = failed.error().to_string();
        match failed.take_message() {
            Some(_) => AttemptError::NotSent(reason),
            None => AttemptError::Broken(reason),
        }
    })?;
    let (head, body) = reply.into_parts();
    let facts = front.dialect.reply_facts(&request.call.id, &head);
    if !facts.matches_request {
        return Err(AttemptError::Broken(
            "an answer to another request".to_owned(),
        ));
    }
    // Another upstream may have answered that another one was meant.
    if !facts.is_misdirected {
        record_limit(front, upstream, &facts, sent_at + connected);
        note_gate(front, &upstream.incarnation, &facts);
    }
    let back_off = facts
        .backoff
        .ok()
        .flatten()
        .filter(|time| *time > Millis::ZERO);
    let error = match (facts.is_misdirected, facts.is_not_run, back_off) {
        (true, _, _) => AttemptError::Misdirected,
        (false, true, Some(time)) => AttemptError::BackingOff(time),
        (false, true, None) => AttemptError::Refused(head.status.as_u16()),
        (false, false, _) => {
            return Ok(OpenReply {
                upstream: upstream.clone(),
                head,
                facts,
                body,
                connection,
                run,
                connected,
                head_took: front.now().since(sent_at + connected),
                flight,
            });
        }
    };
    finish_refused(front, upstream, body, connection, facts.keep_alive);
    Err(error)
}

/// Reads the rest of a refusal, so that its connection can be kept.
fn finish_refused<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    body: Incoming,
    connection: UpstreamConnection,
    keep_alive: Option<u64>,
) {
    let pool = std::rc::Rc::clone(&front.pool);
    let id = upstream.incarnation.clone();
    tokio::task::spawn_local(async move {
        let rest = http_body_util::BodyExt::collect(body);
        let rest = tokio::time::timeout(REFUSAL_REST, rest).await;
        if matches!(rest, Ok(Ok(_))) {
            pool.give_back(&id, connection, keep_alive);
        }
    });
}

/// Time for the rest of a refusal to come, after which its connection is closed.
const REFUSAL_REST: std::time::Duration = std::time::Duration::from_millis(200);
