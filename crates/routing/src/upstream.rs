//! An upstream as a target of requests.

use std::net::SocketAddr;

use bergamot_occupancy::LeaderLoad;
use bergamot_ports::EngineSpeed;
use bergamot_types::prelude::*;

/// Number of engine passes until a first event, without the reading of prompts: half of the running
/// pass and the one that reads the prompt.
const FIRST_EVENT_PASSES: f64 = 1.5;

/// An upstream that requests may be sent to.
#[derive(Clone, PartialEq, Debug)]
pub struct RouteUpstream {
    /// Incarnation of the upstream.
    pub incarnation: UpstreamIncarnation,
    /// Address on which the upstream listens.
    pub addr: SocketAddr,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// The group that the upstream leads, if any.
    pub group: Option<GroupId>,
    /// Speed of that group, if known.
    pub speed: Option<EngineSpeed>,
}

impl RouteUpstream {
    /// Returns the expected time in milliseconds until the first event for a prompt at a given
    /// load: the rest of the running pass, and one pass that reads all waiting prompts. None if the
    /// speed is unknown.
    pub(crate) fn first_event_ms(&self, load: LeaderLoad, prompt_tokens: u32) -> Option<f64> {
        let speed = self.speed?;
        let running = load.requests.min(self.slots);
        let unread_tokens = f64::from(load.pending_prompt_tokens) + f64::from(prompt_tokens);
        let reading_ms = unread_tokens / speed.tokens_per_ms;
        Some(speed.pass_ms(f64::from(running)) * FIRST_EVENT_PASSES + reading_ms)
    }
}
