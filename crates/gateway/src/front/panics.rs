//! Panics while a request is served: each ends that request alone, with an error.

use bergamot_ports::CallerDialect;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::answer::CallerAnswer;
use super::refusal::refuse;
use super::trace::RequestTrace;
use crate::panics::TaskPanic;

/// Logs and counts a panic. `stage` is what was being done for the request.
pub fn record_panic<Dialect>(
    front: &FrontContext<Dialect>,
    id: Option<&RequestId>,
    stage: &str,
    panic: &TaskPanic,
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
    panic: &TaskPanic,
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
