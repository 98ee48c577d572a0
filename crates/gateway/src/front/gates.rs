//! What upstreams say in their answers of whether they take more requests.

use bergamot_ports::ReplyFacts;
use bergamot_quarantine::QuarantineEvent;
use bergamot_types::prelude::*;

use super::FrontContext;
use super::breaks::handle;

/// Takes in what an upstream's answer says of that. The VM's own clock goes on while it is suspended, as the rest does.
pub fn note_gate<Dialect>(front: &FrontContext<Dialect>, life: &UpstreamLife, facts: &ReplyFacts) {
    match facts.rest {
        Ok(None) => {}
        Ok(Some(time)) => note_rest(front, life, time),
        Err(error) => log::warn!("event=rest_unreadable upstream={life} reason=\"{error}\""),
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

fn note_rest<Dialect>(front: &FrontContext<Dialect>, life: &UpstreamLife, time: Millis) {
    if time == Millis::ZERO {
        return;
    }
    let now = front.now();
    let is_new = front.book.borrow_mut().gates.rest(life, now + time, now);
    if is_new {
        log::info!("event=upstream_rests upstream={life} time={time}");
    }
    show_resting(front);
}

/// Shows how many upstreams rest now.
pub fn show_resting<Dialect>(front: &FrontContext<Dialect>) {
    let resting = front.book.borrow().gates.resting(front.now());
    let metrics = &front.shared.metrics;
    metrics.set_state("resting_upstreams", resting as i64);
}
