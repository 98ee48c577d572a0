//! Panics while a request is served: each ends that request alone, with an error.

use std::any::Any;
use std::panic::AssertUnwindSafe;

use bergamot_ports::CallerDialect;
use bergamot_types::prelude::*;
use futures::FutureExt;

use super::FrontContext;
use super::answer::CallerAnswer;
use super::refusal::refuse;
use super::trace::RequestTrace;

/// A future of a request panicked.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct RequestPanic(String);

impl From<Box<dyn Any + Send>> for RequestPanic {
    fn from(payload: Box<dyn Any + Send>) -> Self {
        let literal = payload.downcast_ref::<&str>().copied();
        let formatted = || payload.downcast_ref::<String>().map(String::as_str);
        let reason = literal.or_else(formatted).unwrap_or("unknown");
        Self(reason.to_owned())
    }
}

/// Awaits a future.
///
/// # Errors
/// [`RequestPanic`] if it panics.
pub async fn catch_panic<Running>(running: Running) -> Result<Running::Output, RequestPanic>
where
    Running: Future,
{
    // State that requests share is borrowed between two awaits only, and a panic ends the borrow.
    let caught = AssertUnwindSafe(running).catch_unwind().await;
    caught.map_err(RequestPanic::from)
}

/// Logs and counts a panic. `stage` is what was being done for the request.
pub fn record_panic<Dialect>(
    front: &FrontContext<Dialect>,
    id: Option<&RequestId>,
    stage: &str,
    panic: &RequestPanic,
) {
    log::error!(
        "event=request_panicked request={} stage={stage} reason=\"{panic}\"",
        id.map_or("-", RequestId::as_str)
    );
    let panics = &front.shared.metrics.request_panics;
    panics.with_label_values(&[stage]).inc();
}

/// Returns the answer to a request for which no other was made because of a panic.
pub fn answer_panicked<Dialect>(
    front: &FrontContext<Dialect>,
    trace: &RequestTrace,
    panic: &RequestPanic,
) -> CallerAnswer
where
    Dialect: CallerDialect,
{
    record_panic(front, trace.id(), "answer", panic);
    let kind = match trace.may_have_run() {
        true => ErrorKind::UpstreamLost,
        false => ErrorKind::Internal,
    };
    refuse(front, trace.id(), kind.into())
}

#[cfg(test)]
mod tests;
