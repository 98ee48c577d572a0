//! A single attempt of a request at one upstream.

use std::cell::{Cell, OnceCell, RefCell};
use std::fmt;

use bergamot_bounded::status::is_final;
use bergamot_ports::{CallerCall, CallerDialect, OutgoingContext, ReplyFacts};
use bergamot_quarantine::RequestPrint;
use bergamot_routing::{DispatchedRequest, RouteUpstream};
use bergamot_types::prelude::*;
use http_body_util::{BodyExt, Limited};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as ReplyParts;
use hyper::{HeaderMap, Method, Request, Uri};

use super::FrontContext;
use super::admit::AdmittedCaller;
use super::flight::{ConnectGuard, FlightGuard};
use super::gates::record_availability;
use super::held::ReplyBody;
use super::limits::record_limit;
use super::partition::connect_new;
use super::permits::{SendPermit, may_send};
use super::pool::{ConnectError, UpstreamConnection};
use super::residency::{LatestHomes, is_still_allowed};
use super::warmup::record_cold_time;
use crate::body::RequestBody;

/// The parts of a request that are the same for all its attempts.
pub struct SentRequest {
    /// The request method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub uri: Uri,
    /// The request headers as the caller sent them.
    pub headers: HeaderMap,
    /// The request body.
    pub body: RequestBody,
    /// The caller's call.
    pub call: CallerCall,
    /// The caller's account.
    pub account: Option<ClientAccount>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Home regions that were last in force.
    pub homes: RefCell<LatestHomes>,
    /// Version of the configuration under which the last upstream was selected.
    pub selection_version: Cell<u64>,
    /// Cache of [`Self::print`].
    print: OnceCell<RequestPrint>,
    /// Cache of [`Self::part_prints`].
    part_prints: OnceCell<Vec<RequestPrint>>,
}

impl SentRequest {
    /// Creates a request whose body was read completely.
    pub fn new(
        head: RequestParts,
        body: RequestBody,
        call: CallerCall,
        admitted: AdmittedCaller,
    ) -> Self {
        Self {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            call,
            account: admitted.account,
            priority: admitted.priority,
            homes: RefCell::new(admitted.homes),
            selection_version: Cell::new(0),
            print: OnceCell::new(),
            part_prints: OnceCell::new(),
        }
    }

    /// Returns the parts of the prompt that other requests may share, for log lines.
    pub fn part_list(&self) -> PartList<'_> {
        PartList(self.call.shared_parts())
    }

    /// Returns the fingerprints of the parts of the prompt that other requests may share.
    pub fn part_prints(&self) -> &[RequestPrint] {
        self.part_prints.get_or_init(|| {
            let parts = self.call.shared_parts().iter();
            parts.map(RequestPrint::of_part).collect()
        })
    }

    /// Returns the fingerprint, which is the same each time a caller sends this request. Computed
    /// on the first call, since most requests need none.
    pub fn print(&self) -> RequestPrint {
        *self.print.get_or_init(|| {
            let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
            RequestPrint::of_pieces(self.account.as_ref(), path, self.body.pieces())
        })
    }
}

/// The ids of prompt parts as one word of a log line.
pub struct PartList<'a>(pub &'a [PromptPartId]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some((first, rest)) = self.0.split_first() else {
            return f.write_str("-");
        };
        write!(f, "{first}")?;
        rest.iter().try_for_each(|part| write!(f, ",{part}"))
    }
}

/// An answer whose head arrived and whose body is not read yet. Closes its connection when dropped.
pub struct OpenReply {
    /// The upstream.
    pub upstream: RouteUpstream,
    /// The answer's head.
    pub head: ReplyParts,
    /// The facts that the head advertises.
    pub facts: ReplyFacts,
    /// The answer's body.
    pub body: ReplyBody,
    /// The connection, which returns to the pool after the body.
    pub connection: UpstreamConnection,
    /// When the request was sent, and the latency expected then.
    pub run: DispatchedRequest,
    /// Time from the start of the attempt until the connection was ready.
    pub connect_latency: Millis,
    /// Time from the ready connection to the answer's head.
    pub head_latency: Millis,
    /// Counts the request as in flight at the upstream.
    pub flight: FlightGuard,
}

