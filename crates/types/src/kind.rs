//! Closed set of error kinds, and the table that maps each kind to its response.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran on an upstream, as far as this system can tell for certain.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// No upstream began the request, and none will.
    No,
    /// An upstream ran the request.
    Yes,
    /// The request was sent, and its outcome cannot be determined.
    Unknown,
}

impl RanState {
    /// Returns the value of the `Bergamot-Ran` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RanState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The error response that callers get for one error kind.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ErrorResponse {
    /// The kind that the response belongs to.
    pub kind: ErrorKind,
    /// The machine-readable code in the body.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub ran: RanState,
    /// Delay before a retry, in seconds; zero means that a retry does not help.
    pub retry_after_secs: u64,
    /// Explanation for the caller.
    pub message: &'static str,
}

/// Declares the kinds together with their responses, so that no kind can lack one.
macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident: $code:literal, $status:literal, $ran:ident, $retry:literal, $message:literal;)*) => {
        /// The reasons why a request can fail to get an upstream's answer.
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        /// One response per kind, in the order of the kinds.
        pub const ERROR_RESPONSES: &[ErrorResponse] = &[
            $(ErrorResponse {
                kind: ErrorKind::$kind,
                code: $code,
                status: $status,
                ran: RanState::$ran,
                retry_after_secs: $retry,
                message: $message,
            },)*
        ];
    };
}

error_kinds! {
    /// The request is not valid HTTP or JSON, or lacks a field.
    BadRequest: "bad_request", 400, No, 0, "the request could not be read";
    /// No account token, or an unknown one.
    Unauthorized: "unauthorized", 401, No, 0, "the account token is missing or unknown";
    /// The account may not use this model or service.
    Forbidden: "forbidden", 403, No, 0, "the account may not use this model or service";
    /// The bundle in force has no such path, model or service.
    NotFound: "not_found", 404, No, 0, "no such path, model or service";
    /// The path does not support this method.
    MethodNotAllowed: "method_not_allowed", 405, No, 0, "the path does not take this method";
    /// The body did not arrive in time.
    RequestTimeout: "request_timeout", 408, No, 0, "the request body did not arrive in time";
    /// The idempotency key was used before with another body.
    KeyReused: "idempotency_key_reused", 422, No, 0, "the idempotency key was used with another request";
    /// A first request with the key is still running.
    KeyInProgress: "idempotency_key_in_progress", 409, Unknown, 1, "a request with the same idempotency key is still running";
    /// The first request with the key was sent, and its outcome is not known.
    KeyOutcomeUnknown: "idempotency_key_outcome_unknown", 409, Unknown, 0, "a request with the same idempotency key was sent and its outcome is not known";
    /// The holders of the claim cannot be reached.
    ClaimUnavailable: "claim_unavailable", 503, No, 2, "the record of the idempotency key cannot be reached";
    /// All holders that could have a claim of the key were lost together.
    ClaimForgotten: "claim_forgotten", 503, Unknown, 60, "whether the idempotency key was used before cannot be told for now";
    /// The body exceeds the size limit.
    TooLarge: "request_too_large", 413, No, 0, "the request body is too large";
    /// The account has reached its rate or concurrency limit.
    RateLimited: "rate_limited", 429, No, 1, "the account's limit is used up";
    /// The queue is full, or its wait would exceed the deadline.
    Overloaded: "overloaded", 503, No, 1, "no capacity before the deadline";
    /// The memory for request bodies is used up, or the body arrived too slowly while others needed its room.
    MemoryFull: "memory_full", 503, No, 1, "this entry VM has no memory left for the request body";
    /// No routable replica serves the model or service now.
    NoUpstream: "no_upstream", 503, No, 2, "no replica is ready for this model or service";
    /// Upstreams rejected the request before running it, as often as the retry budget allows.
    UpstreamRefused: "upstream_refused", 503, No, 1, "the upstreams refused the request";
    /// The deadline passed before anything was sent.
    DeadlineBeforeSend: "deadline_exceeded", 504, No, 0, "the deadline passed before the request was sent";
    /// The deadline passed after the request was sent.
    DeadlineAfterSend: "deadline_exceeded_after_send", 504, Unknown, 0, "the deadline passed while the request was running";
    /// The connection to the upstream failed after the request was sent.
    UpstreamLost: "upstream_lost", 502, Unknown, 0, "the upstream broke off and the outcome is not known";
    /// No bundle is in force yet.
    NoBundle: "no_bundle", 503, No, 2, "no bundle is in force yet";
    /// The configuration was not confirmed recently enough to accept the caller's key, or to refuse the
    /// request for good.
    ConfigUnconfirmed: "configuration_unconfirmed", 503, No, 1, "the configuration could not be confirmed";
    /// The entry VM is stopping.
    ShuttingDown: "shutting_down", 503, No, 1, "this entry VM is stopping";
    /// An internal fault before the request was sent.
    Internal: "internal", 500, No, 1, "an internal fault";
    /// Upstreams crashed while they ran this request, so it is not sent to any other.
    Quarantined: "request_quarantined", 503, No, 600, "upstreams ended while they ran this request, or requests with a part of its prompt, and it is not sent to another one for now";
    /// No upstream takes requests at the moment.
    UpstreamsPaused: "upstreams_paused", 503, No, 1, "the upstreams take no more requests for a moment";
    /// All upstreams that could serve the request are in evacuated failure domains.
    DomainsEvacuated: "domains_evacuated", 503, No, 2, "all replicas are in failure domains that are being evacuated";
    /// No failure domain lies in a region in which the request may be processed.
    RegionUnavailable: "region_unavailable", 503, No, 0, "no region may process the request under its data residency rules";
    /// This entry VM reaches no upstream, and no other one takes the request.
    UpstreamsUnreachable: "upstreams_unreachable", 503, No, 1, "this entry VM reaches no replica";
}

impl ErrorKind {
    /// Returns the response for this kind. Constant time.
    pub fn response(self) -> &'static ErrorResponse {
        &ERROR_RESPONSES[self as usize]
    }

    /// Returns the machine-readable code.
    pub fn code(self) -> &'static str {
        self.response().code
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.code())
    }
}

impl std::error::Error for ErrorKind {}
