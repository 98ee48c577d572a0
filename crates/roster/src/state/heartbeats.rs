//! Receivers and content of heartbeats.

use bergamot_types::prelude::*;

use super::{PeerLiveness, RosterState};
use crate::event::RosterAction;
use crate::heartbeat::{Heartbeat, LivenessFact};
use crate::record::Member;

impl RosterState {
    pub(super) fn send_heartbeats(&mut self, actions: &mut Vec<RosterAction>) {
        if !self.is_member() {
            return;
        }
        self.round = self.round.wrapping_add(1);
        let is_near = |member: &&Member| member.failure_domain == self.own.failure_domain;
        let others = |near: bool| -> Vec<&Member> {
            self.record
                .members
                .iter()
                .filter(|member| member.entry != self.own.entry)
                .filter(|member| is_near(member) == near)
                .collect()
        };
        let mut receivers = self.select_receivers(&others(true), self.options.near_peers);
        // In a failure domain with few members, more heartbeats go to other domains instead.
        let lacking = self.options.near_peers - receivers.len();
        receivers.extend(self.select_receivers(&others(false), self.options.far_peers + lacking));
        let heartbeat = self.heartbeat();
        for receiver in receivers {
            actions.push(RosterAction::Send(receiver, heartbeat.clone()));
        }
    }

    /// Selects `count` members, which differ between rounds and between senders. If all senders
    /// went through the members in the same order, they would all send to the same one at once.
    pub(super) fn select_receivers(&self, members: &[&Member], count: usize) -> Vec<Member> {
        let round_key = self.round as u64;
        let mut ranked: Vec<(u64, &Member)> = members
            .iter()
            .map(|member| {
                let sender_key = rendezvous_score(round_key, self.own.entry.as_str());
                (rendezvous_score(sender_key, member.entry.as_str()), *member)
            })
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| *score);
        let selected = ranked.into_iter().take(count);
        selected.map(|(_, member)| member.clone()).collect()
    }

    pub(super) fn heartbeat(&self) -> Heartbeat {
        let mut trusted: Vec<(&EntryId, &PeerLiveness)> = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_suspect)
            .collect();
        // Each sender selects other facts in each round. If it selected the newest ones, a fact
        // would be passed on for one period only and be lost before it had reached all members.
        let sender_key = rendezvous_score(self.round as u64, self.own.entry.as_str());
        trusted.sort_by_cached_key(|(entry, _)| rendezvous_score(sender_key, entry.as_str()));
        // Members of the same failure domain have precedence, as they share coordination and
        // probes with this one.
        let is_near = |entry: &EntryId| {
            let member = self.record.member(entry);
            member.is_some_and(|m| m.failure_domain == self.own.failure_domain)
        };
        let (near, far): (Vec<_>, Vec<_>) =
            trusted.into_iter().partition(|(entry, _)| is_near(entry));
        let max_facts = self.options.facts_per_heartbeat;
        let near_count = near
            .len()
            .min((max_facts * 2 / 3).max(max_facts.saturating_sub(far.len())));
        let far_count = max_facts - near_count;
        let near = near.into_iter().take(near_count);
        let selected: Vec<_> = near.chain(far.into_iter().take(far_count)).collect();
        let hash = |entry: &EntryId| {
            let member = self.record.member(entry);
            member.map_or(0, |m| LivenessFact::member_hash(entry, m.incarnation))
        };
        Heartbeat {
            from: self.own.entry.clone(),
            incarnation: self.own.incarnation,
            epoch: self.record.epoch,
            settled: self.settled,
            counter: self.counter,
            stopping: self.is_stopping,
            facts: selected
                .iter()
                .map(|(entry, peer)| LivenessFact {
                    member: hash(entry),
                    counter: peer.counter,
                })
                .collect(),
            settled_facts: selected
                .iter()
                .filter(|(_, peer)| peer.settled > self.record.settled)
                .map(|(entry, peer)| (hash(entry), peer.settled))
                .collect(),
        }
    }
}
