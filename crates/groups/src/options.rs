//! Times and limits of the planner.

use bergamot_types::Millis;

/// Options for the formation of groups.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct GroupOptions {
    /// How long a group that lost a member stalls before it breaks. Set by the platform.
    pub stall_time: Millis,
    /// Added to the stall time before a member of such a group is used again. Covers clock
    /// differences and message delays.
    pub stall_margin: Millis,
    /// Delay before an order without visible effect is sent again. Several times the round trip to
    /// an upstream and back through the directory.
    pub order_retry_delay: Millis,
    /// Interval between queries to an unreachable upstream.
    pub query_interval: Millis,
    /// Number of consecutive unanswered queries after which an upstream is presumed crashed.
    pub max_unanswered: u32,
    /// One in this many upstreams of a fabric domain is kept free for repairs.
    pub spare_divisor: usize,
    /// On the first start, groups are formed once no new upstream was listed for this long. The
    /// upstreams that are listed first would yield only small groups, all in the same failure
    /// domain. Slightly shorter than the interval between an upstream's own writes.
    pub settle_time: Millis,
    /// Maximum wait on the first start; upstreams that are listed by then are used.
    pub max_settle_time: Millis,
    /// Time after which an incomplete forming group is given up.
    pub forming_timeout: Millis,
    /// How long members may be ordered to leave after a hold for them was requested. Several times
    /// what the store takes to write a hold; the stored hold covers this time, [`Self::hold_time`]
    /// and a change of coordinator.
    pub hold_validity: Millis,
}

impl GroupOptions {
    /// Returns how long the members of a group whose leader may still be open are not used again.
    pub fn hold_time(&self) -> Millis {
        self.stall_time + self.stall_margin
    }
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self {
            stall_time: Millis(4_000),
            stall_margin: Millis(400),
            order_retry_delay: Millis(500),
            query_interval: Millis(1_000),
            max_unanswered: 2,
            spare_divisor: 5,
            settle_time: Millis(700),
            max_settle_time: Millis(4_000),
            forming_timeout: Millis(8_000),
            hold_validity: Millis(3_000),
        }
    }
}
