//! Backoff and leaving, which upstreams advertise in the headers of their answers.

use bergamot_ports::ReplyFacts;
use bergamot_quarantine::QuarantineEvent;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::breaks::handle;

/// Records the backoff and the leaving that an upstream's answer advertises. The clock of this VM
/// keeps running while the VM is suspended, and so does the backoff.
pub fn record_availability<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &UpstreamIncarnation,
    facts: &ReplyFacts,
) {
    match facts.backoff {
        Ok(None) => {}
        Ok(Some(duration)) => record_backoff(front, upstream, duration),
        Err(err) => log::warn!("event=back_off_unreadable upstream={upstream} reason=\"{err}\""),
    }
    if facts.is_leaving {
        record_leaving(front, upstream);
    }
}

fn record_leaving<Dialect>(front: &FrontContext<Dialect>, incarnation: &UpstreamIncarnation) {
    let now = front.now();
    if front
        .monitor
        .borrow_mut()
        .gates
        .mark_leaving(incarnation, now)
    {
        log::info!("event=upstream_leaves upstream={incarnation}");
        // Requests that are aborted when the upstream stops are aborted by a planned stop, not by a
        // crash.
        handle(front, QuarantineEvent::Leaving(incarnation));
    }
}

fn record_backoff<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
    duration: Millis,
) {
    if duration == Millis::ZERO {
        return;
    }
    let now = front.now();
    let is_new = front
        .monitor
        .borrow_mut()
        .gates
        .back_off(incarnation, now + duration, now);
    if is_new {
        log::info!("event=upstream_backs_off upstream={incarnation} time={duration}");
    }
    update_backing_off_metric(front);
}

/// Sets the metric for the number of upstreams that this VM backs off from.
pub fn update_backing_off_metric<Dialect>(front: &FrontContext<Dialect>) {
    let backing_off = front.monitor.borrow().gates.backing_off_count(front.now());
    let metrics = &front.shared.metrics;
    metrics.set_state("backing_off_upstreams", backing_off as i64);
}
