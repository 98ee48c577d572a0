//! The permits of one cold upstream, on the VM that owns them.

use bergamot_ports::WarmUpBounds;
use bergamot_quota::TokenBucket;
use bergamot_types::prelude::*;

/// How long a permit may be used. Covers connecting and the time until the process is scheduled.
pub const PERMIT_VALIDITY: Millis = Millis(200);
/// Time within which a request arrives after its permit was used.
const MAX_FLIGHT: Millis = Millis(100);
/// The grants of any such span may arrive within one second.
pub(crate) const GRANT_SPAN: Millis = Millis(1_000 + PERMIT_VALIDITY.0 + MAX_FLIGHT.0);
/// Longest wait that a verdict states. With 195 VMs that all have requests waiting, the owner of a
/// cold upstream then gets at most about 200 questions per second.
const MAX_WAIT: Millis = Millis(1_000);
/// Largest burst, as a part of what is refilled in one second.
const BURST_DIVISOR: f64 = 4.0;

/// How fast permits are granted.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PermitPace {
    refill_rate: f64,
    capacity: f64,
}

impl PermitPace {
    /// Derives the pace from the tolerated rate and the bound on the arrivals in any one second.
    /// Returns `None` if the bound allows no request.
    ///
    /// The requests that arrive in one second have permits of at most one second plus the time
    /// between a grant and the arrival. The grants in that span are at most the capacity plus what
    /// is refilled, so that this sum must not exceed the bound.
    pub fn new(rate: SendRate, bounds: WarmUpBounds) -> Option<Self> {
        let rate = rate.per_second();
        let arrivals = rate * bounds.excess + bounds.slack;
        if arrivals < 1.0 {
            return None;
        }
        let span = GRANT_SPAN.as_secs_f64();
        let refill_rate = rate.min((arrivals - 1.0) / span);
        let capacity = (arrivals - span * refill_rate).max(1.0);
        Some(Self {
            refill_rate,
            capacity: capacity.min((refill_rate / BURST_DIVISOR).max(1.0)),
        })
    }
}

/// The permits of one upstream.
#[derive(Clone, Debug)]
pub struct PermitSupply {
    failure_domain: FailureDomain,
    bucket: TokenBucket,
    /// No permit is granted before this time.
    opens_at: Millis,
    /// The time for which the next deferred request is told to return.
    next_slot: Millis,
    used_at: Millis,
}

impl PermitSupply {
    /// Creates a supply that grants nothing before `opens_at` and has no saved permits.
    pub fn empty(failure_domain: FailureDomain, pace: PermitPace, opens_at: Millis) -> Self {
        let mut bucket = TokenBucket::empty(pace.refill_rate, opens_at);
        bucket.set_rate_and_capacity(opens_at, pace.refill_rate, pace.capacity);
        Self {
            failure_domain,
            bucket,
            opens_at,
            next_slot: opens_at,
            used_at: opens_at,
        }
    }

    /// Creates a supply with one permit.
    pub fn with_permit(failure_domain: FailureDomain, pace: PermitPace, now: Millis) -> Self {
        let supply = Self::empty(failure_domain, pace, now);
        Self {
            bucket: supply.bucket.clone().with_token(),
            ..supply
        }
    }

    /// Returns the upstream's failure domain.
    pub fn failure_domain(&self) -> &FailureDomain {
        &self.failure_domain
    }

    /// Takes a permit. Otherwise returns after which time to ask again: deferred requests are
    /// spread over the times at which permits become available.
    ///
    /// # Errors
    /// The time after which to ask again.
    pub fn take(&mut self, now: Millis, pace: PermitPace) -> Result<(), Millis> {
        self.used_at = self.used_at.max(now);
        if now < self.opens_at {
            return Err(self.opens_at.since(now).min(MAX_WAIT));
        }
        self.bucket
            .set_rate_and_capacity(now, pace.refill_rate, pace.capacity);
        if self.bucket.take(now) {
            return Ok(());
        }
        let slot = self.next_slot.max(now + self.bucket.wait());
        let wait = slot.since(now).min(MAX_WAIT);
        let slot_time = Millis((1_000.0 / pace.refill_rate.max(0.1)) as u64);
        self.next_slot = (now + wait) + slot_time;
        Err(wait.max(Millis(1)))
    }

    /// Returns the time since the last request for a permit.
    pub fn idle_time(&self, now: Millis) -> Millis {
        now.since(self.used_at)
    }
}
