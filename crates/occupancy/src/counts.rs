//! Requests in flight by leader.

use bergamot_peer::{LeaderCount, MAX_LEADER_COUNTS, UNREAD_UNIT};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// The short name of a leader's run in datagrams. Of 400 leaders two share one in 1 of 50,000 fleets.
pub fn leader_key(leader: &UpstreamIncarnation) -> u32 {
    let started_at = leader.started_at.unwrap_or_default();
    rendezvous_score(started_at.0, leader.as_str()) as u32
}

/// What is in flight at one leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderLoad {
    /// Requests sent and not ended.
    pub requests: u32,
    /// Prompt tokens of those whose answers have not begun.
    pub unread: u32,
}

impl LeaderLoad {
    /// Both loads together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            unread: self.unread.saturating_add(other.unread),
        }
    }

    /// What is left of it without the other one.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            unread: self.unread.saturating_sub(other.unread),
        }
    }
}

/// What is in flight by leader; those without anything are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderCounts {
    loads: IndexMap<u32, LeaderLoad>,
}

impl LeaderCounts {
    /// What is in flight at a leader.
    pub fn get(&self, leader: u32) -> LeaderLoad {
        self.loads.get(&leader).copied().unwrap_or_default()
    }

    /// Adds a load at a leader.
    pub fn add(&mut self, leader: u32, load: LeaderLoad) {
        if load.requests > 0 {
            let sum = self.loads.entry(leader).or_default();
            *sum = sum.plus(load);
        }
    }

    /// Adds what another one counts.
    pub fn add_all(&mut self, other: &Self) {
        for (leader, load) in &other.loads {
            self.add(*leader, *load);
        }
    }

    /// Takes off what another one counts.
    pub fn remove_all(&mut self, other: &Self) {
        for (leader, load) in &other.loads {
            if let Some(sum) = self.loads.get_mut(leader) {
                *sum = sum.minus(*load);
            }
        }
    }

    /// Whether nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    /// The counts as they are sent: the largest ones, if they are too many for a datagram.
    pub fn to_wire(&self) -> Vec<LeaderCount> {
        let mut counts: Vec<LeaderCount> = self
            .loads
            .iter()
            .filter(|(_, load)| load.requests > 0)
            .map(|(leader, load)| LeaderCount {
                leader: *leader,
                requests: load.requests.try_into().unwrap_or(u16::MAX),
                unread: load
                    .unread
                    .div_ceil(UNREAD_UNIT)
                    .try_into()
                    .unwrap_or(u16::MAX),
            })
            .collect();
        counts.sort_by_key(|it| std::cmp::Reverse(it.requests));
        counts.truncate(MAX_LEADER_COUNTS);
        counts
    }
}

impl From<&[LeaderCount]> for LeaderCounts {
    fn from(wire: &[LeaderCount]) -> Self {
        let mut counts = Self::default();
        for it in wire {
            let load = LeaderLoad {
                requests: u32::from(it.requests),
                unread: u32::from(it.unread) * UNREAD_UNIT,
            };
            counts.add(it.leader, load);
        }
        counts
    }
}
