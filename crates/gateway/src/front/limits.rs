//! Limits that upstreams name in their answers.

use bergamot_ports::ReplyFacts;
use bergamot_quota::{LimitChange, LimitSight};
use bergamot_types::prelude::*;

use super::FrontContext;

/// Takes in what an upstream's answer to a request that was sent at `sent_at` says of its limit.
pub fn note_limit<Dialect>(
    front: &FrontContext<Dialect>,
    life: &UpstreamLife,
    facts: &ReplyFacts,
    sent_at: Millis,
) {
    let mut limits = front.limits.borrow_mut();
    let rate = match facts.send_limit {
        Ok(rate) => rate,
        Err(error) => {
            if limits.note_unreadable(life, error) {
                log::warn!("event=limit_unreadable upstream={life} reason=\"{error}\"");
            }
            return;
        }
    };
    let sight = LimitSight {
        rate,
        sent_at,
        heard_at: front.now(),
    };
    let Some(change) = limits.note(life, sight) else {
        return;
    };
    match change {
        LimitChange::Named(rate) => {
            log::info!("event=upstream_limited upstream={life} rate={rate}");
        }
        LimitChange::Ended => log::info!("event=upstream_unlimited upstream={life}"),
    }
    let metrics = &front.shared.metrics;
    metrics.set_state("limited_upstreams", limits.len() as i64);
}
