//! Requests in flight per leader.

use bergamot_peer::{LeaderCount, MAX_LEADER_COUNTS, PENDING_TOKENS_UNIT};
use bergamot_types::prelude::*;
use indexmap::IndexMap;

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

    /// Returns the counts for a datagram: the largest ones if not all of them fit.
    pub fn to_wire(&self) -> Vec<LeaderCount> {
        let mut counts: Vec<LeaderCount> = self
            .loads
            .iter()
            .filter(|(_, load)| load.requests > 0)
            .map(|(leader, load)| LeaderCount {
                leader: *leader,
                requests: load.requests.try_into().unwrap_or(u16::MAX),
                pending_tokens: load
                    .pending_prompt_tokens
                    .div_ceil(PENDING_TOKENS_UNIT)
                    .try_into()
                    .unwrap_or(u16::MAX),
            })
            .collect();
        counts.sort_by_key(|count| std::cmp::Reverse(count.requests));
        counts.truncate(MAX_LEADER_COUNTS);
        counts
    }
}

impl From<&[LeaderCount]> for LeaderCounts {
    fn from(wire_counts: &[LeaderCount]) -> Self {
        let mut counts = Self::default();
        for count in wire_counts {
            let load = LeaderLoad {
                requests: u32::from(count.requests),
                pending_prompt_tokens: u32::from(count.pending_tokens) * PENDING_TOKENS_UNIT,
            };
            counts.add(count.leader, load);
        }
        counts
    }
}
