//! What upstreams say in their answers of whether they take more requests.

use bergamot_ports::ReplyFacts;
use bergamot_quarantine::QuarantineEvent;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::breaks::handle;

/// Takes in what an upstream's answer says of that. The VM's own clock goes on while it is suspended, as that time does.
pub fn note_gate<Dialect>(
    front: &FrontContext<Dialect>,
    upstream: &UpstreamIncarnation,
    facts: &ReplyFacts,
) {
    match facts.backoff {
        Ok(None) => {}
        Ok(Some(time)) => note_back_off(front, upstream, time),
        Err(err) => log::warn!("event=back_off_unreadable upstream={upstream} reason=\"{err}\""),
    }
    if facts.is_leaving {
        note_leaving(front, upstream);
    }
}

fn note_leaving<Dialect>(front: &FrontContext<Dialect>, incarnation: &UpstreamIncarnation) {
    let now = front.now();
    if front
        .monitor
        .borrow_mut()
        .gates
        .mark_leaving(incarnation, now)
    {
        log::info!("event=upstream_leaves upstream={incarnation}");
        // What is cut at its end is cut by the end of a planned stop.
        handle(front, QuarantineEvent::Leaving(incarnation));
    }
}

fn note_back_off<Dialect>(
    front: &FrontContext<Dialect>,
    incarnation: &UpstreamIncarnation,
    time: Millis,
) {
    if time == Millis::ZERO {
        return;
    }
    let now = front.now();
    let is_new = front
        .monitor
        .borrow_mut()
        .gates
        .back_off(incarnation, now + time, now);
    if is_new {
        log::info!("event=upstream_backs_off upstream={incarnation} time={time}");
    }
    show_backing_off(front);
}

/// Shows from how many upstreams this VM backs off now.
pub fn show_backing_off<Dialect>(front: &FrontContext<Dialect>) {
    let resting = front.monitor.borrow().gates.backing_off_count(front.now());
    let metrics = &front.shared.metrics;
    metrics.set_state("backing_off_upstreams", resting as i64);
}
