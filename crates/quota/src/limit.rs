//! Records the limits that upstreams advertise.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// How long a limit is kept after the directory last listed its upstream. An upstream that loses
/// the directory returns as the same incarnation, and without its limit all VMs would send to it at
/// once.
const LIMIT_RETENTION: Millis = Millis::from_secs(600);

/// A limit that an upstream advertised, and the span of time in which it did.
///
/// The upstream produced the answer at some moment between the send and the arrival. Answers on
/// different connections overtake each other, so only observations with disjoint spans have a known
/// order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LimitObservation {
    /// Rate the upstream accepts from all entry VMs together; none if it advertises no limit.
    pub rate: Option<SendRate>,
    /// When the request was sent whose answer carried the limit.
    pub sent_at: Millis,
    /// When that answer was received.
    pub received_at: Millis,
}

impl LimitObservation {
    /// Returns the observation in force after `next` was made as well. If their order is unknown,
    /// the lower limit is in force, and the next answer corrects it.
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
            (Some(current), Some(advertised)) if advertised < current => next,
            (Some(current), Some(advertised)) if advertised > current => self,
            _ => Self {
                rate: self.rate,
                sent_at: self.sent_at.max(next.sent_at),
                received_at: self.received_at.max(next.received_at),
            },
        }
    }
}

/// How an observation changed a limit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LimitChange {
    /// The upstream now advertises this limit.
    Advertised(SendRate),
    /// The upstream no longer advertises a limit.
    Withdrawn,
}

/// The limit of one upstream.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    observation: LimitObservation,
    /// When the directory was last seen to list the upstream.
    listed_at: Millis,
}

/// The limits that upstreams advertise, by incarnation. A new incarnation has no limit until it
/// advertises one.
#[derive(Debug, Default)]
pub struct LimitTable {
    observations: IndexMap<UpstreamIncarnation, KnownLimit>,
    /// Upstreams whose last advertised limit was malformed, with the error.
    malformed: IndexMap<UpstreamIncarnation, RateError>,
}

impl LimitTable {
    /// Returns the limit in force for an upstream.
    pub fn rate(&self, incarnation: &UpstreamIncarnation) -> Option<SendRate> {
        self.observations
            .get(incarnation)
            .and_then(|known| known.observation.rate)
    }

    /// Returns the limit in force for an upstream and the observation it comes from.
    pub(crate) fn limit(
        &self,
        incarnation: &UpstreamIncarnation,
    ) -> Option<(LimitObservation, SendRate)> {
        let observation = self.observations.get(incarnation)?.observation;
        observation.rate.map(|rate| (observation, rate))
    }

    /// Records an observation and returns the resulting change. Allocates nothing for the many
    /// upstreams that never advertised a limit.
    pub fn record(
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
        let previous_rate = known.observation.rate;
        known.observation = known.observation.followed_by(observation);
        match known.observation.rate {
            rate if rate == previous_rate => None,
            Some(rate) => Some(LimitChange::Advertised(rate)),
            None => Some(LimitChange::Withdrawn),
        }
    }

    /// Records a malformed limit; the previous one stays in force. Returns whether to log the
    /// error, which happens once per incarnation and reason.
    pub fn record_malformed(
        &mut self,
        incarnation: &UpstreamIncarnation,
        error: RateError,
    ) -> bool {
        self.malformed.insert(incarnation.clone(), error) != Some(error)
    }

    /// Returns the number of upstreams that advertise a limit.
    pub fn len(&self) -> usize {
        let limited = self.observations.values();
        let limited = limited.filter(|known| known.observation.rate.is_some());
        limited.count()
    }

    /// Whether no upstream advertises a limit.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the limits of upstreams that the directory has not listed for a long time.
    pub fn retain<Keep>(&mut self, is_listed: Keep, now: Millis)
    where
        Keep: Fn(&UpstreamIncarnation) -> bool,
    {
        self.observations.retain(|incarnation, known| {
            if is_listed(incarnation) {
                known.listed_at = now;
            }
            now.since(known.listed_at) < LIMIT_RETENTION
        });
        self.malformed
            .retain(|incarnation, _| is_listed(incarnation));
    }
}
