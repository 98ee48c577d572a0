//! Typed caller requests, and their translation to and from HTTP.

use bergamot_types::AccountToken;
use bergamot_types::prelude::*;
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as ReplyParts;
use hyper::{HeaderMap, Request, Response};

use crate::directory::UpstreamEntry;

/// A caller's request without its body.
#[derive(Clone, Debug)]
pub struct CallerCall {
    /// The request id, as chosen by the caller.
    pub id: RequestId,
    /// The requested host.
    pub host: String,
    /// The account token of the request.
    pub key: Option<AccountToken>,
    /// How long the caller waits for an answer.
    pub deadline: Option<Millis>,
    /// The requested model.
    pub model: Option<ModelName>,
    /// The last event that the caller received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Number of prompt tokens, and maximum number of answer tokens.
    pub tokens: Option<(u64, u64)>,
    /// The parts of the prompt that other requests may share, in order. The error states why they
    /// could not be read; the request is served all the same.
    pub shared_parts: Result<Vec<PromptPartId>, PromptPartsError>,
    /// Headers to forward, without the caller's key and without connection headers.
    pub headers: HeaderMap,
}

/// Why the parts of a request's prompt could not be read.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum PromptPartsError {
    /// The header was sent more than once.
    #[error("repeated")]
    Repeated,
    /// A part has no id, an overlong one, or no number of tokens.
    #[error("not a list of ids with numbers of tokens")]
    Malformed,
    /// There are more than [`MAX_PROMPT_PARTS`].
    #[error("more than {MAX_PROMPT_PARTS} parts")]
    TooMany,
}

/// Maximum number of parts of a prompt that are read.
pub const MAX_PROMPT_PARTS: usize = 64;
/// Maximum length of a prompt part's id in bytes.
pub const MAX_PART_ID_BYTES: usize = 64;

impl CallerCall {
    /// Returns the parts of the prompt that other requests may share. Empty if there are none, or if
    /// they could not be read.
    pub fn shared_parts(&self) -> &[PromptPartId] {
        self.shared_parts.as_deref().unwrap_or_default()
    }

    /// Returns the number of prompt tokens, or 0 if the request does not state it.
    pub fn prompt_tokens(&self) -> u32 {
        let prompt = self.tokens.map_or(0, |(prompt, _)| prompt);
        prompt.try_into().unwrap_or(u32::MAX)
    }
}

/// Information that this system adds to a request for an upstream.
#[derive(Clone, Debug)]
pub struct OutgoingContext<'a> {
    /// The upstream that the request is for.
    pub upstream: &'a UpstreamId,
    /// The client account of the caller.
    pub account: Option<&'a ClientAccount>,
    /// Time until the deadline.
    pub time_left: Millis,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The last event that was delivered to the caller, if a stream is resumed.
    pub resume_after: Option<u64>,
}

/// Information in the head of an upstream's answer.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ReplyFacts {
    /// Whether the answer belongs to the request that was sent.
    pub matches_request: bool,
    /// Whether the upstream advertises that the request did not run.
    pub is_not_run: bool,
    /// Whether another upstream accepted the connection.
    pub is_misdirected: bool,
    /// Whether the answer carries the upstream's signature.
    pub is_signed: bool,
    /// Seconds for which the upstream keeps an idle connection open, if it advertises that.
    pub keep_alive: Option<u64>,
    /// Requests per second that the upstream accepts from all entry VMs together; none if it
    /// advertises no limit.
    pub send_limit: Result<Option<SendRate>, RateError>,
    /// How long this VM has to back off from an upstream that rejected the request; none if the
    /// upstream advertises no time.
    pub backoff: Result<Option<Millis>, SpanError>,
    /// Whether the upstream advertises that it is leaving.
    pub is_leaving: bool,
    /// How much longer the upstream stays cold; none if it does not advertise that.
    pub cold_left: Result<Option<Millis>, SpanError>,
}

/// Contents of an error response by which this system rejects a request.
#[derive(Clone, Copy, Debug)]
pub struct RefusalContext<'a> {
    /// The error kind.
    pub kind: ErrorKind,
    /// The request id, if it could be parsed.
    pub id: Option<&'a RequestId>,
    /// Delay before a retry.
    pub retry_after: Option<Millis>,
}

/// Translates between the HTTP of callers and upstreams, and typed calls.
pub trait CallerDialect {
    /// Parses the head of a request.
    ///
    /// # Errors
    /// The reason why the request is invalid.
    fn read_call(&self, head: &RequestParts) -> Result<CallerCall, ErrorKind>;

    /// Returns the headers of the request to an upstream.
    fn outgoing_headers(&self, call: &CallerCall, context: &OutgoingContext<'_>) -> HeaderMap;

    /// Parses the head of an upstream's answer to a request.
    fn reply_facts(&self, id: &RequestId, head: &ReplyParts) -> ReplyFacts;

    /// Returns a request without a body that an upstream of groups answers without a free slot.
    fn report_request(&self, upstream: &UpstreamEntry) -> Request<()>;

    /// Returns the headers with which a caller's request is passed on to another entry VM: all but
    /// those of a single connection.
    fn peer_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the headers of the answer to the caller.
    fn answer_headers(&self, head: &ReplyParts) -> HeaderMap;

    /// Returns the error response for a rejected request.
    fn refusal(&self, context: &RefusalContext<'_>) -> Response<String>;
}
