//! A caller's request as one typed call, and the way back.

use bergamot_types::AccountToken;
use bergamot_types::prelude::*;
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts as ReplyParts;
use hyper::{HeaderMap, Response};

/// What a caller's request says, apart from its body.
#[derive(Clone, Debug)]
pub struct CallerCall {
    /// The caller's name for this request.
    pub id: RequestId,
    /// The host asked for.
    pub host: String,
    /// The secret it came with.
    pub key: Option<AccountToken>,
    /// Time the caller will wait.
    pub deadline: Option<Millis>,
    /// The model that must answer.
    pub model: Option<ModelName>,
    /// The last event the caller has, when it resumes a stream.
    pub resume_after: Option<u64>,
    /// Tokens of the prompt and the most tokens of the answer.
    pub tokens: Option<(u64, u64)>,
    /// Headers to pass on, without the caller's key and without those of its connection.
    pub headers: HeaderMap,
}

impl CallerCall {
    /// Tokens of the prompt; 0 where the call does not say.
    pub fn prompt_tokens(&self) -> u32 {
        let prompt = self.tokens.map_or(0, |(prompt, _)| prompt);
        prompt.try_into().unwrap_or(u32::MAX)
    }
}

/// What this system adds to a request it sends.
#[derive(Clone, Debug)]
pub struct OutgoingContext<'a> {
    /// The upstream that must take it.
    pub upstream: &'a UpstreamId,
    /// Whose request it is.
    pub account: Option<&'a ClientAccount>,
    /// Time that is left.
    pub time_left: Millis,
    /// 0 is the most urgent.
    pub priority: u8,
    /// The last event that was delivered, when a stream is resumed.
    pub resume_after: Option<u64>,
}

/// What an upstream's answer says of itself.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ReplyFacts {
    /// Whether it answers this very request.
    pub is_own: bool,
    /// Whether the upstream says that the request did not run.
    pub is_not_run: bool,
    /// Whether another upstream took the connection.
    pub is_misdirected: bool,
    /// Whether it bears the upstream's signature.
    pub is_signed: bool,
    /// Seconds the upstream keeps an idle connection, if it says so.
    pub keep_alive: Option<u64>,
    /// Requests a second that the upstream takes from all entry VMs together; none where it advertises no limit.
    pub send_limit: Result<Option<SendRate>, RateError>,
    /// Time for which this VM is to back off from the upstream, which refused the request; none where it says no time.
    pub back_off: Result<Option<Millis>, SpanError>,
    /// Whether the upstream says that it leaves.
    pub is_leaving: bool,
}

/// An answer of this system's own.
#[derive(Clone, Copy, Debug)]
pub struct RefusalContext<'a> {
    /// Why.
    pub kind: ErrorKind,
    /// The request, where it could be read.
    pub id: Option<&'a RequestId>,
    /// When to come back.
    pub retry_after: Option<Millis>,
}

/// Translates between callers and upstreams on one side and typed calls on the other.
pub trait CallerDialect {
    /// Reads a request's head.
    ///
    /// # Errors
    /// What is wrong with it.
    fn read_call(&self, head: &RequestParts) -> Result<CallerCall, ErrorKind>;

    /// The headers of the request as an upstream gets it.
    fn outgoing_headers(&self, call: &CallerCall, context: &OutgoingContext<'_>) -> HeaderMap;

    /// Reads an upstream's answer to a request.
    fn reply_facts(&self, id: &RequestId, head: &ReplyParts) -> ReplyFacts;

    /// The headers of an upstream's answer as the caller gets it.
    fn answer_headers(&self, head: &ReplyParts) -> HeaderMap;

    /// An answer of this system's own.
    fn refusal(&self, context: &RefusalContext<'_>) -> Response<String>;
}
