//! Presence of a reader's followers: whom it probes, and whose keys it removes from the store.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

use crate::lease::LeaseTerm;

/// Time without a sign of a follower after which it is probed: eight periods of its requests.
const PROBE_AFTER: Millis = Millis(2_000);
/// Time between two probes of one follower.
const PROBE_PERIOD: Millis = Millis(2_000);
/// Number of unanswered probes in a row before a key is removed.
const MIN_UNANSWERED: u32 = 3;

/// An input of [`PresenceState`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PresenceEvent<'a> {
    /// A VM requested updates. Carries the hash of its name.
    Requested(u64),
    /// A VM answered a probe.
    Answered(&'a str),
    /// A VM did not answer a probe in time.
    Unanswered(&'a str),
    /// Time has passed.
    Tick,
}

/// What a reader does next.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum PresenceAction {
    /// Check whether this VM responds.
    Probe(String),
    /// Remove this VM's key from the store, unless the VM has written it again.
    Remove(String),
}

/// What a reader knows of one follower.
#[derive(Clone, PartialEq, Eq, Debug)]
struct FollowerPresence {
    vm: String,
    /// The last sign of the VM.
    seen_at: Millis,
    /// When it was last probed since that sign.
    probed_at: Option<Millis>,
    /// Unanswered probes since that sign.
    unanswered: u32,
}

impl FollowerPresence {
    const fn new(vm: String, seen_at: Millis) -> Self {
        Self {
            vm,
            seen_at,
            probed_at: None,
            unanswered: 0,
        }
    }

    fn record_sign(&mut self, now: Millis) {
        self.seen_at = self.seen_at.max(now);
        self.probed_at = None;
        self.unanswered = 0;
    }

    fn is_probe_due(&self, now: Millis) -> bool {
        let is_silent = now.since(self.seen_at) >= PROBE_AFTER;
        let is_rested = |probed_at| now.since(probed_at) >= PROBE_PERIOD;
        is_silent && self.probed_at.is_none_or(is_rested)
    }

    const fn is_silent(&self) -> bool {
        self.unanswered >= MIN_UNANSWERED
    }

    /// Whether the VM has been silent for as long as a short lease lasts.
    fn is_lost(&self, now: Millis) -> bool {
        self.is_silent() && now.since(self.seen_at) >= LeaseTerm::SHORT.ttl
    }
}

/// The followers whose presence this VM watches, as their reader.
#[derive(Clone, Debug, Default)]
pub struct PresenceState {
    /// Keyed by the hash of the VM's name, as requests carry it.
    followers: IndexMap<u64, FollowerPresence>,
}

impl PresenceState {
    /// Replaces the set of followers. New ones count as seen now.
    pub fn set_followers<'a, Names>(&mut self, now: Millis, vms: Names)
    where
        Names: IntoIterator<Item = &'a str>,
    {
        let mut known = std::mem::take(&mut self.followers);
        let followers = vms.into_iter().map(|vm| {
            let key = hash_bytes(vm.as_bytes());
            let follower = known.swap_remove(&key);
            let follower = follower.unwrap_or_else(|| FollowerPresence::new(vm.to_owned(), now));
            (key, follower)
        });
        self.followers = followers.collect();
    }

    /// Handles an event and returns what to do next.
    pub fn handle(&mut self, now: Millis, event: PresenceEvent<'_>) -> Vec<PresenceAction> {
        match event {
            PresenceEvent::Requested(key) => {
                self.record_sign(key, now);
                Vec::new()
            }
            PresenceEvent::Answered(vm) => {
                self.record_sign(hash_bytes(vm.as_bytes()), now);
                Vec::new()
            }
            PresenceEvent::Unanswered(vm) => self.record_unanswered(vm, now).into_iter().collect(),
            PresenceEvent::Tick => self.due_probes(now),
        }
    }

    fn record_sign(&mut self, key: u64, now: Millis) {
        if let Some(follower) = self.followers.get_mut(&key) {
            follower.record_sign(now);
        }
    }

    fn record_unanswered(&mut self, vm: &str, now: Millis) -> Option<PresenceAction> {
        let follower = self.followers.get_mut(&hash_bytes(vm.as_bytes()))?;
        follower.unanswered += 1;
        let is_lost = follower.is_lost(now);
        (is_lost && !self.may_be_cut_off()).then(|| PresenceAction::Remove(vm.to_owned()))
    }

    /// Whether so many followers are silent that this VM's own links may have failed.
    fn may_be_cut_off(&self) -> bool {
        let followers = self.followers.values();
        let silent_count = followers.filter(|follower| follower.is_silent()).count();
        silent_count * 2 > self.followers.len()
    }

    fn due_probes(&mut self, now: Millis) -> Vec<PresenceAction> {
        let followers = self.followers.values_mut();
        let due = followers.filter(|follower| follower.is_probe_due(now));
        let probes = due.map(|follower| {
            follower.probed_at = Some(now);
            PresenceAction::Probe(follower.vm.clone())
        });
        probes.collect()
    }
}
