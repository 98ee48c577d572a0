//! What upstreams say of how much they take.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Time for which a limit is kept after the directory last named its upstream: one that was cut off from the directory comes back
/// in the same run, and all VMs would send to it at once.
const KEPT_TIME: Millis = Millis::from_secs(600);

/// An upstream's report on its limit, and when it held.
///
/// The upstream made its answer at some moment between the send and the arrival. Answers on different connections overtake
/// each other, so only words whose spans do not overlap have a known order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LimitObservation {
    /// Requests that it takes from all entry VMs together; none where it advertises no limit.
    pub rate: Option<SendRate>,
    /// When the request was sent whose answer said so.
    pub sent_at: Millis,
    /// When that answer came.
    pub received_at: Millis,
}

impl LimitObservation {
    /// What holds after `next` was seen as well. Where their order is not known it is the lower limit, which the next answer
    /// corrects.
    fn followed_by(self, next: Self) -> Self {
        if next.sent_at >= self.received_at {
            return next;
        }
        if next.received_at <= self.sent_at {
            return self;
        }
        match (self.rate, next.rate) {
            (None, Some(_)) => next,
            (Some(_), None) => self,
            (Some(known), Some(named)) if named < known => next,
            (Some(known), Some(named)) if named > known => self,
            _ => Self {
                rate: self.rate,
                sent_at: self.sent_at.max(next.sent_at),
                received_at: self.received_at.max(next.received_at),
            },
        }
    }
}

/// What a observation changed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LimitChange {
    /// The upstream takes so many requests from now on.
    Advertised(SendRate),
    /// It advertises no limit any more.
    Withdrawn,
}

/// What is known of one upstream.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    observation: LimitObservation,
    /// When the directory last named it, as far as was looked.
    listed_at: Millis,
}

/// The limits that upstreams advertise, by their runs: a later run of an upstream has none until it names one.
#[derive(Debug, Default)]
pub struct LimitTable {
    observations: IndexMap<UpstreamIncarnation, KnownLimit>,
    /// Upstreams whose last report could not be read, and why.
    unreadable: IndexMap<UpstreamIncarnation, RateError>,
}

impl LimitTable {
    /// The limit that holds for an upstream.
    pub fn rate(&self, incarnation: &UpstreamIncarnation) -> Option<SendRate> {
        self.observations
            .get(incarnation)
            .and_then(|known| known.observation.rate)
    }

    /// The same with the report that it comes from.
    pub(crate) fn limit(
        &self,
        incarnation: &UpstreamIncarnation,
    ) -> Option<(LimitObservation, SendRate)> {
        let observation = self.observations.get(incarnation)?.observation;
        observation.rate.map(|rate| (observation, rate))
    }

    /// Takes in what an upstream said. Costs nothing for the many that never advertised a limit.
    pub fn note(
        &mut self,
        incarnation: &UpstreamIncarnation,
        observation: LimitObservation,
    ) -> Option<LimitChange> {
        let Some(known) = self.observations.get_mut(incarnation) else {
            let rate = observation.rate?;
            let listed_at = observation.received_at;
            self.observations.insert(
                incarnation.clone(),
                KnownLimit {
                    observation,
                    listed_at,
                },
            );
            return Some(LimitChange::Advertised(rate));
        };
        let before = known.observation.rate;
        known.observation = known.observation.followed_by(observation);
        match known.observation.rate {
            rate if rate == before => None,
            Some(rate) => Some(LimitChange::Advertised(rate)),
            None => Some(LimitChange::Withdrawn),
        }
    }

    /// Notes a report that could not be read: the one before it holds. Says whether that is to be logged, which it is once for
    /// each run and reason.
    pub fn record_malformed(
        &mut self,
        incarnation: &UpstreamIncarnation,
        error: RateError,
    ) -> bool {
        self.unreadable.insert(incarnation.clone(), error) != Some(error)
    }

    /// Upstreams that advertise a limit now.
    pub fn len(&self) -> usize {
        let limited = self.observations.values();
        let limited = limited.filter(|known| known.observation.rate.is_some());
        limited.count()
    }

    /// Whether no upstream advertises a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets the upstreams that the directory has not named for long.
    pub fn retain<Keep>(&mut self, is_listed: Keep, now: Millis)
    where
        Keep: Fn(&UpstreamIncarnation) -> bool,
    {
        self.observations.retain(|incarnation, known| {
            if is_listed(incarnation) {
                known.listed_at = now;
            }
            now.since(known.listed_at) < KEPT_TIME
        });
        self.unreadable
            .retain(|incarnation, _| is_listed(incarnation));
    }
}