/// Why an attempt failed.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// Nothing was sent, for instance because the connection could not be established.
    #[error("nothing was sent: {0}")]
    NotSent(String),
    /// The upstream stopped accepting requests while the connection was established, so nothing was
    /// sent.
    #[error("nothing was sent, the upstream takes no more for now")]
    HeldBack,
    /// Nothing listens at the address, so nothing was sent.
    #[error("nothing was sent, the connection was refused: {0}")]
    NoListener(String),
    /// The upstream rejected the request with this status and advertised that it did not run it.
    #[error("refused unrun with status {0}")]
    Refused(u16),
    /// Like [`Self::Refused`], and the upstream asks this VM to back off for this time.
    #[error("refused unrun, to back off for {0} ms")]
    BackingOff(Millis),
    /// Another incarnation of the upstream listens at the address, or the upstream leads no group.
    #[error("another upstream was meant")]
    Misdirected,
    /// The answer is a success without the upstream's signature.
    #[error("an answer without a signature")]
    Unsigned,
    /// The request was sent and may have run.
    #[error("broken after it was sent: {0}")]
    Broken(String),
}

impl AttemptError {
    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Unsigned)
    }

    /// Whether the request may have reached the upstream, run or not.
    pub fn may_have_arrived(&self) -> bool {
        !matches!(
            self,
            Self::NotSent(_) | Self::NoListener(_) | Self::HeldBack
        )
    }

    /// Returns the outcome's name in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::HeldBack => "held_back",
            Self::NoListener(_) => "no_listener",
            Self::Refused(_) => "refused",
            Self::BackingOff(_) => "back_off",
            Self::Misdirected => "misdirected",
            Self::Unsigned => "unsigned",
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
    let connect_guard = ConnectGuard::enter(&front.monitor, &upstream.incarnation, sent_at);
    let connection = match front.pool.take_idle(&upstream.incarnation) {
        Some(connection) => Ok(connection),
        None => connect_new(front, upstream).await,
    };
    drop(connect_guard);
    let connect_latency = front.now().since(sent_at);
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
    if !may_send(front, request, upstream, permit) || !is_still_allowed(front, request, upstream) {
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
    let mut outgoing = Request::new(request.body.to_outgoing());
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    *outgoing.headers_mut() = front.dialect.outgoing_headers(&request.call, &context);
    let reply = connection.sender.try_send_request(outgoing).await;
    let reply = reply.map_err(|mut send_error| {
        let reason = send_error.error().to_string();
        match send_error.take_message() {
            Some(_) => AttemptError::NotSent(reason),
            None => AttemptError::Broken(reason),
        }
    })?;
    let (head, body) = reply.into_parts();
    if !is_final(head.status) {
        return Err(AttemptError::Broken(format!(
            "the status {} ends no exchange",
            head.status.as_u16()
        )));
    }
    let body = ReplyBody::new(body, connection.meter.clone());
    let facts = front.dialect.reply_facts(&request.call.id, &head);
    if !facts.matches_request {
        return Err(AttemptError::Broken(
            "an answer to another request".to_owned(),
        ));
    }
    // A misdirected answer comes from another upstream, so its headers do not apply to this one.
    if !facts.is_misdirected {
        record_limit(front, upstream, &facts, sent_at + connect_latency);
        record_availability(front, &upstream.incarnation, &facts);
        record_cold_time(front, upstream, &facts);
    }
    let backoff = facts
        .backoff
        .ok()
        .flatten()
        .filter(|duration| *duration > Millis::ZERO);
    let is_unsigned = head.status.is_success() && !facts.is_signed;
    let error = match (facts.is_misdirected, facts.is_not_run, backoff) {
        (true, _, _) => AttemptError::Misdirected,
        (false, true, Some(duration)) => AttemptError::BackingOff(duration),
        (false, true, None) => AttemptError::Refused(head.status.as_u16()),
        (false, false, _) if is_unsigned => AttemptError::Unsigned,
        (false, false, _) => {
            return Ok(OpenReply {
                upstream: upstream.clone(),
                head,
                facts,
                body,
                connection,
                run,
                connect_latency,
                head_latency: front.now().since(sent_at + connect_latency),
                flight,
            });
        }
    };
    drain_error_response(front, upstream, body, connection, facts.keep_alive);
    Err(error)
}

/// Reads the rest of an error response in the background, so that its connection can be reused.
fn drain_error_response<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &RouteUpstream,
    body: ReplyBody,
    connection: UpstreamConnection,
    keep_alive: Option<u64>,
) {
    let pool = std::rc::Rc::clone(&front.pool);
    let id = upstream.incarnation.clone();
    tokio::task::spawn_local(async move {
        let read = Limited::new(body, MAX_ERROR_BYTES).collect();
        let read = tokio::time::timeout(ERROR_BODY_TIMEOUT, read).await;
        if matches!(read, Ok(Ok(_))) {
            pool.give_back(&id, connection, keep_alive);
        }
    });
}

/// Most bytes of the rest of an error response that are read. One that is longer costs more than a
/// new connection.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// How long to wait for the rest of an error response before its connection is closed.
const ERROR_BODY_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);
