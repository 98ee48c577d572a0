//! How recent what is known of the store is.

use bergamot_types::prelude::*;

/// Since when everything up to a revision is known.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Freshness {
    /// At this moment nothing newer than what is known was in the store.
    fresh_at: Millis,
    /// The revision the store had at a later moment, which is yet to be reached.
    awaited: Option<(u64, Millis)>,
}

impl Freshness {
    /// Notes that a call which began at `began` showed the store at `revision`, while `known` is
    /// known.
    pub fn note_store(&mut self, revision: u64, known: u64, began: Millis) {
        match revision <= known {
            true => self.note_fresh(began),
            false if self.awaited.is_none() => self.awaited = Some((revision, began)),
            false => {}
        }
    }

    /// Notes that everything up to `known` is known now.
    pub fn note_known(&mut self, known: u64) {
        if let Some((_, began)) = self.awaited.take_if(|(revision, _)| *revision <= known) {
            self.note_fresh(began);
        }
    }

    /// Notes that what is known was the newest at `at`.
    pub fn note_fresh(&mut self, at: Millis) {
        self.fresh_at = self.fresh_at.max(at);
    }

    /// How old what is known may be.
    pub fn age(&self, now: Millis) -> Millis {
        now.since(self.fresh_at)
    }
}
