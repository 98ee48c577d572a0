//! Whether an upstream takes requests now, as one entry VM knows it.

use bergamot_types::prelude::*;
use indexmap::IndexMap;

/// Whether an upstream takes a request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum GateState {
    /// Nothing speaks against it.
    Open,
    /// It names a limit, and there is no permit for a request of this rank before this moment.
    Limited(Millis),
    /// It asked this VM for rest until this moment.
    Resting(Millis),
}

impl GateState {
    /// Whether a request may be sent.
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Open)
    }

    /// When it may take requests again, where that is known.
    pub const fn opens_at(self) -> Option<Millis> {
        match self {
            Self::Open => None,
            Self::Limited(until) | Self::Resting(until) => Some(until),
        }
    }
}

/// Requests of a rank that get no permit for a while.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct HeldRank {
    priority: u8,
    until: Millis,
}

/// What speaks against sending to one upstream.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
struct UpstreamGate {
    held: Vec<HeldRank>,
    rests_until: Millis,
}

impl UpstreamGate {
    fn state(&self, priority: u8, now: Millis) -> GateState {
        if self.rests_until > now {
            return GateState::Resting(self.rests_until);
        }
        let held = self.held.iter();
        // Where the more urgent wait the less urgent do.
        let held = held.filter(|it| it.priority <= priority && it.until > now);
        let until = held.map(|it| it.until).max();
        until.map_or(GateState::Open, GateState::Limited)
    }

    fn is_idle(&self, now: Millis) -> bool {
        self.rests_until <= now && self.held.iter().all(|it| it.until <= now)
    }
}

/// The upstreams that do not take all requests, by their runs.
#[derive(Clone, Debug, Default)]
pub struct GateTable {
    gates: IndexMap<UpstreamLife, UpstreamGate>,
}

impl GateTable {
    /// Whether an upstream takes a request of this rank.
    pub fn state(&self, life: &UpstreamLife, priority: u8, now: Millis) -> GateState {
        match self.gates.get(life) {
            None => GateState::Open,
            Some(gate) => gate.state(priority, now),
        }
    }

    /// Sends nothing to an upstream until then that is no more urgent than this.
    pub fn hold_back(&mut self, life: &UpstreamLife, priority: u8, until: Millis, now: Millis) {
        let gate = self.gates.entry(life.clone()).or_default();
        gate.held
            .retain(|it| it.until > now && it.priority != priority);
        gate.held.push(HeldRank { priority, until });
    }

    /// Sends nothing to an upstream until then, whatever its rank. Of several such times the latest holds, as each was asked
    /// for. Says whether it had not asked for a rest that goes on.
    pub fn rest(&mut self, life: &UpstreamLife, until: Millis, now: Millis) -> bool {
        let gate = self.gates.entry(life.clone()).or_default();
        let is_new = gate.rests_until <= now;
        gate.rests_until = gate.rests_until.max(until);
        is_new
    }

    /// Upstreams that rest now.
    pub fn resting(&self, now: Millis) -> usize {
        let gates = self.gates.values();
        gates.filter(|gate| gate.rests_until > now).count()
    }

    /// Forgets that requests were held back, as the upstream names no limit any more.
    pub fn release(&mut self, life: &UpstreamLife) {
        if let Some(gate) = self.gates.get_mut(life) {
            gate.held.clear();
        }
    }

    /// Forgets upstreams that are not to be kept, and what has passed.
    pub fn retain<Keep>(&mut self, is_kept: Keep, now: Millis)
    where
        Keep: Fn(&UpstreamLife) -> bool,
    {
        self.gates
            .retain(|life, gate| is_kept(life) && !gate.is_idle(now));
    }
}
