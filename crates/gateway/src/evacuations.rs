//! Failure domains that operators evacuate, as far as this VM knows.
//!
//! An evacuation ends with the removal of its key or with a read of the whole store that lacks the
//! key. Nothing else ends it, except that a key that a restored store lacks counts for
//! [`RESTORED_EVACUATION_HOLD`] more.

use bergamot_peer::{EvacuationEnd, RetainedEvacuation};
use bergamot_ports::{StoreGeneration, StoreRevision};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

use crate::known::KnownState;

/// How long the end of an evacuation stays in the view. Longer than any upstream is cold after it.
pub const ENDED_RETENTION: Millis = Millis::from_secs(30);

/// How long the end of an evacuation is remembered, against peers and copies of the store that do not
/// know of it. Longer than the store keeps copies that it may be restored from.
const END_MEMORY: Millis = Millis::from_secs(120);

/// How long an evacuation stays in force after a restore of the store that has lost its key. In this
/// time operators find out that the key is gone and write it again.
pub const RESTORED_EVACUATION_HOLD: Millis = Millis::from_secs(60);

/// Longest name of a failure domain in bytes. A longer one comes from a faulty writer.
pub const MAX_DOMAIN_BYTES: usize = 200;

/// Characters of an invalid name that are logged.
const MAX_LOGGED_CHARS: usize = 40;

/// The evacuation of one failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DomainEvacuation {
    /// The revision at which the key was last written.
    pub revision: StoreRevision,
    /// When this VM learned of the evacuation.
    pub known_since: Millis,
    /// When the hold began under which the evacuation stays in force without its key; none while
    /// the store holds the key.
    pub held_since: Option<Millis>,
}

/// The end of the evacuation of one failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EndedEvacuation {
    /// The revision of the key's removal, or the first known one at which the key was missing.
    /// Entries written later are written after the removal.
    pub revision: StoreRevision,
    /// When this VM learned of the end, or the peer that it learned of it from if the domain was not
    /// evacuated at this VM.
    pub known_at: Millis,
}

/// What this VM learns about evacuations.
#[derive(Clone, Debug)]
pub enum EvacuationEvent<'a> {
    /// The key of a failure domain was written at this revision.
    Written(FailureDomain, StoreRevision),
    /// The key of a failure domain was removed at this revision.
    Removed(FailureDomain, StoreRevision),
    /// All of the store was read at `revision`, and it held the keys of `domains`.
    Read {
        /// The failure domains that are evacuated, each with the revision of its key.
        domains: &'a [(FailureDomain, StoreRevision)],
        /// The revision of the read.
        revision: StoreRevision,
    },
    /// A peer holds the evacuation of a failure domain since `held_since` because a restored store
    /// lacks the key.
    Retained {
        /// The failure domain.
        domain: FailureDomain,
        /// The revision at which the key was last written.
        revision: StoreRevision,
        /// When the peer's hold began, on this VM's clock.
        held_since: Millis,
    },
    /// A peer knows that the evacuation of a failure domain has ended.
    EndedAtPeer {
        /// The failure domain.
        domain: FailureDomain,
        /// The revision of the end.
        revision: StoreRevision,
        /// When the peer learned of the end, on this VM's clock.
        ended_at: Millis,
    },
    /// Time has passed. All changes up to the revision are known.
    Tick(StoreRevision),
}

/// A change of the evacuations, for the log.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum EvacuationChange {
    /// The failure domain is evacuated from now on.
    Evacuated(FailureDomain, StoreRevision),
    /// The failure domain is used again.
    Returned(FailureDomain, StoreRevision),
    /// The restored store lacks the key; the evacuation stays in force for a limited time.
    HoldBegan(FailureDomain),
    /// That time is over, so the failure domain is used again. The key was not written again.
    HoldEnded(FailureDomain),
}

/// Whether a failure domain has a name that can be one.
pub(crate) fn has_valid_name(domain: &FailureDomain) -> bool {
    (1..=MAX_DOMAIN_BYTES).contains(&domain.as_str().len())
}

/// The known evacuations.
#[derive(Clone, Debug, Default)]
pub struct EvacuationState {
    evacuations: IndexMap<FailureDomain, DomainEvacuation>,
    /// Evacuations that ended. Peers and reads that do not know of the end do not bring them back.
    ended: IndexMap<FailureDomain, EndedEvacuation>,
}

impl EvacuationState {
    /// Returns the evacuations in force.
    pub const fn evacuations(&self) -> &IndexMap<FailureDomain, DomainEvacuation> {
        &self.evacuations
    }

