//! Heartbeats: whom they go to and what they say.

use bergamot_types::prelude::*;

use super::{PeerLiveness, RosterState};
use crate::event::RosterAction;
use crate::heartbeat::{Heartbeat, LivenessFact};
use crate::record::Member;

impl RosterState {
    pub(super) fn send_beats(&mut self, actions: &mut Vec<RosterAction>) {
        if !self.is_member() {
            return;
        }
        self.rotation = self.rotation.wrapping_add(1);
        let is_near = |member: &&Member| member.failure_domain == self.me.failure_domain;
        let others = |near: bool| -> Vec<&Member> {
            self.record
                .members
                .iter()
                .filter(|member| member.entry != self.me.entry)
                .filter(|member| is_near(member) == near)
                .collect()
        };
        let mut targets = self.rotate(&others(true), self.options.near_peers);
        // A failure domain with few members makes up for it outside.
        let lacking = self.options.near_peers - targets.len();
        targets.extend(self.rotate(&others(false), self.options.far_peers + lacking));
        let beat = self.beat();
        for target in targets {
            actions.push(RosterAction::Send(target, beat.clone()));
        }
    }

    /// Picks `count` members, others with each period and different ones for each sender: were
    /// all to walk the members in the same order, they would all write to the same one.
    pub(super) fn rotate(&self, members: &[&Member], count: usize) -> Vec<Member> {
        let key = self.rotation as u64;
        let mut ranked: Vec<(u64, &Member)> = members
            .iter()
            .map(|member| {
                let mine = rendezvous_score(key, self.me.entry.as_str());
                (rendezvous_score(mine, member.entry.as_str()), *member)
            })
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| *score);
        let chosen = ranked.into_iter().take(count);
        chosen.map(|(_, member)| member.clone()).collect()
    }

    pub(super) fn beat(&self) -> Heartbeat {
        let mut recent: Vec<(&EntryId, &PeerLiveness)> = self
            .news
            .iter()
            .filter(|(_, news)| !news.is_suspect)
            .collect();
        // Drawn anew each time, and for each sender: by freshness, news would be passed on for one
        // period only and die out before it has gone round.
        let turn = rendezvous_score(self.rotation as u64, self.me.entry.as_str());
        recent.sort_by_cached_key(|(entry, _)| rendezvous_score(turn, entry.as_str()));
        // Members of the same failure domain matter most: they share coordination and probes.
        let is_near = |entry: &EntryId| {
            let member = self.record.member(entry);
            member.is_some_and(|m| m.failure_domain == self.me.failure_domain)
        };
        let (near, far): (Vec<_>, Vec<_>) =
            recent.into_iter().partition(|(entry, _)| is_near(entry));
        let most = self.options.facts_per_beat;
        let near_take = near
            .len()
            .min((most * 2 / 3).max(most.saturating_sub(far.len())));
        let far_take = most - near_take;
        let near = near.into_iter().take(near_take);
        let chosen: Vec<_> = near.chain(far.into_iter().take(far_take)).collect();
        let hash = |entry: &EntryId| {
            let member = self.record.member(entry);
            member.map_or(0, |m| LivenessFact::member_hash(entry, m.incarnation))
        };
        Heartbeat {
            from: self.me.entry.clone(),
            incarnation: self.me.incarnation,
            epoch: self.record.epoch,
            settled: self.settled,
            counter: self.counter,
            stopping: self.stopping,
            facts: chosen
                .iter()
                .map(|(entry, news)| LivenessFact {
                    member: hash(entry),
                    counter: news.counter,
                })
                .collect(),
            settled_facts: chosen
                .iter()
                .filter(|(_, news)| news.settled > self.record.settled)
                .map(|(entry, news)| (hash(entry), news.settled))
                .collect(),
        }
    }
}
