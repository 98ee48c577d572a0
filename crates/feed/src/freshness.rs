//! Age of the locally known store state.

use bergamot_ports::StoreRevision;
use bergamot_types::prelude::*;

/// Tracks when the locally known store state was last current.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Freshness {
    /// The latest time at which the store held nothing newer than the known state.
    current_at: Millis,
    /// A store revision that was observed at a later time and is not known locally yet.
    pending: Option<(StoreRevision, Millis)>,
}

impl Freshness {
    /// Records that a call started at `started_at` reported the store at `revision`, while
    /// everything up to `known` is known locally.
    pub fn observe_store(
        &mut self,
        revision: StoreRevision,
        known: StoreRevision,
        started_at: Millis,
    ) {
        match revision <= known {
            true => self.mark_current(started_at),
            false if self.pending.is_none() => self.pending = Some((revision, started_at)),
            false => {}
        }
    }

    /// Records that everything up to `known` is known locally now.
    pub fn observe_known(&mut self, known: StoreRevision) {
        if let Some((_, started_at)) = self.pending.take_if(|(revision, _)| *revision <= known) {
            self.mark_current(started_at);
        }
    }

    /// Records that a watch started at `started_at` has answered, and that its changes are known.
    ///
    /// An answer may hold only a part of the changes. It then shows nothing if a later revision of
    /// the store was observed before.
    pub fn observe_watch(&mut self, started_at: Millis) {
        if self.pending.is_none() {
            self.mark_current(started_at);
        }
    }

    /// Records that the known state was the latest at `at`.
    pub fn mark_current(&mut self, at: Millis) {
        self.current_at = self.current_at.max(at);
    }

    /// Returns the latest time at which the known state is known to have been complete.
    pub const fn current_at(&self) -> Millis {
        self.current_at
    }

    /// Returns when a revision was observed that is not known locally yet; `None` if there is none.
    pub fn pending_since(&self) -> Option<Millis> {
        self.pending.map(|(_, observed_at)| observed_at)
    }

    /// Returns the maximum age of the known state.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.current_at)
    }
}
