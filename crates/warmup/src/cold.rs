//! Determines until when an upstream is cold.

use bergamot_ports::{MAX_COLD_TIME, StoreRevision, WarmUpBounds, WarmUpSpec};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// What an upstream's directory entry states about its cold time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EntryStatement {
    /// The revision at which the entry was written.
    pub revision: StoreRevision,
    /// When this VM first read this revision of the entry.
    pub received_at: Millis,
    /// How much longer the upstream was cold when the entry was written.
    pub cold_left: Millis,
    /// Whether this incarnation was warm before the entry was received.
    pub was_warm: bool,
    /// Whether this revision is the first one that was read after a restore of the store, so that
    /// the entry may have been written before what is known otherwise.
    pub may_be_outdated: bool,
}

impl EntryStatement {
    /// Returns the end of the cold time. The entry was written before it was received, so the
    /// error is towards a later end.
    pub fn until(&self) -> Millis {
        self.received_at + self.cold_left
    }

    /// Returns the statement in force once the entry was read again, with another revision or
    /// another content. An entry that a full read returns unchanged, or that a restored store
    /// holds unchanged, does not restart the time, and an outdated one has no effect. A restored
    /// store may hold an earlier entry, so the first one after a restore does not shorten the time.
    pub fn followed_by(
        &self,
        revision: StoreRevision,
        cold_left: Millis,
        received_at: Millis,
    ) -> Self {
        let is_unchanged = revision.number == self.revision.number && cold_left == self.cold_left;
        if revision <= self.revision || is_unchanged {
            return *self;
        }
        let may_be_outdated = revision.generation != self.revision.generation;
        let was_warm = self.was_warm || self.until() <= received_at;
        if may_be_outdated && self.until() >= received_at + cold_left {
            return Self {
                revision,
                was_warm,
                may_be_outdated,
                ..*self
            };
        }
        Self {
            revision,
            received_at,
            cold_left,
            was_warm,
            may_be_outdated,
        }
    }
}

/// An upstream of a service with slow start, and what bounds the requests to it.
#[derive(Clone, Copy, Debug)]
pub struct ColdTarget<'a> {
    /// The upstream.
    pub incarnation: &'a UpstreamIncarnation,
    /// The upstream's failure domain.
    pub failure_domain: &'a FailureDomain,
    /// The service's slow start.
    pub spec: WarmUpSpec,
    /// The bounds in force.
    pub bounds: WarmUpBounds,
    /// What the upstream's entry states.
    pub entry: EntryStatement,
}

/// The end of a failure domain's evacuation, as this VM learned of it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EndedEvacuation {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// The revision at which the operator's key was removed.
    pub revision: StoreRevision,
    /// When this VM learned of it.
    pub learned_at: Millis,
}

/// Which statement determines the end of a cold time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ColdSource {
    /// The directory entry.
    Entry,
    /// An answer of the upstream.
    Answer,
    /// The end of an evacuation.
    Evacuation,
}

impl ColdSource {
    /// Returns the source's name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Answer => "answer",
            Self::Evacuation => "evacuation",
        }
    }
}

/// The end of an upstream's cold time, and where it was stated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ColdSpan {
    /// When the upstream is warm.
    pub until: Millis,
    /// When this VM received the statement.
    pub stated_at: Millis,
    /// Which statement it is.
    pub source: ColdSource,
}

impl ColdSpan {
    /// Whether the upstream is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.until
    }
}

/// What answers and ended evacuations state. Entries are passed in with each [`ColdTarget`].
#[derive(Clone, Debug, Default)]
pub struct ColdTable {
    /// The last statement of an answer.
    answers: IndexMap<UpstreamIncarnation, ColdSpan>,
    ended_evacuations: Vec<EndedEvacuation>,
}

impl ColdTable {
    /// Records what an answer stated. Records nothing for the many answers of upstreams that are
    /// and stay warm.
    pub fn record_answer(&mut self, now: Millis, target: &ColdTarget<'_>, cold_left: Millis) {
        let cold_left = cold_left.min(MAX_COLD_TIME);
        if cold_left == Millis::ZERO && !self.span(target).is_cold(now) {
            return;
        }
        let span = ColdSpan {
            until: now + cold_left,
            stated_at: now,
            source: ColdSource::Answer,
        };
        self.answers.insert(target.incarnation.clone(), span);
    }

    /// Whether an answer of the upstream stated its cold time.
    pub fn has_answer(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.answers.contains_key(incarnation)
    }

    /// Records the end of an evacuation, once.
    pub fn record_ended(&mut self, ended: &EndedEvacuation) {
        let is_known = self.ended_evacuations.iter().any(|known| {
            known.failure_domain == ended.failure_domain && known.revision == ended.revision
        });
        if !is_known {
            self.ended_evacuations.push(ended.clone());
        }
    }

    /// Returns the cold time of an upstream. The statement that was received last counts, except
    /// that an entry written before the end of an evacuation does not shorten the time after it, and
    /// an entry of a restored store does not shorten the time that an earlier answer stated.
    pub fn span(&self, target: &ColdTarget<'_>) -> ColdSpan {
        let entry_span = ColdSpan {
            until: target.entry.until(),
            stated_at: target.entry.received_at,
            source: ColdSource::Entry,
        };
        let stated = match self.evacuation_span(target) {
            Some(evacuation) if evacuation.until > entry_span.until => evacuation,
            Some(evacuation) => ColdSpan {
                stated_at: entry_span.stated_at.max(evacuation.stated_at),
                ..entry_span
            },
            None => entry_span,
        };
        let Some(answer) = self.answers.get(target.incarnation) else {
            return stated;
        };
        let is_undecided = answer.stated_at == stated.stated_at || target.entry.may_be_outdated;
        let extends_time = is_undecided && answer.until > stated.until;
        match answer.stated_at > stated.stated_at || extends_time {
            true => *answer,
            false => stated,
        }
    }

    /// Returns the cold time after the last evacuation that ended after the entry was written, or
    /// before a restore of the store: the entry's revision does not tell which was first then.
    fn evacuation_span(&self, target: &ColdTarget<'_>) -> Option<ColdSpan> {
        let ended = self.ended_evacuations.iter().filter(|ended| {
            ended.failure_domain == *target.failure_domain
                && (ended.revision >= target.entry.revision
                    || ended.revision.generation < target.entry.revision.generation)
        });
        let learned_at = ended.map(|ended| ended.learned_at).max()?;
        Some(ColdSpan {
            until: learned_at + target.spec.start_time,
            stated_at: learned_at,
            source: ColdSource::Evacuation,
        })
    }

    /// Drops answers of upstreams that are not in use, and statements that no longer apply.
    pub fn retain<Keep>(&mut self, now: Millis, is_listed: Keep)
    where
        Keep: Fn(&UpstreamIncarnation) -> bool,
    {
        self.answers.retain(|incarnation, answer| {
            is_listed(incarnation) && now.since(answer.stated_at) < MAX_COLD_TIME
        });
        self.ended_evacuations
            .retain(|ended| now.since(ended.learned_at) < MAX_COLD_TIME);
    }
}
