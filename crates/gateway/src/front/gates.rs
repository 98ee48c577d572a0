//! What upstreams say in their answers of whether they take more requests.

use bergamot_ports::ReplyFacts;
use bergamot_quarantine::QuarantineEvent;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::breaks::handle;

/// Takes in what an upstream's answer says of that. The VM's own clock goes on while it is suspended, as that time does.
pub fn note_gate<Dialect>(front: &FrontContext<Dialect>, life: &UpstreamLife, facts: &ReplyFacts) {
    match facts.back_off {
        Ok(None) => {}
        Ok(Some(time)) => note_back_off(front, life, time),
        Err(error) => log::warn!("event=back_off_unreadable upstream={life} reason=\"{error}\""),
    }
    if facts.is_leaving {
        note_leaving(front, life);
    }
}

fn note_leaving<Dialect>(front: &FrontContext<Dialect>, life: &UpstreamLife) {
    let now = front.now();
    if front.book.borrow_mut().gates.leave(life, now) {
        log::info!("event=upstream_leaves upstream={life}");
        // What is cut at its end is cut by the end of a planned stop.
        handle(front, QuarantineEvent::Leaving(life));
    }
}

fn note_back_off<Dialect>(front: &FrontContext<Dialect>, life: &UpstreamLife, time: Millis) {
    if time == Millis::ZERO {
        return;
    }
    let now = front.now();
    let is_new = front
        .book
        .borrow_mut()
        .gates
        .back_off(life, now + time, now);
    if is_new {
        log::info!("event=upstream_backs_off upstream={life} time={time}");
    }
    show_backing_off(front);
}

/// Shows from how many upstreams this VM backs off now.
pub fn show_backing_off<Dialect>(front: &FrontContext<Dialect>) {
    let resting = front.book.borrow().gates.backing_off(front.now());
    let metrics = &front.shared.metrics;
    metrics.set_state("backing_off_upstreams", resting as i64);
}
