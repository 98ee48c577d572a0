//! Names of the headers between callers, entry VMs and upstreams.

/// `no`, `yes` or `unknown`: whether the request ran.
pub const RAN: &str = "bergamot-ran";
/// The group a request is meant for, and that answered it.
pub const GROUP: &str = "bergamot-group";
/// The epoch of that group.
pub const EPOCH: &str = "bergamot-epoch";
/// Requests running and queued at the upstream, with its answer.
pub const LOAD: &str = "bergamot-load";
/// The token offset a stream should go on from.
pub const RESUME: &str = "bergamot-resume-offset";
/// `at-most-once` makes any request non-idempotent.
pub const RUN: &str = "bergamot-run";
/// Milliseconds the caller waits at most.
pub const DEADLINE: &str = "bergamot-deadline-ms";
/// Names the request.
pub const REQUEST_ID: &str = "x-request-id";
/// Names the operation over all its repeats.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The priority a request has at the engine.
pub const PRIORITY: &str = "bergamot-priority";
/// `true` when the answer is a kept one.
pub const REPLAYED: &str = "idempotent-replayed";
