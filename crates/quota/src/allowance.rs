//! Grants the permits of one upstream, on the VM that owns its quota.

use std::collections::VecDeque;

use bergamot_types::prelude::*;

use crate::bucket::TokenBucket;
use crate::message::{PermitClaim, PermitVerdict};

/// Lowest rate at which permits are granted, in requests per second. An upstream that accepts no
/// requests cannot advertise a new limit either, so an occasional request checks whether it accepts
/// them again.
const MIN_RATE: f64 = 0.1;
/// How long a deferred request keeps its position after the time at which it may ask again, as a
/// caller does not return at that exact moment.
const POSITION_RETENTION: Millis = Millis(300);
/// Maximum number of positions.
const MAX_POSITIONS: usize = 256;
/// How long a permit counts against its client account when the next ones are ordered.
const SHARE_WINDOW: Millis = Millis(4_000);
/// Longest wait that a verdict states. The limit may be raised or withdrawn meanwhile, and a
/// waiting VM is not told.
const MAX_WAIT: Millis = Millis(2_000);

/// A deferred request and the time at which it may be sent.
#[derive(Clone, Copy, Debug)]
struct DeferredRequest {
    claim: PermitClaim,
    due_at: Millis,
}

/// The permits of one upstream.
///
/// Any span of T seconds yields at most T times the limit, plus one second's worth or one permit,
/// whichever is larger.
#[derive(Clone, Debug)]
pub struct SendAllowance {
    bucket: TokenBucket,
    /// No permit is granted before this time.
    opens_at: Millis,
    deferred: Vec<DeferredRequest>,
    /// Recent permits, with the account that received each.
    recent_permits: VecDeque<(Millis, u32)>,
}

impl SendAllowance {
    /// Creates an allowance that grants nothing before `opens_at` and starts without saved permits.
    pub fn new(rate: SendRate, opens_at: Millis) -> Self {
        Self {
            bucket: TokenBucket::empty(effective_rate(rate), opens_at),
            opens_at,
            deferred: Vec::new(),
            recent_permits: VecDeque::new(),
        }
    }

    /// Grants a permit or states when to ask again. Deferred requests with a more urgent priority
    /// go first, and among equal priorities the account with fewer recent permits.
    pub fn request_permit(
        &mut self,
        now: Millis,
        rate: SendRate,
        claim: PermitClaim,
    ) -> PermitVerdict {
        self.deferred
            .retain(|deferred| deferred.due_at + POSITION_RETENTION > now);
        while self
            .recent_permits
            .front()
            .is_some_and(|(at, _)| now.since(*at) > SHARE_WINDOW)
        {
            self.recent_permits.pop_front();
        }
        if now < self.opens_at {
            return self.defer(now, claim, self.opens_at.since(now));
        }
        self.bucket.set_rate(now, effective_rate(rate));
        let reserve = self.count_ahead(claim, |deferred| deferred.due_at <= now);
        if self.bucket.take_above_reserve(now, reserve as f64) {
            self.recent_permits.push_back((now, claim.account));
            self.remove_position(claim);
            return PermitVerdict::Granted;
        }
        let ahead = self.deferred.len() - self.count_behind(claim);
        let wait = self.bucket.wait_for((ahead + 1) as f64);
        self.defer(now, claim, wait)
    }

    /// Returns the number of deferred requests that go before this one and meet the condition.
    fn count_ahead<Condition>(&self, claim: PermitClaim, is_counted: Condition) -> usize
    where
        Condition: Fn(&DeferredRequest) -> bool,
    {
        let own_order = self.order_key(claim);
        let ahead = self.deferred.iter();
        ahead
            .filter(|deferred| is_counted(deferred) && self.order_key(deferred.claim) < own_order)
            .count()
    }

    /// Returns the number of deferred requests that go after this one.
    fn count_behind(&self, claim: PermitClaim) -> usize {
        let own_order = self.order_key(claim);
        let behind = self.deferred.iter();
        behind
            .filter(|deferred| self.order_key(deferred.claim) > own_order)
            .count()
    }

    fn order_key(&self, claim: PermitClaim) -> (u8, usize) {
        let permits = self.recent_permits.iter();
        let permits = permits.filter(|(_, account)| *account == claim.account);
        (claim.priority, permits.count())
    }

    /// Removes the earliest position of a request with this claim.
    fn remove_position(&mut self, claim: PermitClaim) {
        let positions = self.deferred.iter().enumerate();
        let own_positions = positions.filter(|(_, deferred)| deferred.claim == claim);
        if let Some((index, _)) = own_positions.min_by_key(|(_, deferred)| deferred.due_at) {
            self.deferred.swap_remove(index);
        }
    }

    fn defer(&mut self, now: Millis, claim: PermitClaim, wait: Millis) -> PermitVerdict {
        let wait = wait.min(MAX_WAIT);
        if self.deferred.len() < MAX_POSITIONS {
            let due_at = now + wait;
            self.deferred.push(DeferredRequest { claim, due_at });
        }
        PermitVerdict::Later(wait)
    }
}

fn effective_rate(rate: SendRate) -> f64 {
    rate.per_second().max(MIN_RATE)
}