    /// Returns the evacuations that ended at most [`ENDED_RETENTION`] ago.
    pub fn ended(&self, now: Millis) -> IndexMap<FailureDomain, EndedEvacuation> {
        let ended = self.ended.iter();
        let recent = ended.filter(|(_, end)| now.since(end.known_at) <= ENDED_RETENTION);
        let recent = recent.map(|(domain, end)| (domain.clone(), *end));
        recent.collect()
    }

    /// Returns the ends that this VM passes on to peers. A peer that missed the removal of a key
    /// before the store was restored would hold the evacuation otherwise.
    pub fn recent_ends(&self, now: Millis) -> Vec<EvacuationEnd> {
        let ends = self.ended.iter().map(|(domain, end)| EvacuationEnd {
            domain: domain.clone(),
            revision: end.revision,
            age: now.since(end.known_at),
        });
        let recent_ends = ends.filter(|end| end.age <= END_MEMORY);
        recent_ends.collect()
    }

    /// Returns when the next hold ends; `None` if there is none.
    pub fn next_hold_end(&self) -> Option<Millis> {
        let holds = self.evacuations.values();
        let holds = holds.filter_map(|evacuation| evacuation.held_since);
        holds.min().map(|since| since + RESTORED_EVACUATION_HOLD)
    }

    /// Returns the evacuations that this VM, which knows the store at `known`, passes on to a peer
    /// whose state is of generation `peer_generation`: those that it keeps in force without their
    /// keys. If the peer knows of a restore that this VM has not noticed, these are all of them.
    pub fn retained(
        &self,
        known: StoreRevision,
        peer_generation: StoreGeneration,
        now: Millis,
    ) -> Vec<RetainedEvacuation> {
        let is_before_restore = known.generation < peer_generation;
        let evacuations = self.evacuations.iter().filter_map(|(domain, evacuation)| {
            let unnoticed_since = is_before_restore.then_some(now);
            let held_since = evacuation.held_since.or(unnoticed_since)?;
            Some(RetainedEvacuation {
                domain: domain.clone(),
                revision: evacuation.revision,
                age: now.since(held_since),
            })
        });
        evacuations.collect()
    }

    /// Applies an event and returns the changes that follow from it.
    pub fn handle(&mut self, now: Millis, event: EvacuationEvent<'_>) -> Vec<EvacuationChange> {
        match event {
            EvacuationEvent::Written(domain, revision) => {
                self.begin(domain, revision, now).into_iter().collect()
            }
            EvacuationEvent::Removed(domain, revision) => {
                let change = self.apply_removal(domain, revision, now, now);
                change.into_iter().collect()
            }
            EvacuationEvent::EndedAtPeer {
                domain,
                revision,
                ended_at,
            } => {
                let change = self.apply_removal(domain, revision, ended_at, now);
                change.into_iter().collect()
            }
            EvacuationEvent::Read { domains, revision } => self.apply_read(domains, revision, now),
            EvacuationEvent::Retained {
                domain,
                revision,
                held_since,
            } => {
                let is_over = now.since(held_since) >= RESTORED_EVACUATION_HOLD;
                if is_over || self.evacuations.contains_key(&domain) {
                    return Vec::new();
                }
                let Some(began) = self.begin(domain.clone(), revision, now) else {
                    return Vec::new();
                };
                if let Some(evacuation) = self.evacuations.get_mut(&domain) {
                    evacuation.held_since = Some(held_since);
                }
                vec![began, EvacuationChange::HoldBegan(domain)]
            }
            EvacuationEvent::Tick(revision) => self.end_holds(revision, now),
        }
    }

    fn begin(
        &mut self,
        domain: FailureDomain,
        revision: StoreRevision,
        now: Millis,
    ) -> Option<EvacuationChange> {
        if let Some(known) = self.evacuations.get_mut(&domain) {
            known.revision = known.revision.max(revision);
            known.held_since = None;
            return None;
        }
        // A read or a peer may be older than the removal that is known already.
        if self
            .ended
            .get(&domain)
            .is_some_and(|end| end.revision >= revision)
        {
            return None;
        }
        self.ended.shift_remove(&domain);
        let evacuation = DomainEvacuation {
            revision,
            known_since: now,
            held_since: None,
        };
        self.evacuations.insert(domain.clone(), evacuation);
        Some(EvacuationChange::Evacuated(domain, revision))
    }

