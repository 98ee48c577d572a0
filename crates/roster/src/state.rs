//! One entry VM's view of the others.

mod beats;

use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use crate::event::{RosterAction, RosterEvent, RosterOptions};
use crate::heartbeat::{Heartbeat, LivenessFact};
use crate::pause::PauseWatch;
use crate::record::{Member, RosterRecord};

/// What was heard of one member.
#[derive(Clone, Debug, Serialize)]
pub struct PeerLiveness {
    /// Its counter when last heard.
    pub counter: u32,
    /// When there was last news of it.
    pub heard_at: Millis,
    /// Whether it is suspected.
    pub is_suspect: bool,
    /// Whether it said that it is stopping.
    pub is_stopping: bool,
    /// The epoch it settled on.
    pub settled: u64,
    /// News since it became suspect.
    recovery: u32,
}

/// The roster as one entry VM knows it.
#[derive(Clone, Debug)]
pub struct RosterState {
    me: Member,
    options: RosterOptions,
    record: RosterRecord,
    news: IndexMap<EntryId, PeerLiveness>,
    by_hash: IndexMap<u32, EntryId>,
    watch: PauseWatch,
    counter: u32,
    settled: u64,
    next_beat: Millis,
    next_propose: Millis,
    rotation: usize,
    seen_listed: IndexSet<VmId>,
    missing: IndexMap<VmId, (u32, Millis)>,
    stopping: bool,
}

/// Looks at the VM list that must all lack a VM before it counts as gone.
const MISSING_LOOKS: u32 = 2;
/// Heartbeat periods that news takes longer to go round for each member.
const SPREAD_PERIODS_PER_MEMBER: f64 = 0.2;
/// Time between two proposals by one member.
const PROPOSE_PERIOD: Millis = Millis(1_000);
/// Silence of one's own clock, in heartbeat periods, that counts as a pause.
const PAUSE_PERIODS: u64 = 4;

impl RosterState {
    /// A view that knows only itself.
    pub fn new(me: Member, options: RosterOptions) -> Self {
        let allowed = Millis(options.period.0 * PAUSE_PERIODS);
        Self {
            me,
            options,
            record: RosterRecord::default(),
            news: IndexMap::new(),
            by_hash: IndexMap::new(),
            watch: PauseWatch::new(allowed),
            counter: 0,
            settled: 0,
            next_beat: Millis::ZERO,
            next_propose: Millis::ZERO,
            rotation: 0,
            seen_listed: IndexSet::new(),
            missing: IndexMap::new(),
            stopping: false,
        }
    }

    /// This daemon.
    pub fn own_member(&self) -> &Member {
        &self.me
    }

    /// The newest record known.
    pub fn record(&self) -> &RosterRecord {
        &self.record
    }

    /// What was heard of the others.
    pub fn peers(&self) -> &IndexMap<EntryId, PeerLiveness> {
        &self.news
    }

    /// Whether this run of the daemon is in the roster.
    pub fn is_member(&self) -> bool {
        self.record.holds(&self.me.entry, self.me.incarnation)
    }

    /// Whether a member is thought able to work. This VM always is, unless it is stopping.
    pub fn is_trusted(&self, entry: &EntryId) -> bool {
        if *entry == self.me.entry {
            return !self.stopping;
        }
        self.news
            .get(entry)
            .is_some_and(|news| !news.is_suspect && !news.is_stopping)
    }

    /// Trusted members of this failure domain, this VM among them.
    pub fn trusted_in_domain(&self) -> impl Iterator<Item = &Member> {
        self.record
            .members
            .iter()
            .filter(|member| member.failure_domain == self.me.failure_domain)
            .filter(|member| self.is_trusted(&member.entry))
    }

    /// Takes one event and says what to do.
    pub fn handle(&mut self, now: Millis, event: RosterEvent) -> Vec<RosterAction> {
        match event {
            RosterEvent::Tick => self.tick(now),
            RosterEvent::Heartbeat(beat) => self.take_beat(now, &beat),
            RosterEvent::Record(record) => self.take_record(now, record),
            RosterEvent::Listed(vms) => self.take_list(now, vms),
            RosterEvent::Settled(epoch) => {
                self.settled = self.settled.max(epoch);
                Vec::new()
            }
            RosterEvent::Stopping => {
                self.stopping = true;
                self.next_beat = now;
                self.tick(now)
            }
        }
    }

    fn tick(&mut self, now: Millis) -> Vec<RosterAction> {
        let mut actions = Vec::new();
        if let Some(gap) = self.watch.observe(now) {
            // Nobody was heard because we did not listen; silence starts anew.
            for news in self.news.values_mut() {
                news.heard_at = now;
            }
            actions.push(RosterAction::Paused(gap));
        }
        self.raise_suspicions(now, &mut actions);
        if now >= self.next_beat {
            self.next_beat = now + self.options.period;
            self.counter = self.counter.wrapping_add(1);
            self.send_beats(&mut actions);
        }
        if now >= self.next_propose {
            self.next_propose = now + PROPOSE_PERIOD;
            actions.extend(self.proposal(now).map(RosterAction::Propose));
        }
        actions
    }

