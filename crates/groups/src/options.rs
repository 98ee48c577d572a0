//! Times and counts of the planner.

use bergamot_types::Millis;

/// What operators can set about groups.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct GroupOptions {
    /// Time for which a group that lost a member stands still before it breaks. The platform's.
    pub stall_time: Millis,
    /// Added to it before a member of such a group is used again, for clocks and messages.
    pub stall_margin: Millis,
    /// Time after which an order whose effect does not show is given again. Several times the way
    /// to an upstream and back through the directory.
    pub order_retry: Millis,
    /// Time after which an unreachable upstream is asked again.
    pub ask_again: Millis,
    /// Unanswered questions in a row after which an upstream counts as dead.
    pub silent_limit: u32,
    /// One in so many upstreams of a fabric domain is kept free for repairs.
    pub spare_divisor: usize,
    /// At the first start, time without a new upstream in the directory after which groups are formed.
    /// Of those that are listed first, only small groups could be formed, and all in the same
    /// failure domain. A little less than the time between two of an upstream's own writes.
    pub settle_time: Millis,
    /// The longest such wait: what is listed by then is used.
    pub settle_limit: Millis,
    /// Time after which an incomplete group that is being formed is given up.
    pub forming_limit: Millis,
    /// Time for which members may be told to leave after they were asked to be held. Several times what the store takes to
    /// keep a hold; the hold lasts for this and [`Self::hold_time`] and for the change of the coordinator.
    pub hold_use: Millis,
}

impl GroupOptions {
    /// Time for which members of a group whose leader may stand open are not used again.
    pub fn hold_time(&self) -> Millis {
        self.stall_time + self.stall_margin
    }
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self {
            stall_time: Millis(4_000),
            stall_margin: Millis(400),
            order_retry: Millis(500),
            ask_again: Millis(1_000),
            silent_limit: 2,
            spare_divisor: 5,
            settle_time: Millis(700),
            settle_limit: Millis(4_000),
            forming_limit: Millis(8_000),
            hold_use: Millis(3_000),
        }
    }
}