    /// Applies a removal that became known at `ended_at`, here or at a peer.
    fn apply_removal(
        &mut self,
        domain: FailureDomain,
        revision: StoreRevision,
        ended_at: Millis,
        now: Millis,
    ) -> Option<EvacuationChange> {
        let Some(known) = self.evacuations.get(&domain) else {
            self.remember_end(domain, revision, ended_at, now);
            return None;
        };
        // The read that the write is known from may be later than this removal.
        let is_later = known.revision <= revision;
        is_later.then(|| self.end(domain, revision, now))
    }

    /// Remembers the end of an evacuation that is not in force here, so that the evacuation is not
    /// adopted from a peer that lags behind. The age of the end bounds how long VMs pass it on to
    /// each other.
    fn remember_end(
        &mut self,
        domain: FailureDomain,
        revision: StoreRevision,
        known_at: Millis,
        now: Millis,
    ) {
        self.ended
            .retain(|_, end| now.since(end.known_at) <= END_MEMORY);
        let ended = self.ended.get(&domain);
        let is_known = ended.is_some_and(|end| end.revision >= revision);
        if is_known || now.since(known_at) > END_MEMORY || !has_valid_name(&domain) {
            return;
        }
        let end = EndedEvacuation { revision, known_at };
        self.ended.insert(domain, end);
    }

    fn end(
        &mut self,
        domain: FailureDomain,
        revision: StoreRevision,
        now: Millis,
    ) -> EvacuationChange {
        self.evacuations.shift_remove(&domain);
        self.remember_end(domain.clone(), revision, now, now);
        EvacuationChange::Returned(domain, revision)
    }

    /// Applies a read of the whole store. A key that is missing has been removed, unless the read is
    /// older than the key's write or the store was restored since.
    fn apply_read(
        &mut self,
        domains: &[(FailureDomain, StoreRevision)],
        revision: StoreRevision,
        now: Millis,
    ) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        let listed: IndexSet<&FailureDomain> = domains.iter().map(|(domain, _)| domain).collect();
        let missing = self.evacuations.iter();
        let missing = missing.filter(|(domain, known)| {
            !listed.contains(domain) && known.held_since.is_none() && known.revision <= revision
        });
        let missing: Vec<_> = missing
            .map(|(domain, known)| (domain.clone(), known.revision.generation))
            .collect();
        for (domain, generation) in missing {
            if generation == revision.generation {
                changes.push(self.end(domain, revision, now));
            } else if let Some(known) = self.evacuations.get_mut(&domain) {
                known.held_since = Some(now);
                changes.push(EvacuationChange::HoldBegan(domain));
            }
        }
        for (domain, revision) in domains {
            changes.extend(self.begin(domain.clone(), *revision, now));
        }
        changes
    }

    fn end_holds(&mut self, revision: StoreRevision, now: Millis) -> Vec<EvacuationChange> {
        let due = self.evacuations.iter().filter(|(_, evacuation)| {
            let held_since = evacuation.held_since;
            held_since.is_some_and(|since| now.since(since) >= RESTORED_EVACUATION_HOLD)
        });
        let due = due.map(|(domain, known)| (domain.clone(), known.revision.max(revision)));
        let due: Vec<_> = due.collect();
        let changes = due.into_iter().flat_map(|(domain, revision)| {
            let hold = EvacuationChange::HoldEnded(domain.clone());
            [hold, self.end(domain, revision, now)]
        });
        changes.collect()
    }
}

impl KnownState {
    /// Applies an event of the evacuations. Its changes are logged later.
    pub(crate) fn apply_evacuation(&mut self, event: EvacuationEvent<'_>, now: Millis) {
        let changes = self.evacuations.handle(now, event);
        self.evacuation_changes.extend(changes);
    }

    /// Applies the key of an evacuation that was read or written.
    pub(crate) fn apply_evacuation_key(
        &mut self,
        domain: FailureDomain,
        revision: StoreRevision,
        now: Millis,
    ) {
        match has_valid_name(&domain) {
            true => self.apply_evacuation(EvacuationEvent::Written(domain, revision), now),
            false => log_unreadable(&domain),
        }
    }
}

/// Logs that a key of an evacuation is ignored, as its failure domain has no valid name.
fn log_unreadable(domain: &FailureDomain) {
    let name = domain.as_str();
    let start: String = name.chars().take(MAX_LOGGED_CHARS).collect();
    let length = name.len();
    log::warn!("event=evacuation_unreadable bytes={length} domain={start:?}");
}