    fn raise_suspicions(&mut self, now: Millis, actions: &mut Vec<RosterAction>) {
        // News of a member goes round in heartbeats of bounded size, so it takes longer to reach
        // everyone the more members there are, and longest from another failure domain.
        let is_near = |entry: &EntryId| {
            let member = self.record.member(entry);
            member.is_some_and(|m| m.failure_domain == self.me.failure_domain)
        };
        let near = self.news.keys().filter(|entry| is_near(entry)).count() as u64;
        let base = self.options.suspect_after;
        let spread = |members: u64| {
            let periods = members as f64 * SPREAD_PERIODS_PER_MEMBER;
            Millis((periods * self.options.period.0 as f64) as u64)
        };
        let near_patience = base + spread(near);
        let all = self.news.len() as u64;
        let far_patience = base + base + spread(all);
        let record = &self.record;
        let home = &self.me.failure_domain;
        for (entry, news) in &mut self.news {
            let member = record.member(entry);
            let patience = match member.is_some_and(|m| m.failure_domain == *home) {
                true => near_patience,
                false => far_patience,
            };
            let is_silent = now.since(news.heard_at) > patience;
            if is_silent && !news.is_suspect {
                news.is_suspect = true;
                news.recovery = 0;
                actions.push(RosterAction::Suspect(entry.clone()));
            } else if is_silent {
                news.recovery = 0;
            }
        }
    }

    fn take_beat(&mut self, now: Millis, beat: &Heartbeat) -> Vec<RosterAction> {
        let mut actions = Vec::new();
        if !self.record.holds(&beat.from, beat.incarnation) {
            return actions;
        }
        let from = beat.from.clone();
        self.take_news(now, &from, beat.counter, &mut actions);
        if let Some(news) = self.news.get_mut(&from) {
            news.is_stopping = beat.stopping;
            news.settled = news.settled.max(beat.settled);
        }
        for fact in &beat.facts {
            if let Some(entry) = self.by_hash.get(&fact.member).cloned() {
                self.take_news(now, &entry, fact.counter, &mut actions);
            }
        }
        for (hash, settled) in &beat.settled_facts {
            let entry = self.by_hash.get(hash).cloned();
            if let Some(news) = entry.and_then(|entry| self.news.get_mut(&entry)) {
                news.settled = news.settled.max(*settled);
            }
        }
        actions
    }

    fn take_news(
        &mut self,
        now: Millis,
        entry: &EntryId,
        counter: u32,
        actions: &mut Vec<RosterAction>,
    ) {
        let Some(news) = self.news.get_mut(entry) else {
            return;
        };
        let is_newer = counter.wrapping_sub(news.counter) as i32 > 0;
        if !is_newer {
            return;
        }
        news.counter = counter;
        news.heard_at = now;
        if news.is_suspect {
            news.recovery += 1;
            if news.recovery >= self.options.recover_beats {
                news.is_suspect = false;
                actions.push(RosterAction::Trust(entry.clone()));
            }
        }
    }

    fn take_record(&mut self, now: Millis, record: RosterRecord) -> Vec<RosterAction> {
        let is_newer = (record.epoch, record.settled) > (self.record.epoch, self.record.settled);
        if !is_newer || !record.is_valid() {
            return Vec::new();
        }
        let epoch_changed = record.epoch != self.record.epoch;
        let old = std::mem::replace(&mut self.record, record);
        self.by_hash.clear();
        let mut news = IndexMap::new();
        for member in &self.record.members {
            if member.entry == self.me.entry {
                continue;
            }
            let hash = LivenessFact::member_hash(&member.entry, member.incarnation);
            self.by_hash.insert(hash, member.entry.clone());
            let kept = self
                .news
                .swap_remove(&member.entry)
                .filter(|_| old.holds(&member.entry, member.incarnation));
            let fresh = PeerLiveness {
                counter: 0,
                heard_at: now,
                is_suspect: false,
                is_stopping: false,
                settled: 0,
                recovery: 0,
            };
            news.insert(member.entry.clone(), kept.unwrap_or(fresh));
        }
        self.news = news;
        match epoch_changed {
            true => vec![RosterAction::EpochChanged(self.record.epoch)],
            false => Vec::new(),
        }
    }

    fn take_list(&mut self, now: Millis, vms: Vec<VmId>) -> Vec<RosterAction> {
        let listed: IndexSet<VmId> = vms.into_iter().collect();
        self.missing.retain(|vm, _| !listed.contains(vm));
        for member in &self.record.members {
            if listed.contains(&member.vm) {
                self.seen_listed.insert(member.vm.clone());
                continue;
            }
            let missing = self.missing.entry(member.vm.clone()).or_insert((0, now));
            missing.0 += 1;
        }
        Vec::new()
    }

    fn is_gone(&self, now: Millis, member: &Member) -> bool {
        let Some((looks, first)) = self.missing.get(&member.vm) else {
            return false;
        };
        let was_listed = self.seen_listed.contains(&member.vm);
        let grace_over = now.since(*first) > self.options.unlisted_grace;
        member.entry != self.me.entry && *looks >= MISSING_LOOKS && (was_listed || grace_over)
    }

    /// The change this member should propose now, if it is the one to do so.
    fn proposal(&self, now: Millis) -> Option<RosterRecord> {
        if !self.is_member() {
            if self.stopping {
                return None;
            }
            return Some(self.record.with_member(self.me.clone()));
        }
        let mut able = self
            .record
            .members
            .iter()
            .filter(|member| self.is_trusted(&member.entry) && !self.is_gone(now, member));
        if able.next().map(|member| &member.entry) != Some(&self.me.entry) {
            return None;
        }
        let next = self.record.without(|member| self.is_gone(now, member));
        if next != self.record {
            return Some(next);
        }
        let settled = self.all_settled();
        (settled > self.record.settled).then(|| self.record.settled_at(settled))
    }

    /// The epoch every member has settled on.
    fn all_settled(&self) -> u64 {
        let others = self.news.values().map(|news| news.settled);
        others.chain([self.settled]).min().unwrap_or(0)
    }
}
