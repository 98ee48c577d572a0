//! What the owner of an upstream's quota gives out.

use std::collections::VecDeque;

use bergamot_types::prelude::*;

use crate::bucket::TokenBucket;
use crate::message::{PermitClaim, PermitVerdict};

/// The lowest rate that is given out, in requests a second. An upstream that takes none says nothing either: now and then one
/// request finds out whether it takes some again.
const LEAST_RATE: f64 = 0.1;
/// Time after the moment that it was told for which a request's place is kept: a caller who was told to come back does not
/// come back at that very moment.
const PLACE_TIME: Millis = Millis(300);
/// Places that are kept at most.
const MAX_PLACES: usize = 256;
/// Time for which a permit counts against its client account in the order of the next ones.
const SHARE_TIME: Millis = Millis(4_000);
/// The longest time that is told: the limit may be raised or end meanwhile, and a VM that waits does not hear of it by itself.
const MAX_WAIT: Millis = Millis(2_000);

/// A request that was turned away, and when another may be sent for it.
#[derive(Clone, Copy, Debug)]
struct WaitingPlace {
    claim: PermitClaim,
    due: Millis,
}

/// The permits of one upstream.
///
/// In any span of T seconds it gives out at most T times the limit, and the larger of one second's worth and one.
#[derive(Clone, Debug)]
pub struct SendAllowance {
    bucket: TokenBucket,
    /// No permit is given before.
    opens_at: Millis,
    waiting: Vec<WaitingPlace>,
    /// Permits given lately, by the account that got them.
    given: VecDeque<(Millis, u32)>,
}

impl SendAllowance {
    /// An allowance that gives nothing before `opens_at`, and has saved nothing up by then.
    pub fn new(rate: SendRate, opens_at: Millis) -> Self {
        Self {
            bucket: TokenBucket::empty(dealt_rate(rate), opens_at),
            opens_at,
            waiting: Vec::new(),
            given: VecDeque::new(),
        }
    }

    /// Gives a permit, or says when to ask again. More urgent requests that were turned away go first, and among those
    /// alike the account that got fewer.
    pub fn ask(&mut self, now: Millis, rate: SendRate, claim: PermitClaim) -> PermitVerdict {
        self.waiting.retain(|place| place.due + PLACE_TIME > now);
        while self
            .given
            .front()
            .is_some_and(|(at, _)| now.since(*at) > SHARE_TIME)
        {
            self.given.pop_front();
        }
        if now < self.opens_at {
            return self.turn_away(now, claim, self.opens_at.since(now));
        }
        self.bucket.set_rate(now, dealt_rate(rate));
        let reserve = self.count_ahead(claim, |place| place.due <= now);
        if self.bucket.take_above(now, reserve as f64) {
            self.given.push_back((now, claim.account));
            self.leave_place(claim);
            return PermitVerdict::Granted;
        }
        let ahead = self.waiting.len() - self.count_behind(claim);
        let wait = self.bucket.wait_for((ahead + 1) as f64);
        self.turn_away(now, claim, wait)
    }

    /// Requests that go before this one and meet the condition.
    fn count_ahead<Condition>(&self, claim: PermitClaim, holds: Condition) -> usize
    where
        Condition: Fn(&WaitingPlace) -> bool,
    {
        let own = self.order(claim);
        let ahead = self.waiting.iter();
        ahead
            .filter(|place| holds(place) && self.order(place.claim) < own)
            .count()
    }

    /// Requests that go after this one.
    fn count_behind(&self, claim: PermitClaim) -> usize {
        let own = self.order(claim);
        let behind = self.waiting.iter();
        behind.filter(|place| self.order(place.claim) > own).count()
    }

    fn order(&self, claim: PermitClaim) -> (u8, usize) {
        let given = self.given.iter();
        let given = given.filter(|(_, account)| *account == claim.account);
        (claim.priority, given.count())
    }

    /// Takes the place away that a request with this claim was given first.
    fn leave_place(&mut self, claim: PermitClaim) {
        let places = self.waiting.iter().enumerate();
        let own = places.filter(|(_, place)| place.claim == claim);
        if let Some((index, _)) = own.min_by_key(|(_, place)| place.due) {
            self.waiting.swap_remove(index);
        }
    }

    fn turn_away(&mut self, now: Millis, claim: PermitClaim, wait: Millis) -> PermitVerdict {
        let wait = wait.min(MAX_WAIT);
        if self.waiting.len() < MAX_PLACES {
            let due = now + wait;
            self.waiting.push(WaitingPlace { claim, due });
        }
        PermitVerdict::Later(wait)
    }
}

fn dealt_rate(rate: SendRate) -> f64 {
    rate.per_second().max(LEAST_RATE)
}
