//! Names of the headers between callers, entry VMs and upstreams.

/// Whether the request ran: `no`, `yes` or `unknown`.
pub const RAN: &str = "bergamot-ran";
/// The group to which a request is addressed, or that answered it.
pub const GROUP: &str = "bergamot-group";
/// The epoch of the group in [`GROUP`].
pub const EPOCH: &str = "bergamot-epoch";
/// Number of requests running and queued at the upstream; set on its answers.
pub const LOAD: &str = "bergamot-load";
/// The token offset from which a stream is resumed.
pub const RESUME: &str = "bergamot-resume-offset";
/// `at-most-once` makes any request non-idempotent.
pub const RUN: &str = "bergamot-run";
/// How long the caller waits for an answer, in milliseconds.
pub const DEADLINE: &str = "bergamot-deadline-ms";
/// Identifies the request.
pub const REQUEST_ID: &str = "x-request-id";
/// Identifies the operation across retries by the caller.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The priority of the request at the engine.
pub const PRIORITY: &str = "bergamot-priority";
/// `true` if the answer is a stored one.
pub const REPLAYED: &str = "idempotent-replayed";
