//! How long the key of an entry VM lasts without renewal, and how often its lease is renewed.

use bergamot_types::prelude::*;

/// Renewals that all followers together make per second, at any fleet size above 64.
const FLEET_RENEWALS_PER_SECOND: u64 = 20;
/// Ratio of two periods of renewals from which on a lease is replaced.
const REPLACEMENT_RATIO: u64 = 2;
/// Renewals after which a lease is replaced by a longer one. The two writes of a new lease cost the
/// store about as much.
const RENEWALS_PER_REPLACEMENT: u32 = 20;
/// Time per entry VM over which the VMs spread calls that all of them make. Two calls in that time
/// are 1,000 calls a second.
const SPREAD_PER_VM: Millis = Millis(2);

/// How an entry VM obtains updates of the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum FeedRole {
    /// Reads the store, and may serve the updates to others. No VM probes it.
    #[default]
    Reader,
    /// Requests updates from a reader, which notices if it stops.
    Follower,
}

/// The lifetime of a VM's key in the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaseTerm {
    /// How long the key outlives the last renewal.
    pub ttl: Millis,
    /// Period of renewals. Two in a row may fail.
    pub renew_period: Millis,
}

impl LeaseTerm {
    /// The shortest term, for VMs whose failure shows only by their lease.
    pub const SHORT: Self = Self {
        ttl: Millis(10_000),
        renew_period: Millis(3_200),
    };

    /// Returns the term of a VM in this role, one of `vm_count` entry VMs. Followers renew at the
    /// same rate in all, however many there are.
    pub const fn for_role(role: FeedRole, vm_count: usize) -> Self {
        let shared_period = Millis(vm_count as u64 * 1_000 / FLEET_RENEWALS_PER_SECOND);
        match role {
            FeedRole::Follower if shared_period.0 > Self::SHORT.renew_period.0 => Self {
                ttl: Millis(shared_period.0 * Self::SHORT.ttl.0 / Self::SHORT.renew_period.0),
                renew_period: shared_period,
            },
            FeedRole::Follower | FeedRole::Reader => Self::SHORT,
        }
    }

    /// Whether a lease of the `current` term, renewed `renewals` times, is to be replaced by one of
    /// this term. A shorter one is needed at once, a longer one only saves renewals.
    pub const fn replaces(self, current: Self, renewals: u32) -> bool {
        let (period, current_period) = (self.renew_period.0, current.renew_period.0);
        let is_much_shorter = current_period >= period * REPLACEMENT_RATIO;
        let is_much_longer = period >= current_period * REPLACEMENT_RATIO;
        is_much_shorter || (is_much_longer && renewals >= RENEWALS_PER_REPLACEMENT)
    }
}

/// Returns the time over which `vm_count` entry VMs spread calls to the store that all of them make
/// for the same reason.
pub const fn call_spread(vm_count: usize) -> Millis {
    Millis(vm_count as u64 * SPREAD_PER_VM.0)
}
