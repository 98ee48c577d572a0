//! What upstreams say in their answers of whether they take more requests.

use bergamot_ports::ReplyFacts;
use bergamot_types::prelude::*;

use super::FrontContext;

/// Takes in what an upstream's answer says of that.
pub fn note_gate<Dialect>(_front: &FrontContext<Dialect>, life: &UpstreamLife, facts: &ReplyFacts) {
    match facts.rest {
        Ok(Some(time)) => log::info!("event=upstream_rests upstream={life} time={time}"),
        Ok(None) => {}
        Err(error) => log::warn!("event=rest_unreadable upstream={life} reason=\"{error}\""),
    }
    if facts.is_leaving {
        log::info!("event=upstream_leaves upstream={life}");
    }
}
