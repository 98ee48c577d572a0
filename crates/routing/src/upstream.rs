//! An upstream as requests are routed to it.

use std::net::SocketAddr;

use bergamot_occupancy::LeaderLoad;
use bergamot_ports::EngineSpeed;
use bergamot_types::prelude::*;

/// Passes of an engine, without the reading of prompts, until a first event: half of the one that runs and
/// the one that reads the prompt.
const FIRST_EVENT_PASSES: f64 = 1.5;

/// An upstream that requests may be sent to.
#[derive(Clone, PartialEq, Debug)]
pub struct RouteUpstream {
    /// Which run of it.
    pub incarnation: UpstreamIncarnation,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where it can be cut off.
    pub failure_domain: FailureDomain,
    /// Requests it runs at once.
    pub slots: u32,
    /// The group it leads, where it does.
    pub group: Option<GroupId>,
    /// How fast that group is, where it is known.
    pub speed: Option<EngineSpeed>,
}

impl RouteUpstream {
    /// When the first event of a prompt with so many tokens comes from this leader under a load, in milliseconds:
    /// the rest of the pass that runs, and one that reads all prompts which wait. None where its speed is not known.
    pub(crate) fn first_event_ms(&self, load: LeaderLoad, prompt_tokens: u32) -> Option<f64> {
        let speed = self.speed?;
        let running = load.requests.min(self.slots);
        let reading_ms =
            f64::from(load.pending_prompt_tokens + prompt_tokens) / speed.tokens_per_ms;
        Some(speed.pass_ms(f64::from(running)) * FIRST_EVENT_PASSES + reading_ms)
    }
}
