//! Requests in flight per leader.

use bergamot_peer::{LeaderCount, MAX_LEADER_COUNTS, PENDING_TOKENS_UNIT};
use bergamot_types::prelude::*;
use indexmap::{IndexMap, IndexSet};

/// Returns the hash that stands for a leader's incarnation in datagrams. With 400 leaders, two of
/// them collide in 1 of 50,000 fleets.
pub fn leader_key(leader: &UpstreamIncarnation) -> u32 {
    let started_at = leader.started_at.unwrap_or_default();
    rendezvous_score(started_at.0, leader.as_str()) as u32
}

/// Load in flight at one leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderLoad {
    /// Requests that were sent and have not finished.
    pub requests: u32,
    /// Prompt tokens of the requests whose answers have not begun.
    pub pending_prompt_tokens: u32,
}

impl LeaderLoad {
    /// Returns the sum of both loads.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            pending_prompt_tokens: self
                .pending_prompt_tokens
                .saturating_add(other.pending_prompt_tokens),
        }
    }

    /// Returns this load less the other one, at least zero.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            pending_prompt_tokens: self
                .pending_prompt_tokens
                .saturating_sub(other.pending_prompt_tokens),
        }
    }
}

/// Load in flight per leader, keyed by [`leader_key`]. Leaders without requests have no entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaderCounts {
    loads: IndexMap<u32, LeaderLoad>,
}

impl LeaderCounts {
    /// Returns the load in flight at a leader.
    pub fn get(&self, leader: u32) -> LeaderLoad {
        self.loads.get(&leader).copied().unwrap_or_default()
    }

    /// Adds load at a leader.
    pub fn add(&mut self, leader: u32, load: LeaderLoad) {
        if load.requests > 0 {
            let sum = self.loads.entry(leader).or_default();
            *sum = sum.saturating_add(load);
        }
    }

    /// Adds the loads of `other`.
    pub fn add_all(&mut self, other: &Self) {
        for (leader, load) in &other.loads {
            self.add(*leader, *load);
        }
    }

    /// Subtracts the loads of `other`.
    pub fn subtract_all(&mut self, other: &Self) {
        for (leader, load) in &other.loads {
            if let Some(sum) = self.loads.get_mut(leader) {
                *sum = sum.saturating_sub(*load);
            }
        }
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.loads.is_empty()
    }

    /// Returns the counts for one datagram. If not all of them fit, those at the `preferred` leaders
    /// come first and then the largest.
    pub fn to_wire(&self, preferred: &IndexSet<u32>) -> Vec<LeaderCount> {
        let mut counts = self.all_to_wire();
        let order = |count: &LeaderCount| {
            let is_preferred = preferred.contains(&count.leader);
            std::cmp::Reverse((is_preferred, count.requests))
        };
        counts.sort_by_key(order);
        counts.truncate(MAX_LEADER_COUNTS);
        counts
    }

    /// Returns the counts for as many datagrams as they take. Also lists the leaders of `emptied`
    /// that have no requests any more, so that the receiver need not wait for their counts to
    /// expire.
    pub fn to_wire_parts(&self, emptied: &IndexSet<u32>) -> Vec<Vec<LeaderCount>> {
        let mut counts = self.all_to_wire();
        let idle = emptied
            .iter()
            .filter(|leader| self.get(**leader).requests == 0);
        counts.extend(idle.map(|leader| LeaderCount::idle(*leader)));
        if counts.is_empty() {
            return vec![counts];
        }
        counts
            .chunks(MAX_LEADER_COUNTS)
            .map(<[_]>::to_vec)
            .collect()
    }

    /// Returns the leaders that have requests in flight.
    pub fn busy_leaders(&self) -> IndexSet<u32> {
        let busy = self.loads.iter().filter(|(_, load)| load.requests > 0);
        busy.map(|(leader, _)| *leader).collect()
    }

    fn all_to_wire(&self) -> Vec<LeaderCount> {
        let busy = self.loads.iter().filter(|(_, load)| load.requests > 0);
        let counts = busy.map(|(leader, load)| LeaderCount {
            leader: *leader,
            requests: load.requests.try_into().unwrap_or(u16::MAX),
            pending_tokens: load
                .pending_prompt_tokens
                .div_ceil(PENDING_TOKENS_UNIT)
                .try_into()
                .unwrap_or(u16::MAX),
        });
        counts.collect()
    }
}

impl From<&LeaderCount> for LeaderLoad {
    fn from(count: &LeaderCount) -> Self {
        Self {
            requests: u32::from(count.requests),
            pending_prompt_tokens: u32::from(count.pending_tokens) * PENDING_TOKENS_UNIT,
        }
    }
}

impl From<&[LeaderCount]> for LeaderCounts {
    fn from(wire_counts: &[LeaderCount]) -> Self {
        let mut counts = Self::default();
        for count in wire_counts {
            counts.add(count.leader, LeaderLoad::from(count));
        }
        counts
    }
}
